// Package cli implements the command line of the load tool.
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

// usageError marks an error in the arguments or in a file that they name. Main returns
// settings.ExitUsage for it.
type usageError struct{ error }

func newUsageError(err error) error { return usageError{err} }

// errViolations means that the run succeeded and found violations in the measured
// system, which the output lists.
var errViolations = errors.New("violations were found; the output lists them")

// Values of -output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Main runs the load tool and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	err := root.ParseAndRun(ctx, args)
	var usageErr usageError
	var noExec ffcli.NoExecError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return settings.ExitOK
	case errors.As(err, &noExec):
		fmt.Fprintln(stderr, ffcli.DefaultUsageFunc(root))
		return settings.ExitUsage
	}
	fmt.Fprintf(stderr, "loadgen: %v\n", err)
	if errors.As(err, &usageErr) || isParseError(err) {
		return settings.ExitUsage
	}
	return settings.ExitFailure
}

// isParseError reports whether err comes from ff, which parses the arguments. Errors of
// the commands are marked with runError.
func isParseError(err error) bool {
	var runErr runError
	return !errors.As(err, &runErr)
}

// runError marks an error of a command, which runs after ff has parsed the arguments.
type runError struct{ error }

func (e runError) Unwrap() error { return e.error }

// markRunErrors returns a function that calls exec and marks its errors with runError.
func markRunErrors(exec func(context.Context, []string) error) func(context.Context, []string) error {
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

// options returns the parse options, by which environment variables set flags as in the
// other binaries.
func options() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(settings.EnvPrefix)} }

func checkOutput(v string) error {
	if v != outputTable && v != outputJSON {
		return newUsageError(fmt.Errorf("output: %q is not allowed; use %s or %s", v, outputTable, outputJSON))
	}
	return nil
}
