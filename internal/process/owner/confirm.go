package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

const (
	// confirmTimeout bounds the question to an arbiter. A round trip between data
	// centres takes 3 ms; a grant without an answer stands, since only efficiency
	// depends on the arbiter.
	confirmTimeout = 50 * time.Millisecond
	// insistAfter is the number of refusals of a request after which its claims no
	// longer depend on how full its gateway believed the engine.
	insistAfter = 3
)

// pending is a grant whose claim was not decided yet.
type pending struct {
	ticket *ticket
	grant  schedule.Grant
	claim  schedule.Claim
}

// ClaimArgs asks an engine's arbiter to confirm a grant.
type ClaimArgs struct {
	Group schedule.GroupKey
	Claim schedule.Claim
}

// ClaimReply is the arbiter's decision. Loads are what it knows of the engine if it
// refuses.
type ClaimReply struct {
	Refused bool
	Loads   []schedule.GatewayLoad
}

// Confirm decides a claim on an engine.
func (s *Service) Confirm(in *ClaimArgs, out *ClaimReply) error {
	r, err := s.m.runner(in.Group)
	if err != nil {
		return err
	}
	*out = r.serveClaim(time.Now(), in.Claim)
	return nil
}

func (r *runner) serveClaim(now time.Time, c schedule.Claim) ClaimReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.group.Confirm(now, c) {
		return ClaimReply{}
	}
	return ClaimReply{Refused: true, Loads: r.group.LoadsOn(c.Load.Replica)}
}

// confirm asks the arbiter of a granted engine whether the grant stands, under the
// shared policy. An arbiter that does not answer is not asked again for a while.
func (m *Manager) confirm(r *runner, p pending) {
	arbiter, ok := m.arbiter(p.grant.Backend)
	if !ok {
		r.confirmed(p)
		return
	}
	m.mu.Lock()
	p.claim.After = m.loads.number
	m.mu.Unlock()
	p.claim.Insists = p.claim.Insists || p.ticket.refusals >= insistAfter
	m.later(func() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		var reply ClaimReply
		err := m.opt.Caller.Call(ctx, arbiter.PeerAddress, ServiceName+".Confirm", &ClaimArgs{Group: r.key, Claim: p.claim}, &reply)
		if err != nil {
			m.avoid(arbiter.Name)
			level.Info(m.opt.Logger).Log("msg", "grant not confirmed, it stands", "id", p.grant.ID, "engine", p.grant.Backend, "arbiter", arbiter.Name, "err", err)
		}
		if !reply.Refused {
			r.confirmed(p)
			return
		}
		level.Info(m.opt.Logger).Log("msg", "grant refused by arbiter", "id", p.grant.ID, "engine", p.grant.Backend, "arbiter", arbiter.Name, "refusals", p.ticket.refusals+1, "pressure_seen", p.claim.Seen)
		r.unconfirmed(time.Now(), p, reply.Loads)
	})
}

// arbiter returns the gateway that decides the claims on an engine, unless it is
// this one or did not answer lately.
func (m *Manager) arbiter(engine string) (membership.Gateway, bool) {
	if m.opt.Policy != PolicyShared {
		return membership.Gateway{}, false
	}
	name := m.readers()(engine)
	if name == "" || name == m.self() || m.avoids(name) {
		return membership.Gateway{}, false
	}
	for _, g := range m.opt.View.Live() {
		if g.Name == name {
			return g, true
		}
	}
	return membership.Gateway{}, false
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
