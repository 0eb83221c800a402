package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwing/internal/version/catalogue"
)

const (
	// maxReturnFraction is the part of the time that a caller has left for which callers wait before they return.
	maxReturnFraction = 1.0 / 3
	// returnSpread is the time over which callers return that were refused at the same moment, as a fraction of their
	// wait, and minReturnSpread its least value: that of 4 prompts at an engine.
	returnSpread    = 0.5
	minReturnSpread = 200 * time.Millisecond
	// UnknownRoomWait is the wait while no replica accepts work: some return within seconds, and the caller
	// returns to a gateway that may know others.
	UnknownRoomWait = time.Second
	// returnLead is the time before a caller's return from which on its place is kept, so that room is free when it
	// arrives. returnPatience is the time after it at which the place is lost: that of a new connection.
	returnLead     = 100 * time.Millisecond
	returnPatience = 400 * time.Millisecond
	// maxPlaces bounds the places that a gateway keeps and states to the others.
	maxPlaces = 32
	// pressingFraction is the part of the time that a request can wait after which others leave room for it.
	pressingFraction = 0.5
	// maxPlacesFraction is the part of the replicas, each with room for one request, that is kept from callers
	// who have just come, so that these are served in a burst of returns too.
	maxPlacesFraction = 0.25
)

// Place is the place that is kept for a caller who was refused and told when to return. Times are relative to that of
// the message, because the clocks of hosts differ.
type Place struct {
	Fingerprint uint64
	Class       catalogue.Class
	Tokens      int
	// Due is the time until the return, and Age that since the first refusal.
	Due, Age time.Duration
}

// place is a Place with the times of this host.
type place struct {
	class  catalogue.Class
	tokens float64
	// first is the time of the caller's first refusal.
	first, due time.Time
	// own is set for a refusal of this gateway.
	own bool
	// claimedBy is the id of the request that has come back.
	claimedBy string
}

func (p *place) ended(now time.Time) bool { return now.Sub(p.due) > returnPatience }

// kept reports whether the place keeps room free now.
func (p *place) kept(now time.Time) bool {
	return p.claimedBy == "" && p.due.Sub(now) <= returnLead && !p.ended(now)
}

// returns holds the places of callers who were refused, by fingerprint. Callers come back with another request id and at
// another gateway.
//
// Load pattern: callers who are refused in a burst return together while it lasts, compete with those who come for the
// first time, and are refused again.
type returns map[uint64]*place

// add keeps a place, unless the caller has one already or this gateway keeps maxPlaces. Who returns too early and is
// refused again keeps the place that it has.
func (m returns) add(now time.Time, fingerprint uint64, p place) {
	if fingerprint == 0 || p.ended(now) {
		return
	}
	m.expire(now)
	if old := m[fingerprint]; old != nil && (old.claimedBy == "" || !p.own) {
		return
	}
	if p.own && m.own() >= maxPlaces {
		return
	}
	m[fingerprint] = &p
}

func (m returns) own() (n int) {
	for _, p := range m {
		if p.own {
			n++
		}
	}
	return n
}

// claim returns the time of the first refusal of the caller who sends a request, if it comes back in time.
func (m returns) claim(now time.Time, q *Request) (first time.Time, returning bool) {
	p := m[q.Fingerprint]
	switch {
	case p == nil || q.Fingerprint == 0:
		return time.Time{}, false
	case p.claimedBy == q.ID:
		return p.first, true
	case !p.kept(now):
		return time.Time{}, false
	}
	p.claimedBy = q.ID
	return p.first, true
}

// wait returns the time until a caller's return if a place is kept for it that is not due yet.
func (m returns) wait(now time.Time, fingerprint uint64) (time.Duration, bool) {
	p := m[fingerprint]
	if p == nil || p.claimedBy != "" || !p.due.After(now) {
		return 0, false
	}
	return p.due.Sub(now), true
}

// expire removes the places that are lost. One that was claimed is known for longer, because its request may be queued again.
func (m returns) expire(now time.Time) {
	for fingerprint, p := range m {
		if p.ended(now) && (p.claimedBy == "" || now.Sub(p.due) > maxRetry) {
			delete(m, fingerprint)
		}
	}
}

// tokens returns the size of what was told to return.
func (m returns) tokens(now time.Time) (sum float64) {
	for _, p := range m {
		if p.claimedBy == "" && !p.ended(now) {
			sum += p.tokens
		}
	}
	return sum
}

// retryAfter returns the time after which the caller of a refused request has to return: when room is expected for it, at a
// time of its own, and within the time for which callers wait.
func (g *Group) retryAfter(now time.Time, q *Request, reason string) time.Duration {
	if wait, early := g.returns.wait(now, q.Fingerprint); early {
		return max(wait, minRetry)
	}
	wait := UnknownRoomWait
	if reason != ReasonNoReplica && len(g.available) > 0 && g.o.Policy != PolicyBaseline {
		wait = g.roomIn(now, q)
	}
	longest := maxRetry
	if !q.LeaveBy.IsZero() {
		longest = time.Duration(maxReturnFraction * float64(q.LeaveBy.Sub(now)))
	}
	spread := max(minReturnSpread, time.Duration(returnSpread*float64(min(wait, longest))))
	wait = max(min(wait, longest-spread), minRetry)
	const fractions = 1 << 16
	part := float64(xxhash.Sum64String(q.ID)%fractions) / fractions
	return max(minRetry, min(wait+time.Duration(part*float64(spread)), longest))
}

// refusal returns the refusal of a request that leaves the queue, and keeps a place for its caller.
func (g *Group) refusal(now time.Time, t queuedRequest, reason string) Decision {
	q := &t.request
	after := g.retryAfter(now, q, reason)
	// A caller without the time to return needs no place.
	if !q.LeaveBy.IsZero() && q.LeaveBy.Sub(now) > after {
		first := now
		if t.returning {
			first = t.first
		}
		g.returns.add(now, q.Fingerprint, place{class: queueClass(q), tokens: g.expectedTokens(q), first: first, due: now.Add(after), own: true})
	}
	return Decision{Request: *q, Refusal: &Refusal{Reason: reason, RetryAfter: after, Account: g.account(now, &t)}}
}

// RefuseExpired removes a request whose deadline has passed, if it waits, and returns its refusal.
func (g *Group) RefuseExpired(now time.Time, q Request) *Refusal {
	t, waiting := g.queue.Cancel(q.ID)
	if !waiting {
		t = queuedRequest{request: q, enqueued: now, entry: g.enter(now, &q)}
		t.first, t.returning = g.returns.claim(now, &q)
	}
	return g.refusal(now, t, ReasonDeadline).Refusal
}

// keptFrom returns the replicas that a request must leave to others: as many of those with the least load as there are callers of
// its class and above that return now, and requests at all gateways whose callers have returned, that move, or that have waited
// for long. There, room grows until the largest of them fits.
//
// Load pattern: engines leave during a burst. The memory that others give back goes to whoever asks first and is small, so that
// generations with seconds of work behind them find no destination, and long prompts wait until their deadline, while new requests
// begin at once, which could still wait.
func (p *pass) keptFrom(g *Group, t *queuedRequest) []*replica {
	if g.o.Policy != PolicyShared || t.keepsRoom(p.now) {
		return nil
	}
	class := queueClass(&t.request)
	kept := &p.kept[classIndex(class)]
	if kept.known {
		return kept.replicas
	}
	kept.known = true
	n := min(g.placesDue(p.now, class), int(maxPlacesFraction*float64(len(g.available))))
	if n == 0 {
		return nil
	}
	kept.replicas = append(kept.replicas, g.available...)
	slices.SortFunc(kept.replicas, func(a, b *replica) int { return cmp.Compare(a.load, b.load) })
	kept.replicas = kept.replicas[:n]
	return kept.replicas
}

// placesDue returns the number of requests of a class and above it for which room is kept now.
func (g *Group) placesDue(now time.Time, class catalogue.Class) (n int) {
	count := func(kept bool, of catalogue.Class) {
		if kept && (of == class || of == catalogue.Urgent) {
			n++
		}
	}
	for _, p := range g.returns {
		count(p.kept(now), p.class)
	}
	for e := range g.queue.All() {
		count(e.Value.keepsRoom(now), e.Value.request.Class)
	}
	for _, d := range g.demands {
		for i := range d.waiting {
			count(d.waiting[i].kept, d.waiting[i].class)
		}
	}
	return n
}

// Demand is what waits at a gateway and the places that it keeps.
type Demand struct {
	Waiting []Waiting
	Places  []Place
}

// Later returns the demand as it is after a time.
func (d Demand) Later(elapsed time.Duration) Demand {
	d.Waiting, d.Places = slices.Clone(d.Waiting), slices.Clone(d.Places)
	for i := range d.Waiting {
		d.Waiting[i].Age += elapsed
	}
	for i := range d.Places {
		d.Places[i].Due -= elapsed
		d.Places[i].Age += elapsed
	}
	return d
}

// peerDemand is the Demand of another gateway, whose places are in Group.returns.
type peerDemand struct{ waiting []waiting }

// Demand returns what waits here and the places that this gateway keeps, for the other gateways.
func (g *Group) Demand(now time.Time) Demand {
	var d Demand
	for e := range g.queue.All() {
		w := g.waitingOf(now, &e.Value)
		d.Waiting = append(d.Waiting, Waiting{Class: w.class, Tokens: int(w.tokens), Age: now.Sub(w.since), Kept: w.kept, OverShare: w.overShare})
	}
	if len(d.Waiting) > maxPeerWaiting {
		slices.SortFunc(d.Waiting, func(a, b Waiting) int { return int(b.Age - a.Age) })
		d.Waiting = d.Waiting[:maxPeerWaiting]
	}
	g.returns.expire(now)
	for fingerprint, p := range g.returns {
		if p.own && p.claimedBy == "" {
			d.Places = append(d.Places, Place{Fingerprint: fingerprint, Class: p.class, Tokens: int(p.tokens), Due: p.due.Sub(now), Age: now.Sub(p.first)})
		}
	}
	return d
}

// SetPeerDemand replaces what waits at another gateway, and adds the places that it keeps. A place is lost at its time, whatever
// happens to the gateway that has stated it.
func (g *Group) SetPeerDemand(now time.Time, gateway string, d Demand) {
	if len(d.Waiting) == 0 {
		delete(g.demands, gateway)
	} else {
		w := make([]waiting, 0, len(d.Waiting))
		for _, x := range d.Waiting {
			w = append(w, waiting{x.Class, float64(x.Tokens), now.Add(-x.Age), x.Kept, x.OverShare})
		}
		g.demands[gateway] = peerDemand{w}
	}
	for _, x := range d.Places[:min(len(d.Places), maxPlaces)] {
		g.returns.add(now, x.Fingerprint, place{class: x.Class, tokens: float64(x.Tokens), first: now.Add(-x.Age), due: now.Add(x.Due)})
	}
}
