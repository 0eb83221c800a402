package schedule

import (
	"maps"
	"slices"
	"time"

	"persimmonwing/internal/process/fairqueue"
	"persimmonwing/internal/version/catalogue"
)

// floors keeps a share of the service for workspaces while they have work.
//
// Load pattern: larger workspaces, or ones with more weight, send more than the group can serve, so that what is
// left to a workspace by its weight is less than its operator has promised. What it does not use goes to
// the others. It gathers credit for its floor's part of usageTimeConstant at most.
type floors struct {
	// names are the workspaces with a floor, sorted, so that decisions don't depend on the order of a map.
	names []string
	share map[string]float64
	// served are the granted tokens of these workspaces in both classes, and total those of all workspaces.
	served map[string]*decayingSum
	total  decayingSum
}

// SetWorkspaceFloors sets the fractions of the granted tokens that are kept for workspaces, to those of the
// current catalogue.
func (g *Group) SetWorkspaceFloors(share map[string]float64) {
	f := &g.floors
	if maps.Equal(share, f.share) {
		return
	}
	before := f.served
	f.share, f.names = maps.Clone(share), slices.Sorted(maps.Keys(share))
	f.served = make(map[string]*decayingSum, len(share))
	for _, name := range f.names {
		f.served[name] = before[name]
		if f.served[name] == nil {
			f.served[name] = &decayingSum{}
		}
	}
}

// add records a grant, or takes it back if tokens is negative.
func (f *floors) add(now time.Time, workspace string, tokens float64) {
	if len(f.names) == 0 {
		return
	}
	f.total.add(now, max(tokens, -f.total.get(now)))
	if s := f.served[workspace]; s != nil {
		s.add(now, max(tokens, -s.get(now)))
	}
}

// below reports whether a workspace has got less than its floor.
func (f *floors) below(now time.Time, workspace string) bool {
	s := f.served[workspace]
	return s != nil && s.get(now) < f.share[workspace]*f.total.get(now)
}

// nextBelowFloor returns the next request of a workspace that is below its floor, urgent ones first, or nil.
func (g *Group) nextBelowFloor(now time.Time) *fairqueue.Entry[queuedRequest] {
	for _, name := range g.floors.names {
		if g.o.NoFairness || !g.floors.below(now, name) {
			continue
		}
		for _, class := range [...]catalogue.Class{catalogue.Urgent, catalogue.Background} {
			if e := g.queue.NextOf(name, class); e != nil {
				return e
			}
		}
	}
	return nil
}
