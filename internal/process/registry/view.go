package registry

import (
	"strconv"
	"time"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

// View joins the live gateways of gossip with the servers of a registry, for a
// scheduler whose gateways each schedule all engines.
type View struct {
	*membership.Gossiper
	Registry *Registry
}

// Owner returns this gateway, which schedules every group for itself.
func (v View) Owner(schedule.GroupKey) string { return v.Self().Name }

// Rank returns this gateway.
func (v View) Rank(schedule.GroupKey) []string { return []string{v.Self().Name} }

// Discovers returns none: the models of engines come with their entries.
func (v View) Discovers([]membership.Backend) []membership.Backend { return nil }

// Engines returns the engines of all data centres.
func (v View) Engines(string) []membership.Backend { return v.Registry.engines(time.Now()) }

// Reported returns the group of an engine, which is its service, and the
// incarnation that its entry states.
func (v View) Reported(engine string) (models []string, incarnation string) {
	s, ok := v.Registry.Get(engine)
	if !ok {
		return nil, ""
	}
	return []string{s.Service}, strconv.FormatInt(s.StartedMS, 10)
}

// SetReport takes over what an engine says of itself.
func (v View) SetReport(engine string, draining bool, _ []string, incarnation string) {
	if !draining {
		return
	}
	// A report without a start counts for the entry's incarnation.
	started, _ := strconv.ParseInt(incarnation, 10, 64)
	v.Registry.NoteDraining(engine, started)
}

// SetFailed does nothing: the scheduler itself keeps engines out whose polls fail.
func (v View) SetFailed(string, bool) {}

// SetSummary does nothing: no other gateway asks this one for grants.
func (v View) SetSummary(schedule.Summary) {}

// Summaries returns none.
func (v View) Summaries() []schedule.Summary { return nil }
