// Package logging creates the loggers of all binaries. Each event is one line in
// logfmt or JSON. Its first key, "part", names the part of the process that logged it.
package logging

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Options are the settings of a logger.
type Options struct {
	// Format is "logfmt" or "json".
	Format string `yaml:"format"`
	// Level is the lowest level that is logged: "debug", "info", "warn" or "error".
	Level string `yaml:"level"`
}

// DefaultOptions selects logfmt and level info.
func DefaultOptions() Options { return Options{Format: "logfmt", Level: "info"} }

// Validate returns an error with the key, the value and what is allowed if an option
// is not valid.
func (o Options) Validate() error {
	if o.Format != "logfmt" && o.Format != "json" {
		return fmt.Errorf("log.format: %q is not allowed; use logfmt or json", o.Format)
	}
	if _, err := level.Parse(o.Level); err != nil {
		return fmt.Errorf("log.level: %q is not allowed; use debug, info, warn or error", o.Level)
	}
	return nil
}

// New returns the root logger of a process, which writes to w. The options must be
// valid.
func New(w io.Writer, o Options, process string) log.Logger {
	var l log.Logger
	if o.Format == "json" {
		l = log.NewJSONLogger(log.NewSyncWriter(w))
	} else {
		l = log.NewLogfmtLogger(log.NewSyncWriter(w))
	}
	l = level.NewFilter(l, level.Allow(level.ParseDefault(o.Level, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC, "process", process)
}

// Part returns a logger whose lines begin with the name of a part of the process.
func Part(l log.Logger, part string) log.Logger { return log.WithPrefix(l, "part", part) }
