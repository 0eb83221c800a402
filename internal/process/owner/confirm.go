package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/version/catalogue"
)

const (
	// confirmTimeout bounds the call to one arbiter. A round trip between data centres
	// takes 3 ms. An arbiter with a fifth of a core decides about 60 reservations in
	// 50 ms, and that many arrive at once when an engine starts during a burst.
	confirmTimeout = 200 * time.Millisecond
	// confirmAttempts is the number of arbiters tried. If none answers, the grant is
	// valid without confirmation, since only efficiency depends on the arbiter.
	confirmAttempts = 2
	// cutOffThreshold is the minimum number of gateways with a recently failed call, in data
	// centres that answer, for this gateway to assume that it is cut off itself and to call no arbiter.
	cutOffThreshold = 3
	// ignoreLoadAfter is the number of refusals of a request after which its
	// reservations no longer depend on the load that its gateway assumed on the engine.
	ignoreLoadAfter = 3
	// firstDelayedRefusal is the number of refusals from which on a request waits before it
	// is placed again. The first refusals mostly correct an outdated view.
	firstDelayedRefusal = 3
	// minRefusalDelay and maxRefusalDelay bound this wait. An engine ends a generation every
	// 0.3 s or so, and urgent requests may wait about a second in all.
	minRefusalDelay = 20 * time.Millisecond
	maxRefusalDelay = 160 * time.Millisecond
)

// pendingGrant is a grant whose reservation has not been decided yet.
type pendingGrant struct {
	ticket      *ticket
	grant       schedule.Grant
	reservation schedule.Reservation
}

// ConfirmArgs requests confirmation of a grant from the engine's arbiter.
type ConfirmArgs struct {
	Group       schedule.GroupKey
	Reservation schedule.Reservation
}

// ConfirmReply is the arbiter's decision. If it refuses, Loads holds the loads on the
// engine that the arbiter knows of.
type ConfirmReply struct {
	Refused bool
	Loads   []schedule.GatewayLoad
}

// Confirm accepts or refuses a reservation on an engine.
func (s *Service) Confirm(in *ConfirmArgs, out *ConfirmReply) error {
	r, err := s.m.runner(in.Group)
	if err != nil {
		return err
	}
	s.m.mu.Lock()
	number := s.m.loads.number
	s.m.mu.Unlock()
	*out = r.serveConfirm(time.Now(), in.Reservation, number)
	return nil
}

// serveConfirm decides a reservation. ownNumber is the number of the newest loads that this
// gateway has sent.
func (r *runner) serveConfirm(now time.Time, c schedule.Reservation, ownNumber uint64) ConfirmReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.group.Confirm(now, c) {
		return ConfirmReply{}
	}
	return ConfirmReply{Refused: true, Loads: r.group.LoadsByGateway(c.Load.Replica, ownNumber)}
}

// confirm requests confirmation of a grant from the engine's arbiter, under the shared
// policy. An arbiter that does not answer is avoided for a while, and the next gateway
// in rank decides.
func (m *Manager) confirm(r *runner, p pendingGrant) {
	arbiter, ok := m.arbiter(p.grant.Backend)
	if !ok {
		r.completeGrant(p)
		return
	}
	m.mu.Lock()
	p.reservation.After = m.loads.number
	m.mu.Unlock()
	p.reservation.Insists = p.reservation.Insists || p.ticket.refusals >= ignoreLoadAfter
	m.inBackground(func() {
		var reply ConfirmReply
		for try := 0; try < confirmAttempts && ok; try++ {
			var err error
			began := time.Now()
			if reply, err = m.callConfirm(arbiter, ConfirmArgs{Group: r.key, Reservation: p.reservation}); err == nil {
				m.noteAnswer(arbiter)
				break
			}
			m.noteNoAnswer(arbiter, began)
			level.Info(m.opt.Logger).Log("msg", "arbiter does not answer", "id", p.grant.ID, "engine", p.grant.Backend, "arbiter", arbiter.Name, "err", err)
			arbiter, ok = m.arbiter(p.grant.Backend)
		}
		if !reply.Refused {
			r.completeGrant(p)
			return
		}
		level.Info(m.opt.Logger).Log("msg", "grant refused by arbiter", "id", p.grant.ID, "engine", p.grant.Backend, "arbiter", arbiter.Name, "refusals", p.ticket.refusals+1, "pressure_seen", p.reservation.Seen)
		r.withdrawGrant(time.Now(), p, reply.Loads)
	})
}

func (m *Manager) callConfirm(arbiter membership.Gateway, args ConfirmArgs) (reply ConfirmReply, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	err = m.opt.Caller.Call(ctx, arbiter.PeerAddress, ServiceName+".Confirm", &args, &reply)
	return reply, err
}

// arbiter returns the gateway that decides the reservations on an engine: the first in
// rank of the live gateways that are not avoided and not in a data centre that seems cut off. It
// returns false if that is this gateway or if this gateway seems to be cut off.
func (m *Manager) arbiter(engine string) (membership.Gateway, bool) {
	if m.opt.Policy != PolicyShared {
		return membership.Gateway{}, false
	}
	gateways := map[string]membership.Gateway{}
	var names []string
	unavailable := 0
	for _, g := range m.opt.View.Peers() {
		switch {
		case m.seemsCut(g.DataCentre):
			continue
		case m.isAvoided(g.Name):
			unavailable++
			continue
		}
		gateways[g.Name] = g
		names = append(names, g.Name)
	}
	name := readerAmong(names, engine)
	if name == "" || name == m.self() || unavailable >= cutOffThreshold {
		return membership.Gateway{}, false
	}
	return gateways[name], true
}

// completeGrant ends the wait for a grant that is valid.
func (r *runner) completeGrant(p pendingGrant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, held := r.grants[p.grant.ID]; !held {
		// The caller has cancelled in the meantime.
		p.ticket.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonDeadline}})
		return
	}
	p.ticket.end(result{grant: p.grant})
}

// withdrawGrant releases a grant that the arbiter refused, corrects the loads of its
// engine and queues the request again.
func (r *runner) withdrawGrant(now time.Time, p pendingGrant, loads []schedule.GatewayLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, held := r.grants[p.grant.ID]; !held {
		p.ticket.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonDeadline}})
		return
	}
	r.removeGrant(p.grant.ID)
	r.group.Release(now, p.grant.ID, schedule.Outcome{NotRun: true})
	r.group.CorrectPeerLoads(now, p.grant.Backend, loads)
	r.group.Postpone(now, p.grant.Backend)
	p.grant.Account.Continue(p.ticket.account, p.ticket.refusals)
	p.ticket.account = p.grant.Account
	p.ticket.refusals++
	if r.closed {
		p.ticket.end(result{moved: true})
		return
	}
	r.admitAfter(refusalDelay(&p.ticket.request, p.ticket.refusals), p.ticket)
}

// refusalDelay returns the time after which a request is placed again after a number of
// refusals by arbiters.
//
// Load pattern: in a burst all engines are full, and each gateway places its waiting
// requests on the engine that looks least full to it. Without a delay a request was refused
// by one arbiter after the other, up to 27 in 0.1 s, and the arbiters had no time for
// anything else. Urgent requests do not wait: with the delay they were overtaken, and
// 327 instead of 265 of 1,488 were late.
func refusalDelay(q *schedule.Request, refusals int) time.Duration {
	if q.Class == catalogue.Urgent || q.Moving || refusals < firstDelayedRefusal {
		return 0
	}
	return min(maxRefusalDelay, minRefusalDelay<<min(refusals-firstDelayedRefusal, 8))
}
