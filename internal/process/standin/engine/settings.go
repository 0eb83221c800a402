// Package engine is a stand-in for an inference engine in tests and experiments. It
// simulates continuous batching, KV memory, preemption, a prefix cache and delayed
// load reports, and implements the engine protocol of the design page.
package engine

import (
	"errors"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/process/settings"
)

// Settings configures one simulated engine. All durations are multiplied by
// TimeScale before use.
type Settings struct {
	Name   string `yaml:"name"`
	Listen string `yaml:"listen"`
	// Models are loaded when the engine starts.
	Models           []string `yaml:"models"`
	KVCapacityTokens int      `yaml:"kv_capacity_tokens"`
	KVBlockTokens    int      `yaml:"kv_block_tokens"`
	MaxBatch         int      `yaml:"max_batch"`
	// MaxWaiting is the maximum length of the engine's queue. Further generations
	// are refused as overloaded.
	MaxWaiting int `yaml:"max_waiting"`
	// A decoding step takes StepBase + StepPerSequence * batch size.
	StepBase               time.Duration `yaml:"step_base"`
	StepPerSequence        time.Duration `yaml:"step_per_sequence"`
	PrefillTokensPerSecond float64       `yaml:"prefill_tokens_per_second"`
	// SwapResumeDelay is the time before a preempted sequence may be admitted
	// again.
	SwapResumeDelay time.Duration `yaml:"swap_resume_delay"`
	ReportInterval  time.Duration `yaml:"report_interval"`
	ReportLag       time.Duration `yaml:"report_lag"`
	// CacheBlocks is the size of the prefix cache in blocks of api.PrefixBlockBytes.
	CacheBlocks   int           `yaml:"cache_blocks"`
	CacheEventLag time.Duration `yaml:"cache_event_lag"`
	// CacheEventLoss is the fraction of cache events that are never published.
	CacheEventLoss float64 `yaml:"cache_event_loss"`
	// HonourFencing makes the engine refuse orders whose fencing number is below
	// the highest seen.
	HonourFencing bool `yaml:"honour_fencing"`
	// OrphanTimeout is the time after which a generation without a reader ends.
	OrphanTimeout time.Duration `yaml:"orphan_timeout"`
	// EndedRetention is how long an ended stream can be resumed, EndedLimit how
	// many ended streams are retained.
	EndedRetention time.Duration `yaml:"ended_retention"`
	EndedLimit     int           `yaml:"ended_limit"`
	// WeightsURL is the base URL of the weight store. If empty, no weights are
	// fetched, and loading a model only takes LoadTime.
	WeightsURL string        `yaml:"weights_url"`
	LoadTime   time.Duration `yaml:"load_time"`
	Seed       uint64        `yaml:"seed"`
	TimeScale  float64       `yaml:"time_scale"`
	// CrashMarker is a text in the input that ends the process at the first token
	// of that generation. Empty means none.
	CrashMarker string          `yaml:"crash_marker"`
	Log         logging.Options `yaml:"log"`
}

// DefaultSettings returns the settings of an engine that decodes about 1,270
// tokens/s with 33 sequences at 26 ms a step, the target of the design page.
func DefaultSettings() Settings {
	return Settings{
		Listen:                 "127.0.0.1:0",
		KVCapacityTokens:       65_536,
		KVBlockTokens:          16,
		MaxBatch:               64,
		MaxWaiting:             4_096,
		StepBase:               16 * time.Millisecond,
		StepPerSequence:        300 * time.Microsecond,
		PrefillTokensPerSecond: 20_000,
		SwapResumeDelay:        200 * time.Millisecond,
		ReportInterval:         250 * time.Millisecond,
		ReportLag:              250 * time.Millisecond,
		CacheBlocks:            1_024,
		CacheEventLag:          500 * time.Millisecond,
		HonourFencing:          true,
		OrphanTimeout:          30 * time.Second,
		EndedRetention:         3 * time.Minute,
		EndedLimit:             4_096,
		LoadTime:               2 * time.Second,
		Seed:                   1,
		TimeScale:              1,
		CrashMarker:            "#crash",
		Log:                    logging.DefaultOptions(),
	}
}

const (
	maxTokens   = 1 << 30
	maxCount    = 1 << 20
	maxDuration = time.Hour
)

// Validate implements settings.Validator and reports all invalid values.
func (s *Settings) Validate() error {
	errs := []error{
		settings.CheckRange("kv_block_tokens", s.KVBlockTokens, 1, 4_096),
		settings.CheckRange("kv_capacity_tokens", s.KVCapacityTokens, max(1, s.KVBlockTokens), maxTokens),
		settings.CheckRange("max_batch", s.MaxBatch, 1, maxCount),
		settings.CheckRange("max_waiting", s.MaxWaiting, 0, maxCount),
		settings.CheckRange("prefill_tokens_per_second", s.PrefillTokensPerSecond, 1, 1e9),
		settings.CheckRange("cache_blocks", s.CacheBlocks, 1, maxCount),
		settings.CheckRange("cache_event_loss", s.CacheEventLoss, 0, 1),
		settings.CheckRange("ended_limit", s.EndedLimit, 1, maxCount),
		settings.CheckRange("time_scale", s.TimeScale, 1e-4, 100),
		checkDuration("step_base", s.StepBase, time.Microsecond),
		checkDuration("step_per_sequence", s.StepPerSequence, 0),
		checkDuration("swap_resume_delay", s.SwapResumeDelay, 0),
		checkDuration("report_interval", s.ReportInterval, time.Millisecond),
		checkDuration("report_lag", s.ReportLag, 0),
		checkDuration("cache_event_lag", s.CacheEventLag, 0),
		checkDuration("orphan_timeout", s.OrphanTimeout, time.Millisecond),
		checkDuration("ended_retention", s.EndedRetention, 0),
		checkDuration("load_time", s.LoadTime, 0),
		checkURL("weights_url", s.WeightsURL),
		s.Log.Validate(),
	}
	if s.Name == "" {
		errs = append(errs, eris.New("name: must not be empty"))
	}
	if s.Listen == "" {
		errs = append(errs, eris.New("listen: must not be empty"))
	}
	return errors.Join(errs...)
}

// scaled converts a simulated duration to real time.
func (s *Settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.TimeScale)
}

func checkDuration(key string, d, minimum time.Duration) error {
	if d < minimum || d > maxDuration {
		return eris.Errorf("%s: %v is out of range; allowed are %v to %v", key, d, minimum, maxDuration)
	}
	return nil
}

func checkURL(key, v string) error {
	if v == "" {
		return nil
	}
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return eris.Errorf("%s: %q is not allowed; use http://host:port", key, v)
	}
	return nil
}
