// Package catalogue defines the catalogue, in which operators describe workspaces,
// models and entries. Operators control the system only by editing it.
package catalogue

import "time"

// Class is the urgency of the requests of an entry.
type Class string

// The classes, most urgent first.
const (
	Urgent     Class = "urgent"
	Background Class = "background"
)

// Kind distinguishes generations from calls of services.
type Kind string

// The kinds of entries.
const (
	Generation Kind = "generation"
	Service    Kind = "service"
)

// Catalogue is the root of the YAML document.
type Catalogue struct {
	// BackgroundFloor is the fraction of batch slots that background work keeps under
	// heavy urgent load, from 0 to 0.5.
	BackgroundFloor float64 `yaml:"background_floor"`
	// UrgentReserve is the fraction of slots and memory that background work
	// may not use, from 0 to 0.5.
	UrgentReserve float64 `yaml:"urgent_reserve"`
	// Draining lists the backend servers that must not receive new work.
	Draining []string `yaml:"draining,omitempty"`
	// Evacuated lists the data centres whose backend servers must not receive new work.
	Evacuated []string `yaml:"evacuated,omitempty"`
	// Services describes application servers by the service label of the host list. Services need not be
	// listed.
	Services   []ServiceServers `yaml:"services,omitempty"`
	Models     []Model          `yaml:"models"`
	Workspaces []Workspace      `yaml:"workspaces"`
	Entries    []Entry          `yaml:"entries"`
}

// Model is a model that engines can load.
type Model struct {
	Name string `yaml:"name"`
	// Replicas is the number of engines per data centre that should have the model
	// loaded; 0 leaves the engines unchanged.
	Replicas int      `yaml:"replicas,omitempty"`
	Adapters []string `yaml:"adapters,omitempty"`
	// ColdRequestsPerSecond is like that of ServiceServers, for an engine that has the model loaded.
	ColdRequestsPerSecond int `yaml:"cold_requests_per_second,omitempty"`
}

// ServiceServers describes the application servers of a service.
type ServiceServers struct {
	Name string `yaml:"name"`
	// ColdRequestsPerSecond is the number of requests that a server which says that it is cold may get within
	// any second from all gateways together; 0 means no bound.
	ColdRequestsPerSecond int `yaml:"cold_requests_per_second,omitempty"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string `yaml:"name"`
	// KeyDigests are "sha256:<hex>" digests of the keys that authenticate it.
	KeyDigests []string `yaml:"key_digests"`
	// Weight is its share of the capacity relative to the other workspaces; the default
	// is 1.
	Weight float64 `yaml:"weight,omitempty"`
	// Floor is the fraction of each group's service that is kept for it while it has work, from 0 to 0.5.
	Floor  float64 `yaml:"floor,omitempty"`
	Limits Limits  `yaml:"limits,omitempty"`
}

// WorkspaceFloors returns the floors of the workspaces that have one.
func (c *Catalogue) WorkspaceFloors() map[string]float64 {
	var out map[string]float64
	for i := range c.Workspaces {
		if w := &c.Workspaces[i]; w.Floor > 0 {
			if out == nil {
				out = map[string]float64{}
			}
			out[w.Name] = w.Floor
		}
	}
	return out
}

// Limits bounds the requests of a workspace or of an entry; 0 means unlimited.
type Limits struct {
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `yaml:"tokens_per_second,omitempty"`
	Concurrent        int     `yaml:"concurrent,omitempty"`
}

// Entry is a type of request that callers select by name.
type Entry struct {
	Name  string `yaml:"name"`
	Owner string `yaml:"owner"`
	Kind  Kind   `yaml:"kind"`
	Class Class  `yaml:"class"`
	// Workspaces lists the workspaces that may call the entry; empty means all
	// workspaces.
	Workspaces []string `yaml:"workspaces,omitempty"`
	Limits     Limits   `yaml:"limits,omitempty"`
	// Timeout limits the time of the whole request.
	Timeout time.Duration `yaml:"timeout"`

	// The following fields up to Targets apply to generations.

	Model           string `yaml:"model,omitempty"`
	Adapter         string `yaml:"adapter,omitempty"`
	MaxOutputTokens int    `yaml:"max_output_tokens,omitempty"`
	// ExpectedOutputTokens is the prior of the length estimate.
	ExpectedOutputTokens int     `yaml:"expected_output_tokens,omitempty"`
	Targets              Targets `yaml:"targets,omitempty"`

	// Service is the service label of the application servers in the host list. This
	// field and the following ones apply to service entries.
	Service string `yaml:"service,omitempty"`
	// Methods lists the HTTP methods that the entry allows.
	Methods []string `yaml:"methods,omitempty"`
	// Path is the path at the application server to which the rest of the request path
	// is appended.
	Path string `yaml:"path,omitempty"`
	// Idempotent reports whether a service call may be repeated.
	Idempotent bool `yaml:"idempotent,omitempty"`
}

// Targets holds the latencies that 95 in 100 requests of an entry should meet.
type Targets struct {
	FirstToken time.Duration `yaml:"first_token,omitempty"`
	TokenGap   time.Duration `yaml:"token_gap,omitempty"`
}
