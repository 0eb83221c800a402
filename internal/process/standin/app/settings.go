// Package app is the stand-in of an application server. It counts how often it
// ran each call, so that tests can tell a call that ran twice.
package app

import (
	"errors"
	"fmt"
	"time"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

// Settings of the stand-in.
type Settings struct {
	Name       string `yaml:"name"`
	Service    string `yaml:"service"`
	Listen     string `yaml:"listen"`
	DataCentre string `yaml:"data_centre"`
	// Delay is the run time of a call.
	Delay time.Duration `yaml:"delay"`
	// MaxConcurrent calls run at once; more are refused. 0 means no limit.
	MaxConcurrent int `yaml:"max_concurrent"`
	// DrainNotice is the time between the signal to stop and the closing of the
	// listener, in which the load report says that the server drains.
	DrainNotice time.Duration   `yaml:"drain_notice"`
	Log         logging.Options `yaml:"log"`
}

// DefaultSettings returns a server without delay and limit.
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

// Validate names each bad key, its value and what is allowed.
func (s *Settings) Validate() error {
	return errors.Join(
		notEmpty("name", s.Name),
		notEmpty("service", s.Service),
		notEmpty("listen", s.Listen),
		checkDuration("delay", s.Delay),
		checkDuration("drain_notice", s.DrainNotice),
		settings.CheckRange("max_concurrent", s.MaxConcurrent, 0, maxConcurrent),
		s.Log.Validate(),
	)
}

func notEmpty(key, v string) error {
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
