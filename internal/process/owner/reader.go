package owner

import (
	"time"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/api"
)

const (
	// readerPollPeriod is the interval at which the reader of an engine polls it. An
	// engine's report describes its state of half a second ago.
	readerPollPeriod = 500 * time.Millisecond
	// readerTimeout is the time without a report after which a gateway polls the engine
	// itself, because the reader may be cut off from the engine or from this gateway.
	readerTimeout = 2 * time.Second
	// lostPollPeriod is the interval at which a gateway that is not the reader polls an engine
	// that it has lost. With a poll at each tick, 95 gateways would send 380 polls/s to an
	// engine that has crashed.
	lostPollPeriod = 2 * time.Second
)

// pollDue reports whether this gateway polls an engine now, under the shared policy.
// One gateway, the reader, polls each engine and sends its reports to the others,
// because each poll has a cost. Engines that may have failed are polled at each tick. A lost
// one is polled at each tick by its reader, and by the others as soon as a report of it
// arrives or after lostPollPeriod.
func (m *Manager) pollDue(now time.Time, name string, reader bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[name]
	switch {
	case e == nil:
		return true
	case e.failures >= lostAfterFailures && !reader:
		return e.peerReportAt.After(e.pollStartedAt) || now.Sub(e.pollStartedAt) >= lostPollPeriod
	case e.reportedLost || e.failures > 0:
		return true
	case reader:
		return now.Sub(e.pollStartedAt) >= readerPollPeriod
	}
	return now.Sub(e.pollStartedAt) >= readerTimeout && now.Sub(e.peerReportAt) >= readerTimeout && now.Sub(e.listedAt) >= readerTimeout
}

// awaitsPeers reports whether this gateway has just started and does not know the others yet. It would take itself
// for the reader of all engines until then, as all gateways do after a common loss of power.
func (m *Manager) awaitsPeers(now time.Time) bool {
	return m.opt.ExpectPeers && now.Sub(m.startedAt) < readerTimeout && len(m.opt.View.Peers()) <= 1
}

// readerSelector returns a function that selects, among the gateways now live, the
// reader of an engine.
func (m *Manager) readerSelector() func(engine string) string {
	var names []string
	for _, g := range m.opt.View.Peers() {
		names = append(names, g.Name)
	}
	return func(engine string) string { return readerAmong(names, engine) }
}

// readerAmong returns the gateway that is the reader of an engine.
func readerAmong(gateways []string, engine string) string {
	return membership.HighestRanked(gateways, membership.ReaderKey(engine))
}

// applyAssumedReports applies, to engines that have not been polled yet, the report
// that their entry and the configuration imply, so that they can take work immediately.
func (m *Manager) applyAssumedReports(engines []membership.Backend) {
	if m.opt.AssumedReport == nil {
		return
	}
	var reports []api.LoadReport
	m.mu.Lock()
	for _, b := range engines {
		if _, known := m.engines[b.Name]; !known {
			m.engines[b.Name] = &engine{listedAt: time.Now()}
			reports = append(reports, api.LoadReport{Name: b.Name})
		}
	}
	m.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	for i := range reports {
		name := reports[i].Name
		reports[i] = m.opt.AssumedReport(name)
		m.storeReport(name, reports[i])
		reports[i].Name = name
	}
	m.updateReplicas()
	m.OwnersChanged()
	for _, r := range reports {
		m.reportToGroups(r.Name, r)
	}
}

// reportsSince returns the reports that this gateway has polled since a time. It may
// return a report a second time.
func (m *Manager) reportsSince(since time.Time) []api.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []api.LoadReport
	for name, e := range m.engines {
		if e.polled && !e.pollDoneAt.IsZero() && !e.pollDoneAt.Before(since) {
			r := e.report
			r.Name = name
			out = append(out, r)
		}
	}
	return out
}

// startedBefore reports whether a report is from an earlier incarnation of an engine than the report that is known of it. The
// caller holds the lock.
func (m *Manager) startedBefore(r api.LoadReport, e *engine) bool {
	return e.polled && m.opt.StartedBefore != nil && m.opt.StartedBefore(r.Incarnation, e.report.Incarnation)
}

// applyPeerReports applies reports that a peer has polled.
func (m *Manager) applyPeerReports(now time.Time, reports []api.LoadReport) {
	for _, r := range reports {
		m.mu.Lock()
		e := m.engines[r.Name]
		// This gateway's own polls take precedence: its own connection to the engine
		// may have failed. Times of reports are not compared, because clocks jump. A relay may hold a report from
		// before a restart for loadsTTL.
		accepted := e != nil && !e.inFlight && !e.reportedLost && e.failures == 0 && now.Sub(e.pollDoneAt) >= readerPollPeriod && !m.startedBefore(r, e)
		if e != nil && (accepted || e.failures > 0) {
			e.peerReportAt = now
		}
		m.mu.Unlock()
		if accepted {
			m.applyReport(r.Name, r)
		}
	}
}
