package registry

import (
	"slices"
	"strings"
	"time"

	"persimmonwing/internal/process/evacuation"
)

// EvacuationChange is the begin or the end of an evacuation with the servers of the data centre, sorted
// by name.
type EvacuationChange struct {
	evacuation.Change
	Servers []Server
}

// SetEvacuated replaces the set of evacuated data centres and returns the changes.
func (g *Registry) SetEvacuated(now time.Time, evacuations []evacuation.Evacuation) []EvacuationChange {
	var changes []EvacuationChange
	g.mu.Lock()
	for _, c := range g.evacuated.Replace(now, evacuations) {
		changes = append(changes, EvacuationChange{c, g.serversIn(c.DataCentre)})
	}
	for _, r := range g.servers {
		r.evacuated = g.evacuated.Contains(r.DataCentre)
	}
	g.mu.Unlock()
	if len(changes) > 0 {
		g.onChange()
	}
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
func (g *Registry) Evacuations() []evacuation.Evacuation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuated.List()
}

// Evacuated reports whether the data centre of a server is evacuated.
func (g *Registry) Evacuated(s Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuated.Contains(s.DataCentre)
}

// AllEvacuated reports whether a service has servers, and all that have not begun to leave are in
// evacuated data centres.
func (g *Registry) AllEvacuated(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evacuated.Empty() {
		return false
	}
	found := false
	for _, r := range g.index.services[service] {
		switch {
		case r.isLeaving():
		case !r.evacuated:
			return false
		default:
			found = true
		}
	}
	return found
}
