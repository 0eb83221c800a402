// Command gateway runs the gateway: the process that callers talk to.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/gateway"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	fs := flag.NewFlagSet("gateway", flag.ContinueOnError)
	config := fs.String("config", "", "path of the settings file (YAML); needed")
	check := fs.Bool("check", false, "check the settings and exit")
	if code, ok := settings.ParseFlags(fs, args, os.Stdout, os.Stderr); !ok {
		return code
	}
	opts := gateway.DefaultOptions()
	if err := settings.Load(*config, opts); err != nil {
		fmt.Fprintf(os.Stderr, "gateway: %v\n", err)
		return settings.ExitUsage
	}
	if *check {
		return settings.ExitOK
	}
	// A second signal changes nothing: requests in progress are never cut off.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := logging.New(os.Stderr, opts.Log, opts.Name)
	if err := gateway.Main(ctx, opts, logger); err != nil {
		_ = level.Error(logger).Log("part", "gateway", "msg", "stopped with an error", "err", err)
		return settings.ExitFailure
	}
	return settings.ExitOK
}
