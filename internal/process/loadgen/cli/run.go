package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmonwing/internal/process/loadgen"
	"persimmonwing/internal/process/settings"
)

// report is a result of the run or experiment command.
type report interface {
	WriteTable(w io.Writer) error
	WritePlots(dir string) error
}

// reportFlags are the flags that control how a report is written.
type reportFlags struct{ output, plots string }

func (f *reportFlags) add(fs *flag.FlagSet) {
	fs.StringVar(&f.output, "output", outputTable, "`format` of the results: table or json")
	fs.StringVar(&f.plots, "plots", "", "write SVG plots into this `directory`")
}

func (f *reportFlags) write(w io.Writer, r report) error {
	if f.plots != "" {
		if err := r.WritePlots(f.plots); err != nil {
			return err
		}
	}
	if f.output == outputTable {
		return r.WriteTable(w)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

func runCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlagSet("loadgen run", stderr)
	var report reportFlags
	report.add(fs)
	workload := fs.String("workload", "", "YAML `file` with the workload (required)")
	targets := fs.String("targets", "", "base `URLs` of gateways, separated by commas (required)")
	readiness := fs.String("readiness", "", "readiness `URLs` of the targets, separated by commas, in the order of -targets; a target that is not ready is tried last")
	duration := fs.Duration("duration", 30*time.Second, "how long to send requests")
	grace := fs.Duration("grace", 10*time.Second, "how long to wait after -duration for requests in progress to end")
	seed := fs.Uint64("seed", 1, "seed of arrivals, lengths and balancing")
	record := fs.String("record", "", "write one JSON line for each request to this `file`")
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "loadgen run -workload FILE -targets URL,... [flags]",
		ShortHelp:  "Sends a workload to gateways.",
		FlagSet:    fs,
		Options:    options(),
		Exec: markRunErrors(func(ctx context.Context, _ []string) error {
			c := loadgen.Config{Duration: *duration, Grace: *grace, Seed: *seed, ResumeFor: loadgen.DefaultResumeFor}
			if err := completeConfig(&c, *workload, *targets, report.output); err != nil {
				return err
			}
			c.Readiness = strings.FieldsFunc(*readiness, func(r rune) bool { return r == ',' })
			return runWithRecordFile(*record, &c, func() error { return runLoad(ctx, c, report, stdout, stderr) })
		}),
	}
}

// runWithRecordFile calls run with c.Record set to a new file of this name, or unset if
// the name is empty.
func runWithRecordFile(file string, c *loadgen.Config, run func() error) error {
	if file == "" {
		return run()
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	c.Record = w
	return errors.Join(run(), w.Flush(), f.Close())
}

// completeConfig checks the flags, reads the workload and stores both in c.
func completeConfig(c *loadgen.Config, workload, targets, output string) error {
	if err := checkOutput(output); err != nil {
		return err
	}
	if c.Duration <= 0 || c.Grace < 0 {
		return newUsageError(fmt.Errorf("duration, grace: %v and %v are not allowed; use a duration above 0s and a grace of 0s or more", c.Duration, c.Grace))
	}
	var err error
	if c.Targets, err = loadgen.ParseTargets(strings.FieldsFunc(targets, func(r rune) bool { return r == ',' })); err != nil {
		return newUsageError(err)
	}
	c.Workload = &loadgen.Workload{}
	if err := settings.Load(workload, c.Workload); err != nil {
		return newUsageError(err)
	}
	return nil
}

func runLoad(ctx context.Context, c loadgen.Config, report reportFlags, stdout, stderr io.Writer) error {
	bar := newProgress(stderr)
	c.Progress = func(elapsed time.Duration, requests, tokens int) {
		bar.show("load", elapsed, c.Duration+c.Grace, requests, tokens)
	}
	result, err := loadgen.Run(ctx, c)
	bar.finish()
	if err != nil {
		return err
	}
	if err := report.write(stdout, result); err != nil {
		return err
	}
	if len(result.Violations) > 0 {
		return errViolations
	}
	return nil
}
