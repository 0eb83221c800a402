package operator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/revision"
)

// defaultHistory is the default number of revisions that "history" lists.
const defaultHistory = 20

func (c *command) catalogueCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "catalogue",
		ShortUsage:  "persimmonctl catalogue <validate|diff|apply|get|history|rollback>",
		ShortHelp:   "check, read and edit the catalogue",
		Subcommands: []*ffcli.Command{c.validate(), c.diff(), c.apply(), c.get(), c.history(), c.rollback()},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("command %q does not exist; use validate, diff, apply, get, history or rollback", "catalogue "+args[0])
			}
			return usagef("catalogue: use validate, diff, apply, get, history or rollback")
		},
	}
}

func (c *command) validate() *ffcli.Command {
	return &ffcli.Command{
		Name: "validate", ShortUsage: "persimmonctl catalogue validate FILE", ShortHelp: "check a file",
		Exec: func(_ context.Context, args []string) error {
			parsed, _, err := readFile(args)
			if err != nil {
				return err
			}
			summary := map[string]int{"models": len(parsed.Models), "workspaces": len(parsed.Workspaces), "entries": len(parsed.Entries)}
			return c.print(summary, nil, [][]string{{fmt.Sprintf("valid: %d models, %d workspaces, %d entries",
				len(parsed.Models), len(parsed.Workspaces), len(parsed.Entries))}})
		},
	}
}

func (c *command) diff() *ffcli.Command {
	fs := flag.NewFlagSet("diff", flag.ContinueOnError)
	number := fs.Int64("revision", 0, "revision to compare with; 0 means the current one")
	return &ffcli.Command{
		Name: "diff", ShortUsage: "persimmonctl catalogue diff FILE [-revision N]", ShortHelp: "show what a file would change",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseInterleaved(fs, args)
			if err != nil {
				return err
			}
			if err := checkRevision(*number); err != nil {
				return err
			}
			parsed, _, err := readFile(args)
			if err != nil {
				return err
			}
			e, err := c.editor()
			if err != nil {
				return err
			}
			_, before, err := parsedRevision(ctx, e, *number)
			if err != nil {
				return err
			}
			return c.printChanges(catalogue.Diff(before, parsed))
		},
	}
}

func (c *command) get() *ffcli.Command {
	fs := flag.NewFlagSet("get", flag.ContinueOnError)
	number := fs.Int64("revision", 0, "revision to read; 0 means the current one")
	return &ffcli.Command{
		Name: "get", ShortUsage: "persimmonctl catalogue get [-revision N]", ShortHelp: "print a revision's body",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments("get", args); err != nil {
				return err
			}
			if err := checkRevision(*number); err != nil {
				return err
			}
			e, err := c.editor()
			if err != nil {
				return err
			}
			r, body, err := e.Get(ctx, *number)
			if err != nil {
				return describeNotFound(err, r, *number)
			}
			if c.output == outputJSON {
				return c.print(struct {
					revision.Revision
					Body string `json:"body"`
				}{r, string(body)}, nil, nil)
			}
			fmt.Fprintf(c.Stderr, "revision %d by %s: %s\n", r.Number, r.Author, r.Message)
			_, err = c.Stdout.Write(body)
			return err
		},
	}
}

func (c *command) history() *ffcli.Command {
	fs := flag.NewFlagSet("history", flag.ContinueOnError)
	limit := fs.Int("limit", defaultHistory, "number of revisions to list")
	return &ffcli.Command{
		Name: "history", ShortUsage: "persimmonctl catalogue history [-limit N]", ShortHelp: "list revisions, newest first",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArguments("history", args); err != nil {
				return err
			}
			if *limit < 1 {
				return usagef("-limit: %d is not allowed; 1 or more", *limit)
			}
			e, err := c.editor()
			if err != nil {
				return err
			}
			list, err := e.History(ctx, *limit)
			if err != nil && len(list) == 0 {
				return err
			}
			var rows [][]string
			for _, r := range list {
				rows = append(rows, []string{strconv.FormatInt(r.Number, 10), r.At.Format(time.RFC3339), r.Author, r.Nonce, r.Message})
			}
			return errors.Join(c.print(list, []string{"REVISION", "AT", "AUTHOR", "NONCE", "MESSAGE"}, rows), err)
		},
	}
}

// checkRevision rejects numbers that are neither a revision nor 0, which means the
// current revision.
func checkRevision(number int64) error {
	if number < 0 {
		return usagef("-revision: %d is not allowed; a revision number from 1, or 0 for the current one", number)
	}
	return nil
}

// readFile reads and parses the catalogue file named by args, which must have
// exactly one element. It returns the file's content too.
func readFile(args []string) (*catalogue.Catalogue, []byte, error) {
	if len(args) != 1 {
		return nil, nil, usagef("one FILE is needed, got %d arguments", len(args))
	}
	body, err := os.ReadFile(args[0])
	if err != nil {
		return nil, nil, usageError{err}
	}
	parsed, err := catalogue.Parse(args[0], body)
	return parsed, body, err
}

// parseInterleaved parses flags that follow positional arguments, as in
// "apply FILE -message M", and returns the positional arguments.
func parseInterleaved(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		positional = append(positional, args[0])
		if err := fs.Parse(args[1:]); err != nil {
			return nil, usageError{err}
		}
		args = fs.Args()
	}
	return positional, nil
}

func (c *command) printChanges(changes []catalogue.Change) error {
	if changes == nil {
		changes = []catalogue.Change{}
	}
	rows := make([][]string, 0, len(changes))
	for _, ch := range changes {
		rows = append(rows, []string{ch.String()})
	}
	if len(rows) == 0 {
		rows = [][]string{{"no changes"}}
	}
	return c.print(changes, nil, rows)
}
