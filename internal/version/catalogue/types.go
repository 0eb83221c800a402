// Package catalogue defines the catalogue: the operators' description of
// workspaces, models and entries. Editing it is the only way to drive the system.
package catalogue

import "time"

// Class ranks work.
type Class string

// The classes, most urgent first.
const (
	Urgent     Class = "urgent"
	Background Class = "background"
)

// Kind tells generations from calls of plain services.
type Kind string

// The kinds of entries.
const (
	Generation Kind = "generation"
	Service    Kind = "service"
)

// Catalogue is the whole catalogue in its YAML shape.
type Catalogue struct {
	// BackgroundFloor is the fraction of batch slots that background work keeps
	// while urgent work floods in, from 0 to 0.5.
	BackgroundFloor float64 `yaml:"background_floor"`
	// UrgentReserve is the fraction of slots and memory that background work
	// may not use, from 0 to 0.5.
	UrgentReserve float64 `yaml:"urgent_reserve"`
	// Draining names backend servers that shall receive no new work.
	Draining   []string    `yaml:"draining,omitempty"`
	Models     []Model     `yaml:"models"`
	Workspaces []Workspace `yaml:"workspaces"`
	Entries    []Entry     `yaml:"entries"`
}

// Model is a model that engines can load.
type Model struct {
	Name string `yaml:"name"`
	// Replicas is the number of engines in each data centre that shall have the
	// model loaded; 0 leaves the engines as they are.
	Replicas int      `yaml:"replicas,omitempty"`
	Adapters []string `yaml:"adapters,omitempty"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string `yaml:"name"`
	// KeyDigests are "sha256:<hex>" digests of the keys that authenticate it.
	KeyDigests []string `yaml:"key_digests"`
	// Weight is its share relative to the others; default 1.
	Weight float64 `yaml:"weight,omitempty"`
	Limits Limits  `yaml:"limits,omitempty"`
}

// Limits bounds the use by a workspace or of an entry; 0 means unlimited.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `yaml:"tokens_per_second,omitempty"`
	Concurrent        int     `yaml:"concurrent,omitempty"`
}

// Entry is a piece of work that callers ask for by name.
type Entry struct {
	Name  string `yaml:"name"`
	Owner string `yaml:"owner"`
	Kind  Kind   `yaml:"kind"`
	Class Class  `yaml:"class"`
	// Workspaces lists who may call it; empty means every workspace.
	Workspaces []string `yaml:"workspaces,omitempty"`
	Limits     Limits   `yaml:"limits,omitempty"`
	// Timeout bounds the whole request.
	Timeout time.Duration `yaml:"timeout"`

	// The rest of the first part applies to generations.

	Model           string `yaml:"model,omitempty"`
	Adapter         string `yaml:"adapter,omitempty"`
	MaxOutputTokens int    `yaml:"max_output_tokens,omitempty"`
	// ExpectedOutputTokens is the prior of the length estimate.
	ExpectedOutputTokens int     `yaml:"expected_output_tokens,omitempty"`
	Targets              Targets `yaml:"targets,omitempty"`

	// Service names the application servers, by the label in the host list.
	Service string `yaml:"service,omitempty"`
	// Methods lists the HTTP methods a service entry allows.
	Methods []string `yaml:"methods,omitempty"`
	// Path is the path at the application server to which the rest is appended.
	Path string `yaml:"path,omitempty"`
	// Idempotent tells whether a service call may be repeated.
	Idempotent bool `yaml:"idempotent,omitempty"`
}

// Targets are the latencies that 95 in 100 requests of an entry shall meet.
type Targets struct {
	FirstToken time.Duration `yaml:"first_token,omitempty"`
	TokenGap   time.Duration `yaml:"token_gap,omitempty"`
}
