package schedule

import (
	"sort"
	"time"

	"persimmonwing/internal/process/memory"
	"persimmonwing/internal/version/catalogue"
)

// grant is a Grant in use.
type grant struct {
	request  Request
	replica  *replica
	sequence memory.Sequence
	// position is the index in replica.running.
	position int
	// yields is set for work that engines preempt first.
	yields bool
	// grantedAt is the time of the grant, and backlog the number of prompt tokens that the replica had to
	// prefill then, its own included.
	grantedAt time.Time
	backlog   float64
	// charged is the number of tokens charged to the workspace so far.
	charged   float64
	renewedAt time.Time
	nextFree  *grant
}

// pin is the replica that runs a fingerprint and the number of its grants there.
// Requests with equal fingerprints run on the same replica.
type pin struct {
	replica *replica
	count   int
}

func (g *Group) newGrant() *grant {
	h := g.freeGrants
	if h == nil {
		return &grant{}
	}
	g.freeGrants = h.nextFree
	h.nextFree = nil
	return h
}

// addGrant records a generation that runs on a replica, with the tokens charged to
// its workspace so far. The engine preempts it before others if yields is set.
func (g *Group) addGrant(now time.Time, q *Request, r *replica, s memory.Sequence, charged float64, yields bool) {
	if former, known := g.grants[q.ID]; known {
		// The gateway repeated its request because it did not get the first answer.
		g.removeGrant(now, q.ID, former)
	}
	h := g.newGrant()
	h.request = *q
	h.replica = r
	h.sequence = s
	h.position = len(r.running)
	h.yields = yields
	h.charged = charged
	h.renewedAt = now
	h.grantedAt, h.backlog = now, g.backlogOf(now, r)+float64(q.PromptTokens)
	g.grants[q.ID] = h
	r.running = append(r.running, h)
	r.noteStart(now)
	r.projection.Add(&h.sequence)
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

// removeGrant removes a generation from its replica and frees its grant.
func (g *Group) removeGrant(now time.Time, id string, h *grant) {
	r, q := h.replica, &h.request
	last := len(r.running) - 1
	r.running[h.position] = r.running[last]
	r.running[h.position].position = h.position
	r.running[last] = nil
	r.running = r.running[:last]
	r.projection.Remove(&h.sequence)
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
	*h = grant{nextFree: g.freeGrants}
	g.freeGrants = h
	g.update(r, now)
	g.removeIfIdle(r)
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

// Progress renews a grant and records the number of tokens generated so far.
func (g *Group) Progress(now time.Time, id string, generated int) {
	h, known := g.grants[id]
	if !known {
		return
	}
	h.renewedAt = now
	before := h.sequence.Generated()
	if generated <= before {
		return
	}
	if before == 0 {
		g.prefill.observe(h.backlog, now.Sub(h.grantedAt), g.slowness(h.replica))
	}
	e := g.lengthEstimate(&h.request)
	e.Expose(before, generated)
	h.replica.projection.Advance(&h.sequence, e, generated)
	if used := float64(h.request.PromptTokens + generated); used > h.charged {
		g.queue.Charge(h.request.Workspace, h.request.Class, used-h.charged)
		h.charged = used
	}
	g.update(h.replica, now)
}

// Adopt registers a grant that another owner issued, or renews a known one.
func (g *Group) Adopt(now time.Time, held Held) {
	id := held.Grant.ID
	if _, known := g.grants[id]; known {
		g.Progress(now, id, held.Generated)
		return
	}
	q := held.Request
	q.ID = id
	s := memory.NewSequence(g.lengthEstimate(&q), q.PromptTokens, held.Generated, q.MaxOutputTokens)
	// The previous owner has charged the work done so far.
	charged := float64(q.PromptTokens + held.Generated)
	r := g.replica(held.Grant.Backend)
	// An engine report may already have included this generation as external work.
	r.external = max(0, r.external-1)
	r.projection.DeductExternal(&s)
	g.addGrant(now, &q, r, s, charged, g.yields(now, &q))
}

// Release ends a grant. It charges the tokens used and updates the length estimate
// and the replica's refusals from the outcome.
func (g *Group) Release(now time.Time, id string, o Outcome) {
	h, known := g.grants[id]
	if !known {
		return
	}
	g.recordLength(h, o)
	used := float64(h.request.PromptTokens + max(o.Generated, h.sequence.Generated()))
	if o.NotRun {
		used = 0
	}
	g.queue.Charge(h.request.Workspace, h.request.Class, used-h.charged)
	if o.NotRun && !h.request.Moving {
		g.takeBack(now, h)
	}
	g.trackRefusals(now, h.replica, o)
	g.removeGrant(now, id, h)
}

// takeBack removes a grant that did not run from what its workspace has used.
func (g *Group) takeBack(now time.Time, h *grant) {
	left := (&decayingSum{h.charged, h.grantedAt}).get(now)
	if h.request.Class == catalogue.Urgent {
		g.shares.refund(now, h.request.Workspace, left)
	}
	g.floors.add(now, h.request.Workspace, -left)
}

// recordLength updates the length estimate of the entry with an outcome.
func (g *Group) recordLength(h *grant, o Outcome) {
	if o.NotRun {
		return
	}
	e := g.lengthEstimate(&h.request)
	e.Expose(h.sequence.Generated(), o.Generated)
	if o.Completed {
		e.End(o.Generated)
	}
}

// Expire removes the grants that were not renewed for the given time, because their
// gateways have probably stopped, and returns their IDs.
func (g *Group) Expire(now time.Time, notRenewedFor time.Duration) []string {
	var ids []string
	for id, h := range g.grants {
		if now.Sub(h.renewedAt) >= notRenewedFor {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		g.removeGrant(now, id, g.grants[id])
	}
	return ids
}

// Running returns the requests with grants on a replica.
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
