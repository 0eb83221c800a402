package owner

import (
	"time"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/request/api"
)

const (
	// readPeriod is the time between two questions of an engine's reader to it.
	// Engines state what was half a second ago.
	readPeriod = 500 * time.Millisecond
	// readerSilent is the time without a report after which a gateway asks the
	// engine itself, because the reader may be cut off from it or from here.
	readerSilent = 2 * time.Second
)

// readDue reports whether this gateway asks an engine now under the shared policy.
// One gateway reads each engine and tells the others, because each question has a
// price. Engines that may have failed are asked at each tick.
func (m *Manager) readDue(now time.Time, name string, reader bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[name]
	switch {
	case e == nil || e.doubted || e.failures > 0:
		return true
	case reader:
		return now.Sub(e.askedAt) >= readPeriod
	}
	return now.Sub(e.askedAt) >= readerSilent && now.Sub(e.heardAt) >= readerSilent
}

// readers returns the choice of the live gateway that reads an engine.
func (m *Manager) readers() func(engine string) string {
	var names []string
	for _, g := range m.opt.View.Live() {
		names = append(names, g.Name)
	}
	return func(engine string) string { return readerAmong(names, engine) }
}

// readerAmong returns the gateway of several that reads an engine.
func readerAmong(gateways []string, engine string) string {
	return membership.First(gateways, "read/"+engine)
}

// assume gives an engine that nobody has asked yet the report that its entry and
// the configuration imply, so that it can take work at once.
func (m *Manager) assume(engines []membership.Backend) {
	if m.opt.Assumed == nil {
		return
	}
	for _, b := range engines {
		m.mu.Lock()
		_, known := m.engines[b.Name]
		if !known {
			m.engines[b.Name] = &engine{}
		}
		m.mu.Unlock()
		if !known {
			m.takeReport(b.Name, m.opt.Assumed(b.Name))
		}
	}
}

// readReports returns the reports that this gateway has read since a time, some of
// them for the second time.
func (m *Manager) readReports(since time.Time) []api.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []api.LoadReport
	for name, e := range m.engines {
		if e.polled && !e.readAt.IsZero() && !e.readAt.Before(since) {
			r := e.report
			r.Name = name
			out = append(out, r)
		}
	}
	return out
}

// hearReports takes over reports that a peer has read.
func (m *Manager) hearReports(now time.Time, reports []api.LoadReport) {
	for _, r := range reports {
		m.mu.Lock()
		e := m.engines[r.Name]
		// What this gateway sees for itself counts more: its own link to the engine
		// may have failed. Times of reports are not compared, because clocks jump.
		taken := e != nil && !e.inFlight && !e.doubted && e.failures == 0 && now.Sub(e.readAt) >= readPeriod
		if taken {
			e.heardAt = now
		}
		m.mu.Unlock()
		if taken {
			m.takeReport(r.Name, r)
		}
	}
}
