package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/membership"
)

// reportTimeout bounds the broadcast of suspects, for which the caller of a
// failed request waits.
const reportTimeout = 200 * time.Millisecond

// resendTimeout bounds a later try, for which nobody waits.
const resendTimeout = time.Second

// ReportLost says that an engine is gone. Every request that ran there becomes
// a suspect at all live gateways that answer within 200 ms.
func (m *Manager) ReportLost(backend string) {
	current := m.incarnation(backend)
	lost := m.earlierStarts(backend, current)
	if len(lost) == 0 {
		m.doubt(backend, current)
		lost = []string{current}
	}
	for _, incarnation := range lost {
		m.engineLost(backend, incarnation)
	}
}

// earlierStarts returns the incarnations of an engine, other than the current
// one, under which this gateway holds grants. If there is any, the engine has
// started again and only those are lost.
func (m *Manager) earlierStarts(backend, current string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, h := range m.held {
		other := h.incarnation != "" && h.incarnation != current
		if h.Grant.Backend == backend && other && !slices.Contains(out, h.incarnation) {
			out = append(out, h.incarnation)
		}
	}
	return out
}

// engineLost makes suspects of the requests that ran on one start of an engine.
func (m *Manager) engineLost(name, incarnation string) {
	fingerprints := m.runningOn(name, incarnation)
	news := m.guard.lost(name, incarnation, fingerprints)
	if len(news) == 0 {
		return
	}
	level.Warn(m.opt.Logger).Log("msg", "engine lost with requests running", "engine", name, "suspects", len(news))
	m.recheck()
	m.broadcast(crashguard.Report{
		Loss:         crashguard.Loss{Engine: name, Incarnation: incarnation},
		Fingerprints: news,
	})
}

// runningOn returns the fingerprints of all requests known to run on an engine.
func (m *Manager) runningOn(name, incarnation string) []uint64 {
	seen := map[uint64]bool{}
	var out []uint64
	add := func(f uint64) {
		if !seen[f] {
			seen[f] = true
			out = append(out, f)
		}
	}
	for _, r := range m.existing() {
		for _, f := range r.fingerprints(name) {
			add(f)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.held {
		if h.Grant.Backend == name && (h.incarnation == incarnation || h.incarnation == "" || incarnation == "") {
			add(h.Request.Fingerprint)
		}
	}
	return out
}

// finished clears a request that ran to its end, here and at the others.
func (m *Manager) finished(fingerprint uint64) {
	if !m.guard.finished(fingerprint) {
		return
	}
	m.recheck()
	m.tell(crashguard.Report{Finished: []uint64{fingerprint}})
}

// tell broadcasts a report for which nobody waits.
func (m *Manager) tell(report crashguard.Report) {
	m.later(func() { m.broadcast(report) })
}

// recheck applies changed verdicts to waiting requests.
func (m *Manager) recheck() {
	for _, r := range m.existing() {
		r.recheck(time.Now())
	}
}

// maxUnsent bounds the reports kept for one gateway that cannot be reached; the
// oldest are dropped first. All gateways share the same fingerprints.
const maxUnsent = 256

// unsent holds the reports that a gateway has not got, in their order.
type unsent struct {
	reports []crashguard.Report
	sending bool
}

// broadcast sends a report to all live gateways and waits at most 200 ms. It is
// kept for those that don't answer or don't count live: a request that crashed
// engines while a gateway was cut off would otherwise run there once more when the
// link has healed.
func (m *Manager) broadcast(report crashguard.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, g := range m.opt.View.Known() {
		if !g.Live {
			m.postpone(g.Name, report)
			continue
		}
		if m.lacksReports(g.Name) {
			// The order counts: an earlier end of a request must not clear a later loss.
			m.postpone(g.Name, report)
			wait.Go(func() { m.sendUnsent(ctx, g) })
			continue
		}
		wait.Go(func() {
			if err := m.sendReport(ctx, g.PeerAddress, report); err != nil {
				level.Warn(m.opt.Logger).Log("msg", "suspects not reported", "peer", g.Name, "err", err)
				m.postpone(g.Name, report)
			}
		})
	}
	wait.Wait()
}

func (m *Manager) sendReport(ctx context.Context, address string, report crashguard.Report) error {
	return m.opt.Caller.Call(ctx, address, SuspectsServiceName+".Report", &report, new(Empty))
}

// postpone keeps a report for a gateway until it can be reached.
func (m *Manager) postpone(gateway string, report crashguard.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.unsent[gateway]
	if u == nil {
		u = new(unsent)
		m.unsent[gateway] = u
	}
	u.reports = append(u.reports, report)
	if extra := len(u.reports) - maxUnsent; extra > 0 {
		u.reports = slices.Clone(u.reports[extra:])
	}
}

// lacksReports tells whether earlier reports wait for a gateway.
func (m *Manager) lacksReports(gateway string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unsent[gateway] != nil
}

// resendReports tries again to send the reports that gateways have not got. Those
// of gateways that are no longer known are dropped; one that starts anew asks for
// all suspects.
func (m *Manager) resendReports() {
	m.mu.Lock()
	none := len(m.unsent) == 0
	m.mu.Unlock()
	if none {
		return
	}
	known := map[string]membership.Gateway{}
	for _, g := range m.opt.View.Known() {
		known[g.Name] = g
	}
	m.mu.Lock()
	var due []membership.Gateway
	for name, u := range m.unsent {
		if g, ok := known[name]; ok {
			due = append(due, g)
		} else if !u.sending {
			delete(m.unsent, name)
		}
	}
	m.mu.Unlock()
	for _, g := range due {
		m.later(func() { m.sendUnsent(context.Background(), g) })
	}
}

// sendUnsent sends the reports of one gateway until one fails. One call at a time
// does so.
func (m *Manager) sendUnsent(ctx context.Context, g membership.Gateway) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.unsent[g.Name]
	if u == nil || u.sending {
		return
	}
	u.sending = true
	for len(u.reports) > 0 {
		report := u.reports[0]
		u.reports = u.reports[1:]
		m.mu.Unlock()
		bounded, cancel := context.WithTimeout(ctx, resendTimeout)
		err := m.sendReport(bounded, g.PeerAddress, report)
		cancel()
		m.mu.Lock()
		if err != nil {
			u.reports = append([]crashguard.Report{report}, u.reports...)
			u.sending = false
			return
		}
	}
	delete(m.unsent, g.Name)
}
