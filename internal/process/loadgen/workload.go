// Package loadgen sends an open-loop load to gateways, checks every answer for
// lost, repeated, reordered or foreign parts, and reports latencies by class.
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
	// Class is used for reporting; the catalogue decides the real one.
	Class catalogue.Class `yaml:"class"`
	// Group, if set, adds the stream to a group of this name in reports.
	Group string `yaml:"group"`
	// Rate is the mean number of arrivals per second.
	Rate   float64 `yaml:"rate"`
	Phases []Phase `yaml:"phases"`
	// InitialGap, when positive, starts the stream with as many running
	// generations as the rate sustains at this token gap, with lengths as in the
	// steady state. Otherwise the load needs many seconds to build up.
	InitialGap time.Duration `yaml:"initial_gap"`

	// The next part applies to generations. Lengths are in tokens.

	Prompt Length `yaml:"prompt"`
	Output Length `yaml:"output"`
	// SharedPrefix is the fraction of prompts that begin with a common prefix.
	SharedPrefix float64 `yaml:"shared_prefix"`
	// PromptText is put at the end of each prompt, such as a crash marker.
	PromptText string  `yaml:"prompt_text"`
	Targets    Targets `yaml:"targets"`

	// The rest applies to services.

	Method string `yaml:"method"`
	// Path is the rest of the path behind the entry.
	Path           string `yaml:"path"`
	IdempotencyKey bool   `yaml:"idempotency_key"`
	// Resend is the fraction of requests that are sent twice, one after the other,
	// with the same id.
	Resend float64 `yaml:"resend"`
	// ResendAfter, when positive, sends the second one so long after the first
	// without waiting for its end.
	ResendAfter time.Duration `yaml:"resend_after"`
}

// Phase multiplies the rate from Start up to End, measured from the run's start.
type Phase struct {
	Start  time.Duration `yaml:"start"`
	End    time.Duration `yaml:"end"`
	Factor float64       `yaml:"factor"`
}

// Targets are the latencies that make a request on time; 0 means no target.
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

// Validate names each bad key with its value and the allowed values.
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
		word(key+".name", s.Name),
		text(key+".workspace", s.Workspace),
		text(key+".key", s.Key),
		text(key+".entry", s.Entry),
		oneOf(key+".kind", s.Kind, catalogue.Generation, catalogue.Service),
		oneOf(key+".class", s.Class, catalogue.Urgent, catalogue.Background),
		settings.CheckRange(key+".rate", s.Rate, 0, maxRate),
		settings.CheckRange(key+".shared_prefix", s.SharedPrefix, 0.0, 1.0),
		settings.CheckRange(key+".resend", s.Resend, 0.0, 1.0),
		durations(key+".initial_gap", s.InitialGap, 0, time.Minute),
		durations(key+".resend_after", s.ResendAfter, 0, time.Minute),
		durations(key+".targets.first_token", s.Targets.FirstToken, 0, time.Hour),
		durations(key+".targets.token_gap", s.Targets.TokenGap, 0, time.Hour),
	}
	for i, p := range s.Phases {
		errs = append(errs, p.validate(fmt.Sprintf("%s.phases[%d]", key, i), s.Phases[:i]))
	}
	if s.Kind == catalogue.Generation {
		errs = append(errs, s.Prompt.validate(key+".prompt"), s.Output.validate(key+".output"))
	}
	if s.Kind == catalogue.Service {
		errs = append(errs, oneOf(key+".method", s.Method, "GET", "POST", "PUT", "PATCH", "DELETE"))
	}
	return errors.Join(errs...)
}

func (p Phase) validate(key string, earlier []Phase) error {
	errs := []error{
		durations(key+".start", p.Start, 0, maxRunLength),
		durations(key+".end", p.End, 0, maxRunLength),
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

func text(key, v string) error {
	if v == "" {
		return fmt.Errorf(`%s: "" is not allowed; give a value`, key)
	}
	return nil
}

// word refuses what would break the markers in prompts and token texts.
func word(key, v string) error {
	if v == "" || strings.ContainsAny(v, "| \t\r\n#/") {
		return fmt.Errorf("%s: %q is not allowed; use a word without spaces and without | # /", key, v)
	}
	return nil
}

func oneOf[T ~string](key string, v T, allowed ...T) error {
	for _, a := range allowed {
		if v == a {
			return nil
		}
	}
	return fmt.Errorf("%s: %q is not allowed; use one of %q", key, v, allowed)
}

func durations(key string, d, least, most time.Duration) error {
	if d < least || d > most {
		return fmt.Errorf("%s: %v is out of range; allowed are %v to %v", key, d, least, most)
	}
	return nil
}
