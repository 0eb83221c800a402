// Command controller runs the controller, which orders engines to load the models and
// adapters that the catalogue configures.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/controller"
	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/logging"
)

func main() {
	opts := controller.DefaultOptions()
	command := daemon.Command{
		Name:     "controller",
		Settings: opts,
		Log:      func() (logging.Options, string) { return opts.Log, opts.Name },
		Run: func(ctx context.Context, logger log.Logger) error {
			return controller.Main(ctx, opts, logger)
		},
	}
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
