// Command loadgen sends load to gateways, checks every response, and runs experiments
// on in-process fleets.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"persimmonwing/internal/process/loadgen/cli"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return cli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
