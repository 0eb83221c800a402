// Package routing holds the routes of one configuration version: which service
// a request goes to, who may send it, and within which limits.
package routing

import (
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered with a series of events.
	Streaming Kind = "streaming"
)

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another backend server behind an event.
	Resumable bool
	// Attempts is the largest number of backend servers that may run one request.
	Attempts int
	// Timeout bounds a request from its arrival to the end of its answer.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream.
	Target time.Duration
	// GapTarget is the longest pause between events of a stream that is on time.
	GapTarget time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Split names the services and their weights.
	Split []Share
}

// Share is a service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Choose returns the service for a draw from 0 up to, not including, 1.
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	at := draw * float64(total)
	for _, s := range r.Split {
		at -= float64(max(s.Weight, 0))
		if at < 0 {
			return s.Service
		}
	}
	if len(r.Split) > 0 {
		return r.Split[0].Service
	}
	return ""
}

// Service describes the backend servers of one name.
type Service struct {
	Name string
	// Engine is set where the servers are inference engines.
	Engine *EngineSpec
}

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	Slots            int
	KVCapacityTokens int
	// Moves is set where a running generation can be moved to another engine.
	Moves bool
	// Stride is the number of tokens of one event.
	Stride int
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	// Priority replaces that of the routes if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send; 0 means the default of the front end.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It is not changed after NewTable.
type Table struct {
	Version int64
	Limits  Limits
	// KeysNeeded is set where requests on routes that are not public need a key.
	KeysNeeded bool

	hosts      map[string][]*Route
	routes     []*Route
	services   map[string]*Service
	workspaces map[string]*Workspace
}

// Parts are the contents of a Table.
type Parts struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Keys maps each key to its workspace; nil means that no keys are needed.
	Keys map[string]*Workspace
}

// NewTable builds the lookup structures of a version.
func NewTable(p Parts) *Table {
	t := &Table{
		Version: p.Version, Limits: p.Limits, KeysNeeded: p.Keys != nil, workspaces: p.Keys,
		hosts: map[string][]*Route{}, services: map[string]*Service{},
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		t.routes = append(t.routes, r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range p.Services {
		t.services[p.Services[i].Name] = &p.Services[i]
	}
	return t
}

// Match returns the route of a host with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil.
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

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// Keys returns the number of keys.
func (t *Table) Keys() int { return len(t.workspaces) }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// MostUrgent returns the lowest priority number of the streaming routes to a service.
func (t *Table) MostUrgent(service string) int {
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
