package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/schedule"
)

const (
	// takeover is the longest time for which a new runner grants nothing under
	// PolicyOwner, so that gateways first register the grants of an earlier owner.
	// It is longer than renewPeriod.
	takeover = 600 * time.Millisecond
	// registerTimeout bounds one registration.
	registerTimeout = 500 * time.Millisecond
)

// RegisterArgs tells a new owner all grants that a gateway holds in some groups.
type RegisterArgs struct {
	Gateway string
	Groups  []schedule.GroupKey
	Held    []schedule.Held
}

// Register takes over the grants of a gateway after a change of owner.
func (s *Service) Register(in *RegisterArgs, _ *Empty) error {
	s.m.serveRegister(*in)
	return nil
}

// OwnersChanged makes the Manager look at the owners of groups at once. It does
// not block.
func (m *Manager) OwnersChanged() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// watchOwners registers this gateway's grants whenever owners change.
func (m *Manager) watchOwners(ctx context.Context) {
	for {
		select {
		case <-m.changed:
			m.followOwners(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// followOwners gives up groups that have another owner, takes those that are now
// its own, and registers with the new owners of all groups of its data centre.
func (m *Manager) followOwners(ctx context.Context) {
	if m.opt.Policy != PolicyOwner || m.isStopping() {
		return
	}
	for _, r := range m.existing() {
		r.setOwned(m.owns(r.key))
	}
	for owner, groups := range m.newOwners() {
		args := RegisterArgs{Gateway: m.self(), Groups: groups, Held: m.heldOf(groups)}
		if owner != m.self() {
			m.later(func() { m.register(ctx, owner, args) })
			continue
		}
		m.serveRegister(args)
		// An earlier registration of another gateway may have started a group before
		// this gateway knew the group's engines.
		for _, r := range m.existing() {
			m.equip(time.Now(), r)
		}
		m.poll(ctx, false)
	}
}

// newOwners returns the groups of this data centre whose owner has changed since
// the last call, by owner.
func (m *Manager) newOwners() map[string][]schedule.GroupKey {
	out := map[string][]schedule.GroupKey{}
	owners := map[schedule.GroupKey]string{}
	for _, k := range m.knownGroups() {
		owners[k] = m.opt.View.Owner(k)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for k, owner := range owners {
		if owner != "" && owner != m.owners[k] {
			out[owner] = append(out[owner], k)
		}
	}
	m.owners = owners
	return out
}

// heldOf returns the grants of some groups that this gateway uses.
func (m *Manager) heldOf(groups []schedule.GroupKey) []schedule.Held {
	among := map[schedule.GroupKey]bool{}
	for _, k := range groups {
		among[k] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []schedule.Held
	for _, h := range m.held {
		if among[h.Grant.Group] {
			out = append(out, h.Held)
		}
	}
	return out
}

// register tells a new owner of this gateway's grants. If it fails, renewals do.
func (m *Manager) register(ctx context.Context, owner string, args RegisterArgs) {
	address, ok := m.opt.View.Peer(owner)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := m.opt.Caller.Call(ctx, address, ServiceName+".Register", &args, &Empty{}); err != nil {
		level.Debug(m.opt.Logger).Log("msg", "grants not registered", "owner", owner, "grants", len(args.Held), "err", err)
	}
}

// serveRegister adopts grants. Once every live gateway of the data centre has
// registered with a group, its takeover ends.
func (m *Manager) serveRegister(a RegisterArgs) {
	now := time.Now()
	for _, k := range a.Groups {
		r, err := m.runner(k)
		if err != nil {
			return
		}
		r.setOwned(m.owns(k))
		for _, h := range a.Held {
			if h.Grant.Group == k {
				r.adopt(now, h)
			}
		}
		if r.registered(a.Gateway, m.localGateways()) {
			level.Debug(m.opt.Logger).Log("msg", "group taken over", "group", k)
		}
	}
}

// localGateways returns the live gateways of the data centre.
func (m *Manager) localGateways() []string {
	var out []string
	for _, g := range m.opt.View.Live() {
		if g.DataCentre == m.opt.View.Self().DataCentre {
			out = append(out, g.Name)
		}
	}
	return out
}

// registered notes that a gateway has registered. It ends the takeover and
// returns true when all of the given gateways have.
func (r *runner) registered(gateway string, all []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readyAt.IsZero() {
		return false
	}
	if r.registrations == nil {
		r.registrations = map[string]bool{}
	}
	r.registrations[gateway] = true
	for _, name := range all {
		if !r.registrations[name] {
			return false
		}
	}
	r.readyAt, r.registrations = time.Time{}, nil
	r.poke()
	return true
}
