package cli

import (
	"context"
	"errors"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/loadgen/faults"
)

// errAuditFailed means that the audit of a fault run found a violated property or one
// without any check.
var errAuditFailed = errors.New("a property was violated or not exercised; the report lists which")

func faultsCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlagSet("loadgen faults", stderr)
	seed := fs.Uint64("seed", 1, "seed of the schedule")
	gateways := fs.Int("gateways", 7, "number of gateways")
	engines := fs.Int("engines", 14, "number of engines")
	dataCentres := fs.Int("data-centres", 4, "number of data centres; gateways and controllers are assigned to them in turn")
	controllers := fs.Int("controllers", 8, "number of controllers")
	return &ffcli.Command{
		Name:       "faults",
		ShortUsage: "loadgen faults [-seed N] [-gateways N] [-engines N] [-data-centres N] [-controllers N]",
		ShortHelp:  "Prints a schedule of faults: milliseconds, action, target, value.",
		FlagSet:    fs,
		Options:    options(),
		Exec: markRunErrors(func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return newUsageError(errors.New(`faults takes no arguments; "loadgen faults -h" lists its flags`))
			}
			steps, err := faults.Schedule(*seed, faults.Fleet{
				Gateways: *gateways, Engines: *engines, DataCentres: *dataCentres, Controllers: *controllers,
			})
			if err != nil {
				return newUsageError(err)
			}
			return faults.WriteSteps(stdout, steps)
		}),
	}
}

func auditCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlagSet("loadgen audit", stderr)
	dir := fs.String("dir", "", "`directory` with the evidence of a fault run (required)")
	return &ffcli.Command{
		Name:       "audit",
		ShortUsage: "loadgen audit -dir DIRECTORY",
		ShortHelp:  "Checks the evidence of a fault run for violated properties.",
		FlagSet:    fs,
		Options:    options(),
		Exec: markRunErrors(func(context.Context, []string) error {
			if *dir == "" {
				return newUsageError(errors.New("audit: -dir is required; use the directory with the evidence of a fault run"))
			}
			evidence, err := faults.Load(*dir)
			if err != nil {
				return err
			}
			passed, err := evidence.Report(stdout)
			if err == nil && !passed {
				return errAuditFailed
			}
			return err
		}),
	}
}
