package schedule

import (
	"sort"
	"time"

	"persimmonwing/internal/process/memory"
)

// grant is a permission in use.
type grant struct {
	request  Request
	replica  *replica
	sequence memory.Sequence
	// position is the index in the replica's running list.
	position int
	// yields is set for work that engines preempt first.
	yields bool
	// charged counts the tokens charged to the workspace so far.
	charged   float64
	renewed   time.Time
	nextSpare *grant
}

// pin counts the grants of one fingerprint on its replica.
type pin struct {
	replica *replica
	count   int
}

func (g *Group) newGrant() *grant {
	h := g.freeGrant
	if h == nil {
		return &grant{}
	}
	g.freeGrant = h.nextSpare
	h.nextSpare = nil
	return h
}

// hold counts a generation as running on a replica. One that yields is preempted
// before others.
func (g *Group) hold(now time.Time, q *Request, r *replica, s memory.Sequence, charged float64, yields bool) {
	if former, known := g.grants[q.ID]; known {
		// The gateway asked again because the first answer was lost.
		g.drop(now, q.ID, former)
	}
	h := g.newGrant()
	h.request = *q
	h.replica = r
	h.sequence = s
	h.position = len(r.running)
	h.yields = yields
	h.charged = charged
	h.renewed = now
	g.grants[q.ID] = h
	r.running = append(r.running, h)
	r.all.Add(&h.sequence)
	if r.index >= 0 {
		g.inFlight++
	}
	if q.Suspect {
		r.suspects++
	}
	if h.yields {
		r.yielding++
	}
	if q.Fingerprint != 0 {
		p := g.pinned[q.Fingerprint]
		g.pinned[q.Fingerprint] = pin{replica: r, count: p.count + 1}
	}
	g.update(r, now)
}

// drop stops counting a generation.
func (g *Group) drop(now time.Time, id string, h *grant) {
	r, q := h.replica, &h.request
	last := len(r.running) - 1
	r.running[h.position] = r.running[last]
	r.running[h.position].position = h.position
	r.running[last] = nil
	r.running = r.running[:last]
	r.all.Remove(&h.sequence)
	if r.index >= 0 {
		g.inFlight--
	}
	if q.Suspect {
		r.suspects--
	}
	if h.yields {
		r.yielding--
	}
	g.unpin(q.Fingerprint)
	delete(g.grants, id)
	*h = grant{nextSpare: g.freeGrant}
	g.freeGrant = h
	g.update(r, now)
	g.forgetIdle(r)
}

func (g *Group) unpin(fingerprint uint64) {
	p, pinned := g.pinned[fingerprint]
	if !pinned {
		return
	}
	if p.count == 1 {
		delete(g.pinned, fingerprint)
		return
	}
	g.pinned[fingerprint] = pin{replica: p.replica, count: p.count - 1}
}

// Progress renews a grant and states the tokens generated so far.
func (g *Group) Progress(now time.Time, id string, generated int) {
	h, known := g.grants[id]
	if !known {
		return
	}
	h.renewed = now
	before := h.sequence.Generated()
	if generated <= before {
		return
	}
	e := g.length(&h.request)
	e.Expose(before, generated)
	h.replica.all.Advance(&h.sequence, e, generated)
	if used := float64(h.request.PromptTokens + generated); used > h.charged {
		g.queue.Charge(h.request.Workspace, h.request.Class, used-h.charged)
		h.charged = used
	}
	g.update(h.replica, now)
}

// Adopt registers a grant that another owner gave, or renews a known one.
func (g *Group) Adopt(now time.Time, held Held) {
	id := held.Grant.ID
	if _, known := g.grants[id]; known {
		g.Progress(now, id, held.Generated)
		return
	}
	q := held.Request
	q.ID = id
	s := memory.NewSequence(g.length(&q), q.PromptTokens, held.Generated, q.MaxOutputTokens)
	// The former owner has charged the work so far.
	charged := float64(q.PromptTokens + held.Generated)
	r := g.replica(held.Grant.Backend)
	// A report may have shown it before its gateway did.
	r.foreign = max(0, r.foreign-1)
	r.all.DeductExternal(&s)
	g.hold(now, &q, r, s, charged, g.yields(now, &q))
}

// Release ends a grant.
func (g *Group) Release(now time.Time, id string, o Outcome) {
	h, known := g.grants[id]
	if !known {
		return
	}
	g.learn(h, o)
	used := float64(h.request.PromptTokens + max(o.Generated, h.sequence.Generated()))
	if o.NotRun {
		used = 0
	}
	g.queue.Charge(h.request.Workspace, h.request.Class, used-h.charged)
	g.judge(now, h.replica, o)
	g.drop(now, id, h)
}

// learn teaches the length estimate of the entry.
func (g *Group) learn(h *grant, o Outcome) {
	if o.NotRun {
		return
	}
	e := g.length(&h.request)
	e.Expose(h.sequence.Generated(), o.Generated)
	if o.Completed {
		e.End(o.Generated)
	}
}

// Expire drops the grants that were not renewed for a time and returns their
// ids. Their gateways are taken to have stopped.
func (g *Group) Expire(now time.Time, notRenewedFor time.Duration) []string {
	var ids []string
	for id, h := range g.grants {
		if now.Sub(h.renewed) >= notRenewedFor {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		g.drop(now, id, g.grants[id])
	}
	return ids
}

// Running returns the requests that hold grants on a replica.
func (g *Group) Running(name string) []Request {
	r, known := g.replicas[name]
	if !known {
		return nil
	}
	requests := make([]Request, 0, len(r.running))
	for _, h := range r.running {
		requests = append(requests, h.request)
	}
	return requests
}
