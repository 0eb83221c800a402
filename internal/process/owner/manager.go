package owner

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/process/schedule"
)

const (
	// tickPeriod is the time between two looks at groups and engines.
	tickPeriod = 250 * time.Millisecond
	// renewPeriod is the time between two renewals of held grants; a grant
	// outlives four lost ones.
	renewPeriod = 500 * time.Millisecond
	// frozenAfter is the gap between two ticks after which this process must
	// have been paused, so that its waiting callers have left.
	frozenAfter = 1500 * time.Millisecond
	// slowEvery makes every 4th tick, one each second, publish summaries and
	// discover engines.
	slowEvery = 4
)

// held is a grant that this gateway uses.
type held struct {
	schedule.Held
	// incarnation is the engine's at the time of the grant.
	incarnation string
	// owner is the gateway that was last told of the grant.
	owner string
}

// Manager grants for the groups of this gateway and asks the owners of others.
// It implements the gateway's Scheduler interface.
type Manager struct {
	opt   Options
	guard *guard

	mu       sync.Mutex
	stopping bool
	runners  map[schedule.GroupKey]*runner
	held     map[string]*held
	engines  map[string]*engine
	avoided  map[string]time.Time
	ticks    int
	lastTick time.Time
	missed   missedReports
	spills   spills
	// owners are the last known owners of the groups of this data centre.
	owners  map[schedule.GroupKey]string
	changed chan struct{}
	loads   loadShare
	unsent  map[string]*unsent
	// knownNames holds the gateways known at the last look for rejoined ones.
	knownNames map[string]bool
	startedAt  time.Time

	// background counts calls that outlive their callers, such as releases.
	background sync.WaitGroup
}

// New returns a Manager; Run makes it work.
func New(opt Options) *Manager {
	m := &Manager{
		opt:     opt,
		runners: map[schedule.GroupKey]*runner{},
		held:    map[string]*held{},
		engines: map[string]*engine{},
		avoided: map[string]time.Time{},
		changed: make(chan struct{}, 1),
		unsent:  map[string]*unsent{},
	}
	m.guard = newGuard(m.tell)
	return m
}

// Run keeps groups, polls engines and renews grants until ctx ends. It then
// sends waiting requests to other owners.
func (m *Manager) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { every(ctx, tickPeriod, func() { m.tick(ctx, time.Now()) }) })
	wait.Go(func() { every(ctx, renewPeriod, func() { m.renewAll(ctx) }) })
	wait.Go(func() { m.watchOwners(ctx) })
	if m.opt.Policy == PolicyShared {
		wait.Go(func() { m.shareLoads(ctx) })
	}
	wait.Wait()
	m.close()
	return nil
}

// every calls f at once and then each period until ctx ends.
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

// Held returns the number of grants that this gateway uses.
func (m *Manager) Held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

func (m *Manager) isStopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopping
}

// later runs f in the background, or at once when the Manager has stopped and
// nobody would wait for it.
func (m *Manager) later(f func()) {
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
			r.readyAt = time.Now().Add(takeover)
		case PolicyShared:
			r.confirm = m.confirm
		}
		m.runners[k] = r
		go r.run()
	}
	m.mu.Unlock()
	if !ok {
		m.equip(time.Now(), r)
	}
	return r, nil
}

// existing returns the runners in no order.
func (m *Manager) existing() []*runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*runner, 0, len(m.runners))
	for _, r := range m.runners {
		out = append(out, r)
	}
	return out
}

func (m *Manager) self() string { return m.opt.View.Self().Name }

// tick brings groups in line with membership and starts due polls.
func (m *Manager) tick(ctx context.Context, now time.Time) {
	m.mu.Lock()
	paused := m.wasPaused(now)
	m.missed.stale = m.missed.stale || paused || m.lastTick.IsZero()
	m.lastTick = now
	m.ticks++
	slow := m.ticks%slowEvery == 1
	m.mu.Unlock()
	for _, k := range m.ownGroups() {
		if r, err := m.runner(k); err == nil {
			r.setOwned(true)
		}
	}
	for _, r := range m.existing() {
		m.keep(now, r, paused, slow)
	}
	m.poll(ctx, slow)
	m.resendReports()
	if slow {
		m.fetchFromRejoined(now)
	}
}

// keep does the periodic work of one group.
func (m *Manager) keep(now time.Time, r *runner, paused, publish bool) {
	r.setOwned(m.owns(r.key))
	if paused {
		r.move(func(t *ticket) bool { return t.request.Gateway != r.self })
	}
	r.move(func(t *ticket) bool { return m.gone(t.request.Gateway) })
	r.expire(now)
	m.equip(now, r)
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

// gone reports whether a gateway that waits here no longer runs.
func (m *Manager) gone(gateway string) bool {
	return gateway != m.self() && !m.opt.View.Alive(gateway)
}

// owns reports whether this gateway runs a group for its data centre, or for
// itself under a policy without owners.
func (m *Manager) owns(k schedule.GroupKey) bool {
	if m.opt.Policy != PolicyOwner {
		return true
	}
	owner := m.opt.View.Owner(k)
	return owner == m.self() || (owner == "" && m.isLast(k))
}

// isLast reports whether a group has no live gateway left but this one, which
// has announced its end and finishes its requests.
func (m *Manager) isLast(k schedule.GroupKey) bool {
	return k.DataCentre == m.opt.View.Self().DataCentre
}

// equip passes replicas, share and floors to a group.
func (m *Manager) equip(now time.Time, r *runner) {
	share := 1.0
	if m.opt.Policy == PolicyShares {
		share = 1 / float64(max(1, len(m.opt.View.Live())))
	}
	floor, reserve := m.opt.Floors()
	r.configure(share, floor, reserve)
	r.setReplicas(now, m.replicas(r.key))
}
