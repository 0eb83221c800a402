// Package app is a stand-in for an application server in tests and experiments. It
// counts how often it ran each call, so that tests can detect duplicate runs.
package app

import (
	"errors"
	"fmt"
	"time"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

// Settings configures the stand-in.
type Settings struct {
	Name       string `yaml:"name"`
	Service    string `yaml:"service"`
	Listen     string `yaml:"listen"`
	DataCentre string `yaml:"data_centre"`
	// Delay is the run time of a call.
	Delay time.Duration `yaml:"delay"`
	// MaxConcurrent is the maximum number of calls that run at once. Further calls
	// are refused. 0 means no limit.
	MaxConcurrent int `yaml:"max_concurrent"`
	// DrainNotice is the time between the stop signal and the closing of the
	// listener. During this time the load report has Draining set.
	DrainNotice time.Duration   `yaml:"drain_notice"`
	Log         logging.Options `yaml:"log"`
}

// DefaultSettings returns the settings of a server without delay or limit.
func DefaultSettings() *Settings {
	return &Settings{
		Name:        "app-1",
		Service:     "app",
		Listen:      "127.0.0.1:7300",
		DrainNotice: time.Second,
		Log:         logging.DefaultOptions(),
	}
}

const (
	maxDelay      = time.Minute
	maxConcurrent = 100_000
)

// Validate returns an error with the key, the value and the allowed range of each
// invalid setting.
func (s *Settings) Validate() error {
	return errors.Join(
		checkNotEmpty("name", s.Name),
		checkNotEmpty("service", s.Service),
		checkNotEmpty("listen", s.Listen),
		checkDuration("delay", s.Delay),
		checkDuration("drain_notice", s.DrainNotice),
		settings.CheckRange("max_concurrent", s.MaxConcurrent, 0, maxConcurrent),
		s.Log.Validate(),
	)
}

func checkNotEmpty(key, v string) error {
	if v == "" {
		return fmt.Errorf(`%s: "" is not allowed; give a value`, key)
	}
	return nil
}

func checkDuration(key string, v time.Duration) error {
	if v < 0 || v > maxDelay {
		return fmt.Errorf("%s: %v is out of range; allowed are 0s to %v", key, v, maxDelay)
	}
	return nil
}
