package schedule

import (
	"slices"
	"time"

	"persimmonwing/internal/process/fairqueue"
	"persimmonwing/internal/version/catalogue"
)

// pass is the state of one call of Dispatch.
type pass struct {
	now       time.Time
	decisions []Decision
	// closed is set for ranks from which this pass grants no more requests.
	closed [ranks]bool
	// skips is the number of requests that were skipped, by rank, and limitedSkips that of those which may not use all replicas.
	skips, limitedSkips [ranks]int
	// floorDue is set while background work is granted to reach its floor, regardless of urgent work.
	floorDue bool
	// blocked lists the requests of each rank that were skipped for lack of room.
	// Later grants of this pass bypass them.
	blocked [ranks][]*fairqueue.Entry[queuedRequest]
	// urgentBlocked is set if an urgent request lacks room, so that background work
	// does not take the room for which that request waits.
	urgentBlocked bool
	// urgent is the headroom that background work leaves free, and fair is the
	// headroom that urgent work of workspaces over their share leaves free.
	urgent, fair headroom
	// kept holds, by class, the replicas that requests which have just come leave to others.
	kept [2]struct {
		known    bool
		replicas []*replica
	}
	// hopeless lists the requests that refuseHopeless refuses.
	hopeless []*fairqueue.Entry[queuedRequest]
}

// rank is the priority of a request; rankUrgent, for entitled work, is the highest.
type rank int

const (
	rankUrgent rank = iota
	// rankOverShare is urgent work of workspaces that use more than their share.
	rankOverShare
	rankBackground
	ranks
)

var rankNames = [ranks]string{"urgent", "over_share", "background"}

// String returns the name of the rank in accounts.
func (r rank) String() string { return rankNames[r] }

func classIndex(c catalogue.Class) int {
	if c == catalogue.Background {
		return 1
	}
	return 0
}

// newPass resets the group's pass and reuses its buffers, because an allocation in
// each Dispatch would exceed the goal of one allocation for each decision.
func (g *Group) newPass(now time.Time) *pass {
	p := &g.pass
	blocked := p.blocked
	for i := range blocked {
		blocked[i] = blocked[i][:0]
	}
	kept := p.kept
	for i := range kept {
		kept[i].known, kept[i].replicas = false, kept[i].replicas[:0]
	}
	*p = pass{now: now, blocked: blocked, kept: kept, hopeless: p.hopeless}
	return p
}

// oldestBlocked returns the earliest queue time of the entitled requests that were
// skipped for lack of room, or the zero time if there are none.
func (p *pass) oldestBlocked() time.Time {
	var oldest time.Time
	for _, e := range p.blocked[rankUrgent] {
		if at := e.Value.enqueued; oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

func (g *Group) refuse(p *pass, t queuedRequest, reason string) {
	p.decisions = append(p.decisions, g.refusal(p.now, t, reason))
}

func (g *Group) refuseDisplaced(p *pass) {
	for _, t := range g.displaced {
		class := t.request.Class
		p.decisions = append(p.decisions, Decision{Request: t.request, Refusal: &Refusal{
			Reason: ReasonQueueFull, RetryAfter: g.drainTime(p.now, class, g.queue.Len(class), 1), Account: g.queueFull(p.now, &t),
		}})
	}
	clear(g.displaced)
	g.displaced = g.displaced[:0]
}

func (g *Group) refuseExpired(p *pass) {
	for {
		t, expired := g.queue.PopExpired(p.now)
		if !expired {
			return
		}
		g.refuse(p, t, ReasonDeadline)
	}
}

// refuseUnplaceable refuses all waiting requests if no replica has accepted work for
// noReplicaTimeout.
func (g *Group) refuseUnplaceable(p *pass) {
	if g.unavailableSince.IsZero() || p.now.Sub(g.unavailableSince) < noReplicaTimeout {
		return
	}
	for _, class := range [...]catalogue.Class{catalogue.Urgent, catalogue.Background} {
		for e := g.queue.Next(class); e != nil; e = g.queue.Next(class) {
			g.refuse(p, g.queue.Take(e, 0), ReasonNoReplica)
		}
	}
}

// waitFor makes all requests of a rank, and those that give way to it, wait for one that was bypassed too often: at the replicas that
// it may use.
func (p *pass) waitFor(g *Group, rank rank, q *Request) {
	if len(q.Exclude) == 0 {
		p.closed[rank] = true
		return
	}
	for lower := rank; lower <= max(rank, rankOverShare); lower++ {
		g.reserve(lower, q)
	}
}

// reserve keeps the replicas that a request may use from others of a rank, until the end of the pass.
func (g *Group) reserve(rank rank, q *Request) {
	for _, r := range g.available {
		if !slices.Contains(q.Exclude, r.Name) {
			r.reservedIn[rank] = g.accounting.passes
		}
	}
}

// isReserved reports whether a replica is kept from requests of a rank.
func (g *Group) isReserved(r *replica, rank rank) bool {
	return r.reservedIn[rank] == g.accounting.passes
}

// countBypass counts a grant of a replica as a bypass of the requests of the same rank that were
// skipped before it and may use that replica. Other ranks are not counted, so that a request that yields does
// not block those to which it yields.
func (p *pass) countBypass(rank rank, granted *replica) {
	for _, e := range p.blocked[rank] {
		if !slices.Contains(e.Value.request.Exclude, granted.Name) {
			e.Bypassed++
		}
	}
}
