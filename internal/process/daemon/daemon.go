// Package daemon is the common main function of the long-running binaries: flags,
// settings, logger, signals and exit code.
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
	// Name is the binary's and the fixed prefix of its own log lines.
	Name string
	// Settings holds the defaults and receives the settings file.
	Settings settings.Validator
	// Log returns the settings of the logger and the name of the process, after
	// the settings have been read.
	Log func() (logging.Options, string)
	// LogTo returns the writer of the log and what ends it; nil means standard error.
	LogTo func(stdout io.Writer) (w io.Writer, end func())
	// Path is set to that of the settings file before Run.
	Path string
	// Run works until ctx ends at SIGTERM or SIGINT.
	Run func(ctx context.Context, logger log.Logger) error
}

// Main runs the command and returns the exit code.
func (c *Command) Main(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	config := fs.String("config", "", "path of the settings file (YAML); needed")
	check := fs.Bool("check", false, "check the settings and exit")
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
	// A second signal changes nothing: work in progress is never cut off.
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
