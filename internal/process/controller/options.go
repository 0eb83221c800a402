package controller

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

// Options are the settings of a controller.
type Options struct {
	// Name identifies this controller as the holder of a lease; it must be unique
	// among the controllers.
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`
	// AdminListen is the address of the admin server, host:port.
	AdminListen string           `yaml:"admin_listen"`
	Platform    PlatformOptions  `yaml:"platform"`
	Reconcile   ReconcileOptions `yaml:"reconcile"`
	// WeightsPerSecond bounds the number of model loads that start per second. It is
	// the share of the weight store's rate that loads may use.
	WeightsPerSecond float64 `yaml:"weights_per_second"`
	// MaxLoads bounds the number of model loads in flight on all engines together.
	MaxLoads int `yaml:"max_loads"`
	// HonourFencing lists the names of the engines that reject orders with an
	// outdated fencing number.
	HonourFencing []string        `yaml:"honour_fencing"`
	Log           logging.Options `yaml:"log"`
}

// PlatformOptions are the base URLs of the platform's services and the time limit of
// one call to them.
type PlatformOptions struct {
	TableURL  string        `yaml:"table_url"`
	ObjectURL string        `yaml:"object_url"`
	HostsURL  string        `yaml:"hosts_url"`
	Timeout   time.Duration `yaml:"timeout"`
}

// ReconcileOptions are the intervals, time limits and concurrency of reconciliation.
type ReconcileOptions struct {
	Interval    time.Duration `yaml:"interval"`
	CallTimeout time.Duration `yaml:"call_timeout"`
	LostAfter   time.Duration `yaml:"lost_after"`
	Concurrency int           `yaml:"concurrency"`
}

// DefaultOptions returns the defaults of all settings that have one.
func DefaultOptions() *Options {
	return &Options{
		Platform: PlatformOptions{Timeout: 2 * time.Second},
		Reconcile: ReconcileOptions{
			Interval:    2 * time.Second,
			CallTimeout: 500 * time.Millisecond,
			LostAfter:   10 * time.Second,
			Concurrency: 64,
		},
		WeightsPerSecond: 1,
		MaxLoads:         4,
		Log:              logging.DefaultOptions(),
	}
}

// callsInInterval is the number of call timeouts that must fit into a reconciliation
// interval: reading the host list, reading the engines, sending orders, and one in
// reserve.
const callsInInterval = 4

// Validate returns an error that lists the key, value and allowed range of every
// invalid setting.
func (o *Options) Validate() error {
	var errs []error
	for _, v := range []struct{ key, value string }{{"name", o.Name}, {"data_centre", o.DataCentre}} {
		if v.value == "" {
			errs = append(errs, fmt.Errorf("%s: a value is needed", v.key))
		}
	}
	for _, v := range []struct{ key, value string }{
		{"platform.table_url", o.Platform.TableURL},
		{"platform.object_url", o.Platform.ObjectURL},
		{"platform.hosts_url", o.Platform.HostsURL},
	} {
		if u, err := url.Parse(v.value); err != nil || u.Scheme != "http" || u.Host == "" {
			errs = append(errs, fmt.Errorf("%s: %q is not allowed; use http://host:port", v.key, v.value))
		}
	}
	host, _, err := net.SplitHostPort(o.AdminListen)
	if err != nil || net.ParseIP(host) == nil {
		errs = append(errs, fmt.Errorf("admin_listen: %q is not allowed; use an IP number and a port, such as 127.0.0.1:7301", o.AdminListen))
	}
	r := o.Reconcile
	return errors.Join(append(errs,
		checkDuration("platform.timeout", o.Platform.Timeout, 10*time.Millisecond, 3*time.Second),
		checkDuration("reconcile.interval", r.Interval, 40*time.Millisecond, time.Minute),
		checkDuration("reconcile.call_timeout", r.CallTimeout, 10*time.Millisecond, min(3*time.Second, r.Interval/callsInInterval)),
		checkDuration("reconcile.lost_after", r.LostAfter, r.Interval, time.Hour),
		settings.CheckRange("reconcile.concurrency", r.Concurrency, 1, 1024),
		settings.CheckRange("weights_per_second", o.WeightsPerSecond, 0.001, 1e6),
		settings.CheckRange("max_loads", o.MaxLoads, 1, 10_000),
		o.Log.Validate(),
	)...)
}

func checkDuration(key string, v, least, most time.Duration) error {
	if v < least || v > most {
		return fmt.Errorf("%s: %v is out of range; allowed are %v to %v", key, v, least, most)
	}
	return nil
}
