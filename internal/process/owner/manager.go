package owner

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
)

const (
	// tickPeriod is the interval between periodic updates of groups and engines.
	tickPeriod = 250 * time.Millisecond
	// renewPeriod is the interval between renewals of held grants. A grant survives
	// four lost renewals.
	renewPeriod = 500 * time.Millisecond
	// pauseThreshold is the gap between two ticks above which this process must have
	// been paused, so that the callers waiting for it have left.
	pauseThreshold = 1500 * time.Millisecond
	// ticksPerSlowTick is the number of ticks per slow tick: every 4th tick, one per
	// second, also publishes summaries and discovers engines.
	ticksPerSlowTick = 4
)

// held is a grant that this gateway holds.
type held struct {
	schedule.Held
	// incarnation is the engine's incarnation when the grant was issued.
	incarnation string
	// trial holds the suspect parts of which the request is the trial.
	trial []uint64
	// owner is the gateway that issued the grant or that was last chosen for its
	// renewal.
	owner string
}

// ranOn reports whether the grant is for an incarnation of an engine. An incarnation that
// is not known matches all.
func (h *held) ranOn(engine, incarnation string) bool {
	return h.Grant.Backend == engine && (h.incarnation == incarnation || h.incarnation == "" || incarnation == "")
}

// Manager issues grants for the groups of this gateway and requests grants from the
// owners of other groups. It implements the gateway's Scheduler interface.
type Manager struct {
	opt   Options
	guard *guard
	// trials are those of the suspect parts that this gateway keeps.
	trials trials

	mu         sync.Mutex
	stopping   bool
	runners    map[schedule.GroupKey]*runner
	held       map[string]*held
	engines    map[string]*engine
	avoidUntil map[string]time.Time
	// reach holds what calls show of data centres.
	reach    map[string]reach
	ticks    int
	lastTick time.Time
	missed   missedReports
	spills   spills
	// owners holds the last known owners of the groups of this data centre.
	owners        map[schedule.GroupKey]string
	ownersChanged chan struct{}
	loads         loadExchange
	statements    statementBoard
	unsentReports map[string]*unsentReports
	givenUp       crashguard.GivenUp
	// knownGateways holds the gateways known at the last check for rejoined gateways.
	knownGateways map[string]bool
	startedAt     time.Time

	// background tracks calls that outlive their callers, such as releases.
	background sync.WaitGroup
}

// New returns a Manager. Run does its periodic work.
func New(opt Options) *Manager {
	m := &Manager{
		opt:           opt,
		runners:       map[schedule.GroupKey]*runner{},
		held:          map[string]*held{},
		engines:       map[string]*engine{},
		avoidUntil:    map[string]time.Time{},
		reach:         map[string]reach{},
		ownersChanged: make(chan struct{}, 1),
		unsentReports: map[string]*unsentReports{},
		startedAt:     time.Now(),
	}
	m.loads.relay.buffer.startedBefore = opt.StartedBefore
	m.guard = newGuard(m.broadcastInBackground)
	return m
}

// Run maintains groups, polls engines and renews grants until ctx ends. It then
// redirects waiting requests to other owners.
func (m *Manager) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { every(ctx, tickPeriod, func() { m.tick(ctx, time.Now()) }) })
	wait.Go(func() { every(ctx, renewPeriod, func() { m.renewAll(ctx) }) })
	wait.Go(func() { m.watchOwners(ctx) })
	if m.opt.Policy == PolicyShared {
		wait.Go(func() { m.exchangeLoads(ctx) })
	}
	wait.Wait()
	m.close()
	return nil
}

// every calls f immediately and then once per period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		f()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) close() {
	m.mu.Lock()
	m.stopping = true
	runners := m.runners
	m.runners = map[schedule.GroupKey]*runner{}
	m.mu.Unlock()
	for _, r := range runners {
		r.close()
	}
	m.background.Wait()
}

// HeldGrants returns the number of grants that this gateway holds.
func (m *Manager) HeldGrants() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

func (m *Manager) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// inBackground runs f in a goroutine that close waits for. Once the Manager is
// stopping, close may no longer wait for new goroutines, so f runs synchronously.
func (m *Manager) inBackground(f func()) {
	m.mu.Lock()
	if m.stopping {
		m.mu.Unlock()
		f()
		return
	}
	m.background.Go(f)
	m.mu.Unlock()
}

// errStopping is returned by calls to a Manager that has stopped.
var errStopping = eris.New("scheduler is stopping")

// runner returns the runner of a group and starts it if necessary.
func (m *Manager) runner(k schedule.GroupKey) (*runner, error) {
	m.mu.Lock()
	r, ok := m.runners[k]
	if m.stopping {
		m.mu.Unlock()
		return nil, errStopping
	}
	if !ok {
		r = newRunner(k, m.self(), m.opt.NewGroup(k), m.guard.check)
		switch m.opt.Policy {
		case PolicyOwner:
			r.readyAt = time.Now().Add(takeoverTimeout)
		case PolicyShared:
			r.confirm = m.confirm
		}
		m.runners[k] = r
		go r.run()
	}
	m.mu.Unlock()
	if !ok {
		m.configureGroup(time.Now(), r)
	}
	return r, nil
}

// allRunners returns the runners in no particular order.
func (m *Manager) allRunners() []*runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*runner, 0, len(m.runners))
	for _, r := range m.runners {
		out = append(out, r)
	}
	return out
}

func (m *Manager) self() string { return m.opt.View.Self().Name }

// tick updates groups after changes of membership, starts polls that are due, and
// resends reports.
func (m *Manager) tick(ctx context.Context, now time.Time) {
	m.mu.Lock()
	paused := m.wasPaused(now)
	m.missed.stale = m.missed.stale || paused || m.lastTick.IsZero()
	m.lastTick = now
	m.ticks++
	slow := m.ticks%ticksPerSlowTick == 1
	m.mu.Unlock()
	for _, k := range m.ownGroups() {
		if r, err := m.runner(k); err == nil {
			r.setOwned(true)
		}
	}
	for _, r := range m.allRunners() {
		m.maintain(now, r, paused, slow)
	}
	m.startPolls(ctx, slow)
	m.resendReports()
	if slow {
		m.fetchFromRejoined(now)
	}
}

// maintain does the periodic work of one group.
func (m *Manager) maintain(now time.Time, r *runner, paused, publish bool) {
	r.setOwned(m.owns(r.key))
	if paused {
		r.move(func(t *ticket) bool { return t.request.Gateway != r.self })
	}
	r.move(func(t *ticket) bool { return m.isGone(t.request.Gateway) })
	r.expire(now)
	m.configureGroup(now, r)
	if publish && m.owns(r.key) && m.opt.Policy == PolicyOwner {
		m.opt.View.SetSummary(r.summary(now))
	}
	if r.idle(now) {
		m.mu.Lock()
		delete(m.runners, r.key)
		m.mu.Unlock()
		r.close()
	}
}

// isGone reports whether a gateway whose requests wait here is no longer running.
func (m *Manager) isGone(gateway string) bool {
	return gateway != m.self() && !m.opt.View.Alive(gateway)
}

// owns reports whether this gateway runs a group: as the owner for its data centre
// under PolicyOwner, and for itself under the policies without owners.
func (m *Manager) owns(k schedule.GroupKey) bool {
	if m.opt.Policy != PolicyOwner {
		return true
	}
	owner := m.opt.View.Owner(k)
	return owner == m.self() || (owner == "" && m.isLocal(k))
}

// isLocal reports whether a group is in this gateway's data centre. A local group
// without a live gateway is served by this gateway, which has announced that it leaves
// and is finishing its requests.
func (m *Manager) isLocal(k schedule.GroupKey) bool {
	return k.DataCentre == m.opt.View.Self().DataCentre
}

// configureGroup passes the current share, floors and replicas to a group.
func (m *Manager) configureGroup(now time.Time, r *runner) {
	share := 1.0
	if m.opt.Policy == PolicyShares {
		share = 1 / float64(max(1, len(m.opt.View.Live())))
	}
	floor, reserve := m.opt.Floors()
	var workspaces map[string]float64
	if m.opt.WorkspaceFloors != nil {
		workspaces = m.opt.WorkspaceFloors()
	}
	r.configure(share, floor, reserve, workspaces)
	r.setReplicas(now, m.replicas(r.key))
}
