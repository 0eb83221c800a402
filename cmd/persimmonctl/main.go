// Command persimmonctl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"persimmonwing/internal/process/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, operator.SystemEnv(), os.Args[1:])
	stop()
	os.Exit(code)
}
