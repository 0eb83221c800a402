package schedule

import (
	"time"

	"persimmonwing/internal/process/memory"
)

const (
	// staleTolerance is the maximum difference between the pressure on a replica and
	// the pressure that the requesting gateway saw. It permits one prompt of 3,000
	// tokens that the gateway does not know of yet, but not a second one.
	staleTolerance = 0.15
	// reservationTTL is the time after which a reservation expires if its gateway sends
	// no loads. It is equal to the time for which loads of a silent gateway are kept.
	reservationTTL = 3 * time.Second
	// postponePeriod is the time for which a gateway grants no new work to a replica
	// after a refused reservation. It is long enough to receive the next loads of the
	// other gateways.
	postponePeriod = 30 * time.Millisecond
)

// Reservation is a request to the arbiter of a replica to confirm a grant. Under the
// shared policy each gateway grants from its own, possibly outdated view. Without
// confirmation, all gateways fill the same replica as soon as it has free memory: 22
// generations were placed on one engine within 10 ms. The arbiter of a replica decides
// on all its reservations, one after the other.
type Reservation struct {
	// ID is the ID of the grant.
	ID      string
	Gateway string
	// After is the sequence number of the newest loads that the gateway had sent when
	// it requested the confirmation. Loads with higher numbers include the grant.
	After uint64
	// Load is the load of this grant alone.
	Load ReplicaLoad
	// MaxBatch and KVCapacityTokens are the limits of the replica that the gateway
	// knows. The arbiter needs them if the replica is not listed there yet.
	MaxBatch, KVCapacityTokens int
	// Entitled is set for entitled work, to which other work yields.
	Entitled bool
	// Seen is the pressure on the replica in the gateway's view, including the grant.
	Seen float64
	// StartWithin is the time within which the first token is on time, or 0 if that does not matter.
	StartWithin time.Duration
	// Insists is set if the arbiter must check only slots and memory, without comparing
	// Seen with the load that it knows. It is set after refusals have corrected the
	// gateway's view, and for requests with Spread.
	Insists bool
}

// reservation is a confirmed Reservation. It is kept until the loads of its gateway
// include the grant.
type reservation struct {
	Reservation
	confirmedAt time.Time
}

// GatewayLoad is the load on a replica from the grants of one gateway.
type GatewayLoad struct {
	Gateway string
	// Number is the sequence number of the gateway's newest loads that Load includes. Loads
	// with this number or a lower one are older than Load.
	Number uint64
	Load   ReplicaLoad
}

// correctionTTL is the time for which older loads of a gateway do not replace a correction
// by an arbiter. Loads arrive within 0.3 s, also through two relays. A gateway that has
// restarted begins with low numbers again.
const correctionTTL = time.Second

// correction states that the load of a gateway on a replica was corrected by its arbiter.
type correction struct {
	number uint64
	until  time.Time
}

// outdated reports whether loads of a gateway are older than what the replica's arbiter
// has reported. Without this check, loads that were sent before a grant make its engine
// look free again: requests were refused up to 27 times in a row, by arbiters of engines that
// their gateway took for idle.
func (r *replica) outdated(now time.Time, gateway string, number uint64) bool {
	c, known := r.corrections[gateway]
	if !known {
		return false
	}
	if number > c.number || !now.Before(c.until) {
		delete(r.corrections, gateway)
		return false
	}
	return true
}

// pressure returns the load of a replica. Under the shared policy it includes the
// prompts that the replica has yet to prefill.
func (g *Group) pressure(r *replica) float64 {
	if g.o.Policy != PolicyShared {
		return r.load
	}
	return r.load + unreadPenalty*float64(r.unread())
}

// Reservation returns the reservation for a grant of this group. It returns false if
// the grant is unknown.
func (g *Group) Reservation(id string) (Reservation, bool) {
	h, known := g.grants[id]
	if !known {
		return Reservation{}, false
	}
	// A request with Spread needs room but not the least loaded replica, so Seen is
	// not compared.
	c := Reservation{ID: id, Gateway: g.o.Owner, Entitled: !h.yields, Seen: g.pressure(h.replica), Insists: h.request.Spread}
	c.MaxBatch, c.KVCapacityTokens = h.replica.maxBatch(), h.replica.capacity()
	c.Load = ReplicaLoad{Replica: h.replica.Name, Running: 1, Unread: h.unread()}
	if h.yields {
		c.Load.Yielding = 1
	}
	c.Load.Memory.Add(&h.sequence)
	if by := h.request.FirstTokenBy; !by.IsZero() && c.Load.Unread > 0 {
		c.StartWithin = max(1, by.Sub(h.grantedAt))
	}
	return c, true
}

// Confirm records a reservation and returns true if the replica has room for it and is
// not much fuller than its gateway saw. Otherwise it returns false. If the replica is
// not listed here yet, only its other reservations are taken into account.
func (g *Group) Confirm(now time.Time, c Reservation) bool {
	r := g.replica(c.Load.Replica)
	if !r.listed {
		r.MaxBatch, r.KVCapacityTokens = c.MaxBatch, c.KVCapacityTokens
	}
	if r.listed && !r.accepting() || !g.hasSlot(now, r) || !g.hasMemoryFor(r, &c.Load.Memory, c.Entitled) {
		return false
	}
	if !c.Insists && c.StartWithin > 0 && !g.startsInTime(now, r, c.Load.Unread, c.StartWithin) {
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
	r.noteStart(now)
	r.external += c.Load.Running
	r.projection.AddLoad(&c.Load.Memory)
	g.update(r, now)
}

func (g *Group) dropReservation(now time.Time, r *replica, id string) {
	c, known := r.reservations[id]
	if !known {
		return
	}
	delete(r.reservations, id)
	r.external -= c.Load.Running
	r.projection.RemoveLoad(&c.Load.Memory)
	g.update(r, now)
}

// DropReservations removes the reservations of a gateway that are included in its
// loads with this sequence number.
func (g *Group) DropReservations(now time.Time, gateway string, number uint64) {
	for _, r := range g.replicas {
		for id, c := range r.reservations {
			if c.Gateway == gateway && c.After < number {
				g.dropReservation(now, r, id)
			}
		}
	}
}

// expireReservations removes the reservations of a replica that are older than
// reservationTTL because their gateways have sent no loads since.
func (g *Group) expireReservations(now time.Time, r *replica) {
	for id, c := range r.reservations {
		if now.Sub(c.confirmedAt) >= reservationTTL {
			g.dropReservation(now, r, id)
		}
	}
}

// LoadsByGateway returns the known loads of all gateways on a replica, including
// reservations. ownNumber is the number of the newest loads that this gateway has sent.
func (g *Group) LoadsByGateway(name string, ownNumber uint64) []GatewayLoad {
	r, known := g.replicas[name]
	if !known {
		return nil
	}
	byGateway := make(map[string]ReplicaLoad, len(r.peers)+1)
	numbers := map[string]uint64{g.o.Owner: ownNumber}
	for gateway, l := range r.peers {
		byGateway[gateway] = l
		numbers[gateway] = g.numbers[gateway]
	}
	for _, c := range r.reservations {
		l := byGateway[c.Gateway]
		l.add(&c.Load)
		byGateway[c.Gateway] = l
		numbers[c.Gateway] = max(numbers[c.Gateway], c.After)
	}
	if len(r.running) > 0 {
		byGateway[g.o.Owner] = r.ownLoad()
	}
	out := make([]GatewayLoad, 0, len(byGateway))
	for gateway, l := range byGateway {
		l.Replica = name
		out = append(out, GatewayLoad{gateway, numbers[gateway], l})
	}
	return out
}

// CorrectPeerLoads replaces the loads of other gateways on a replica with those that
// its arbiter knows.
func (g *Group) CorrectPeerLoads(now time.Time, name string, loads []GatewayLoad) {
	r, known := g.replicas[name]
	if !known {
		return
	}
	present := make(map[string]bool, len(loads))
	for _, l := range loads {
		if l.Gateway != g.o.Owner {
			present[l.Gateway] = true
			if l.Number < g.numbers[l.Gateway] {
				// This gateway has newer loads than the arbiter.
				continue
			}
			g.setPeerLoad(r, l.Gateway, l.Load, true)
			if r.corrections == nil {
				r.corrections = map[string]correction{}
			}
			r.corrections[l.Gateway] = correction{l.Number, now.Add(correctionTTL)}
		}
	}
	for gateway := range r.peers {
		if !present[gateway] {
			g.setPeerLoad(r, gateway, ReplicaLoad{}, false)
		}
	}
	g.update(r, now)
}

// Postpone stops granting new work to a replica for postponePeriod. It is called if
// the arbiter has refused a reservation, perhaps for a reason that the loads do not show.
func (g *Group) Postpone(now time.Time, name string) {
	r, known := g.replicas[name]
	if !known || r.coolingDown {
		return
	}
	r.coolingDown, r.postponed = true, true
	r.cooldownUntil = now.Add(postponePeriod)
	g.coolingDown = append(g.coolingDown, r)
	g.update(r, now)
	g.updateUnavailableSince(now)
}

// hasMemoryFor reports whether the replica has memory for a load. Entitled work may use
// the memory that is kept free for moved generations, if the replica runs work that
// yields to it.
func (g *Group) hasMemoryFor(r *replica, l *memory.Load, entitled bool) bool {
	// An empty replica accepts any request, because one that is too large for every
	// replica would otherwise never run.
	if !g.limitsMemory(r) || g.empty(r) {
		return true
	}
	if entitled && r.runsYielding() {
		return r.projection.FitsEntitledLoad(l, g.capacityFor(r))
	}
	moveReserve := int(g.o.MoveReserve * float64(g.capacityFor(r)))
	return r.projection.FitsLoad(l, g.capacityFor(r), g.reservedTokens+moveReserve)
}
