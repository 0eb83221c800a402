// Package platform is a stand-in for the platform in tests and experiments. It
// serves table, object store, host list and weight store on one HTTP listener. All
// state is in memory and is lost when the process ends.
package platform

import (
	"errors"
	"fmt"
	"time"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

// Settings configures the stand-in. Rates are limits in calls per
// second; 0 means no limit.
type Settings struct {
	Listen string `yaml:"listen"`
	// HostListLag is the time after which a change appears in the host list.
	HostListLag      time.Duration   `yaml:"host_list_lag"`
	ReadDelay        time.Duration   `yaml:"read_delay"`
	WriteDelay       time.Duration   `yaml:"write_delay"`
	ReadsPerSecond   float64         `yaml:"reads_per_second"`
	WritesPerSecond  float64         `yaml:"writes_per_second"`
	WeightsPerSecond float64         `yaml:"weights_per_second"`
	Hosts            []Host          `yaml:"hosts"`
	Log              logging.Options `yaml:"log"`
}

// Host is a host in the host list.
type Host struct {
	Name       string `yaml:"name" json:"name"`
	Kind       string `yaml:"kind" json:"kind"`
	Address    string `yaml:"address" json:"address"`
	DataCentre string `yaml:"data_centre" json:"data_centre"`
	// State is "live" or "leaving"; empty means live.
	State   string `yaml:"state" json:"state"`
	Service string `yaml:"service" json:"service,omitempty"`
}

const (
	stateLive    = "live"
	stateLeaving = "leaving"
	kindEngine   = "engine"
	kindApp      = "app"
)

// DefaultSettings returns settings without rate limits, delays or hosts.
func DefaultSettings() *Settings {
	return &Settings{Listen: "127.0.0.1:7400", Log: logging.DefaultOptions()}
}

const (
	maxDelay = time.Minute
	maxLag   = time.Hour
	maxRate  = 1e6
)

// Validate returns an error with the key, the value and the allowed values of each
// invalid setting.
func (s *Settings) Validate() error {
	errs := []error{
		checkDuration("host_list_lag", s.HostListLag, maxLag),
		checkDuration("read_delay", s.ReadDelay, maxDelay),
		checkDuration("write_delay", s.WriteDelay, maxDelay),
		settings.CheckRange("reads_per_second", s.ReadsPerSecond, 0, maxRate),
		settings.CheckRange("writes_per_second", s.WritesPerSecond, 0, maxRate),
		settings.CheckRange("weights_per_second", s.WeightsPerSecond, 0, maxRate),
		checkHosts(s.Hosts),
		s.Log.Validate(),
	}
	if s.Listen == "" {
		errs = append(errs, errors.New(`listen: "" is not allowed; give an IP address and port`))
	}
	return errors.Join(errs...)
}

func checkDuration(key string, v, limit time.Duration) error {
	if v < 0 || v > limit {
		return fmt.Errorf("%s: %v is out of range; allowed are 0s to %v", key, v, limit)
	}
	return nil
}

// checkHosts validates a complete host list. It sets the state of hosts without
// one to live.
func checkHosts(hosts []Host) error {
	var errs []error
	names := map[string]bool{}
	for i := range hosts {
		h := &hosts[i]
		if h.State == "" {
			h.State = stateLive
		}
		key := fmt.Sprintf("hosts[%d]", i)
		if h.Name == "" || names[h.Name] {
			errs = append(errs, fmt.Errorf("%s.name: %q is not allowed; use a name that no other host has", key, h.Name))
		}
		names[h.Name] = true
		if h.Kind != kindEngine && h.Kind != kindApp {
			errs = append(errs, fmt.Errorf("%s.kind: %q is not allowed; use engine or app", key, h.Kind))
		}
		if h.Address == "" {
			errs = append(errs, fmt.Errorf(`%s.address: "" is not allowed; give an IP address and port`, key))
		}
		errs = append(errs, checkState(key+".state", h.State))
	}
	return errors.Join(errs...)
}

func checkState(key, state string) error {
	if state != stateLive && state != stateLeaving {
		return fmt.Errorf("%s: %q is not allowed; use live or leaving", key, state)
	}
	return nil
}
