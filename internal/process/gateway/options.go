package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"time"

	"persimmonwing/internal/process/admission"
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

// mechanisms are the values allowed in Options.Disable.
var mechanisms = []string{"memory", "classes", "fairness", "batch_bound", "affinity", "retries", "early_refusal"}

// Options are the settings of a gateway.
type Options struct {
	Name       string `yaml:"name"`
	DataCentre string `yaml:"data_centre"`
	// Listen is the listen address for callers, AdminListen that for operators and
	// PeerListen that for other gateways.
	Listen      string `yaml:"listen"`
	AdminListen string `yaml:"admin_listen"`
	PeerListen  string `yaml:"peer_listen"`
	// PeerAdvertise is the address that other gateways connect to; empty means PeerListen.
	PeerAdvertise string `yaml:"peer_advertise"`
	// Peers are the peer addresses of the gateways that are contacted first after a
	// start.
	Peers []string `yaml:"peers"`
	// PeerSecret authenticates gateways to each other.
	PeerSecret string `yaml:"peer_secret"`
	// ResponseKeys authenticate response ids; new ids are encoded with the first one.
	ResponseKeys []responseid.Key `yaml:"response_keys"`
	Platform     PlatformOptions  `yaml:"platform"`
	// Policy is "owner", "shares" or "baseline".
	Policy string `yaml:"policy"`
	// Disable lists mechanisms to switch off individually, for measurements.
	Disable []string     `yaml:"disable"`
	HTTP    HTTPOptions  `yaml:"http"`
	Queue   QueueOptions `yaml:"queue"`
	Relay   RelayOptions `yaml:"relay"`
	// MemoryMB is the memory of the process, which callers may use a part of.
	MemoryMB int               `yaml:"memory_mb"`
	Callers  admission.Options `yaml:"callers"`
	Log      logging.Options   `yaml:"log"`
	// MaxAttempts bounds the attempts of one generation or idempotent call.
	MaxAttempts int `yaml:"max_attempts"`
	// DrainDelay is the time between failing the readiness check and closing the
	// listener.
	DrainDelay time.Duration `yaml:"drain_delay"`
	// IdleLinger is the time without a new request after which a gateway that shuts
	// down closes idle connections. Closing them earlier breaks requests that are
	// being sent on them at that moment, which happened to 1 to 4 of 158 exchanges in
	// the fault run.
	IdleLinger time.Duration `yaml:"idle_linger"`
	// ResponseTTL is the lifetime of a response id.
	ResponseTTL time.Duration `yaml:"response_ttl"`
}

// PlatformOptions locate the services of the platform. Timeout bounds each request to
// them.
type PlatformOptions struct {
	TableURL  string        `yaml:"table_url"`
	ObjectURL string        `yaml:"object_url"`
	HostsURL  string        `yaml:"hosts_url"`
	Timeout   time.Duration `yaml:"timeout"`
}

// HTTPOptions bounds the size and duration of caller requests.
type HTTPOptions struct {
	MaxBodyBytes   int64         `yaml:"max_body_bytes"`
	MaxHeaderBytes int           `yaml:"max_header_bytes"`
	HeaderTimeout  time.Duration `yaml:"header_timeout"`
	BodyTimeout    time.Duration `yaml:"body_timeout"`
	// WriteTimeout bounds the write of one event, or of a whole non-streaming
	// response, to a slow reader.
	WriteTimeout time.Duration `yaml:"write_timeout"`
}

// QueueOptions bounds the time and the number of requests that wait for a replica.
type QueueOptions struct {
	UrgentTimeout     time.Duration `yaml:"urgent_timeout"`
	BackgroundTimeout time.Duration `yaml:"background_timeout"`
	// MaxWaiting is the maximum number of waiting requests per class in one group.
	MaxWaiting int `yaml:"max_waiting"`
}

// RelayOptions bounds the time for which a relay waits for engines and readers; see
// relay.Options.
type RelayOptions struct {
	StallTimeout time.Duration `yaml:"stall_timeout"`
	LostAfter    time.Duration `yaml:"lost_after"`
	FirstContact time.Duration `yaml:"first_contact"`
	ReaderGrace  time.Duration `yaml:"reader_grace"`
}

// DefaultOptions returns options with all defaults set. Settings without a default
// are empty.
func DefaultOptions() *Options {
	r := relay.DefaultOptions()
	return &Options{
		Policy:      PolicyOwner,
		Platform:    PlatformOptions{Timeout: 2 * time.Second},
		HTTP:        HTTPOptions{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, BodyTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second},
		Queue:       QueueOptions{UrgentTimeout: 5 * time.Second, BackgroundTimeout: 60 * time.Second, MaxWaiting: 8000},
		Relay:       RelayOptions(r),
		MemoryMB:    1024,
		Callers:     admission.DefaultOptions(),
		Log:         logging.DefaultOptions(),
		MaxAttempts: 3,
		DrainDelay:  time.Second,
		IdleLinger:  2 * time.Second,
		ResponseTTL: 15 * time.Minute,
	}
}

// peerAddress returns the address at which other gateways connect to this one.
func (o *Options) peerAddress() string {
	if o.PeerAdvertise != "" {
		return o.PeerAdvertise
	}
	return o.PeerListen
}

func (o *Options) disabled(mechanism string) bool { return slices.Contains(o.Disable, mechanism) }

// Validate returns an error that lists every invalid setting with its key, its value
// and the allowed values.
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

// checkAddress accepts an IP address with a port.
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
		settings.CheckRange("memory_mb", o.MemoryMB, 32, 1<<20),
		o.Callers.Validate("callers."),
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
