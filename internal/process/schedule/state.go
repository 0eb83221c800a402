package schedule

import "time"

// ReplicaState is the state of a listed replica that is shown to operators. Resting
// is set while the replica is in cool-down: it gets no new work after refusals.
type ReplicaState struct {
	// Running is the number of sequences, including those of other owners.
	Running int
	// BatchBound is the largest batch that is allowed now; 0 means no bound.
	BatchBound int
	Resting    bool
}

// State returns the states of the listed replicas by name.
func (g *Group) State(now time.Time) map[string]ReplicaState {
	out := make(map[string]ReplicaState, len(g.replicas))
	for name, r := range g.replicas {
		if !r.listed {
			continue
		}
		s := ReplicaState{Running: r.occupied(), Resting: r.coolingDown}
		if g.o.Policy != PolicyBaseline {
			s.BatchBound = g.slots(r, now)
		}
		out[name] = s
	}
	return out
}
