package schedule

import (
	"time"

	"persimmonwing/internal/process/memory"
)

const (
	// staleTolerance is the pressure by which a replica may exceed what the asking
	// gateway saw. It lets one prompt of 3,000 tokens pass that the gateway has not
	// heard of, and no second one.
	staleTolerance = 0.15
	// reservationLife is the time after which a reservation ends whose gateway tells
	// nothing, as long as the loads of a silent gateway are kept.
	reservationLife = 3 * time.Second
	// postponeFor is the time for which a replica gets no new work from a gateway
	// whose reservation was refused. Within it the next loads of the others arrive.
	postponeFor = 30 * time.Millisecond
)

// Reservation asks the arbiter of a replica to confirm a grant. Under the shared
// policy each gateway grants from what it knows, so that all of them fill the same
// replica when memory becomes free: 22 generations were placed on one engine within
// 10 ms. The arbiter of a replica sees all reservations on it, one after the other.
type Reservation struct {
	// ID is that of the grant.
	ID      string
	Gateway string
	// After is the number of the newest loads that the gateway had told when it
	// asked; later ones include the grant.
	After uint64
	// Load is what the grant alone puts on the replica.
	Load ReplicaLoad
	// MaxBatch and KVCapacityTokens are those of the replica as its gateway knows
	// them. The arbiter may not have heard of the replica yet.
	MaxBatch, KVCapacityTokens int
	// Entitled is set for work that others yield to.
	Entitled bool
	// Seen is the pressure on the replica in the gateway's view, with the grant.
	Seen float64
	// Insists is set once refusals have corrected the gateway's view, so that only
	// slots and memory count.
	Insists bool
}

// reservation is a confirmed Reservation until its gateway's loads include it.
type reservation struct {
	Reservation
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

// Reservation returns the reservation for a grant of this group.
func (g *Group) Reservation(id string) (Reservation, bool) {
	h, known := g.grants[id]
	if !known {
		return Reservation{}, false
	}
	// A request that is spread asks for room and not for the least load.
	c := Reservation{ID: id, Gateway: g.o.Owner, Entitled: !h.yields, Seen: g.pressure(h.replica), Insists: h.request.Spread}
	c.MaxBatch, c.KVCapacityTokens = h.replica.maxBatch(), h.replica.capacity()
	c.Load = ReplicaLoad{Replica: h.replica.Name, Running: 1, Unread: h.unread()}
	if h.yields {
		c.Load.Yielding = 1
	}
	c.Load.Memory.Add(&h.sequence)
	return c, true
}

// Confirm reports whether the replica has room for a reservation and is not much
// fuller than its gateway believed, and then counts it. Of a replica that is not
// listed here yet only the reservations are known.
func (g *Group) Confirm(now time.Time, c Reservation) bool {
	r := g.replica(c.Load.Replica)
	if !r.listed {
		r.MaxBatch, r.KVCapacityTokens = c.MaxBatch, c.KVCapacityTokens
	}
	if r.listed && !r.accepting() || !g.hasSlot(now, r) || !g.hasMemoryFor(r, &c.Load.Memory, c.Entitled) {
		return false
	}
	g.addReservation(now, r, c)
	if !c.Insists && g.pressure(r) > c.Seen+staleTolerance {
		g.dropReservation(now, r, c.ID)
		return false
	}
	return true
}

func (g *Group) addReservation(now time.Time, r *replica, c Reservation) {
	g.dropReservation(now, r, c.ID)
	if r.reservations == nil {
		r.reservations = map[string]reservation{}
	}
	r.reservations[c.ID] = reservation{c, now}
	r.foreign += c.Load.Running
	r.all.AddLoad(&c.Load.Memory)
	g.update(r, now)
}

func (g *Group) dropReservation(now time.Time, r *replica, id string) {
	c, known := r.reservations[id]
	if !known {
		return
	}
	delete(r.reservations, id)
	r.foreign -= c.Load.Running
	r.all.RemoveLoad(&c.Load.Memory)
	g.update(r, now)
}

// DropReservations ends the reservations of a gateway that its loads of a number
// include.
func (g *Group) DropReservations(now time.Time, gateway string, number uint64) {
	for _, r := range g.replicas {
		for id, c := range r.reservations {
			if c.Gateway == gateway && c.After < number {
				g.dropReservation(now, r, id)
			}
		}
	}
}

// expireReservations ends the reservations whose gateway has told nothing since.
func (g *Group) expireReservations(now time.Time, r *replica) {
	for id, c := range r.reservations {
		if now.Sub(c.confirmedAt) >= reservationLife {
			g.dropReservation(now, r, id)
		}
	}
}

// LoadsOn returns what is known of the grants of each gateway on a replica,
// reservations included.
func (g *Group) LoadsOn(name string) []GatewayLoad {
	r, known := g.replicas[name]
	if !known {
		return nil
	}
	by := make(map[string]ReplicaLoad, len(r.peers)+1)
	for gateway, l := range r.peers {
		by[gateway] = l
	}
	for _, c := range r.reservations {
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
// refused a reservation for a reason that may not show in the loads.
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
