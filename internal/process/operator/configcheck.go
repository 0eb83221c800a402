package operator

import (
	"context"
	"flag"
	"os"

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
		Name: "config", ShortUsage: "persimmonctl config check FILE [-against FILE]", ShortHelp: "check a catalogue before it is applied",
		Subcommands: []*ffcli.Command{c.configCheck()},
		Exec:        func(context.Context, []string) error { return usagef("config: use check") },
	}
}

func (c *command) configCheck() *ffcli.Command {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	against := fs.String("against", "", "file of the catalogue in force, to show differences")
	return &ffcli.Command{
		Name: "check", ShortUsage: "persimmonctl config check FILE [-against FILE]",
		ShortHelp: "show errors, entries without effect and differences; exits with 1 for errors and 3 for warnings",
		FlagSet:   fs,
		Exec: func(_ context.Context, args []string) error {
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
			var before *catalogue.Catalogue
			if *against != "" {
				raw, err := os.ReadFile(*against)
				if err != nil {
					return err
				}
				if before, err = catalogue.Parse(*against, raw); err != nil {
					return err
				}
			}
			report := catalogue.Check(args[0], body, before)
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
