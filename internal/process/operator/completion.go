package operator

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (c *command) completionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "completion", ShortUsage: "persimmonctl completion bash", ShortHelp: "print a shell completion script",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] != "bash" {
				return usagef("completion: use bash")
			}
			_, err := fmt.Fprint(c.Stdout, bashCompletion(c.tree()))
			return err
		},
	}
}

// bashCompletion completes the words of the command tree, and files elsewhere.
func bashCompletion(root *ffcli.Command) string {
	var b strings.Builder
	b.WriteString("_persimmonctl() {\n  local words=\"" + names(root) + "\"\n  case \"${COMP_WORDS[COMP_CWORD-1]}\" in\n")
	for _, sub := range root.Subcommands {
		words := names(sub)
		if sub.Name == "completion" {
			words = "bash"
		}
		if words != "" {
			fmt.Fprintf(&b, "    %s) words=\"%s\" ;;\n", sub.Name, words)
		}
	}
	b.WriteString("  esac\n  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n")
	b.WriteString("complete -o default -F _persimmonctl persimmonctl\n")
	return b.String()
}

func names(c *ffcli.Command) string {
	list := make([]string, 0, len(c.Subcommands))
	for _, sub := range c.Subcommands {
		list = append(list, sub.Name)
	}
	return strings.Join(list, " ")
}
