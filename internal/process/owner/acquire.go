package owner

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/pause"
)

const (
	// askAgainAfter is the pause when every gateway of a group has failed.
	askAgainAfter = 200 * time.Millisecond
	// endTimeout bounds the call that cancels or releases at an owner. After
	// grantLife the owner has forgotten the grant by itself.
	endTimeout = grantLife
)

// search is the state of one Acquire.
type search struct {
	request schedule.Request
	attempt int
	// failed names the gateways that could not be asked, or moved the request
	// on, since the last pause.
	failed map[string]bool
	// hint is the owner that a gateway named, if any.
	hint string
	// spill is the group to ask when the first one is busy, and spilled is set
	// once it was asked.
	spill   *schedule.GroupKey
	spilled bool
	// skip holds the groups that refused or whose gateways have all failed.
	skip map[schedule.GroupKey]bool
	// unreachable holds those of skip whose gateways have all failed.
	unreachable []schedule.GroupKey
	refusal     *schedule.Refusal
}

// Acquire waits for a grant. Its error is a *schedule.Refusal, or ctx's error
// when ctx ends first. r.ID must be unique for each attempt to run the request.
func (m *Manager) Acquire(ctx context.Context, r schedule.Request) (schedule.Grant, error) {
	r.Gateway = m.self()
	if r.DataCentre == "" {
		r.DataCentre = m.opt.View.Self().DataCentre
	}
	r.PrefixHashes = shortHashes(r.PrefixHashes)
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	s := &search{request: r, failed: map[string]bool{}, skip: map[schedule.GroupKey]bool{}}
	for {
		m.fetchMissed(ctx)
		if m.guard.check(r.Fingerprint) == crashguard.Refuse {
			return schedule.Grant{}, &schedule.Refusal{Reason: schedule.ReasonCrashes}
		}
		grant, err, done := m.step(ctx, s)
		if done {
			return grant, err
		}
	}
}

// step asks one owner; done is false when another shall be asked.
func (m *Manager) step(ctx context.Context, s *search) (schedule.Grant, error, bool) {
	if ctx.Err() != nil {
		return schedule.Grant{}, m.ended(ctx, s.request), true
	}
	if m.isStopping() {
		return schedule.Grant{}, &schedule.Refusal{Reason: schedule.ReasonStopping}, true
	}
	k, ok := m.choose(s)
	if !ok && len(s.unreachable) > 0 {
		_ = pause.For(ctx, askAgainAfter)
		s.retryUnreachable()
		return schedule.Grant{}, nil, false
	}
	if !ok {
		return schedule.Grant{}, s.noGroup(), true
	}
	gateway := m.next(s, k)
	if gateway == "" {
		s.giveUp(k)
		return schedule.Grant{}, nil, false
	}
	s.attempt++
	reply, err := m.ask(ctx, gateway, m.acquireArgs(k, s))
	switch {
	case ctx.Err() != nil:
		m.abandon(gateway, k, s)
		return schedule.Grant{}, m.ended(ctx, s.request), true
	case err != nil:
		level.Warn(m.opt.Logger).Log("msg", "group owner lost, asking the next", "group", k, "owner", gateway, "err", err)
		m.abandon(gateway, k, s)
		m.avoid(gateway)
		s.failed[gateway] = true
	case reply.Moved:
		s.failed[gateway] = true
		s.hint = reply.Hint
	case reply.Refusal != nil && reply.Refusal.Reason == schedule.ReasonBusy && s.spill != nil:
		m.spills.add(time.Now(), *s.spill)
		s.spilled = true
	case reply.Refusal != nil:
		s.skip[k] = true
		s.refusal = reply.Refusal
		if reply.Refusal.Reason == schedule.ReasonCrashes || reply.Refusal.Reason == schedule.ReasonDeadline {
			return schedule.Grant{}, reply.Refusal, true
		}
	default:
		m.hold(s.request, reply, gateway)
		// This process may have been paused since it asked.
		m.fetchMissed(ctx)
		if m.guard.check(s.request.Fingerprint) == crashguard.Refuse {
			m.Release(reply.Grant.ID, schedule.Outcome{NotRun: true})
			return schedule.Grant{}, &schedule.Refusal{Reason: schedule.ReasonCrashes}, true
		}
		return reply.Grant, nil, true
	}
	return schedule.Grant{}, nil, false
}

// choose returns the group to ask. A request that found its first group busy
// goes to the other one that had room.
func (m *Manager) choose(s *search) (schedule.GroupKey, bool) {
	if s.spilled && s.spill != nil {
		k := *s.spill
		s.spill = nil
		s.hint = ""
		clear(s.failed)
		return k, true
	}
	candidates := m.candidates(s.request.Model, s.skip)
	k, ok := m.opt.PickGroup(candidates, s.request, m.opt.View.Self().DataCentre)
	s.spill = nil
	if !ok || s.spilled || m.opt.Policy != PolicyOwner {
		return k, ok
	}
	now := time.Now()
	sent := func(k schedule.GroupKey) int { return m.spills.count(now, k) }
	if other, room := schedule.Spill(candidates, s.request, k, sent); room {
		s.spill = &other
	}
	return k, true
}

// acquireArgs asks for a grant of a group. The wait is short while another group
// has room.
func (m *Manager) acquireArgs(k schedule.GroupKey, s *search) AcquireArgs {
	a := AcquireArgs{Group: k, Request: s.request, Attempt: s.attempt}
	if s.spill != nil {
		a.Patience = schedule.SpillAfter
	}
	return a
}

// noGroup returns the refusal of a request for which no group is left.
func (s *search) noGroup() *schedule.Refusal {
	if s.refusal != nil {
		return s.refusal
	}
	return &schedule.Refusal{Reason: schedule.ReasonNoReplica, RetryAfter: time.Second}
}

// ended returns the error of an ended wait: a refusal if the request's own
// deadline passed, else the caller's.
func (m *Manager) ended(ctx context.Context, r schedule.Request) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !r.Deadline.IsZero() && !time.Now().Before(r.Deadline) {
		return &schedule.Refusal{Reason: schedule.ReasonDeadline}
	}
	return ctx.Err()
}

// next returns the gateway to ask for a group, or "" if all have failed.
func (m *Manager) next(s *search, k schedule.GroupKey) string {
	if s.hint != "" && !s.failed[s.hint] {
		return s.hint
	}
	for _, name := range m.order(k) {
		if !s.failed[name] {
			return name
		}
	}
	return ""
}

// giveUp turns to other groups when all gateways of one have failed.
func (s *search) giveUp(k schedule.GroupKey) {
	s.skip[k] = true
	s.unreachable = append(s.unreachable, k)
	clear(s.failed)
	s.hint = ""
}

// retryUnreachable lets the groups be asked again whose gateways had failed.
func (s *search) retryUnreachable() {
	for _, k := range s.unreachable {
		delete(s.skip, k)
	}
	s.unreachable = nil
}

// ask asks one gateway for a grant and waits.
func (m *Manager) ask(ctx context.Context, gateway string, args AcquireArgs) (AcquireReply, error) {
	if gateway == m.self() {
		return m.serveAcquire(ctx, args)
	}
	address, ok := m.opt.View.Peer(gateway)
	if !ok {
		return AcquireReply{}, errNotLive
	}
	args.pack(time.Now())
	reply := new(AcquireReply)
	if err := m.opt.Caller.Call(ctx, address, ServiceName+".Acquire", &args, reply); err != nil {
		return AcquireReply{}, err
	}
	reply.Grant.ID, reply.Grant.Group, reply.Grant.Owner = args.Request.ID, args.Group, gateway
	return *reply, nil
}

// abandon cancels a ticket at an owner that may still have it, in the
// background. If the call fails, the owner's grant expires.
func (m *Manager) abandon(gateway string, k schedule.GroupKey, s *search) {
	args := CancelArgs{Group: k, ID: s.request.ID, Attempt: s.attempt}
	if gateway == m.self() {
		m.serveCancel(args)
		return
	}
	m.inBackground(gateway, "Cancel", &args)
}

// inBackground calls a method of another gateway's Manager without waiting.
func (m *Manager) inBackground(gateway, method string, args any) {
	address, _ := m.opt.View.Peer(gateway)
	if address == "" {
		return
	}
	m.later(func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if err := m.opt.Caller.Call(ctx, address, ServiceName+"."+method, args, new(Empty)); err != nil {
			level.Debug(m.opt.Logger).Log("msg", "call to group owner failed", "method", method, "owner", gateway, "err", err)
		}
	})
}
