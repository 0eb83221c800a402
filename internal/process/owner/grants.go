package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/schedule"
)

// addHeld records a grant that this gateway has received.
func (m *Manager) addHeld(r schedule.Request, trial []uint64, reply AcquireReply, owner string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads.dirty = true
	m.held[reply.Grant.ID] = &held{
		Held:        schedule.Held{Request: r, Grant: reply.Grant},
		incarnation: reply.Incarnation,
		trial:       trial,
		owner:       owner,
	}
}

// Progress records the number of tokens generated under a grant. The next renewal
// reports it to the owner.
func (m *Manager) Progress(grantID string, generated int) {
	m.mu.Lock()
	h := m.held[grantID]
	if h == nil {
		m.mu.Unlock()
		return
	}
	first := h.Generated == 0 && generated > 0
	h.Generated = max(h.Generated, generated)
	group := groupID(h.Grant.Group)
	m.loads.dirty = m.loads.dirty || first
	parts := h.Request.PartHashes
	m.mu.Unlock()
	if first {
		m.answered(parts)
	}
	if first && m.opt.Policy == PolicyShared {
		// The engine has read the prompt, which the next placements have to consider.
		if r := m.runnerByID(group); r != nil {
			r.renew(time.Now(), grantHash(grantID), generated)
		}
	}
}

// Release ends a grant. It does not wait for the owner.
func (m *Manager) Release(grantID string, o schedule.Outcome) {
	m.mu.Lock()
	h := m.held[grantID]
	m.mu.Unlock()
	if h == nil {
		return
	}
	if o.EngineLost {
		m.markReportedLost(h.Grant.Backend, h.incarnation)
		m.engineLost(h.Grant.Backend, h.incarnation)
	}
	m.mu.Lock()
	delete(m.held, grantID)
	m.loads.dirty = true
	owner := h.owner
	m.mu.Unlock()
	m.endTrials(h.Grant.ID, h.trial)
	args := ReleaseArgs{Group: groupID(h.Grant.Group), ID: grantID, Outcome: o}
	if owner == m.self() {
		m.serveRelease(args)
	} else {
		m.callInBackground(owner, "Release", &args)
	}
	if o.Completed && !o.EngineLost {
		m.finished(h.Request.Fingerprint)
		m.answered(h.Request.PartHashes)
	}
}

// renewal holds the grants to renew at one owner.
type renewal struct {
	groups map[schedule.GroupKey]*GroupGrants
	full   map[uint32]schedule.Held
}

func (r *renewal) add(h schedule.Held) {
	g := r.groups[h.Grant.Group]
	if g == nil {
		g = &GroupGrants{Group: groupID(h.Grant.Group)}
		r.groups[h.Grant.Group] = g
	}
	hash := grantHash(h.Grant.ID)
	g.add(hash, h.Generated)
	r.full[hash] = h
}

func (r *renewal) args() RenewArgs {
	var a RenewArgs
	for _, g := range r.groups {
		a.Groups = append(a.Groups, *g)
	}
	return a
}

// renewAll renews all held grants, with one call per owner. After a change of ownership
// the new owner does not know the grants and receives them in full. When a call fails,
// its grants are renewed at the next owner immediately.
func (m *Manager) renewAll(ctx context.Context) {
	if !m.renewOnce(ctx) {
		m.renewOnce(ctx)
	}
}

// renewOnce calls each owner once and reports whether all were reached.
func (m *Manager) renewOnce(ctx context.Context) bool {
	var wait sync.WaitGroup
	var failed atomic.Bool
	for owner, r := range m.renewals() {
		wait.Go(func() {
			if !m.renew(ctx, owner, r) {
				failed.Store(true)
			}
		})
	}
	wait.Wait()
	return !failed.Load()
}

// renewals groups the held grants by the gateway that currently owns their group. If
// the data centre of a group has no live gateway, its grants keep their last owner.
func (m *Manager) renewals() map[string]*renewal {
	owners := map[schedule.GroupKey]string{}
	for _, k := range m.heldGroups() {
		if gatewayOrder := m.gatewayOrder(k); len(gatewayOrder) > 0 {
			owners[k] = gatewayOrder[0]
		}
	}
	out := map[string]*renewal{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.held {
		k := h.Grant.Group
		if owners[k] != "" {
			h.owner = owners[k]
		}
		r := out[h.owner]
		if r == nil {
			r = &renewal{groups: map[schedule.GroupKey]*GroupGrants{}, full: map[uint32]schedule.Held{}}
			out[h.owner] = r
		}
		r.add(h.Held)
	}
	return out
}

// heldGroups returns the groups of the held grants.
func (m *Manager) heldGroups() []schedule.GroupKey {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := map[schedule.GroupKey]bool{}
	var out []schedule.GroupKey
	for _, h := range m.held {
		if k := h.Grant.Group; !seen[k] {
			seen[k] = true
			out = append(out, k)
		}
	}
	return out
}

// renew renews grants at one owner and reports whether the owner was reached.
func (m *Manager) renew(ctx context.Context, owner string, r *renewal) bool {
	ctx, cancel := context.WithTimeout(ctx, renewPeriod)
	defer cancel()
	reply, err := m.callRenew(ctx, owner, r.args())
	if err != nil {
		m.avoid(owner)
		level.Debug(m.opt.Logger).Log("msg", "renewing grants failed", "owner", owner, "grants", len(r.full), "err", err)
		return false
	}
	m.stopAvoiding(owner)
	full := m.stillHeld(reply.Unknown, r.full)
	if len(full) == 0 {
		return true
	}
	if _, err := m.callRenew(ctx, owner, RenewArgs{Full: full}); err != nil {
		level.Debug(m.opt.Logger).Log("msg", "registering grants failed", "owner", owner, "grants", len(full), "err", err)
	}
	return true
}

// stillHeld returns the grants unknown to the owner that have not been released in the
// meantime.
func (m *Manager) stillHeld(unknown []uint32, full map[uint32]schedule.Held) []schedule.Held {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []schedule.Held
	for _, hash := range unknown {
		if h, ok := full[hash]; ok && m.held[h.Grant.ID] != nil {
			out = append(out, h)
		}
	}
	return out
}

func (m *Manager) callRenew(ctx context.Context, owner string, a RenewArgs) (RenewReply, error) {
	if owner == m.self() {
		return m.serveRenew(a), nil
	}
	address, ok := m.opt.View.Peer(owner)
	if !ok {
		return RenewReply{}, errNotLive
	}
	reply := new(RenewReply)
	if err := m.opt.Caller.Call(ctx, address, ServiceName+".Renew", &a, reply); err != nil {
		return RenewReply{}, err
	}
	return *reply, nil
}

// ownSummaries returns the summaries of the model's groups that this gateway runs as
// owner.
func (m *Manager) ownSummaries(model string) []schedule.Summary {
	var out []schedule.Summary
	for _, r := range m.allRunners() {
		if r.key.Model == model && m.owns(r.key) {
			out = append(out, r.summary(time.Now()))
		}
	}
	return out
}
