package schedule

import (
	"time"

	"persimmonwing/internal/process/memory"
)

const (
	// staleTolerance is the pressure by which a replica may exceed what the claiming
	// gateway saw. It lets one prompt of 3,000 tokens pass that the gateway has not
	// heard of, and no second one.
	staleTolerance = 0.15
	// claimLife is the time after which a claim ends whose gateway tells nothing,
	// as long as the loads of a silent gateway are kept.
	claimLife = 3 * time.Second
	// postponeFor is the time for which a replica gets no new work from a gateway
	// whose claim was refused. Within it the next loads of the others arrive.
	postponeFor = 30 * time.Millisecond
)

// Claim asks the arbiter of a replica to confirm a grant. Under the shared policy
// each gateway grants from what it knows, so that all of them fill the same replica
// when memory becomes free: 22 generations were placed on one engine within 10 ms.
// The arbiter of a replica sees all claims on it, one after the other.
type Claim struct {
	// ID is that of the grant.
	ID      string
	Gateway string
	// After is the number of the newest loads that the gateway had told when it
	// claimed; later ones include the grant.
	After uint64
	// Load is what the grant alone puts on the replica.
	Load ReplicaLoad
	// Entitled is set for work that others yield to.
	Entitled bool
	// Seen is the pressure on the replica in the gateway's view, with the grant.
	Seen float64
	// Insists is set once refusals have corrected the gateway's view, so that only
	// slots and memory count.
	Insists bool
}

// claim is a confirmed Claim until its gateway's loads include it.
type claim struct {
	Claim
	confirmedAt time.Time
}

// GatewayLoad is the load of one gateway's grants on a replica.
type GatewayLoad struct {
	Gateway string
	Load    ReplicaLoad
}

// pressure is the load of a replica with the prompts that it has yet to read.
func (g *Group) pressure(r *replica) float64 {
	if g.o.Policy != PolicyShared {
		return r.load
	}
	return r.load + unreadPenalty*float64(r.unread())
}

// Claim returns the claim for a grant of this group.
func (g *Group) Claim(id string) (Claim, bool) {
	h, known := g.grants[id]
	if !known {
		return Claim{}, false
	}
	// A request that is spread asks for room and not for the least load.
	c := Claim{ID: id, Gateway: g.o.Owner, Entitled: !h.yields, Seen: g.pressure(h.replica), Insists: h.request.Spread}
	c.Load = ReplicaLoad{Replica: h.replica.Name, Running: 1, Unread: h.unread()}
	if h.yields {
		c.Load.Yielding = 1
	}
	c.Load.Memory.Add(&h.sequence)
	return c, true
}

// Confirm reports whether the replica has room for a claim and is not much fuller
// than its gateway believed, and then counts it. Of a replica that is not listed here
// yet only the claims are known.
func (g *Group) Confirm(now time.Time, c Claim) bool {
	r, known := g.replicas[c.Load.Replica]
	if !known {
		r = g.replica(c.Load.Replica)
	}
	if r.listed && !r.accepting() || !g.hasSlot(now, r) || !g.hasMemoryFor(r, &c.Load.Memory, c.Entitled) {
		return false
	}
	g.addClaim(now, r, c)
	if !c.Insists && g.pressure(r) > c.Seen+staleTolerance {
		g.dropClaim(now, r, c.ID)
		return false
	}
	return true
}

func (g *Group) addClaim(now time.Time, r *replica, c Claim) {
	g.dropClaim(now, r, c.ID)
	if r.claims == nil {
		r.claims = map[string]claim{}
	}
	r.claims[c.ID] = claim{c, now}
	r.foreign += c.Load.Running
	r.all.AddLoad(&c.Load.Memory)
	g.update(r, now)
}

func (g *Group) dropClaim(now time.Time, r *replica, id string) {
	c, known := r.claims[id]
	if !known {
		return
	}
	delete(r.claims, id)
	r.foreign -= c.Load.Running
	r.all.RemoveLoad(&c.Load.Memory)
	g.update(r, now)
}

// DropClaims ends the claims of a gateway that its loads of a number include.
func (g *Group) DropClaims(now time.Time, gateway string, number uint64) {
	for _, r := range g.replicas {
		for id, c := range r.claims {
			if c.Gateway == gateway && c.After < number {
				g.dropClaim(now, r, id)
			}
		}
	}
}

// expireClaims ends the claims whose gateway has told nothing since.
func (g *Group) expireClaims(now time.Time, r *replica) {
	for id, c := range r.claims {
		if now.Sub(c.confirmedAt) >= claimLife {
			g.dropClaim(now, r, id)
		}
	}
}

// LoadsOn returns what is known of the grants of each gateway on a replica, claims
// included.
func (g *Group) LoadsOn(name string) []GatewayLoad {
	r, known := g.replicas[name]
	if !known {
		return nil
	}
	by := make(map[string]ReplicaLoad, len(r.peers)+1)
	for gateway, l := range r.peers {
		by[gateway] = l
	}
	for _, c := range r.claims {
		l := by[c.Gateway]
		l.add(&c.Load)
		by[c.Gateway] = l
	}
	if len(r.running) > 0 {
		by[g.o.Owner] = r.ownLoad()
	}
	out := make([]GatewayLoad, 0, len(by))
	for gateway, l := range by {
		l.Replica = name
		out = append(out, GatewayLoad{gateway, l})
	}
	return out
}

// Correct replaces what is known of the grants of other gateways on a replica by
// what its arbiter knows.
func (g *Group) Correct(now time.Time, name string, loads []GatewayLoad) {
	r, known := g.replicas[name]
	if !known {
		return
	}
	told := make(map[string]bool, len(loads))
	for _, l := range loads {
		if l.Gateway != g.o.Owner {
			told[l.Gateway] = true
			g.setPeer(r, l.Gateway, l.Load, true)
		}
	}
	for gateway := range r.peers {
		if !told[gateway] {
			g.setPeer(r, gateway, ReplicaLoad{}, false)
		}
	}
	g.update(r, now)
}

// Postpone keeps a replica from new work for a short time, because its arbiter has
// refused a claim for a reason that may not show in the loads.
func (g *Group) Postpone(now time.Time, name string) {
	r, known := g.replicas[name]
	if !known || r.resting {
		return
	}
	r.resting, r.postponed = true, true
	r.restUntil = now.Add(postponeFor)
	g.resting = append(g.resting, r)
	g.update(r, now)
	g.noteUnavailable(now)
}

// hasMemoryFor reports whether the replica has memory for a load, which may use
// what is kept for moved generations if it is entitled.
func (g *Group) hasMemoryFor(r *replica, l *memory.Load, entitled bool) bool {
	// A request that fits nowhere else runs on an empty replica.
	if !g.limitsMemory(r) || g.empty(r) {
		return true
	}
	if entitled && r.runsYielding() {
		return r.all.FitsEntitledLoad(l, g.capacityFor(r))
	}
	kept := int(g.o.MoveReserve * float64(g.capacityFor(r)))
	return r.all.FitsLoad(l, g.capacityFor(r), g.reserved+kept)
}
