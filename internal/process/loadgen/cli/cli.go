// Package cli is the command line of the load tool.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/settings"
)

// usageError marks an error that is the user's.
type usageError struct{ error }

func usage(err error) error { return usageError{err} }

// errFailed means that the tool worked and the measured system did not pass;
// the output has said why.
var errFailed = errors.New("violations were found")

// Values of -output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Main runs the load tool and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	err := root.ParseAndRun(ctx, args)
	var wrong usageError
	var none ffcli.NoExecError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return settings.ExitOK
	case errors.As(err, &none):
		fmt.Fprintln(stderr, ffcli.DefaultUsageFunc(root))
		return settings.ExitUsage
	}
	fmt.Fprintf(stderr, "loadgen: %v\n", err)
	if errors.As(err, &wrong) || isParseError(err) {
		return settings.ExitUsage
	}
	return settings.ExitFailure
}

// isParseError tells errors of ff from those of the commands, which are marked.
func isParseError(err error) bool {
	var failed runError
	return !errors.As(err, &failed)
}

// runError marks an error that came after the arguments were accepted.
type runError struct{ error }

func (e runError) Unwrap() error { return e.error }

// marked runs a command and marks its errors.
func marked(exec func(context.Context, []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		err := exec(ctx, args)
		if err == nil || errors.Is(err, flag.ErrHelp) {
			return err
		}
		return runError{err}
	}
}

func rootCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlagSet("loadgen", stderr)
	version := fs.Bool("version", false, "print the build and exit")
	return &ffcli.Command{
		ShortUsage: "loadgen [-version] <run|experiment|capacity|faults|partition|audit> [flags]",
		ShortHelp:  "Sends load to gateways and checks every answer.",
		LongHelp:   "Exit codes: 0 success, 1 failure or violations found, 2 bad usage or workload.",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			runCommand(stdout, stderr), experimentCommand(stdout, stderr), capacityCommand(stdout, stderr),
			faultsCommand(stdout, stderr), partitionCommand(stderr), auditCommand(stdout, stderr),
		},
		Exec: func(context.Context, []string) error {
			if !*version {
				return ffcli.NoExecError{Command: &ffcli.Command{Name: "loadgen"}}
			}
			_, err := fmt.Fprintln(stdout, settings.Build("loadgen"))
			return err
		},
	}
}

func newFlagSet(name string, stderr io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	return fs
}

// options let environment variables set flags, as in the other binaries.
func options() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)} }

func checkOutput(v string) error {
	if v != outputTable && v != outputJSON {
		return usage(fmt.Errorf("output: %q is not allowed; use %s or %s", v, outputTable, outputJSON))
	}
	return nil
}
