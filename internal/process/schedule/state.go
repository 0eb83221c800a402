package schedule

import "time"

// ReplicaState describes a listed replica to operators.
type ReplicaState struct {
	// Running counts sequences, those of other owners included.
	Running int
	// BatchBound is the largest batch allowed now; 0 means no bound.
	BatchBound int
	Resting    bool
}

// State returns the state of each listed replica by name.
func (g *Group) State(now time.Time) map[string]ReplicaState {
	out := make(map[string]ReplicaState, len(g.replicas))
	for name, r := range g.replicas {
		if !r.listed {
			continue
		}
		s := ReplicaState{Running: r.occupied(), Resting: r.resting}
		if g.o.Policy != PolicyBaseline {
			s.BatchBound = g.slots(r, now)
		}
		out[name] = s
	}
	return out
}
