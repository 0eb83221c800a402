package registry

import (
	"strconv"
	"time"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

// View combines the gateways known from gossip with the engines of a Registry. It
// implements owner.View for the shared policy, under which each gateway schedules all
// engines of its cell.
type View struct {
	*membership.Gossiper
	Registry *Registry
	// Cells may be nil, for a fleet of one cell.
	Cells *Cells
}

// Owner returns this gateway, because each gateway schedules every group itself.
func (v View) Owner(schedule.GroupKey) string { return v.Self().Name }

// Rank returns only this gateway.
func (v View) Rank(schedule.GroupKey) []string { return []string{v.Self().Name} }

// BackendsToPoll returns nil, because the models of engines are part of their list
// entries.
func (v View) BackendsToPoll([]membership.Backend) []membership.Backend { return nil }

// Engines returns the engines of this gateway's cell in all data centres.
func (v View) Engines(string) []membership.Backend {
	now := time.Now()
	return v.Registry.engines(now, v.Cells.engines(now))
}

// Divided reports whether there are several cells.
func (v View) Divided() bool { return v.Cells.engines(time.Now()) != nil }

// Peers returns the live gateways that schedule the engines of this gateway's cell.
func (v View) Peers() []membership.Gateway {
	if v.Cells == nil {
		return v.Live()
	}
	return v.Cells.Gateways()
}

// Reported returns the group of an engine, which is its service, and the incarnation
// given by its list entry. It returns zero values for an unknown engine.
func (v View) Reported(engine string) (models []string, incarnation string) {
	s, ok := v.Registry.Get(engine)
	if !ok {
		return nil, ""
	}
	return []string{s.Service}, strconv.FormatInt(s.StartedMS, 10)
}

// SetReport records that an engine has started again, and that it drains, if its report says so.
func (v View) SetReport(engine string, draining bool, _ []string, incarnation string) {
	// A report without a start time applies to the incarnation of the list entry.
	started, _ := strconv.ParseInt(incarnation, 10, 64)
	v.Registry.NoteStarted(engine, started)
	if draining {
		v.Registry.NoteDraining(engine, started)
	}
}

// SetFailed does nothing, because the scheduler itself excludes engines whose polls fail.
func (v View) SetFailed(string, bool) {}

// SetSummary does nothing, because no other gateway requests grants from this one.
func (v View) SetSummary(schedule.Summary) {}

// Summaries returns nil.
func (v View) Summaries() []schedule.Summary { return nil }
