package operator

import (
	"context"
	"flag"
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
			other := &command{Env: c.Env}
			root := other.tree()
			other.prepare(root)
			_, err := fmt.Fprint(c.Stdout, bashCompletion(root))
			return err
		},
	}
}

// bashScript is the format of the completion script. Its arguments are the case
// patterns of all subcommand paths, those of the flags that take a value, and the
// cases that select the words and flags to offer at a path. Where no words are
// offered, bash completes file names.
const bashScript = `_persimmonctl() {
  local path="" words="" flags="" i
  local current="${COMP_WORDS[COMP_CWORD]}" previous="${COMP_WORDS[COMP_CWORD-1]}"
  for ((i = 1; i < COMP_CWORD; i++)); do
    case "${COMP_WORDS[i-1]}" in
      %[2]s) continue ;;
    esac
    case "$path ${COMP_WORDS[i]}" in
      %[1]s) path="$path ${COMP_WORDS[i]}" ;;
    esac
  done
  COMPREPLY=()
  case "$previous" in
    %[2]s) return ;;
  esac
  case "$path" in
%[3]s  esac
  if [[ $current == -* ]]; then words="$flags"; fi
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -o default -F _persimmonctl persimmonctl
`

// bashCompletion returns a bash script that completes the subcommands and flags of
// the command tree, and file names elsewhere. The tree must have been passed to
// prepare, which registers the flags.
func bashCompletion(root *ffcli.Command) string {
	s := &completionScript{valued: map[string]bool{}}
	s.add("", root)
	return fmt.Sprintf(bashScript, strings.Join(s.paths, "|"), strings.Join(s.values, "|"), s.cases.String())
}

// completionScript collects the arguments of bashScript. valued contains the flags
// that are in values.
type completionScript struct {
	paths, values []string
	valued        map[string]bool
	cases         strings.Builder
}

// add adds a command and its subcommands. path consists of the names of the
// command's parents below the root and of the command, each preceded by a space.
func (s *completionScript) add(path string, cmd *ffcli.Command) {
	words := names(cmd)
	if cmd.Name == "completion" {
		words = "bash"
	}
	fmt.Fprintf(&s.cases, "    %q) words=%q flags=%q ;;\n", path, words, s.flags(cmd.FlagSet))
	for _, sub := range cmd.Subcommands {
		below := path + " " + sub.Name
		s.paths = append(s.paths, fmt.Sprintf("%q", below))
		s.add(below, sub)
	}
}

// flags returns the flags of a command separated by spaces and adds those that take
// a value to s.values.
func (s *completionScript) flags(fs *flag.FlagSet) string {
	var list []string
	fs.VisitAll(func(f *flag.Flag) {
		name := "-" + f.Name
		list = append(list, name)
		b, ok := f.Value.(interface{ IsBoolFlag() bool })
		if (!ok || !b.IsBoolFlag()) && !s.valued[name] {
			s.valued[name] = true
			s.values = append(s.values, name)
		}
	})
	return strings.Join(list, " ")
}

func names(c *ffcli.Command) string {
	list := make([]string, 0, len(c.Subcommands))
	for _, sub := range c.Subcommands {
		list = append(list, sub.Name)
	}
	return strings.Join(list, " ")
}
