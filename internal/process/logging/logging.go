// Package logging makes the loggers of all binaries: one line for each event,
// key=value or JSON, with the part that wrote it as the first key.
package logging

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Options selects format and level.
type Options struct {
	// Format is "logfmt" or "json".
	Format string `yaml:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `yaml:"level"`
}

// DefaultOptions returns logfmt at level info.
func DefaultOptions() Options { return Options{Format: "logfmt", Level: "info"} }

// Validate names a bad key, its value and what is allowed.
func (o Options) Validate() error {
	if o.Format != "logfmt" && o.Format != "json" {
		return fmt.Errorf("log.format: %q is not allowed; use logfmt or json", o.Format)
	}
	if _, err := level.Parse(o.Level); err != nil {
		return fmt.Errorf("log.level: %q is not allowed; use debug, info, warn or error", o.Level)
	}
	return nil
}

// New returns the root logger of a process.
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

// Part returns a logger whose lines carry the fixed prefix of a part.
func Part(l log.Logger, part string) log.Logger { return log.WithPrefix(l, "part", part) }
