package schedule

import (
	"math"
	"sort"
	"time"

	"persimmonwing/internal/process/memory"
)

// NoMoreLoads replaces the sequence number when the loads of a silent gateway are removed.
const NoMoreLoads = math.MaxUint64

// ReplicaLoad is the load on a replica from the grants of one gateway.
type ReplicaLoad struct {
	Replica string
	Running int
	Memory  memory.Load
	// Unread is the number of prompt tokens of the generations without a first token,
	// which the engine has yet to prefill.
	Unread int
	// Yielding is the number of generations that engines preempt first.
	Yielding int
}

// Loads returns the loads of this group's own grants, sorted by replica name.
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

// ownLoad returns the load on the replica from this group's own grants.
func (r *replica) ownLoad() ReplicaLoad {
	l := ReplicaLoad{Replica: r.Name, Running: len(r.running), Yielding: r.yielding}
	for _, h := range r.running {
		l.Memory.Add(&h.sequence)
		l.Unread += h.unread()
	}
	return l
}

// add adds another load on the same replica.
func (l *ReplicaLoad) add(o *ReplicaLoad) {
	l.Running += o.Running
	l.Memory.AddLoad(&o.Memory)
	l.Unread += o.Unread
	l.Yielding += o.Yielding
}

// SetPeerLoads replaces the loads of another gateway's grants. Replicas that are
// missing in loads have no load from that gateway; an empty list removes all its
// loads. Loads of replicas that are unknown to this group are ignored. number is the
// sequence number of the loads, or NoMoreLoads.
func (g *Group) SetPeerLoads(now time.Time, gateway string, number uint64, loads []ReplicaLoad) {
	if number == NoMoreLoads {
		delete(g.numbers, gateway)
	} else {
		g.numbers[gateway] = number
	}
	next := make(map[string]ReplicaLoad, len(loads))
	for _, l := range loads {
		next[l.Replica] = l
	}
	for name, r := range g.replicas {
		l, loaded := next[name]
		old, known := r.peers[gateway]
		if !loaded && !known || loaded && known && l == old || r.outdated(now, gateway, number) {
			continue
		}
		g.setPeerLoad(r, gateway, l, loaded)
		g.update(r, now)
	}
}

// setPeerLoad replaces the load of another gateway's grants on a replica, or removes
// it if loaded is false.
func (g *Group) setPeerLoad(r *replica, gateway string, l ReplicaLoad, loaded bool) {
	if old, known := r.peers[gateway]; known {
		r.external -= old.Running
		r.projection.RemoveLoad(&old.Memory)
		delete(r.peers, gateway)
	}
	if !loaded {
		return
	}
	if r.peers == nil {
		r.peers = map[string]ReplicaLoad{}
	}
	r.external += l.Running
	r.projection.AddLoad(&l.Memory)
	r.peers[gateway] = l
}

// unread returns the number of prompt tokens of the grant that have yet to be
// prefilled: all of them until the first token has been generated, then 0.
func (h *grant) unread() int {
	if h.sequence.Generated() > 0 {
		return 0
	}
	return h.request.PromptTokens
}

// runsYielding reports whether the replica runs work that yields, of any gateway.
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

// unread returns the number of prompt tokens that the replica has yet to prefill, as
// far as the gateways know.
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
