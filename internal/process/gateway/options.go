package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"time"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
	"persimmonwing/internal/request/relay"
	"persimmonwing/internal/request/responseid"
)

// The values of Options.Policy.
const (
	PolicyOwner    = "owner"
	PolicyShares   = "shares"
	PolicyBaseline = "baseline"
)

// The mechanisms that Options.Disable can switch off.
var mechanisms = []string{"memory", "classes", "fairness", "batch_bound", "affinity", "retries", "early_refusal"}

// Options are the settings of a gateway.
type Options struct {
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`
	// Listen is the address for callers, AdminListen for operators and PeerListen
	// for other gateways.
	Listen      string `yaml:"listen"`
	AdminListen string `yaml:"admin_listen"`
	PeerListen  string `yaml:"peer_listen"`
	// PeerAdvertise is the address that other gateways connect to; empty means PeerListen.
	PeerAdvertise string `yaml:"peer_advertise"`
	// Peers are peer addresses of other gateways, asked first after a start.
	Peers []string `yaml:"peers"`
	// PeerSecret authenticates gateways to each other.
	PeerSecret string `yaml:"peer_secret"`
	// ResponseKeys authenticate response ids; the first one is used for new ids.
	ResponseKeys []responseid.Key `yaml:"response_keys"`
	Platform     PlatformOptions  `yaml:"platform"`
	// Policy is "owner", "shares" or "baseline".
	Policy string `yaml:"policy"`
	// Disable switches mechanisms off alone, for measurements.
	Disable []string        `yaml:"disable"`
	HTTP    HTTPOptions     `yaml:"http"`
	Queue   QueueOptions    `yaml:"queue"`
	Relay   RelayOptions    `yaml:"relay"`
	Log     logging.Options `yaml:"log"`
	// MaxAttempts bounds the attempts of one generation or idempotent call.
	MaxAttempts int `yaml:"max_attempts"`
	// DrainDelay is the time between failing readiness and closing the listener.
	DrainDelay time.Duration `yaml:"drain_delay"`
	// IdleLinger is the time without a new request after which a stopping gateway
	// closes idle connections. Closing one earlier breaks a request that is just
	// being sent on it: the fault run saw 1 to 4 of 158 exchanges broken so.
	IdleLinger time.Duration `yaml:"idle_linger"`
	// ResponseTTL is the time for which a response id is valid.
	ResponseTTL time.Duration `yaml:"response_ttl"`
}

// PlatformOptions name the platform's services.
type PlatformOptions struct {
	TableURL  string        `yaml:"table_url"`
	ObjectURL string        `yaml:"object_url"`
	HostsURL  string        `yaml:"hosts_url"`
	Timeout   time.Duration `yaml:"timeout"`
}

// HTTPOptions bounds what callers may send.
type HTTPOptions struct {
	MaxBodyBytes   int64         `yaml:"max_body_bytes"`
	MaxHeaderBytes int           `yaml:"max_header_bytes"`
	HeaderTimeout  time.Duration `yaml:"header_timeout"`
	BodyTimeout    time.Duration `yaml:"body_timeout"`
	// WriteTimeout bounds the write of one event to a slow reader.
	WriteTimeout time.Duration `yaml:"write_timeout"`
}

// QueueOptions bounds waiting for a replica.
type QueueOptions struct {
	UrgentTimeout     time.Duration `yaml:"urgent_timeout"`
	BackgroundTimeout time.Duration `yaml:"background_timeout"`
	// MaxWaiting bounds the requests of each class that wait in one group.
	MaxWaiting int `yaml:"max_waiting"`
}

// RelayOptions bounds waiting for engines; see relay.Options.
type RelayOptions struct {
	StallTimeout time.Duration `yaml:"stall_timeout"`
	LostAfter    time.Duration `yaml:"lost_after"`
	FirstContact time.Duration `yaml:"first_contact"`
	ReaderGrace  time.Duration `yaml:"reader_grace"`
}

// DefaultOptions returns the defaults of all settings that have one.
func DefaultOptions() *Options {
	r := relay.DefaultOptions()
	return &Options{
		Policy:      PolicyOwner,
		Platform:    PlatformOptions{Timeout: 2 * time.Second},
		HTTP:        HTTPOptions{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, BodyTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second},
		Queue:       QueueOptions{UrgentTimeout: 5 * time.Second, BackgroundTimeout: 60 * time.Second, MaxWaiting: 8000},
		Relay:       RelayOptions(r),
		Log:         logging.DefaultOptions(),
		MaxAttempts: 3,
		DrainDelay:  time.Second,
		IdleLinger:  2 * time.Second,
		ResponseTTL: 15 * time.Minute,
	}
}

// peerAddress is the address under which other gateways know this one.
func (o *Options) peerAddress() string {
	if o.PeerAdvertise != "" {
		return o.PeerAdvertise
	}
	return o.PeerListen
}

func (o *Options) disabled(mechanism string) bool { return slices.Contains(o.Disable, mechanism) }

// Validate names every bad value by key, value and what is allowed.
func (o *Options) Validate() error {
	return errors.Join(o.validateIdentity(), o.validateChoices(), o.validateRanges(), o.Log.Validate())
}

func (o *Options) validateIdentity() error {
	var errs []error
	for _, v := range []struct{ key, value string }{{"name", o.Name}, {"data_centre", o.DataCentre}} {
		if v.value == "" {
			errs = append(errs, fmt.Errorf("%s: a value is needed", v.key))
		}
	}
	for _, v := range []struct{ key, value string }{{"platform.table_url", o.Platform.TableURL}, {"platform.object_url", o.Platform.ObjectURL}, {"platform.hosts_url", o.Platform.HostsURL}} {
		errs = append(errs, checkURL(v.key, v.value))
	}
	for _, v := range []struct{ key, value string }{{"listen", o.Listen}, {"admin_listen", o.AdminListen}, {"peer_listen", o.PeerListen}} {
		errs = append(errs, checkAddress(v.key, v.value))
	}
	if o.PeerAdvertise != "" {
		errs = append(errs, checkAddress("peer_advertise", o.PeerAdvertise))
	}
	for i, p := range o.Peers {
		errs = append(errs, checkAddress(fmt.Sprintf("peers[%d]", i), p))
	}
	if len(o.PeerSecret) < responseid.MinSecretBytes {
		errs = append(errs, fmt.Errorf("peer_secret: has %d bytes; at least %d are needed", len(o.PeerSecret), responseid.MinSecretBytes))
	}
	_, err := responseid.NewCodec(o.ResponseKeys)
	return errors.Join(append(errs, err)...)
}

// checkURL accepts the base URL of a service.
func checkURL(key, value string) error {
	if value == "" {
		return fmt.Errorf("%s: a value is needed", key)
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%s: %q is not allowed; use a base URL, such as http://127.0.0.1:2379", key, value)
	}
	return nil
}

// checkAddress accepts an IP number with a port.
func checkAddress(key, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q is not allowed; use an IP number and a port, such as 127.0.0.1:7001", key, value)
	}
	return nil
}

func (o *Options) validateChoices() error {
	var errs []error
	if policies := []string{PolicyOwner, PolicyShares, PolicyBaseline}; !slices.Contains(policies, o.Policy) {
		errs = append(errs, fmt.Errorf("policy: %q is not allowed; use one of %v", o.Policy, policies))
	}
	for i, d := range o.Disable {
		if !slices.Contains(mechanisms, d) {
			errs = append(errs, fmt.Errorf("disable[%d]: %q is not allowed; use one of %v", i, d, mechanisms))
		}
	}
	return errors.Join(errs...)
}

func (o *Options) validateRanges() error {
	duration := func(key string, d, min, max time.Duration) error {
		if d < min || d > max {
			return fmt.Errorf("%s: %v is out of range; allowed are %v to %v", key, d, min, max)
		}
		return nil
	}
	return errors.Join(
		settings.CheckRange("max_attempts", o.MaxAttempts, 1, 10),
		settings.CheckRange("http.max_body_bytes", o.HTTP.MaxBodyBytes, 1<<10, 64<<20),
		settings.CheckRange("http.max_header_bytes", o.HTTP.MaxHeaderBytes, 1<<10, 1<<20),
		duration("http.header_timeout", o.HTTP.HeaderTimeout, 100*time.Millisecond, time.Minute),
		duration("http.body_timeout", o.HTTP.BodyTimeout, 100*time.Millisecond, 10*time.Minute),
		duration("http.write_timeout", o.HTTP.WriteTimeout, 100*time.Millisecond, 10*time.Minute),
		duration("queue.urgent_timeout", o.Queue.UrgentTimeout, 10*time.Millisecond, time.Hour),
		duration("queue.background_timeout", o.Queue.BackgroundTimeout, 10*time.Millisecond, 24*time.Hour),
		settings.CheckRange("queue.max_waiting", o.Queue.MaxWaiting, 1, 100_000),
		duration("relay.stall_timeout", o.Relay.StallTimeout, 100*time.Millisecond, 5*time.Minute),
		duration("relay.lost_after", o.Relay.LostAfter, 100*time.Millisecond, 10*time.Minute),
		duration("relay.first_contact", o.Relay.FirstContact, 100*time.Millisecond, 5*time.Minute),
		duration("relay.reader_grace", o.Relay.ReaderGrace, 0, 10*time.Minute),
		duration("drain_delay", o.DrainDelay, 0, 5*time.Minute),
		duration("idle_linger", o.IdleLinger, 0, time.Minute),
		duration("response_ttl", o.ResponseTTL, time.Second, 24*time.Hour),
		duration("platform.timeout", o.Platform.Timeout, 10*time.Millisecond, time.Minute),
	)
}
