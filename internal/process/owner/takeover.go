package owner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/schedule"
)

const (
	// takeoverTimeout is the longest time for which a new runner issues no grants under
	// PolicyOwner, so that gateways first register the grants of an earlier owner. It
	// is longer than renewPeriod.
	takeoverTimeout = 600 * time.Millisecond
	// registerTimeout bounds one registration.
	registerTimeout = 500 * time.Millisecond
)

// RegisterArgs carries all grants that a gateway holds in some groups to their new
// owner.
type RegisterArgs struct {
	Gateway string
	Groups  []schedule.GroupKey
	Held    []schedule.Held
}

// Register adopts the grants of a gateway after a change of owner.
func (s *Service) Register(in *RegisterArgs, _ *Empty) error {
	s.m.serveRegister(*in)
	return nil
}

// OwnersChanged makes the Manager check the owners of groups immediately. It does not
// block.
func (m *Manager) OwnersChanged() {
	select {
	case m.ownersChanged <- struct{}{}:
	default:
	}
}

// watchOwners registers this gateway's grants whenever owners change, until ctx ends.
func (m *Manager) watchOwners(ctx context.Context) {
	for {
		select {
		case <-m.ownersChanged:
			m.applyOwnerChanges(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// applyOwnerChanges releases groups that have another owner, takes over those that this
// gateway now owns, and registers this gateway's grants with the new owners of all
// groups of its data centre.
func (m *Manager) applyOwnerChanges(ctx context.Context) {
	if m.opt.Policy != PolicyOwner || m.isStopping() {
		return
	}
	for _, r := range m.allRunners() {
		r.setOwned(m.owns(r.key))
	}
	for owner, groups := range m.changedOwners() {
		args := RegisterArgs{Gateway: m.self(), Groups: groups, Held: m.heldInGroups(groups)}
		if owner != m.self() {
			m.inBackground(func() { m.register(ctx, owner, args) })
			continue
		}
		m.serveRegister(args)
		// An earlier registration of another gateway may have started a group before
		// this gateway knew the group's engines.
		for _, r := range m.allRunners() {
			m.configureGroup(time.Now(), r)
		}
		m.startPolls(ctx, false)
	}
}

// changedOwners returns, by owner, the groups of this data centre whose owner has
// changed since the last call.
func (m *Manager) changedOwners() map[string][]schedule.GroupKey {
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

// heldInGroups returns the grants that this gateway holds in some groups.
func (m *Manager) heldInGroups(groups []schedule.GroupKey) []schedule.Held {
	wanted := map[schedule.GroupKey]bool{}
	for _, k := range groups {
		wanted[k] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []schedule.Held
	for _, h := range m.held {
		if wanted[h.Grant.Group] {
			out = append(out, h.Held)
		}
	}
	return out
}

// register sends this gateway's grants to a new owner. If the call fails, renewals send
// them.
func (m *Manager) register(ctx context.Context, owner string, args RegisterArgs) {
	address, ok := m.opt.View.Peer(owner)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := m.opt.Caller.Call(ctx, address, ServiceName+".Register", &args, &Empty{}); err != nil {
		level.Debug(m.opt.Logger).Log("msg", "registering grants failed", "owner", owner, "grants", len(args.Held), "err", err)
	}
}

// serveRegister adopts grants. Once every live gateway of the data centre has
// registered with a group, the takeover of that group ends.
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
		if r.addRegistration(a.Gateway, m.localGateways()) {
			level.Debug(m.opt.Logger).Log("msg", "group takeover complete", "group", k)
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

// addRegistration records that a gateway has registered. If all of the given gateways
// have registered, it ends the takeover and returns true.
func (r *runner) addRegistration(gateway string, all []string) bool {
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
	r.requestDispatch()
	return true
}
