package registry

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Evacuation is a data centre whose backend servers get no new work until operators take that back.
type Evacuation struct {
	DataCentre string
	// Revision is the revision of the source that began it.
	Revision int64
	// Since is the time at which this gateway learned of it.
	Since time.Time
}

// EvacuationChange describes the begin or the end of an evacuation.
type EvacuationChange struct {
	Evacuation
	Began bool
	// Servers are the servers of the data centre, sorted by name.
	Servers []Server
}

// SetEvacuated replaces the set of evacuated data centres and returns the changes, sorted by data
// centre. A data centre with another revision than before was taken back and evacuated again.
func (g *Registry) SetEvacuated(now time.Time, evacuations []Evacuation) []EvacuationChange {
	next := make(map[string]Evacuation, len(evacuations))
	var changes []EvacuationChange
	g.mu.Lock()
	for _, e := range evacuations {
		if old, known := g.evacuated[e.DataCentre]; known && old.Revision == e.Revision {
			next[e.DataCentre] = old
			continue
		}
		e.Since = now
		next[e.DataCentre] = e
		changes = append(changes, EvacuationChange{Evacuation: e, Began: true, Servers: g.serversIn(e.DataCentre)})
	}
	for dataCentre, old := range g.evacuated {
		if _, stays := next[dataCentre]; !stays {
			changes = append(changes, EvacuationChange{Evacuation: old, Servers: g.serversIn(dataCentre)})
		}
	}
	g.evacuated = next
	for _, r := range g.servers {
		_, r.evacuated = next[r.DataCentre]
	}
	g.mu.Unlock()
	if len(changes) > 0 {
		g.onChange()
	}
	slices.SortFunc(changes, func(a, b EvacuationChange) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return changes
}

// serversIn returns the servers of a data centre. The caller holds the lock.
func (g *Registry) serversIn(dataCentre string) []Server {
	var out []Server
	for _, r := range g.servers {
		if r.DataCentre == dataCentre && !r.removed {
			out = append(out, r.Server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Evacuations returns the evacuations in force, sorted by data centre.
func (g *Registry) Evacuations() []Evacuation {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := slices.Collect(maps.Values(g.evacuated))
	slices.SortFunc(out, func(a, b Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// Evacuated reports whether the data centre of a server is evacuated.
func (g *Registry) Evacuated(s Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isEvacuated(s)
}

func (g *Registry) isEvacuated(s Server) bool {
	_, evacuated := g.evacuated[s.DataCentre]
	return evacuated
}

// AllEvacuated reports whether a service has servers, and all that have not begun to leave are in
// evacuated data centres.
func (g *Registry) AllEvacuated(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.evacuated) == 0 {
		return false
	}
	found := false
	for _, r := range g.servers {
		switch {
		case r.Service != service || r.isLeaving():
		case !r.evacuated:
			return false
		default:
			found = true
		}
	}
	return found
}
