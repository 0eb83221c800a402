package owner

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/pause"
)

const (
	// retryDelay is the delay before retrying a group whose gateways have all failed.
	retryDelay = 200 * time.Millisecond
	// releaseTimeout bounds the call that cancels a wait or releases a grant at an
	// owner. After grantTTL the owner drops the grant without the call.
	releaseTimeout = grantTTL
)

// acquisition is the state of one Acquire call.
type acquisition struct {
	request schedule.Request
	attempt int
	// failed holds the gateways that could not be reached for the current group, or
	// that redirected the request.
	failed map[string]bool
	// hint is the owner named by a gateway that redirected the request, or "".
	hint string
	// spill is the group to try when the first one is busy. spilled is set when the
	// first one was busy.
	spill   *schedule.GroupKey
	spilled bool
	// skip holds the groups that refused the request or whose gateways have all failed.
	skip map[schedule.GroupKey]bool
	// cold holds the groups in skip that had only cold replicas left. awaitsCold is set once the request has
	// tried all groups and waits for a right to start on a cold replica.
	cold       []schedule.GroupKey
	awaitsCold bool
	// unreachable holds the groups in skip whose gateways have all failed.
	unreachable []schedule.GroupKey
	refusal     *schedule.Refusal
	// account is that of the last wait that ended without a grant.
	account schedule.Account
	// trial holds the suspect parts of which the request is the trial, with trialSlots.
	trial []uint64
	// trialSlots are further parts of which a request with suspect parts has to become the trial.
	trialSlots []uint64
}

// Acquire waits for a grant. Its error is a *schedule.Refusal, or ctx's error when ctx
// ends first; the grant then has the account of the wait, if it is known. r.ID must be unique for each
// attempt to run the request.
func (m *Manager) Acquire(ctx context.Context, r schedule.Request) (schedule.Grant, error) {
	r.Gateway = m.self()
	if r.DataCentre == "" {
		r.DataCentre = m.opt.View.Self().DataCentre
	}
	r.PrefixHashes = truncateHashes(r.PrefixHashes)
	if r.Fingerprint != noFingerprint {
		r.PartHashes = append(slices.Clone(r.PartHashes), wholeRequestPart(r.Fingerprint))
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	s := &acquisition{request: r, failed: map[string]bool{}, skip: map[schedule.GroupKey]bool{}}
	for {
		m.fetchMissed(ctx)
		grant, err, done := schedule.Grant{}, m.awaitTrial(ctx, s), true
		if err == nil {
			grant, err, done = m.tryNext(ctx, s)
		}
		if !done {
			continue
		}
		if err != nil {
			m.endTrials(s.request.ID, s.trial)
			grant = schedule.Grant{Account: s.account}
		}
		return grant, err
	}
}

// wholeRequestPart returns the part that stands for a whole request that is given up. Of one that runs
// when its engine is lost, the fingerprint is the suspect.
func wholeRequestPart(fingerprint uint64) uint64 {
	return xxhash.Sum64String("request\x00" + strconv.FormatUint(fingerprint, 16))
}

// tryNext requests a grant from the next gateway. It returns false if another gateway
// is to be tried.
func (m *Manager) tryNext(ctx context.Context, s *acquisition) (schedule.Grant, error, bool) {
	if ctx.Err() != nil {
		return schedule.Grant{}, m.waitError(ctx, s.request), true
	}
	if m.isStopping() {
		return schedule.Grant{}, &schedule.Refusal{Reason: schedule.ReasonStopping}, true
	}
	k, ok := m.chooseGroup(s)
	if !ok && len(s.unreachable) > 0 {
		_ = pause.For(ctx, retryDelay)
		s.retryUnreachable()
		return schedule.Grant{}, nil, false
	}
	if !ok && len(s.cold) > 0 {
		for _, k := range s.cold {
			delete(s.skip, k)
		}
		s.cold, s.awaitsCold = nil, true
		return schedule.Grant{}, nil, false
	}
	if !ok {
		return schedule.Grant{}, m.finalRefusal(s), true
	}
	gateway := m.nextGateway(s, k)
	if gateway == "" {
		s.skipGroup(k)
		return schedule.Grant{}, nil, false
	}
	s.attempt++
	reply, err := m.requestGrant(ctx, gateway, m.acquireArgs(k, s))
	if reply.Refusal != nil {
		s.account = reply.Refusal.Account
	}
	expired := err == nil && reply.Refusal != nil && reply.Refusal.Reason == schedule.ReasonDeadline
	switch {
	case ctx.Err() != nil && !expired:
		m.cancelAt(gateway, k, s)
		return schedule.Grant{}, m.waitError(ctx, s.request), true
	case err != nil:
		level.Warn(m.opt.Logger).Log("msg", "group owner lost, asking the next", "group", k, "owner", gateway, "err", err)
		m.cancelAt(gateway, k, s)
		m.avoid(gateway)
		s.failed[gateway] = true
	case reply.Moved:
		s.failed[gateway] = true
		s.hint = reply.Hint
	case reply.Refusal != nil && reply.Refusal.Reason == schedule.ReasonBusy && s.spill != nil:
		m.spills.add(time.Now(), *s.spill)
		s.spilled = true
	case reply.Refusal != nil && reply.Refusal.Reason == schedule.ReasonBusy:
		s.skip[k] = true
		s.cold = append(s.cold, k)
		s.spilled = false
	case reply.Refusal != nil && reply.Refusal.Reason == schedule.ReasonTrial:
		// awaitTrial makes the request a trial before the next attempt.
	case reply.Refusal != nil:
		s.skip[k] = true
		s.refusal = reply.Refusal
		switch reply.Refusal.Reason {
		case schedule.ReasonCrashes, schedule.ReasonDeadline, schedule.ReasonNoRoomInTime:
			return schedule.Grant{}, reply.Refusal, true
		}
	default:
		m.addHeld(s.request, s.trial, reply, gateway)
		if m.evacuated(k.DataCentre) {
			// The owner didn't know it yet, or it began while this gateway waited for the reply.
			m.Release(reply.Grant.ID, schedule.Outcome{NotRun: true})
			s.skipGroup(k)
			s.refusal = &schedule.Refusal{Reason: schedule.ReasonNoReplica, RetryAfter: schedule.UnknownRoomWait}
			return schedule.Grant{}, nil, false
		}
		// This process may have been paused while it waited for the reply.
		m.fetchMissed(ctx)
		switch m.guard.check(&s.request) {
		case crashguard.Refuse:
			m.Release(reply.Grant.ID, schedule.Outcome{NotRun: true})
			return schedule.Grant{}, &schedule.Refusal{Reason: schedule.ReasonCrashes}, true
		case crashguard.AwaitTrial:
			m.Release(reply.Grant.ID, schedule.Outcome{NotRun: true})
			// The id of a grant that was released can't be used again.
			s.request.ID += "-t"
			s.trial, s.request.Trial = nil, false
			return schedule.Grant{}, nil, false
		}
		return reply.Grant, nil, true
	}
	return schedule.Grant{}, nil, false
}

// chooseGroup returns the group to request a grant from. A request whose first group
// was busy goes to the spill group, which had room when the first group was chosen.
func (m *Manager) chooseGroup(s *acquisition) (schedule.GroupKey, bool) {
	if s.spilled && s.spill != nil {
		k := *s.spill
		s.spill = nil
		s.hint = ""
		clear(s.failed)
		return k, true
	}
	candidates := m.withOtherReplicas(m.candidates(s.request.Model, s.skip), s.request.Exclude)
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

// withOtherReplicas returns the groups that list a replica which the request does not exclude, or all groups if there are none.
// In others it would wait for replicas that start.
func (m *Manager) withOtherReplicas(groups []schedule.Summary, exclude []string) []schedule.Summary {
	if len(exclude) == 0 {
		return groups
	}
	others := make([]schedule.Summary, 0, len(groups))
	for _, s := range groups {
		if slices.ContainsFunc(m.replicas(s.Group), func(r schedule.Replica) bool { return !slices.Contains(exclude, r.Name) }) {
			others = append(others, s)
		}
	}
	if len(others) == 0 {
		return groups
	}
	return others
}

// acquireArgs returns the arguments of a call that requests a grant of a group. The
// wait is limited to schedule.SpillAfter while another group has room, or until all groups were tried while the replicas of
// this one are cold.
func (m *Manager) acquireArgs(k schedule.GroupKey, s *acquisition) AcquireArgs {
	a := AcquireArgs{Group: k, Request: s.request, Attempt: s.attempt}
	if s.spill != nil {
		a.Patience = schedule.SpillAfter
	}
	if !s.awaitsCold && m.opt.Policy == PolicyOwner {
		a.ColdPatience = schedule.SpillAfter
	}
	return a
}

// waitError returns the error of a wait that ctx ended: a refusal if the request's own
// deadline has passed, else the error of ctx.
func (m *Manager) waitError(ctx context.Context, r schedule.Request) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !r.Deadline.IsZero() && !time.Now().Before(r.Deadline) {
		return &schedule.Refusal{Reason: schedule.ReasonDeadline, RetryAfter: schedule.UnknownRoomWait}
	}
	return ctx.Err()
}

// nextGateway returns the gateway to try next for a group, or "" if all have failed.
func (m *Manager) nextGateway(s *acquisition, k schedule.GroupKey) string {
	if s.hint != "" && !s.failed[s.hint] {
		return s.hint
	}
	for _, name := range m.gatewayOrder(k) {
		if !s.failed[name] {
			return name
		}
	}
	return ""
}

// skipGroup excludes a group whose gateways have all failed, so that other groups are
// tried.
func (s *acquisition) skipGroup(k schedule.GroupKey) {
	s.skip[k] = true
	s.unreachable = append(s.unreachable, k)
	clear(s.failed)
	s.hint = ""
}

// retryUnreachable makes the groups eligible again whose gateways had all failed.
func (s *acquisition) retryUnreachable() {
	for _, k := range s.unreachable {
		delete(s.skip, k)
	}
	s.unreachable = nil
}

// requestGrant requests a grant from one gateway and waits for the reply.
func (m *Manager) requestGrant(ctx context.Context, gateway string, args AcquireArgs) (AcquireReply, error) {
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

// cancelAt cancels the request's ticket, in the background, at an owner that may still
// have it, and notes the account if that is this gateway. If the call fails, the owner's grant expires.
func (m *Manager) cancelAt(gateway string, k schedule.GroupKey, s *acquisition) {
	args := CancelArgs{Group: k, ID: s.request.ID, Attempt: s.attempt}
	if gateway == m.self() {
		s.account = m.serveCancel(args)
		return
	}
	m.callInBackground(gateway, "Cancel", &args)
}

// callInBackground calls a method of another gateway's Manager without waiting for the
// reply.
func (m *Manager) callInBackground(gateway, method string, args any) {
	address, _ := m.opt.View.Peer(gateway)
	if address == "" {
		return
	}
	m.inBackground(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := m.opt.Caller.Call(ctx, address, ServiceName+"."+method, args, new(Empty)); err != nil {
			level.Debug(m.opt.Logger).Log("msg", "call to group owner failed", "method", method, "owner", gateway, "err", err)
		}
	})
}
