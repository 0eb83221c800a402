// Command gateway runs the gateway, which accepts the callers' requests and sends them
// to backend servers.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/gateway"
	"persimmonwing/internal/process/logging"
)

func main() {
	opts := gateway.DefaultOptions()
	command := daemon.Command{
		Name:     "gateway",
		Settings: opts,
		Log:      func() (logging.Options, string) { return opts.Log, opts.Name },
		Run: func(ctx context.Context, logger log.Logger) error {
			return gateway.Main(ctx, opts, logger)
		},
	}
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
