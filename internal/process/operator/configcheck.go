package operator

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/configcheck"
)

// exitCode is the exit code of a command that has printed its result.
type exitCode int

// Error implements error.
func (exitCode) Error() string { return "" }

func (c *command) configCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "persimmonctl config check FILE [-against VERSION]", ShortHelp: "check a catalogue before it is applied",
		Subcommands: []*ffcli.Command{c.configCheck()},
		Exec:        func(context.Context, []string) error { return usagef("config: use check") },
	}
}

func (c *command) configCheck() *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	against := fs.String("against", "", "revision to show differences from: current, a number, or a file")
	return &ffcli.Command{
		Name: "check", ShortUsage: "persimmonctl config check FILE [-against VERSION]",
		ShortHelp: "show errors, entries without effect and differences; exits with 1 for errors and 3 for warnings",
		FlagSet:   fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseInterleaved(fs, args)
			if err != nil {
				return err
			}
			if len(args) != 1 {
				return usagef("config check: one FILE is needed")
			}
			body, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			before, name, err := c.version(ctx, *against)
			if err != nil {
				return err
			}
			report := catalogue.Check(args[0], body, before)
			report.Against = name
			if err := report.Write(c.Stdout, c.output == outputJSON); err != nil {
				return err
			}
			if code := report.ExitCode(); code != configcheck.ExitOK {
				return exitCode(code)
			}
			return nil
		},
	}
}

// currentVersion is the value of -against that selects the revision in force.
const currentVersion = "current"

// version returns the catalogue that a value of -against names, with a name for reports, or nil for no value. A
// file whose name is a number has to be named with its directory, as in ./7.
func (c *command) version(ctx context.Context, against string) (*catalogue.Catalogue, string, error) {
	if against == "" {
		return nil, "", nil
	}
	number, err := strconv.ParseInt(against, 10, 64)
	switch {
	case err == nil && number < 1:
		return nil, "", usagef("-against: %s is not allowed; %s, a revision number from 1, or a file", against, currentVersion)
	case err == nil || against == currentVersion:
		e, err := c.editor()
		if err != nil {
			return nil, "", err
		}
		r, before, err := parsedRevision(ctx, e, number)
		if err == nil && before == nil {
			before = &catalogue.Catalogue{} // all is new
		}
		return before, fmt.Sprintf("revision %d", r.Number), err
	}
	raw, err := os.ReadFile(against)
	if err != nil {
		return nil, "", err
	}
	before, err := catalogue.Parse(against, raw)
	return before, against, err
}
