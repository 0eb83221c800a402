package schedule

import (
	"slices"
	"time"

	"persimmonwing/internal/process/fairqueue"
	"persimmonwing/internal/process/memory"
	"persimmonwing/internal/version/catalogue"
)

const (
	// maxSkips bounds the workspaces that are passed over in one Dispatch for
	// lack of room, and so its cost.
	maxSkips = 8
	// maxIsolatedSkips bounds those passed over because suspects must end first.
	maxIsolatedSkips = 64
	// maxBypassed is the number of times that smaller requests may overtake one
	// that does not fit. After that its class waits for it.
	maxBypassed = 4
)

// Dispatch returns the decisions that can be made now: grants, and refusals of
// requests that were displaced, whose deadline has passed or that had no replica
// for too long.
func (g *Group) Dispatch(now time.Time) []Decision {
	p := g.newPass(now)
	g.refuseDisplaced(p)
	g.refuseExpired(p)
	g.refuseUnplaceable(p)
	g.endRests(now)
	g.warmUp(now)
	p.urgent, p.fair = g.urgentHeadroom(now), g.fairHeadroom(now)
	for g.open() {
		class, open := g.nextClass(p)
		if !open {
			break
		}
		g.dispatchOne(p, class)
	}
	g.queue.Restore()
	g.waitingSince = p.oldestShort()
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

// warmUp updates the loads of replicas whose bound grows with time.
func (g *Group) warmUp(now time.Time) {
	for i := len(g.warming) - 1; i >= 0; i-- {
		r := g.warming[i]
		if now.Sub(r.returnedAt) >= g.o.SlowStart {
			r.returnedAt = time.Time{}
			g.warming = slices.Delete(g.warming, i, i+1)
		}
		g.update(r, now)
	}
}

// returned starts the slow start of a replica.
func (g *Group) returned(now time.Time, r *replica) {
	if r.returnedAt.IsZero() {
		g.warming = append(g.warming, r)
	}
	r.returnedAt = now
}

// open reports whether some replica has a slot that is not in use.
func (g *Group) open() bool {
	return g.openCount > 0 || (g.o.Policy == PolicyBaseline && len(g.available) > 0)
}

// saturated reports whether no replica has room for work that is not entitled.
func (g *Group) saturated() bool {
	return g.o.Policy != PolicyBaseline && g.available[0].load >= 1
}

// yields reports whether a request is one that engines preempt first.
func (g *Group) yields(now time.Time, q *Request) bool {
	return q.Class == catalogue.Background || g.overShare(now, q)
}

// overShare reports whether a request is urgent work of a workspace over its share.
func (g *Group) overShare(now time.Time, q *Request) bool {
	return q.Class == catalogue.Urgent && !g.o.NoFairness && g.shares.over(now, q.Workspace)
}

// nextClass returns the class to serve next: background while it is below its
// floor, else urgent, and background when no urgent request waits for room.
func (g *Group) nextClass(p *pass) (catalogue.Class, bool) {
	g.reserved = p.urgent.tokens
	urgent := !p.closed[rankUrgent] && g.queue.Next(catalogue.Urgent) != nil
	background := !p.closed[rankBackground] && g.queue.Next(catalogue.Background) != nil
	switch {
	case g.o.NoClasses:
		g.reserved = 0
		return catalogue.Urgent, urgent
	case background && g.floorDue(p.now):
		// The floor is due whatever urgent work is expected.
		g.reserved = 0
		return catalogue.Background, true
	case urgent:
		g.reserved = 0
		return catalogue.Urgent, true
	case background && !p.urgentWaits && p.urgent.spare >= 1:
		return catalogue.Background, true
	}
	return "", false
}

// floorDue reports whether background work is below its floor.
func (g *Group) floorDue(now time.Time) bool {
	urgent, background := g.admitted.tokens(now)
	return background < g.o.BackgroundFloor*(urgent+background)
}

// dispatchOne grants or passes over the next request of a class.
func (g *Group) dispatchOne(p *pass, class catalogue.Class) {
	e := g.queue.Next(class)
	q := &e.Value.request
	rank := g.rankOf(p.now, q, class)
	if rank == rankOverShare {
		if p.fair.spare < 1 || p.closed[rank] {
			g.passOver(p, e, rank, overItsShare)
			return
		}
		g.reserved = p.fair.tokens
	}
	g.entitled = rank == rankUrgent && !g.o.NoClasses
	if !g.entitled && g.saturated() {
		g.passOver(p, e, rank, noRoom)
		return
	}
	s := memory.NewSequence(g.length(q), q.PromptTokens, 0, q.MaxOutputTokens)
	r, reason, why := g.place(p.now, q, &s)
	if why == placed {
		g.grant(p, e, r, reason, s)
		p.overtake(rank)
		return
	}
	if why == noneAccepts && p.now.Sub(e.Value.enqueued) >= noReplicaPatience {
		p.refuse(g.queue.Take(e, 0), ReasonNoReplica)
		return
	}
	g.passOver(p, e, rank, why)
}

// rankOf returns the rank of a request in the queue of a class.
func (g *Group) rankOf(now time.Time, q *Request, class catalogue.Class) rank {
	switch {
	case class == catalogue.Background:
		return rankBackground
	case g.overShare(now, q):
		return rankOverShare
	}
	return rankUrgent
}

// grant gives a request to a replica.
func (g *Group) grant(p *pass, e *fairqueue.Entry[ticket], r *replica, reason string, s memory.Sequence) {
	tokens := g.expectedTokens(&e.Value.request)
	t := g.queue.Take(e, tokens)
	q := &t.request
	yields := g.yields(p.now, q)
	g.hold(p.now, q, r, s, tokens, yields)
	g.noteUrgentSize(q.Class, tokens)
	if q.Class == catalogue.Urgent {
		g.shares.add(p.now, q.Workspace, max(q.Weight, fairqueue.MinWeight), tokens)
	}
	p.urgent.spare--
	p.fair.spare--
	g.prefixes.remember(q.PrefixHashes, r)
	// Only work admitted while background waits counts towards its floor, so
	// that background gains no credit while it has nothing to run.
	counted := g.queue.Len(catalogue.Background) > 0 || q.Class == catalogue.Background
	g.admitted.add(p.now, q.Class, tokens, counted)
	p.decisions = append(p.decisions, Decision{
		Request: *q,
		Grant: Grant{
			ID:        q.ID,
			Group:     g.key,
			Backend:   r.Name,
			Address:   r.Address,
			Owner:     g.o.Owner,
			QueuedFor: p.now.Sub(t.enqueued),
			Reason:    reason,
			Yields:    q.Class == catalogue.Urgent && yields,
		},
	})
}

// passOver leaves a request queued and lets other workspaces go first.
func (g *Group) passOver(p *pass, e *fairqueue.Entry[ticket], rank rank, why placement) {
	limit := maxIsolatedSkips
	if why == noRoom {
		limit = maxSkips
		p.short[rank] = append(p.short[rank], e)
		p.urgentWaits = p.urgentWaits || rank != rankBackground
	}
	p.skips[rank]++
	if p.skips[rank] >= limit || e.Bypassed >= maxBypassed {
		p.closed[rank] = true
	}
	g.queue.SetAside(e)
}

// NextWake returns when Dispatch must be called at the latest.
func (g *Group) NextWake(now time.Time) time.Time {
	wake := now.Add(time.Second)
	if g.waiting() == 0 {
		return wake
	}
	if deadline, any := g.queue.NextDeadline(); any && deadline.Before(wake) {
		wake = deadline
	}
	for _, r := range g.resting {
		if r.restUntil.Before(wake) {
			wake = r.restUntil
		}
	}
	if !g.unavailableSince.IsZero() {
		if at := g.unavailableSince.Add(noReplicaPatience); at.Before(wake) {
			wake = at
		}
		return wake
	}
	if at := now.Add(warmUpInterval); len(g.warming) > 0 && at.Before(wake) {
		wake = at
	}
	return wake
}

// warmUpInterval is how often the bound of a returning replica is applied.
const warmUpInterval = 250 * time.Millisecond
