// Command standin-engine runs the stand-in of an inference engine, which simulates one
// engine over HTTP. On SIGTERM it refuses new work, finishes running generations and
// exits.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/standin/engine"
)

func main() {
	s := engine.DefaultSettings()
	command := daemon.Command{
		Name:     "standin-engine",
		Settings: &s,
		Log:      func() (logging.Options, string) { return s.Log, s.Name },
		Run:      func(ctx context.Context, logger log.Logger) error { return engine.Run(ctx, s, logger) },
	}
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
