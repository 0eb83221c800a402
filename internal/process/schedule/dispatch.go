package schedule

import (
	"slices"
	"time"

	"persimmonwing/internal/process/fairqueue"
	"persimmonwing/internal/process/memory"
	"persimmonwing/internal/version/catalogue"
)

const (
	// maxSkips limits the workspaces of one rank that are skipped in a Dispatch for
	// lack of room, and thus its cost.
	maxSkips = 8
	// maxIsolatedSkips is the limit of skips for other reasons, such as suspects that
	// must end first.
	maxIsolatedSkips = 64
	// maxBypassed is the number of times that smaller requests may bypass one that
	// does not fit. After that, all requests of its rank wait for it.
	maxBypassed = 4
)

// Dispatch returns the decisions that can be made now: grants, and refusals of
// requests that were displaced, whose deadline has passed, or for which no replica
// accepted work within noReplicaTimeout.
func (g *Group) Dispatch(now time.Time) []Decision {
	p := g.newPass(now)
	g.accounting.passes++
	g.prefillBlocked = false
	g.refuseDisplaced(p)
	g.refuseExpired(p)
	g.refuseUnplaceable(p)
	g.endCooldowns(now)
	g.updateSlowStarts(now)
	g.startsExhausted = false
	p.urgent, p.fair = g.urgentHeadroom(now), g.fairHeadroom(now)
	for g.open() {
		if e := g.nextBelowFloor(now); e != nil {
			g.reservedTokens = 0
			g.dispatchOne(p, e, queueClass(&e.Value.request))
			continue
		}
		class, open := g.nextClass(p)
		if !open {
			break
		}
		g.dispatchOne(p, g.queue.Next(class), class)
	}
	g.queue.Restore()
	g.notePass()
	g.blockedSince = p.oldestBlocked()
	g.refuseHopeless(p)
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

// updateSlowStarts updates the loads of the replicas in slow start, whose bounds grow
// with time, and ends their slow start when it is over.
func (g *Group) updateSlowStarts(now time.Time) {
	for i := len(g.slowStarting) - 1; i >= 0; i-- {
		r := g.slowStarting[i]
		if now.Sub(r.returnedAt) >= g.o.SlowStart {
			r.returnedAt = time.Time{}
			g.slowStarting = slices.Delete(g.slowStarting, i, i+1)
		}
		g.update(r, now)
	}
}

// beginSlowStart begins or restarts the slow start of a replica.
func (g *Group) beginSlowStart(now time.Time, r *replica) {
	if r.returnedAt.IsZero() {
		g.slowStarting = append(g.slowStarting, r)
	}
	r.returnedAt = now
}

// open reports whether any available replica has an unused slot.
func (g *Group) open() bool {
	return g.openCount > 0 || (g.o.Policy == PolicyBaseline && len(g.available) > 0)
}

// saturated reports whether no replica has room for work that is not entitled. There
// must be an available replica.
func (g *Group) saturated() bool {
	return g.o.Policy != PolicyBaseline && g.available[0].load >= 1
}

// yields reports whether engines preempt the request before entitled work.
func (g *Group) yields(now time.Time, q *Request) bool {
	return q.Class == catalogue.Background || g.overShare(now, q)
}

// overShare reports whether a request gives way to others in memory and at engines, because its workspace is
// over its share of what this gateway grants. On memory-bound engines, work that is over its share in sum
// kept memory free that nobody waited for.
func (g *Group) overShare(now time.Time, q *Request) bool {
	return g.limitedByShare(now, q) && g.shares.exceededHere(now, q.Workspace)
}

// leavesSlots reports whether a request leaves free slots for others, because its workspace is over its share over
// all gateways.
func (g *Group) leavesSlots(now time.Time, q *Request) bool {
	return g.limitedByShare(now, q) && g.shares.exceeded(now, q.Workspace)
}

// limitedByShare reports whether shares hold for a request: urgent work of workspaces that are not below their
// floor. A generation that moves was admitted before and is lost if it finds no room.
func (g *Group) limitedByShare(now time.Time, q *Request) bool {
	return q.Class == catalogue.Urgent && !q.Moving && !g.o.NoFairness && !g.floors.below(now, q.Workspace)
}

// nextClass returns the class to serve next: background work while it is below its
// floor, else urgent work, and background work if no urgent request lacks room. It
// returns false if there is nothing to serve.
func (g *Group) nextClass(p *pass) (catalogue.Class, bool) {
	g.reservedTokens = p.urgent.tokens
	p.floorDue = false
	urgent := !p.closed[rankUrgent] && g.queue.Next(catalogue.Urgent) != nil
	background := !p.closed[rankBackground] && g.queue.Next(catalogue.Background) != nil
	switch {
	case g.o.NoClasses:
		g.reservedTokens = 0
		return catalogue.Urgent, urgent
	case background && g.floorDue(p.now):
		// The floor is granted regardless of the urgent work that is expected.
		g.reservedTokens = 0
		p.floorDue = true
		return catalogue.Background, true
	case urgent:
		g.reservedTokens = 0
		return catalogue.Urgent, true
	case background && !p.urgentBlocked && p.urgent.spare >= 1:
		return catalogue.Background, true
	}
	return "", false
}

// floorDue reports whether the share of background work is below its floor.
func (g *Group) floorDue(now time.Time) bool {
	urgent, background := g.admitted.tokens(now)
	return background < g.o.BackgroundFloor*(urgent+background)
}

// dispatchOne grants, refuses or skips a request that is next in a class.
func (g *Group) dispatchOne(p *pass, e *fairqueue.Entry[queuedRequest], class catalogue.Class) {
	q := &e.Value.request
	rank := g.rankOf(p.now, q, class)
	overShare := g.overShare(p.now, q)
	if rank == rankOverShare && (p.fair.spare < 1 || p.closed[rank]) {
		g.skip(p, e, rank, reservedForOthers)
		return
	}
	if overShare {
		g.reservedTokens = p.fair.tokens
	}
	// A moving generation that finds room only with the smaller margin would soon be preempted, or
	// make another one be.
	g.entitled = rank != rankBackground && !overShare && !g.o.NoClasses && !q.Moving
	g.accounting.placing = LackNone
	if !g.entitled && !q.Moving && g.saturated() {
		g.accounting.placing = g.saturatedBy(p.now)
		g.skip(p, e, rank, noRoom)
		return
	}
	g.keptFor = p.keptFrom(g, &e.Value)
	g.placingRank, g.placingFloor = rank, p.floorDue && rank == rankBackground
	s := memory.NewSequence(g.lengthEstimate(q), q.PromptTokens, q.Generated, q.MaxOutputTokens)
	r, reason, why := g.place(p.now, q, &s)
	if why == placed {
		g.grant(p, e, r, reason, s)
		p.countBypass(rank, r)
		return
	}
	if why == noneEligible && p.now.Sub(e.Value.enqueued) >= noReplicaTimeout {
		g.refuse(p, g.queue.Take(e, 0), ReasonNoReplica)
		return
	}
	g.skip(p, e, rank, why)
}

// rankOf returns the rank of a request that is queued in a class.
func (g *Group) rankOf(now time.Time, q *Request, class catalogue.Class) rank {
	switch {
	case class == catalogue.Background:
		return rankBackground
	case g.leavesSlots(now, q):
		return rankOverShare
	}
	return rankUrgent
}

// grant grants a replica to the queued request e.
func (g *Group) grant(p *pass, e *fairqueue.Entry[queuedRequest], r *replica, reason string, s memory.Sequence) {
	tokens := g.expectedTokens(&e.Value.request)
	// The replica that a moving generation leaves has charged what it has used so far.
	t := g.queue.Take(e, tokens-chargedBefore(&e.Value.request))
	account := g.account(p.now, &t)
	g.accounting.noteGrant(&t.entry)
	q := &t.request
	yields := g.yields(p.now, q)
	running, unread, used := r.occupied(), r.unread(), r.projection.Used()
	g.addGrant(p.now, q, r, s, tokens, yields)
	p.urgent.spare--
	p.fair.spare--
	if account.Rank == rankOverShare.String() {
		g.shares.spareRight--
	}
	g.prefixes.remember(q.PrefixHashes, r)
	if !q.Moving {
		g.countAdmission(p.now, q, tokens)
	}
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
			Running:   running,
			Unread:    unread,
			Used:      used,
			StepUS:    int(r.step * 1e3),
			ReportAge: r.reportAge(p.now),
			Yields:    q.Class == catalogue.Urgent && yields,
			Account:   account,
		},
	})
}

// countAdmission records a grant for the shares of workspaces and classes. A generation that moves was
// counted when it was first granted.
func (g *Group) countAdmission(now time.Time, q *Request, tokens float64) {
	g.floors.add(now, q.Workspace, tokens)
	if q.Class == catalogue.Urgent {
		g.updateMeanUrgentSize(tokens)
		g.shares.add(now, q.Workspace, max(q.Weight, fairqueue.MinWeight), tokens)
	}
	// Only work that is granted while background requests wait counts towards the
	// floor, so that background work accumulates no credit while it has no requests.
	counted := g.queue.Len(catalogue.Background) > 0 || q.Class == catalogue.Background
	g.admitted.add(now, q.Class, tokens, counted)
}

// skip leaves a request queued and lets others go first in this Dispatch: those of other workspaces, and those of its own behind it if it
// lacks room only at the replicas that it may use.
func (g *Group) skip(p *pass, e *fairqueue.Entry[queuedRequest], rank rank, why placement) {
	g.noteSkip(&e.Value.entry, why)
	q := &e.Value.request
	if why == noRoom {
		p.blocked[rank] = append(p.blocked[rank], e)
	}
	if e.Bypassed >= maxBypassed {
		p.waitFor(g, rank, q)
	}
	if len(q.Exclude) > 0 && why != reservedForOthers {
		if why == noRoom && rank != rankBackground {
			g.reserve(rankBackground, q)
		}
		p.limitedSkips[rank]++
		p.closed[rank] = p.closed[rank] || p.limitedSkips[rank] >= maxIsolatedSkips
		g.queue.PassOver(e)
		return
	}
	limit := maxIsolatedSkips
	if why == noRoom {
		limit = maxSkips
		p.urgentBlocked = p.urgentBlocked || rank != rankBackground
	}
	p.skips[rank]++
	p.closed[rank] = p.closed[rank] || p.skips[rank] >= limit
	g.queue.SetAside(e)
}

// NextWake returns the time by which Dispatch must be called again.
func (g *Group) NextWake(now time.Time) time.Time {
	wake := now.Add(time.Second)
	if g.waiting() == 0 {
		return wake
	}
	if deadline, any := g.queue.NextDeadline(); any && deadline.Before(wake) {
		wake = deadline
	}
	for _, r := range g.coolingDown {
		if r.cooldownUntil.Before(wake) {
			wake = r.cooldownUntil
		}
	}
	if !g.unavailableSince.IsZero() {
		if at := g.unavailableSince.Add(noReplicaTimeout); at.Before(wake) {
			wake = at
		}
		return wake
	}
	if at := now.Add(slowStartInterval); (len(g.slowStarting) > 0 || g.startsExhausted) && at.Before(wake) {
		wake = at
	}
	if at := now.Add(prefillInterval); g.prefillBlocked && at.Before(wake) {
		wake = at
	}
	if at := now.Add(outlookPeriod); g.o.Policy == PolicyShared && at.Before(wake) {
		wake = at
	}
	return wake
}

// prefillInterval is the time between two tries to place a request that waits for prompts to be
// prefilled. An engine reads a short prompt in about this time.
const prefillInterval = 50 * time.Millisecond

// slowStartInterval is the time between two updates of the bounds of replicas in slow
// start.
const slowStartInterval = 250 * time.Millisecond
