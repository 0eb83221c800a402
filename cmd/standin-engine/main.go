// Command standin-engine runs the stand-in of an inference engine.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
	"persimmonwing/internal/process/standin/engine"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	fs := flag.NewFlagSet("standin-engine", flag.ContinueOnError)
	config := fs.String("config", "", "path of the YAML `file` with the engine's settings (required)")
	fs.Usage = func() {
		fmt.Fprintln(fs.Output(), "Usage: standin-engine -config FILE\n\n"+
			"Simulates one inference engine over HTTP. SIGTERM refuses new work, finishes\n"+
			"running generations and exits with 0.")
		fs.PrintDefaults()
	}
	if code, ok := settings.ParseFlags(fs, args, os.Stdout, os.Stderr); !ok {
		return code
	}
	s := engine.DefaultSettings()
	if err := settings.Load(*config, &s); err != nil {
		fmt.Fprintln(os.Stderr, "standin-engine:", err)
		return settings.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	logger := logging.New(os.Stderr, s.Log, "standin-engine")
	if err := engine.Run(ctx, s, logger); err != nil {
		fmt.Fprintln(os.Stderr, "standin-engine:", err)
		return settings.ExitFailure
	}
	return settings.ExitOK
}
