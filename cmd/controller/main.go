// Command controller runs the controller: it orders engines to load what the
// catalogue says.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/controller"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	fs := flag.NewFlagSet("controller", flag.ContinueOnError)
	config := fs.String("config", "", "path of the settings file (YAML); needed")
	check := fs.Bool("check", false, "check the settings and exit")
	if code, ok := settings.ParseFlags(fs, args, os.Stdout, os.Stderr); !ok {
		return code
	}
	opts := controller.DefaultOptions()
	if err := settings.Load(*config, opts); err != nil {
		fmt.Fprintf(os.Stderr, "controller: %v\n", err)
		return settings.ExitUsage
	}
	if *check {
		return settings.ExitOK
	}
	// A second signal changes nothing: orders in flight are finished.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := logging.New(os.Stderr, opts.Log, opts.Name)
	if err := controller.Main(ctx, opts, logger); err != nil {
		_ = level.Error(logger).Log("part", "controller", "msg", "stopped with an error", "err", err)
		return settings.ExitFailure
	}
	return settings.ExitOK
}
