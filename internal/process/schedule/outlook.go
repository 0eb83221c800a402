package schedule

import (
	"math"
	"slices"
	"time"

	"persimmonwing/internal/process/fairqueue"
	"persimmonwing/internal/process/memory"
	"persimmonwing/internal/version/catalogue"
)

const (
	// stepPrior is the time of a decoding step until a replica has reported one: a step of a full batch.
	stepPrior = 12 * time.Millisecond
	// outlookDeviations is the error bound of an outlook in standard deviations: 2 in 100 outcomes are better
	// than the bound.
	outlookDeviations = 2.0
	// presentWaiting is the fraction of what peers have stated as waiting that certainly still waits. Statements
	// take up to 0.3 s, in which a fleet that ends generations places others.
	presentWaiting = 0.5
	// outlookPeriod is the time between two outlooks for a request that waits. Callers with the shortest target have to
	// learn within 0.2 s that it can't be met.
	outlookPeriod = 50 * time.Millisecond
	// maxPeerWaiting is the maximum number of waiting requests that a gateway states to the others, oldest first.
	maxPeerWaiting = 32
)

// Waiting describes a request that waits at a gateway.
type Waiting struct {
	// Class is that of the request, also if it moves: urgent requests are short and take no room from it for long.
	Class catalogue.Class
	// Tokens is the size with the expected output.
	Tokens int
	// Age is the time since the request arrived, or since its caller was first refused if it has returned.
	Age time.Duration
	// Kept is set if others leave room for the request.
	Kept bool
	// OverShare is set if the request leaves free slots for workspaces within their share.
	OverShare bool
}

// waiting is what is known of a request that waits here or at a peer.
type waiting struct {
	class  catalogue.Class
	tokens float64
	since  time.Time
	kept   bool
	// overShare is set if it leaves free slots for workspaces within their share.
	overShare bool
}

// before reports whether the request goes before one of a class that waits since a time.
func (w *waiting) before(class catalogue.Class, since time.Time) bool {
	if w.class != class {
		return w.class == catalogue.Urgent
	}
	return w.since.Before(since)
}

// stepTime returns the time of a replica's decoding step.
func (g *Group) stepTime(r *replica) time.Duration {
	switch {
	case r.step > 0:
		return time.Duration(r.step * float64(time.Millisecond))
	case g.usualStep > 0:
		return time.Duration(g.usualStep * float64(time.Millisecond))
	}
	return stepPrior
}

// released returns the tokens that generations of all gateways give back on the available replicas by their ends
// within a time, and the standard deviation. The margin of memory that was kept for them is
// given back with them. Replicas that leave are not available.
func (g *Group) released(within time.Duration) (tokens, deviation float64) {
	variance := 0.0
	for _, r := range g.available {
		used, _ := r.projection.After(0)
		further := float64(within) / float64(g.stepTime(r))
		grown := used + float64(r.occupied())*further
		if grown <= 0 {
			continue
		}
		mean, spread := r.projection.After(further)
		tokens += max(0, 1-mean/grown) * max(grown, r.projection.Peak())
		variance += spread
	}
	return tokens, math.Sqrt(variance)
}

// ahead returns the tokens of the requests that go before one that waits since a time: those queued here and those
// at the peers. Work over its share does not go before work within its share.
func (g *Group) ahead(now time.Time, q *Request, since time.Time) (own, peers float64) {
	class, overShare := queueClass(q), g.leavesSlots(now, q)
	before := func(w *waiting) bool { return w.before(class, since) && (overShare || !w.overShare) }
	for e := range g.queue.All() {
		if w := g.waitingOf(now, &e.Value); before(&w) {
			own += w.tokens
		}
	}
	for _, d := range g.demands {
		for i := range d.waiting {
			if before(&d.waiting[i]) {
				peers += d.waiting[i].tokens
			}
		}
	}
	return own, peers
}

func (g *Group) waitingOf(now time.Time, t *queuedRequest) waiting {
	return waiting{t.request.Class, g.expectedTokens(&t.request), t.since(), t.keepsRoom(now), g.leavesSlots(now, &t.request)}
}

// hopeless reports whether a request that waits can't find room by its deadline, even at the optimistic bound of the
// outlook.
//
// Load pattern: a burst brings more than engines can take for longer than requests can wait. Without
// an outlook each request waits until its deadline before it is refused; its caller loses the time in which
// it could have returned, and the newest wait behind older ones that fill all room until then.
func (g *Group) hopeless(now time.Time, t *queuedRequest) bool {
	q := &t.request
	if q.Moving || q.Suspect || q.Deadline.IsZero() || len(g.available) == 0 {
		return false
	}
	left, size := q.Deadline.Sub(now), g.expectedTokens(q)
	tokens, deviation := g.released(left)
	own, peers := g.ahead(now, q, t.since())
	found := tokens + outlookDeviations*deviation + size*float64(g.opening(now, q, left)+g.unexplained(size))
	return found < own+presentWaiting*peers+size
}

// unexplained returns the number of requests of a size that fit into the memory which engines report beyond the
// generations that are known: copies, and work that was placed before this gateway started. It may be given back at any time.
func (g *Group) unexplained(size float64) int {
	n := 0
	for _, r := range g.available {
		n += int(float64(r.projection.External()) / max(1, size))
	}
	return n
}

// opening returns the number of requests like q that replicas may take within a time without the end of a
// generation: after a pause, in their slow start, with the next starts of a cold replica, or once prompts are read.
func (g *Group) opening(now time.Time, q *Request, left time.Duration) int {
	s := memory.NewSequence(g.lengthEstimate(q), q.PromptTokens, q.Generated, q.MaxOutputTokens)
	l := s.Load()
	entitled := g.rankOf(now, q, queueClass(q)) == rankUrgent
	places := func(r *replica) int {
		n := g.slots(r, now.Add(left)) - r.occupied()
		if n <= 0 || !g.hasMemoryFor(r, &l, entitled) {
			return 0
		}
		if r.MaxStarts > 0 {
			n = min(n, r.MaxStarts*int(1+left/startWindow))
		}
		if prompt := float64(q.PromptTokens); prompt > 0 && !q.FirstTokenBy.IsZero() {
			n = min(n, 1+int(max(0, float64(left)/float64(g.prefillTime(r))-g.backlogOf(now, r))/prompt))
		}
		if g.limitsMemory(r) {
			n = min(n, 1+int(max(0, float64(g.capacityFor(r))-r.projection.Peak())/max(1, g.expectedTokens(q))))
		}
		return n
	}
	n := 0
	for _, r := range g.available {
		n += places(r)
	}
	for _, r := range g.coolingDown {
		if r.cooldownUntil.Sub(now) < left {
			n += places(r)
		}
	}
	return n
}

// refuseHopeless refuses the waiting requests that are hopeless. It is called when what has room was granted.
func (g *Group) refuseHopeless(p *pass) {
	if g.o.Policy != PolicyShared {
		return
	}
	p.hopeless = p.hopeless[:0]
	for e := range g.queue.All() {
		t := &e.Value
		if p.now.Sub(t.judgedAt) < outlookPeriod {
			continue
		}
		t.judgedAt = p.now
		if g.hopeless(p.now, t) {
			p.hopeless = append(p.hopeless, e)
		}
	}
	// The newest gives way first, so that each refusal improves the outlook of those before it.
	slices.SortFunc(p.hopeless, func(a, b *fairqueue.Entry[queuedRequest]) int { return b.Value.since().Compare(a.Value.since()) })
	for _, e := range p.hopeless {
		if g.hopeless(p.now, &e.Value) {
			g.refuse(p, g.queue.Take(e, 0), ReasonNoRoomInTime)
		}
	}
	clear(p.hopeless)
}

// roomIn returns the time in which the tokens of the request, and of all that goes before it or was told to
// return, are expected to be given back, at most maxRetry.
func (g *Group) roomIn(now time.Time, q *Request) time.Duration {
	own, peers := g.ahead(now, q, now)
	needed := own + peers + g.returns.tokens(now) + g.expectedTokens(q)
	low, high := time.Duration(0), maxRetry
	for high-low > minRetry/2 {
		middle := (low + high) / 2
		if tokens, _ := g.released(middle); tokens >= needed {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// expectedWait returns the wait that is expected of a request that is queued now, behind a number of others.
func (g *Group) expectedWait(now time.Time, q *Request, ahead int) time.Duration {
	if g.o.Policy != PolicyShared || ahead == 0 && g.freeCount > 0 {
		return g.predictWait(now, queueClass(q), ahead, g.freeCount)
	}
	return g.roomIn(now, q)
}
