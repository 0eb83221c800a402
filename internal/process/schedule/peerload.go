package schedule

import (
	"sort"
	"time"

	"persimmonwing/internal/process/memory"
)

// ReplicaLoad is the load that one gateway's grants put on a replica.
type ReplicaLoad struct {
	Replica string
	Running int
	Memory  memory.Load
	// Unread counts the prompt tokens of generations without a first token.
	Unread int
}

// Loads returns the load of this group's own grants, sorted by replica.
func (g *Group) Loads() []ReplicaLoad {
	var out []ReplicaLoad
	for name, r := range g.replicas {
		if len(r.running) == 0 {
			continue
		}
		l := ReplicaLoad{Replica: name, Running: len(r.running)}
		for _, h := range r.running {
			l.Memory.Add(&h.sequence)
			l.Unread += h.unread()
		}
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Replica < out[j].Replica })
	return out
}

// SetPeerLoads replaces what another gateway tells of its grants; none forgets it.
// Replicas that are not known here are left out.
func (g *Group) SetPeerLoads(now time.Time, gateway string, loads []ReplicaLoad) {
	next := make(map[string]ReplicaLoad, len(loads))
	for _, l := range loads {
		next[l.Replica] = l
	}
	for name, r := range g.replicas {
		l, loaded := next[name]
		old, known := r.peers[gateway]
		if !loaded && !known || loaded && known && l == old {
			continue
		}
		if known {
			r.foreign -= old.Running
			r.all.RemoveLoad(&old.Memory)
			delete(r.peers, gateway)
		}
		if loaded {
			if r.peers == nil {
				r.peers = map[string]ReplicaLoad{}
			}
			r.foreign += l.Running
			r.all.AddLoad(&l.Memory)
			r.peers[gateway] = l
		}
		g.update(r, now)
	}
}

// unread returns the prompt tokens of a grant whose first token has not come.
func (h *grant) unread() int {
	if h.sequence.Generated() > 0 {
		return 0
	}
	return h.request.PromptTokens
}

// unread returns the prompt tokens that the replica has yet to read, as far as the
// gateways know.
func (r *replica) unread() int {
	n := 0
	for _, h := range r.running {
		n += h.unread()
	}
	for _, l := range r.peers {
		n += l.Unread
	}
	return n
}
