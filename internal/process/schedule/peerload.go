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
	// Yielding counts the generations that engines preempt first.
	Yielding int
}

// Loads returns the load of this group's own grants, sorted by replica.
func (g *Group) Loads() []ReplicaLoad {
	var out []ReplicaLoad
	for _, r := range g.replicas {
		if len(r.running) == 0 {
			continue
		}
		out = append(out, r.ownLoad())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Replica < out[j].Replica })
	return out
}

// ownLoad returns the load of this group's own grants.
func (r *replica) ownLoad() ReplicaLoad {
	l := ReplicaLoad{Replica: r.Name, Running: len(r.running), Yielding: r.yielding}
	for _, h := range r.running {
		l.Memory.Add(&h.sequence)
		l.Unread += h.unread()
	}
	return l
}

// add counts another load on the same replica.
func (l *ReplicaLoad) add(o *ReplicaLoad) {
	l.Running += o.Running
	l.Memory.AddLoad(&o.Memory)
	l.Unread += o.Unread
	l.Yielding += o.Yielding
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
		g.setPeer(r, gateway, l, loaded)
		g.update(r, now)
	}
}

// setPeer replaces what a gateway told of its grants on a replica.
func (g *Group) setPeer(r *replica, gateway string, l ReplicaLoad, loaded bool) {
	if old, known := r.peers[gateway]; known {
		r.foreign -= old.Running
		r.all.RemoveLoad(&old.Memory)
		delete(r.peers, gateway)
	}
	if !loaded {
		return
	}
	if r.peers == nil {
		r.peers = map[string]ReplicaLoad{}
	}
	r.foreign += l.Running
	r.all.AddLoad(&l.Memory)
	r.peers[gateway] = l
}

// unread returns the prompt tokens of a grant whose first token has not come.
func (h *grant) unread() int {
	if h.sequence.Generated() > 0 {
		return 0
	}
	return h.request.PromptTokens
}

// runsYielding reports whether the replica runs work of any gateway that engines
// preempt first.
func (r *replica) runsYielding() bool {
	if r.yielding > 0 {
		return true
	}
	for _, l := range r.peers {
		if l.Yielding > 0 {
			return true
		}
	}
	for _, c := range r.reservations {
		if c.Load.Yielding > 0 {
			return true
		}
	}
	return false
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
	for _, c := range r.reservations {
		n += c.Load.Unread
	}
	return n
}
