package owner

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

const (
	// trialTTL is the time after which the trial of a part ends without a result. An engine
	// under load reads a long prompt within it.
	trialTTL = 5 * time.Second
	// trialPollPeriod is the time between two requests for a trial that another request has.
	trialPollPeriod = 100 * time.Millisecond
	// trialCallTimeout bounds a call to the keeper of a part.
	trialCallTimeout = 200 * time.Millisecond
	// maxTrialCalls is the number of gateways that are asked for one trial.
	maxTrialCalls = 2
	// maxTrials bounds the trials that a gateway keeps.
	maxTrials = 4096
)

// TrialArgs names a part of a prompt and the grant request that is or wants to be its trial.
type TrialArgs struct {
	Part uint64
	ID   string
}

// TrialReply is the answer to a request for a trial.
type TrialReply struct{ Granted bool }

// trials are the trials in progress of the parts that a gateway keeps, by part.
type trials struct {
	mu      sync.Mutex
	running map[uint64]trial
}

type trial struct {
	id    string
	until time.Time
}

// begin makes a request the trial of a part unless another one is.
func (t *trials) begin(now time.Time, a TrialArgs) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.running[a.Part]; ok && r.id != a.ID && now.Before(r.until) {
		return false
	}
	if t.running == nil || len(t.running) >= maxTrials {
		t.running = map[uint64]trial{}
	}
	t.running[a.Part] = trial{a.ID, now.Add(trialTTL)}
	return true
}

func (t *trials) end(a TrialArgs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[a.Part].id == a.ID {
		delete(t.running, a.Part)
	}
}

// grantTrial decides on a request for a trial. The keeper may know of losses that the
// requesting gateway does not know yet.
func (m *Manager) grantTrial(now time.Time, a TrialArgs) bool {
	if m.guard.check(&schedule.Request{PartHashes: []uint64{a.Part}, Trial: true}) == crashguard.Refuse {
		return false
	}
	return m.trials.begin(now, a)
}

// awaitTrial returns when the request may run: at once, or when it is the trial of all suspect
// parts of its prompt. Otherwise each gateway and each engine would run a request with a part that
// crashes engines before the first crash is known.
func (m *Manager) awaitTrial(ctx context.Context, s *acquisition) error {
	started := time.Now()
	for {
		verdict := m.guard.check(&s.request)
		suspects, changed := m.guard.suspectParts(s.request.PartHashes)
		switch {
		case verdict == crashguard.Refuse:
			return &schedule.Refusal{Reason: schedule.ReasonCrashes}
		case len(suspects) == 0:
			return nil
		case s.isTrialOf(suspects):
			return nil
		case m.beginTrials(ctx, s, slices.Concat(suspects, s.trialSlots)):
			s.request.Trial = true
			level.Info(m.opt.Logger).Log("msg", "request is the trial of suspect prompt parts", "id", s.request.ID, "parts", formatParts(suspects), "waited_ms", time.Since(started).Milliseconds())
			return nil
		}
		poll := time.NewTimer(trialPollPeriod)
		select {
		case <-changed:
		case <-poll.C:
		case <-ctx.Done():
		}
		poll.Stop()
		if ctx.Err() != nil {
			return m.waitError(ctx, s.request)
		}
	}
}

// isTrialOf reports whether the request is the trial of all these parts.
func (s *acquisition) isTrialOf(parts []uint64) bool {
	return !slices.ContainsFunc(parts, func(p uint64) bool { return !slices.Contains(s.trial, p) })
}

// beginTrials makes the request the trial of all suspect parts, or of none. The order is the same
// for all requests, so that two requests with the same parts cannot each have one of them.
func (m *Manager) beginTrials(ctx context.Context, s *acquisition, suspects []uint64) bool {
	slices.Sort(suspects)
	for _, part := range suspects {
		if slices.Contains(s.trial, part) {
			continue
		}
		if !m.beginTrial(ctx, TrialArgs{Part: part, ID: s.request.ID}) {
			m.endTrials(s.request.ID, s.trial)
			s.trial, s.request.Trial = nil, false
			return false
		}
		s.trial = append(s.trial, part)
	}
	return true
}

// beginTrial asks the keeper of a part for its trial, and the next gateways in rank if it does
// not answer. A gateway that reaches none decides itself.
func (m *Manager) beginTrial(ctx context.Context, a TrialArgs) bool {
	var failed []string
	for range maxTrialCalls {
		keeper, ok := m.keeper(a.Part, failed)
		if !ok {
			break
		}
		var reply TrialReply
		call, cancel := context.WithTimeout(ctx, trialCallTimeout)
		err := m.opt.Caller.Call(call, keeper.PeerAddress, SuspectsServiceName+".BeginTrial", &a, &reply)
		cancel()
		if err == nil {
			return reply.Granted
		}
		m.endTrialAt(keeper, a) // the keeper may have granted it
		if ctx.Err() != nil {
			return false
		}
		failed = append(failed, keeper.Name)
		level.Info(m.opt.Logger).Log("msg", "keeper of a prompt part does not answer", "keeper", keeper.Name, "err", err)
	}
	return m.grantTrial(time.Now(), a)
}

// endTrials ends the trials of parts by a request, at all gateways that may have been asked.
func (m *Manager) endTrials(id string, parts []uint64) {
	for _, part := range parts {
		a := TrialArgs{Part: part, ID: id}
		m.trials.end(a)
		var asked []string
		for range maxTrialCalls {
			keeper, ok := m.keeper(part, asked)
			if !ok {
				break
			}
			m.endTrialAt(keeper, a)
			asked = append(asked, keeper.Name)
		}
	}
}

// endTrialAt ends a trial at a keeper, in the background.
func (m *Manager) endTrialAt(keeper membership.Gateway, a TrialArgs) {
	m.inBackground(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := m.opt.Caller.Call(ctx, keeper.PeerAddress, SuspectsServiceName+".EndTrial", &a, new(Empty)); err != nil {
			level.Debug(m.opt.Logger).Log("msg", "ending a trial failed", "keeper", keeper.Name, "err", err)
		}
	})
}

// keeper returns the gateway that keeps the trial of a part: the first in rank of the live
// gateways that are neither avoided nor among failed. It returns false if that is this gateway.
func (m *Manager) keeper(part uint64, failed []string) (membership.Gateway, bool) {
	gateways := map[string]membership.Gateway{}
	names := []string{m.self()}
	for _, g := range m.opt.View.Live() {
		if g.Name != m.self() && !m.isAvoided(g.Name) && !slices.Contains(failed, g.Name) {
			gateways[g.Name] = g
			names = append(names, g.Name)
		}
	}
	g, ok := gateways[readerAmong(names, strconv.FormatUint(part, 16))]
	return g, ok
}
