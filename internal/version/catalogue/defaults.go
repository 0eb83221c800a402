package catalogue

import (
	"fmt"
	"time"
)

// Defaults of keys that a body leaves out.
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

	// DefaultExpectedFraction of the maximum is the prior of a length that the
	// body doesn't state.
	DefaultExpectedFraction = 4
)

// applyDefaults fills in absent keys. A key that is written with a zero stays
// zero, so that validation reports it.
func applyDefaults(c *Catalogue, pos positions) {
	for i := range c.Workspaces {
		fill(&c.Workspaces[i].Weight, DefaultWeight, pos, fmt.Sprintf("workspaces[%d].weight", i))
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
	fill(&e.Timeout, DefaultServiceTimeout, pos, path+".timeout")
	fill(&e.Path, "/", pos, path+".path")
}

func generationDefaults(e *Entry, pos positions, path string) {
	timeout, first, gap := DefaultUrgentTimeout, DefaultUrgentFirstToken, DefaultUrgentTokenGap
	if e.Class == Background {
		timeout, first, gap = DefaultBackgroundTimeout, DefaultBackgroundFirstToken, DefaultBackgroundTokenGap
	}
	fill(&e.Timeout, timeout, pos, path+".timeout")
	fill(&e.Targets.FirstToken, first, pos, path+".targets.first_token")
	fill(&e.Targets.TokenGap, gap, pos, path+".targets.token_gap")
	if e.MaxOutputTokens > 0 {
		fill(&e.ExpectedOutputTokens, max(1, e.MaxOutputTokens/DefaultExpectedFraction), pos, path+".expected_output_tokens")
	}
}

func fill[T comparable](field *T, value T, pos positions, path string) {
	var zero T
	if *field == zero && !pos.has(path) {
		*field = value
	}
}
