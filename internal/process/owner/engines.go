package owner

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/coldbound"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/api"
)

const (
	// pollTimeout bounds one poll of an engine.
	pollTimeout = time.Second
	// lostAfterFailures is the number of consecutive failed polls after which an engine
	// is considered lost.
	lostAfterFailures = 3
	// maxPollsPerTick bounds the polls of engines that start at one tick, 128 in a second. A gateway that
	// does not hear of others, as at its start, is due to poll all engines of its cell, which takes a host
	// with a sixth of a core longer than the time between two polls.
	maxPollsPerTick = 32
)

// engine is the polling state of one engine.
type engine struct {
	report   api.LoadReport
	polled   bool // report is set
	failures int
	inFlight bool
	// pollStartedAt and pollDoneAt are the times at which this gateway last sent a poll
	// and last received a report. peerReportAt is the time of the last report that another
	// gateway has polled and that was accepted, or arrived while the polls of this one fail.
	pollStartedAt, pollDoneAt, peerReportAt time.Time
	// listedAt is the time at which this gateway learned of the engine, under the shared policy.
	listedAt time.Time
	// reportedLost is set when this gateway or another one reports the engine lost, and
	// cleared when a later poll succeeds.
	reportedLost bool
	// lostAt is the time at which this gateway took the engine for lost, until a later poll
	// succeeds.
	lostAt time.Time
}

// usable reports whether the engine can take new work according to its last polls.
func (e *engine) usable() bool {
	return e.polled && !e.reportedLost && e.failures < lostAfterFailures && !e.report.Draining
}

// startPolls starts the polls that are due: those of the engines in groups that this
// gateway runs and, if discover is set (every second), those of the engines that this
// gateway discovers and whose models are not known.
func (m *Manager) startPolls(ctx context.Context, discover bool) {
	engines := m.opt.View.Engines(m.scope())
	due := m.enginesOfGroups()
	if discover {
		for _, b := range m.opt.View.BackendsToPoll(engines) {
			// An engine whose models are known is polled by the owners of its groups.
			models, _ := m.opt.View.Reported(b.Name)
			due[b.Name] = due[b.Name] || len(models) == 0
		}
	}
	listed := make(map[string]bool, len(engines))
	shared := m.opt.Policy == PolicyShared
	var reader func(engine string) string
	if shared {
		m.applyAssumedReports(engines)
		reader = m.readerSelector()
		if m.awaitsPeers(time.Now()) {
			reader = func(string) string { return "" }
		}
	}
	var polls []membership.Backend
	for _, b := range engines {
		listed[b.Name] = true
		if shared && m.opt.Paused != nil && m.opt.Paused(b.Name) {
			continue
		}
		if shared && !m.pollDue(time.Now(), b.Name, reader(b.Name) == m.self()) {
			continue
		}
		if due[b.Name] || shared {
			polls = append(polls, b)
		}
	}
	if shared && len(polls) > maxPollsPerTick {
		polls = m.longestUnpolled(polls, maxPollsPerTick)
	}
	for _, b := range polls {
		if m.startPoll(b.Name) {
			m.inBackground(func() { m.pollEngine(ctx, b) })
		}
	}
	m.removeUnlistedEngines(listed)
}

// longestUnpolled returns the n engines whose last poll started first.
func (m *Manager) longestUnpolled(engines []membership.Backend, n int) []membership.Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := func(b membership.Backend) time.Time {
		if e := m.engines[b.Name]; e != nil {
			return e.pollStartedAt
		}
		return time.Time{}
	}
	slices.SortStableFunc(engines, func(a, b membership.Backend) int { return at(a).Compare(at(b)) })
	return engines[:n]
}

// enginesOfGroups returns the engines of the groups that this gateway runs.
func (m *Manager) enginesOfGroups() map[string]bool {
	out := map[string]bool{}
	for _, r := range m.allRunners() {
		r.mu.Lock()
		for _, p := range r.replicas {
			out[p.Name] = true
		}
		r.mu.Unlock()
	}
	return out
}

// startPoll marks a poll as in flight. It returns false if one already is.
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
	e.pollStartedAt = time.Now()
	return true
}

func (m *Manager) removeUnlistedEngines(listed map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, e := range m.engines {
		if !listed[name] && !e.inFlight {
			delete(m.engines, name)
		}
	}
}

func (m *Manager) pollEngine(ctx context.Context, b membership.Backend) {
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
	lost := e.failures == lostAfterFailures
	if lost {
		e.lostAt = time.Now()
	}
	incarnation := e.report.Incarnation
	m.mu.Unlock()
	if !lost {
		return
	}
	level.Warn(m.opt.Logger).Log("msg", "engine lost, its polls fail", "engine", name, "err", err)
	m.opt.View.SetFailed(name, true)
	m.engineLost(name, incarnation)
	m.updateReplicas()
}

func (m *Manager) pollDone(name string, report api.LoadReport) {
	m.mu.Lock()
	e := m.engines[name]
	e.pollDoneAt, e.inFlight = time.Now(), false
	// A report that was requested before the loss may be older than a crash.
	survived := false
	if !e.lostAt.IsZero() && e.pollStartedAt.After(e.lostAt) {
		survived = e.polled && report.Incarnation != "" && report.Incarnation == e.report.Incarnation
		e.lostAt = time.Time{}
	}
	m.mu.Unlock()
	m.applyReport(name, report)
	if survived {
		m.engineSurvived(name, report.Incarnation)
	}
}

// applyReport applies a report that this gateway or another one has polled, or that is
// assumed.
func (m *Manager) applyReport(name string, report api.LoadReport) {
	if m.storeReport(name, report) {
		m.updateReplicas()
		// The report may reveal a group that was not known before.
		m.OwnersChanged()
	}
	m.reportToGroups(name, report)
}

// storeReport keeps a report and returns true if replicas of groups have changed by it.
func (m *Manager) storeReport(name string, report api.LoadReport) bool {
	m.mu.Lock()
	e := m.engines[name]
	if e == nil {
		// The engine has left the list since the report was chosen.
		m.mu.Unlock()
		return false
	}
	old := e.report
	restarted := e.polled && old.Incarnation != report.Incarnation
	changed := !e.polled || restarted || e.reportedLost || e.failures >= lostAfterFailures || old.Draining != report.Draining ||
		!slices.Equal(old.Models, report.Models)
	e.report, e.polled, e.failures, e.reportedLost = report, true, 0, false
	m.mu.Unlock()
	if restarted {
		level.Warn(m.opt.Logger).Log("msg", "engine restarted", "engine", name)
		m.engineLost(name, old.Incarnation)
	}
	m.opt.View.SetFailed(name, false)
	m.opt.View.SetReport(name, report.Draining, report.Models, report.Incarnation)
	if m.opt.NoteCold != nil {
		m.opt.NoteCold(name, coldbound.Left(report.ColdLeftMS))
	}
	return changed
}

func (m *Manager) reportToGroups(name string, report api.LoadReport) {
	for _, r := range m.allRunners() {
		r.report(time.Now(), name, report)
	}
}

// updateReplicas passes changed replicas to all groups immediately.
func (m *Manager) updateReplicas() {
	for _, r := range m.allRunners() {
		r.setReplicas(time.Now(), m.replicas(r.key))
	}
}

// incarnation returns an engine's incarnation from its last report, or else from
// membership.
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

// markReportedLost stops grants on an engine until its next poll succeeds, if the
// incarnation that is reported lost is its current one.
func (m *Manager) markReportedLost(name, incarnation string) {
	m.mu.Lock()
	e := m.engines[name]
	reportedLost := e != nil && e.polled && e.report.Incarnation == incarnation
	if reportedLost {
		e.reportedLost, e.lostAt = true, time.Now()
	}
	m.mu.Unlock()
	if reportedLost {
		m.updateReplicas()
	}
}

// BackendsChanged passes changed replicas to the groups without waiting for the next
// tick.
func (m *Manager) BackendsChanged() {
	if m.opt.Policy == PolicyShared {
		m.applyAssumedReports(m.opt.View.Engines(m.scope()))
	}
	m.updateReplicas()
}
