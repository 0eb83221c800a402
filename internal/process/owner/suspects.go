package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
)

// reportTimeout bounds the broadcast of suspects, for which the caller of a
// failed request waits.
const reportTimeout = 200 * time.Millisecond

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

// broadcast sends a report to all live gateways and waits at most 200 ms.
func (m *Manager) broadcast(report crashguard.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, g := range m.opt.View.Live() {
		if g.Name == m.self() {
			continue
		}
		wait.Go(func() {
			err := m.opt.Caller.Call(ctx, g.PeerAddress, SuspectsServiceName+".Report", &report, new(Empty))
			if err != nil {
				level.Warn(m.opt.Logger).Log("msg", "suspects not reported", "peer", g.Name, "err", err)
			}
		})
	}
	wait.Wait()
}
