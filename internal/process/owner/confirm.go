package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

const (
	// confirmTimeout bounds the question to one arbiter. A round trip between data
	// centres takes 3 ms, and an arbiter with a fifth of a core decides some 60 reservations
	// in 50 ms, which come at once when an engine starts during a burst.
	confirmTimeout = 200 * time.Millisecond
	// confirmTries is the number of arbiters asked. After them a grant stands, since
	// only efficiency depends on the arbiter.
	confirmTries = 2
	// cutOffAfter is the number of gateways that did not answer lately from which on
	// this one takes itself for cut off and asks no arbiter.
	cutOffAfter = 3
	// insistAfter is the number of refusals of a request after which its reservations no
	// longer depend on how full its gateway believed the engine.
	insistAfter = 3
)

// pending is a grant whose reservation was not decided yet.
type pending struct {
	ticket      *ticket
	grant       schedule.Grant
	reservation schedule.Reservation
}

// ConfirmArgs asks an engine's arbiter to confirm a grant.
type ConfirmArgs struct {
	Group       schedule.GroupKey
	Reservation schedule.Reservation
}

// ConfirmReply is the arbiter's decision. Loads are what it knows of the engine if it
// refuses.
type ConfirmReply struct {
	Refused bool
	Loads   []schedule.GatewayLoad
}

// Confirm decides a reservation on an engine.
func (s *Service) Confirm(in *ConfirmArgs, out *ConfirmReply) error {
	r, err := s.m.runner(in.Group)
	if err != nil {
		return err
	}
	*out = r.serveConfirm(time.Now(), in.Reservation)
	return nil
}

func (r *runner) serveConfirm(now time.Time, c schedule.Reservation) ConfirmReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.group.Confirm(now, c) {
		return ConfirmReply{}
	}
	return ConfirmReply{Refused: true, Loads: r.group.LoadsOn(c.Load.Replica)}
}

// confirm asks the arbiter of a granted engine whether the grant stands, under the
// shared policy. One that does not answer is not asked again for a while, and the
// next one in rank decides.
func (m *Manager) confirm(r *runner, p pending) {
	arbiter, ok := m.arbiter(p.grant.Backend)
	if !ok {
		r.confirmed(p)
		return
	}
	m.mu.Lock()
	p.reservation.After = m.loads.number
	m.mu.Unlock()
	p.reservation.Insists = p.reservation.Insists || p.ticket.refusals >= insistAfter
	m.later(func() {
		var reply ConfirmReply
		for try := 0; try < confirmTries && ok; try++ {
			var err error
			if reply, err = m.askArbiter(arbiter, ConfirmArgs{Group: r.key, Reservation: p.reservation}); err == nil {
				break
			}
			m.avoid(arbiter.Name)
			level.Info(m.opt.Logger).Log("msg", "arbiter does not answer", "id", p.grant.ID, "engine", p.grant.Backend, "arbiter", arbiter.Name, "err", err)
			arbiter, ok = m.arbiter(p.grant.Backend)
		}
		if !reply.Refused {
			r.confirmed(p)
			return
		}
		level.Info(m.opt.Logger).Log("msg", "grant refused by arbiter", "id", p.grant.ID, "engine", p.grant.Backend, "arbiter", arbiter.Name, "refusals", p.ticket.refusals+1, "pressure_seen", p.reservation.Seen)
		r.unconfirmed(time.Now(), p, reply.Loads)
	})
}

func (m *Manager) askArbiter(arbiter membership.Gateway, args ConfirmArgs) (reply ConfirmReply, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	err = m.opt.Caller.Call(ctx, arbiter.PeerAddress, ServiceName+".Confirm", &args, &reply)
	return reply, err
}

// arbiter returns the gateway that decides the reservations on an engine: the first in
// rank of those that answer. There is none if that is this gateway or if it seems to
// be cut off.
func (m *Manager) arbiter(engine string) (membership.Gateway, bool) {
	if m.opt.Policy != PolicyShared {
		return membership.Gateway{}, false
	}
	gateways := map[string]membership.Gateway{}
	var names []string
	silent := 0
	for _, g := range m.opt.View.Live() {
		if m.avoids(g.Name) {
			silent++
			continue
		}
		gateways[g.Name] = g
		names = append(names, g.Name)
	}
	name := readerAmong(names, engine)
	if name == "" || name == m.self() || silent >= cutOffAfter {
		return membership.Gateway{}, false
	}
	return gateways[name], true
}

// confirmed ends the wait of a grant that stands.
func (r *runner) confirmed(p pending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, held := r.granted[p.grant.ID]; !held {
		// The caller has left meanwhile.
		p.ticket.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonDeadline}})
		return
	}
	p.ticket.end(result{grant: p.grant})
}

// unconfirmed takes a grant back and queues its request again.
func (r *runner) unconfirmed(now time.Time, p pending, loads []schedule.GatewayLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, held := r.granted[p.grant.ID]; !held {
		p.ticket.end(result{refusal: &schedule.Refusal{Reason: schedule.ReasonDeadline}})
		return
	}
	r.forget(p.grant.ID)
	r.group.Release(now, p.grant.ID, schedule.Outcome{NotRun: true})
	r.group.Correct(now, p.grant.Backend, loads)
	r.group.Postpone(now, p.grant.Backend)
	p.ticket.refusals++
	if r.closed {
		p.ticket.end(result{moved: true})
		return
	}
	r.admit(now, p.ticket)
	r.poke()
}
