package serve

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

// Main is the main function of a stand-in. It parses args, reads the settings
// into v and calls run with a context that ends at SIGTERM or SIGINT. It
// returns the exit code.
func Main(name string, args []string, stdout, stderr io.Writer, v settings.Validator,
	logOptions func() logging.Options, run func(context.Context, log.Logger) error) int {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	config := fs.String("config", "", "path of the settings file (YAML)")
	if code, ok := settings.ParseFlags(fs, args, stdout, stderr); !ok {
		return code
	}
	if err := load(*config, v); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return settings.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l := logging.Part(logging.New(stderr, logOptions(), name), name)
	if err := run(ctx, l); err != nil {
		level.Error(l).Log("msg", "stopped with an error", "err", err)
		return settings.ExitFailure
	}
	return settings.ExitOK
}

// load reads the settings file, or validates the defaults when there is none.
func load(path string, v settings.Validator) error {
	if path == "" {
		return v.Validate()
	}
	return settings.Load(path, v)
}
