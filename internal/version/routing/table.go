// Package routing holds the routes of one configuration version. They determine which
// service receives a request, which callers may send it, and within which limits.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind classifies the requests of a route by whether they may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered with a stream of events.
	Streaming Kind = "streaming"
)

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable is set if an interrupted stream may continue on another backend server
	// after the last event received.
	Resumable bool
	// Attempts is the maximum number of backend servers that may run one request.
	Attempts int
	// Timeout limits the time from the arrival of a request to the end of its response.
	Timeout time.Duration
	// Target is the latency target for the response, or for the first event of a
	// stream.
	Target time.Duration
	// GapTarget is the maximum time between two events of a stream that counts as on
	// time.
	GapTarget time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Public is set if requests need no API key.
	Public bool
	// Split lists the services of the route with their weights.
	Split []Share
}

// Share is a service of a route and its weight relative to the other services.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may be sent again after an earlier attempt may
// have been executed.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Choose selects a service by weight. The draw is a random number from 0 up to, not
// including, 1. If all weights are 0, Choose returns the first service; without
// services it returns the empty string.
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	remaining := draw * float64(total)
	for _, s := range r.Split {
		remaining -= float64(max(s.Weight, 0))
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Split) > 0 {
		return r.Split[0].Service
	}
	return ""
}

// Service describes the backend servers that share a service name.
type Service struct {
	Name string
	// HealthPath is the target of health checks, or empty.
	HealthPath string
	// Engine is set if the backend servers are inference engines, and is nil otherwise.
	Engine *EngineSpec
	// ColdFor is how long a server is cold after its start, and ColdRate the number of requests a second
	// that it bears meanwhile. Both are 0 if servers are never cold.
	ColdFor  time.Duration
	ColdRate float64
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	Slots            int
	KVCapacityTokens int
	// Moves is set if a running generation can be moved to another engine.
	Moves bool
	// Stride is the number of tokens per event.
	Stride int
}

// Workspace is a customer that authenticates with API keys.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds the requests that callers may send; 0 means the default of the front
// end.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It must not be changed after NewTable.
type Table struct {
	Version int64
	Limits  Limits
	// KeysNeeded is set if requests on routes that are not public need an API key.
	KeysNeeded bool

	hosts      map[string][]*Route
	routes     []*Route
	named      map[string]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
}

// TableConfig holds the contents of a Table.
type TableConfig struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps each API key to its workspace; nil means that no keys are needed.
	Keys map[string]*Workspace
}

// NewTable returns the table of a configuration version with its lookup indexes.
func NewTable(c TableConfig) *Table {
	t := &Table{
		Version: c.Version, Limits: c.Limits, KeysNeeded: c.Keys != nil, workspaces: c.Keys,
		hosts: map[string][]*Route{}, named: map[string]*Route{}, services: map[string]*Service{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		t.routes = append(t.routes, r)
		t.named[r.Name] = r
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route of host with the longest prefix that matches path, or nil.
// The case of host is ignored.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ResumableServices returns the services whose streams callers may take up.
func (t *Table) ResumableServices() []string {
	var out []string
	for _, r := range t.routes {
		if r.Kind != Streaming || !r.Resumable {
			continue
		}
		for _, s := range r.Split {
			if !slices.Contains(out, s.Service) {
				out = append(out, s.Service)
			}
		}
	}
	return out
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services sorted by name.
func (t *Table) Services() []*Service {
	out := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Workspace returns the workspace to which an API key belongs, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// Keys returns the number of API keys.
func (t *Table) Keys() int { return len(t.workspaces) }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// HighestPriority returns the lowest priority number of the streaming routes to a service,
// or 0 if there is no such route.
func (t *Table) HighestPriority(service string) int {
	lowest, found := 0, false
	for _, r := range t.routes {
		if r.Kind != Streaming || !slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service }) {
			continue
		}
		if !found || r.Priority < lowest {
			lowest, found = r.Priority, true
		}
	}
	return lowest
}
