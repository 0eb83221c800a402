package schedule

import (
	"time"

	"persimmonwing/internal/process/fairqueue"
	"persimmonwing/internal/version/catalogue"
)

// pass is the state of one Dispatch.
type pass struct {
	now       time.Time
	decisions []Decision
	// closed ranks are not tried again in this pass.
	closed [ranks]bool
	skips  [ranks]int
	// short holds the requests of each rank passed over for lack of room. Later
	// grants of this pass overtake them.
	short [ranks][]*fairqueue.Entry[ticket]
	// urgentWaits is set when an urgent request lacks room, so that background
	// work does not take the room that it waits for.
	urgentWaits bool
	// urgent is the headroom that background work leaves free, and fair the one
	// that urgent work of workspaces over their share does.
	urgent, fair headroom
}

// rank orders the requests by what they are entitled to.
type rank int

const (
	rankUrgent rank = iota
	// rankOverShare is urgent work of workspaces that use more than their share.
	rankOverShare
	rankBackground
	ranks
)

func classIndex(c catalogue.Class) int {
	if c == catalogue.Background {
		return 1
	}
	return 0
}

// newPass resets the group's pass and keeps its buffers, because an allocation
// for each Dispatch would exceed the goal of one for each decision.
func (g *Group) newPass(now time.Time) *pass {
	p := &g.pass
	short := p.short
	for i := range short {
		short[i] = short[i][:0]
	}
	*p = pass{now: now, short: short}
	return p
}

// oldestShort returns since when an entitled request has waited for room, or the
// zero time.
func (p *pass) oldestShort() time.Time {
	var oldest time.Time
	for _, e := range p.short[rankUrgent] {
		if at := e.Value.enqueued; oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

func (p *pass) refuse(t ticket, reason string) {
	p.decisions = append(p.decisions, Decision{Request: t.request, Refusal: &Refusal{Reason: reason}})
}

func (g *Group) refuseDisplaced(p *pass) {
	for _, t := range g.displaced {
		class := t.request.Class
		p.decisions = append(p.decisions, Decision{Request: t.request, Refusal: &Refusal{
			Reason: ReasonQueueFull, RetryAfter: g.drainTime(p.now, class, g.queue.Len(class), 1),
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
		p.refuse(t, ReasonDeadline)
	}
}

// refuseUnplaceable empties the queue when no replica has accepted work for long.
func (g *Group) refuseUnplaceable(p *pass) {
	if g.unavailableSince.IsZero() || p.now.Sub(g.unavailableSince) < noReplicaPatience {
		return
	}
	for _, class := range [...]catalogue.Class{catalogue.Urgent, catalogue.Background} {
		for e := g.queue.Next(class); e != nil; e = g.queue.Next(class) {
			p.refuse(g.queue.Take(e, 0), ReasonNoReplica)
		}
	}
}

// overtake counts a grant against the requests of its rank that were passed over
// before it. A request that yields does not hold up those that it yields to.
func (p *pass) overtake(rank rank) {
	for _, e := range p.short[rank] {
		e.Bypassed++
	}
}
