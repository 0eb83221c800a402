package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/gateway"
	"persimmonwing/internal/process/loadgen/experiment"
	"persimmonwing/internal/process/logging"
)

func experimentCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlagSet("loadgen experiment", stderr)
	var report reportFlags
	report.add(fs)
	seed := fs.Uint64("seed", 1, "seed of arrivals, lengths and balancing")
	scale := fs.String("scale", experiment.ScaleToday, "`size` of the fleet: small or today")
	policies := fs.String("policies", gateway.PolicyBaseline+","+gateway.PolicyOwner, "`policies` to compare, separated by commas; ratios refer to the first one")
	disable := fs.String("disable", "", "gateway `mechanisms` to disable, separated by commas")
	logLevel := fs.String("log", "", "write the gateways' log lines of this `level` and above to stderr")
	return &ffcli.Command{
		Name:       "experiment",
		ShortUsage: "loadgen experiment [flags] NAME",
		ShortHelp:  "Runs an experiment on a fleet in this process, once for each policy.",
		LongHelp:   "Experiments:\n" + experimentList(),
		FlagSet:    fs,
		Options:    options(),
		Exec: markRunErrors(func(ctx context.Context, args []string) error {
			name, err := experimentName(fs, args)
			if err != nil {
				return err
			}
			if err := checkOutput(report.output); err != nil {
				return err
			}
			s := experiment.Settings{Seed: *seed, Scale: *scale, Policies: splitList(*policies), Disable: splitList(*disable)}
			if s.Logger, err = gatewayLog(stderr, *logLevel); err != nil {
				return err
			}
			return runExperiment(ctx, name, s, report, stdout, stderr)
		}),
	}
}

// experimentName returns the experiment's name and parses the flags after it. Flags
// before the name are already parsed.
func experimentName(fs *flag.FlagSet, args []string) (string, error) {
	if len(args) == 0 {
		return "", newUsageError(fmt.Errorf("no experiment is named; use one of:\n%s", experimentList()))
	}
	if err := fs.Parse(args[1:]); err != nil {
		return "", newUsageError(err)
	}
	if fs.NArg() > 0 {
		return "", newUsageError(fmt.Errorf("unexpected argument %q after the experiment's name and flags; use one name", fs.Arg(0)))
	}
	return args[0], nil
}

func experimentList() string {
	var b strings.Builder
	for _, d := range experiment.Definitions() {
		fmt.Fprintf(&b, "  %-18s %s\n", d.Name, d.Summary)
	}
	return b.String()
}

func splitList(v string) []string {
	return strings.FieldsFunc(v, func(r rune) bool { return r == ',' })
}

// gatewayLog returns a logger that writes the gateways' log lines of this level and
// above to w, or nil if the level is empty.
func gatewayLog(w io.Writer, level string) (log.Logger, error) {
	if level == "" {
		return nil, nil
	}
	o := logging.DefaultOptions()
	o.Level = level
	if err := o.Validate(); err != nil {
		return nil, newUsageError(err)
	}
	return logging.New(w, o, "fleet"), nil
}

func checkSettings(s experiment.Settings) error {
	allowed := []string{gateway.PolicyBaseline, gateway.PolicyOwner, gateway.PolicyShares}
	if len(s.Policies) == 0 {
		return fmt.Errorf("policies: has 0 elements; allowed are 1 or more of %q", allowed)
	}
	for _, p := range s.Policies {
		if !slices.Contains(allowed, p) {
			return fmt.Errorf("policies: %q is not allowed; use one or more of %q", p, allowed)
		}
	}
	if s.Scale != experiment.ScaleSmall && s.Scale != experiment.ScaleToday {
		return fmt.Errorf("scale: %q is not allowed; use %s or %s", s.Scale, experiment.ScaleSmall, experiment.ScaleToday)
	}
	return nil
}

func runExperiment(ctx context.Context, name string, s experiment.Settings, report reportFlags, stdout, stderr io.Writer) error {
	d, err := experiment.Find(name)
	if err != nil {
		return newUsageError(err)
	}
	if err := checkSettings(s); err != nil {
		return newUsageError(err)
	}
	bar := newProgress(stderr)
	s.Progress = bar.show
	c, err := d.Run(ctx, s)
	bar.finish()
	if err != nil {
		return err
	}
	if err := report.write(stdout, c); err != nil {
		return err
	}
	for _, p := range c.Policies {
		if len(p.Violations) > 0 {
			return errViolations
		}
	}
	return nil
}
