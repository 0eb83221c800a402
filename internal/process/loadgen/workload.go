// Package loadgen sends an open-loop load to gateways, checks every response for
// lost, duplicated, reordered or foreign parts, and reports latencies by class.
package loadgen

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"persimmonwing/internal/process/settings"
	"persimmonwing/internal/version/catalogue"
)

// Workload describes the load of a run.
type Workload struct {
	// CommonPrefixes is the number of different prefixes that prompts share.
	CommonPrefixes int `yaml:"common_prefixes"`
	// CommonPrefixTokens is the length of each shared prefix.
	CommonPrefixTokens int      `yaml:"common_prefix_tokens"`
	Streams            []Stream `yaml:"streams"`
}

// Stream is one source of requests of one workspace and entry.
type Stream struct {
	Name      string         `yaml:"name"`
	Workspace string         `yaml:"workspace"`
	Key       string         `yaml:"key"`
	Entry     string         `yaml:"entry"`
	Kind      catalogue.Kind `yaml:"kind"`
	// Class is the class under which results are reported. The one that gateways apply
	// is set in the catalogue.
	Class catalogue.Class `yaml:"class"`
	// Group, if set, adds the stream to a group of this name in reports.
	Group string `yaml:"group"`
	// Rate is the mean number of arrivals per second.
	Rate   float64 `yaml:"rate"`
	Phases []Phase `yaml:"phases"`
	// InitialGap, if positive, starts the stream with as many generations as run in
	// the steady state at this token gap, with the remaining lengths that they have
	// then. Otherwise the load takes many seconds to build up.
	InitialGap time.Duration `yaml:"initial_gap"`

	// The next fields apply to generations. Lengths are in tokens.

	Prompt Length `yaml:"prompt"`
	Output Length `yaml:"output"`
	// SharedPrefix is the fraction of prompts that begin with a common prefix.
	SharedPrefix float64 `yaml:"shared_prefix"`
	// PromptText is added to each prompt, for example a crash marker.
	PromptText string  `yaml:"prompt_text"`
	Targets    Targets `yaml:"targets"`

	// The remaining fields apply to services.

	Method string `yaml:"method"`
	// Path is the part of the URL path after the entry's name.
	Path           string `yaml:"path"`
	IdempotencyKey bool   `yaml:"idempotency_key"`
	// Resend is the fraction of requests that are sent a second time with the same id,
	// after the first one has ended.
	Resend float64 `yaml:"resend"`
	// ResendAfter, if positive, is the delay after which the second request is sent
	// without waiting for the first one to end.
	ResendAfter time.Duration `yaml:"resend_after"`
}

// Phase multiplies the rate by Factor from Start until End, both counted from the start
// of the run.
type Phase struct {
	Start  time.Duration `yaml:"start"`
	End    time.Duration `yaml:"end"`
	Factor float64       `yaml:"factor"`
}

// Targets are the highest latencies of a request that is on time; 0 means no target.
type Targets struct {
	FirstToken time.Duration `yaml:"first_token"`
	TokenGap   time.Duration `yaml:"token_gap"`
}

// Bounds of workload values.
const (
	maxRate      = 1e5
	maxFactor    = 1e4
	maxTokens    = 1 << 20
	maxPrefixes  = 1 << 16
	maxSigma     = 5.0
	maxRunLength = 24 * time.Hour
)

// Validate returns an error that names each invalid key with its value and the allowed
// values.
func (w *Workload) Validate() error {
	errs := []error{
		settings.CheckRange("common_prefixes", w.CommonPrefixes, 0, maxPrefixes),
		settings.CheckRange("common_prefix_tokens", w.CommonPrefixTokens, 0, maxTokens),
	}
	if len(w.Streams) == 0 {
		errs = append(errs, errors.New("streams: has 0 elements; allowed are 1 or more"))
	}
	names := map[string]bool{}
	for i := range w.Streams {
		s := &w.Streams[i]
		key := fmt.Sprintf("streams[%d]", i)
		if names[s.Name] {
			errs = append(errs, fmt.Errorf("%s.name: %q is not allowed; use a name that no other stream has", key, s.Name))
		}
		names[s.Name] = true
		errs = append(errs, s.validate(key))
		if s.SharedPrefix > 0 && w.CommonPrefixes == 0 {
			errs = append(errs, fmt.Errorf("%s.shared_prefix: %v is not allowed; use 0 or set common_prefixes", key, s.SharedPrefix))
		}
	}
	return errors.Join(errs...)
}

func (s *Stream) validate(key string) error {
	errs := []error{
		checkWord(key+".name", s.Name),
		checkNotEmpty(key+".workspace", s.Workspace),
		checkNotEmpty(key+".key", s.Key),
		checkNotEmpty(key+".entry", s.Entry),
		checkOneOf(key+".kind", s.Kind, catalogue.Generation, catalogue.Service),
		checkOneOf(key+".class", s.Class, catalogue.Urgent, catalogue.Background),
		settings.CheckRange(key+".rate", s.Rate, 0, maxRate),
		settings.CheckRange(key+".shared_prefix", s.SharedPrefix, 0.0, 1.0),
		settings.CheckRange(key+".resend", s.Resend, 0.0, 1.0),
		checkDuration(key+".initial_gap", s.InitialGap, 0, time.Minute),
		checkDuration(key+".resend_after", s.ResendAfter, 0, time.Minute),
		checkDuration(key+".targets.first_token", s.Targets.FirstToken, 0, time.Hour),
		checkDuration(key+".targets.token_gap", s.Targets.TokenGap, 0, time.Hour),
	}
	for i, p := range s.Phases {
		errs = append(errs, p.validate(fmt.Sprintf("%s.phases[%d]", key, i), s.Phases[:i]))
	}
	if s.Kind == catalogue.Generation {
		errs = append(errs, s.Prompt.validate(key+".prompt"), s.Output.validate(key+".output"))
	}
	if s.Kind == catalogue.Service {
		errs = append(errs, checkOneOf(key+".method", s.Method, "GET", "POST", "PUT", "PATCH", "DELETE"))
	}
	return errors.Join(errs...)
}

func (p Phase) validate(key string, earlier []Phase) error {
	errs := []error{
		checkDuration(key+".start", p.Start, 0, maxRunLength),
		checkDuration(key+".end", p.End, 0, maxRunLength),
		settings.CheckRange(key+".factor", p.Factor, 0, maxFactor),
	}
	if p.End <= p.Start {
		errs = append(errs, fmt.Errorf("%s.end: %v is not allowed; use more than start (%v)", key, p.End, p.Start))
	}
	if n := len(earlier); n > 0 && p.Start < earlier[n-1].End {
		errs = append(errs, fmt.Errorf("%s.start: %v is not allowed; use %v or more, the end of the phase before", key, p.Start, earlier[n-1].End))
	}
	return errors.Join(errs...)
}

func checkNotEmpty(key, v string) error {
	if v == "" {
		return fmt.Errorf(`%s: "" is not allowed; give a value`, key)
	}
	return nil
}

// checkWord rejects names that would break the markers in prompts and token texts.
func checkWord(key, v string) error {
	if v == "" || strings.ContainsAny(v, "| \t\r\n#/") {
		return fmt.Errorf("%s: %q is not allowed; use a non-empty name without whitespace, |, # or /", key, v)
	}
	return nil
}

func checkOneOf[T ~string](key string, v T, allowed ...T) error {
	for _, a := range allowed {
		if v == a {
			return nil
		}
	}
	return fmt.Errorf("%s: %q is not allowed; use one of %q", key, v, allowed)
}

func checkDuration(key string, d, least, most time.Duration) error {
	if d < least || d > most {
		return fmt.Errorf("%s: %v is out of range; allowed are %v to %v", key, d, least, most)
	}
	return nil
}
