package catalogue

import (
	"fmt"
	"time"
)

// Default values of keys that are absent from a body.
const (
	DefaultBackgroundFloor = 0.1
	DefaultUrgentReserve   = 0.1
	DefaultWeight          = 1.0

	DefaultUrgentTimeout     = 5 * time.Minute
	DefaultBackgroundTimeout = 30 * time.Minute
	DefaultServiceTimeout    = 10 * time.Second

	// The urgent targets are the service level of the design page.
	DefaultUrgentFirstToken     = 620 * time.Millisecond
	DefaultUrgentTokenGap       = 26 * time.Millisecond
	DefaultBackgroundFirstToken = time.Minute
	DefaultBackgroundTokenGap   = 200 * time.Millisecond

	// DefaultExpectedFraction is the number by which the maximum output length is
	// divided to get the expected length if the body does not state one.
	DefaultExpectedFraction = 4
)

// applyDefaults sets the default values of absent keys. A key that is present with the
// value zero stays zero, so that validation reports it.
func applyDefaults(c *Catalogue, pos positions) {
	for i := range c.Workspaces {
		setDefault(&c.Workspaces[i].Weight, DefaultWeight, pos, fmt.Sprintf("workspaces[%d].weight", i))
	}
	for i := range c.Entries {
		e := &c.Entries[i]
		path := fmt.Sprintf("entries[%d]", i)
		if e.Kind == Service {
			serviceDefaults(e, pos, path)
			continue
		}
		generationDefaults(e, pos, path)
	}
}

func serviceDefaults(e *Entry, pos positions, path string) {
	setDefault(&e.Timeout, DefaultServiceTimeout, pos, path+".timeout")
	setDefault(&e.Path, "/", pos, path+".path")
}

func generationDefaults(e *Entry, pos positions, path string) {
	timeout, first, gap := DefaultUrgentTimeout, DefaultUrgentFirstToken, DefaultUrgentTokenGap
	if e.Class == Background {
		timeout, first, gap = DefaultBackgroundTimeout, DefaultBackgroundFirstToken, DefaultBackgroundTokenGap
	}
	setDefault(&e.Timeout, timeout, pos, path+".timeout")
	setDefault(&e.Targets.FirstToken, first, pos, path+".targets.first_token")
	setDefault(&e.Targets.TokenGap, gap, pos, path+".targets.token_gap")
	if e.MaxOutputTokens > 0 {
		setDefault(&e.ExpectedOutputTokens, max(1, e.MaxOutputTokens/DefaultExpectedFraction), pos, path+".expected_output_tokens")
	}
}

func setDefault[T comparable](field *T, value T, pos positions, path string) {
	var zero T
	if *field == zero && !pos.has(path) {
		*field = value
	}
}
