// Package daemon implements the common main function of the long-running binaries: it
// handles flags, settings, logger, signals and the exit code.
package daemon

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

// Command describes a binary.
type Command struct {
	// Name is the name of the binary and the "part" of the log lines of Main.
	Name string
	// Settings contains the defaults. Main decodes the settings file into it.
	Settings settings.Validator
	// Log returns the settings of the logger and the name of the process. Main calls
	// it after reading the settings.
	Log func() (logging.Options, string)
	// LogTo returns the writer of the log and a function that Main calls before it
	// returns. If LogTo is nil, the log goes to standard error.
	LogTo func(stdout io.Writer) (w io.Writer, end func())
	// Path is the path of the settings file; Main sets it before it calls Run.
	Path string
	// Run runs the process until ctx ends, which SIGTERM and SIGINT cause.
	Run func(ctx context.Context, logger log.Logger) error
}

// Main runs the command and returns the exit code.
func (c *Command) Main(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	config := fs.String("config", "", "path of the YAML settings file (required)")
	check := fs.Bool("check", false, "check the settings file and exit")
	if code, ok := settings.ParseFlags(fs, args, stdout, stderr); !ok {
		return code
	}
	if err := settings.Load(*config, c.Settings); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", c.Name, err)
		return settings.ExitUsage
	}
	if *check {
		return settings.ExitOK
	}
	// A second signal is ignored, so that it can't abort work in progress.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	options, process := c.Log()
	out := stderr
	if c.LogTo != nil {
		var end func()
		out, end = c.LogTo(stdout)
		defer end()
	}
	c.Path = *config
	logger := logging.New(out, options, process)
	if err := c.Run(ctx, logger); err != nil {
		_ = level.Error(logging.Part(logger, c.Name)).Log("msg", "stopped with an error", "err", err)
		return settings.ExitFailure
	}
	return settings.ExitOK
}
