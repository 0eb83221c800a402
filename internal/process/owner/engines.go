package owner

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/api"
)

const (
	// pollTimeout bounds one poll of an engine.
	pollTimeout = time.Second
	// lostAfter is the number of failed polls after which an engine counts lost.
	lostAfter = 3
)

// engine is the state of the polls of one engine.
type engine struct {
	report   api.LoadReport
	polled   bool // report is set
	failures int
	inFlight bool
	// askedAt and readAt are the times of the last question and answer of this
	// gateway, and heardAt that of the last report from another one.
	askedAt, readAt, heardAt time.Time
	// doubted is set while somebody says that the engine is lost and no later
	// poll has succeeded.
	doubted bool
}

// usable reports whether the last polls let the engine take new work.
func (e *engine) usable() bool {
	return e.polled && !e.doubted && e.failures < lostAfter && !e.report.Draining
}

// poll starts the polls that are due: those of the engines of own groups, and
// every second those of the engines that this gateway discovers and whose models
// nobody knows.
func (m *Manager) poll(ctx context.Context, discover bool) {
	engines := m.opt.View.Engines(m.scope())
	due := m.grouped()
	if discover {
		for _, b := range m.opt.View.Discovers(engines) {
			// The owners of its groups poll an engine that has told its models.
			models, _ := m.opt.View.Reported(b.Name)
			due[b.Name] = due[b.Name] || len(models) == 0
		}
	}
	listed := make(map[string]bool, len(engines))
	shared := m.opt.Policy == PolicyShared
	var reader func(engine string) string
	if shared {
		m.assume(engines)
		reader = m.readers()
	}
	for _, b := range engines {
		listed[b.Name] = true
		if shared && !m.readDue(time.Now(), b.Name, reader(b.Name) == m.self()) {
			continue
		}
		if (due[b.Name] || shared) && m.startPoll(b.Name) {
			m.later(func() { m.pollOne(ctx, b) })
		}
	}
	m.forgetEngines(listed)
}

// grouped returns the engines of the groups that this gateway runs.
func (m *Manager) grouped() map[string]bool {
	out := map[string]bool{}
	for _, r := range m.existing() {
		r.mu.Lock()
		for _, p := range r.replicas {
			out[p.Name] = true
		}
		r.mu.Unlock()
	}
	return out
}

// startPoll marks a poll as in flight; it reports false if one already is.
func (m *Manager) startPoll(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[name]
	if e == nil {
		e = &engine{}
		m.engines[name] = e
	}
	if e.inFlight {
		return false
	}
	e.inFlight = true
	e.askedAt = time.Now()
	return true
}

func (m *Manager) forgetEngines(listed map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, e := range m.engines {
		if !listed[name] && !e.inFlight {
			delete(m.engines, name)
		}
	}
}

func (m *Manager) pollOne(ctx context.Context, b membership.Backend) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := m.opt.Loads.Load(ctx, b.Name, b.Address)
	if err != nil {
		m.pollFailed(b.Name, err)
		return
	}
	m.pollDone(b.Name, report)
}

func (m *Manager) pollFailed(name string, err error) {
	m.mu.Lock()
	e := m.engines[name]
	e.inFlight = false
	e.failures++
	lost := e.failures == lostAfter
	incarnation := e.report.Incarnation
	m.mu.Unlock()
	if !lost {
		return
	}
	level.Warn(m.opt.Logger).Log("msg", "engine lost, its polls fail", "engine", name, "err", err)
	m.opt.View.SetFailed(name, true)
	m.engineLost(name, incarnation)
	m.refresh()
}

func (m *Manager) pollDone(name string, report api.LoadReport) {
	m.mu.Lock()
	e := m.engines[name]
	e.readAt, e.inFlight = time.Now(), false
	m.mu.Unlock()
	m.takeReport(name, report)
}

// takeReport takes over a report that this gateway or another one has read.
func (m *Manager) takeReport(name string, report api.LoadReport) {
	m.mu.Lock()
	e := m.engines[name]
	old := e.report
	restarted := e.polled && old.Incarnation != report.Incarnation
	changed := !e.polled || restarted || e.doubted || e.failures >= lostAfter || old.Draining != report.Draining ||
		!slices.Equal(old.Models, report.Models)
	e.report, e.polled, e.failures, e.doubted = report, true, 0, false
	m.mu.Unlock()
	if restarted {
		level.Warn(m.opt.Logger).Log("msg", "engine restarted", "engine", name)
		m.engineLost(name, old.Incarnation)
	}
	m.opt.View.SetFailed(name, false)
	m.opt.View.SetReport(name, report.Draining, report.Models, report.Incarnation)
	if changed {
		m.refresh()
		// The poll may have shown a group that was not known before.
		m.OwnersChanged()
	}
	for _, r := range m.existing() {
		r.report(time.Now(), name, report)
	}
}

// refresh passes changed replicas to the groups at once.
func (m *Manager) refresh() {
	for _, r := range m.existing() {
		r.setReplicas(time.Now(), m.replicas(r.key))
	}
}

// incarnation returns an engine's incarnation as far as anybody knows it.
func (m *Manager) incarnation(name string) string {
	if known, ok := m.polledIncarnation(name); ok {
		return known
	}
	_, incarnation := m.opt.View.Reported(name)
	return incarnation
}

func (m *Manager) polledIncarnation(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[name]
	if e == nil || !e.polled {
		return "", false
	}
	return e.report.Incarnation, true
}

// doubt stops grants of an engine that this gateway polls, until the next poll
// succeeds, because somebody says that its current start is lost.
func (m *Manager) doubt(name, incarnation string) {
	m.mu.Lock()
	e := m.engines[name]
	doubted := e != nil && e.polled && e.report.Incarnation == incarnation
	if doubted {
		e.doubted = true
	}
	m.mu.Unlock()
	if doubted {
		m.refresh()
	}
}

// BackendsChanged passes changed replicas to the groups without waiting for the
// next tick.
func (m *Manager) BackendsChanged() {
	if m.opt.Policy == PolicyShared {
		m.assume(m.opt.View.Engines(m.scope()))
	}
	m.refresh()
}
