package owner

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

// reportTimeout bounds the broadcast of suspects, during which the caller of a failed
// request waits.
const reportTimeout = 200 * time.Millisecond

// resendTimeout bounds a later attempt to send a report, for which no caller waits.
const resendTimeout = time.Second

// ReportLost reports that an engine is lost. Every request that ran there becomes a
// suspect at all live gateways that answer within 200 ms.
func (m *Manager) ReportLost(backend string) {
	current := m.incarnation(backend)
	lost := m.earlierIncarnations(backend, current)
	if len(lost) == 0 {
		m.markReportedLost(backend, current)
		lost = []string{current}
	}
	for _, incarnation := range lost {
		m.engineLost(backend, incarnation)
	}
}

// earlierIncarnations returns the incarnations of an engine, other than the current
// one, under which this gateway holds grants. If there are any, the engine has
// restarted and only those incarnations are lost.
func (m *Manager) earlierIncarnations(backend, current string) []string {
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

// engineLost marks the requests that ran on one incarnation of an engine as suspects.
func (m *Manager) engineLost(name, incarnation string) {
	defer m.givenUpLost(crashguard.Loss{Engine: name, Incarnation: incarnation})
	report := m.guard.noteEngineLost(crashguard.Loss{Engine: name, Incarnation: incarnation}, m.runningOn(name, incarnation), m.unansweredParts(name, incarnation))
	if len(report.Fingerprints)+len(report.Parts) == 0 {
		return
	}
	m.logLoss(name, incarnation, len(report.Fingerprints))
	m.recheck()
	m.broadcast(report)
}

// unansweredParts returns the parts of the prompts for which an engine had not begun an answer.
func (m *Manager) unansweredParts(name, incarnation string) []crashguard.PartLoss {
	m.mu.Lock()
	defer m.mu.Unlock()
	trial := map[uint64]bool{}
	for _, h := range m.held {
		if !h.ranOn(name, incarnation) || h.Generated > 0 {
			continue
		}
		for _, part := range h.Request.PartHashes {
			isTrial := slices.Contains(h.trial, part)
			if isTrial || part != wholeRequestPart(h.Request.Fingerprint) {
				trial[part] = trial[part] || isTrial
			}
		}
	}
	var out []crashguard.PartLoss
	for part, isTrial := range trial {
		out = append(out, crashguard.PartLoss{Part: part, Trial: isTrial})
	}
	return out
}

// logLoss logs the requests of this gateway that ran on a lost engine and had no event yet,
// with the parts of their prompts: if a part crashes engines, it is in the lines of several
// losses, while a request that does so comes again with the same fingerprint, and a kill of
// engines also hits requests that have events.
func (m *Manager) logLoss(name, incarnation string, suspects int) {
	var unanswered []schedule.Held
	answered := 0
	m.mu.Lock()
	for _, h := range m.held {
		switch {
		case !h.ranOn(name, incarnation):
		case h.Generated > 0:
			answered++
		default:
			unanswered = append(unanswered, h.Held)
		}
	}
	m.mu.Unlock()
	ids, fingerprints, parts := describeRequests(unanswered)
	level.Warn(m.opt.Logger).Log("msg", "engine lost with requests running", "engine", name, "incarnation", incarnation, "suspects", suspects,
		"with_events", answered, "without_events", len(unanswered), "ids", ids, "fingerprints", fingerprints, "parts", parts)
}

// maxLoggedRequests and maxLoggedParts bound what a line about a lost engine contains.
const maxLoggedRequests, maxLoggedParts = 8, 24

// describeRequests returns the grant ids, the fingerprints and the prompt parts of requests
// for a log line, each part with the number of requests that have it, the most frequent
// first.
func describeRequests(requests []schedule.Held) (ids, fingerprints, parts string) {
	slices.SortFunc(requests, func(a, b schedule.Held) int { return strings.Compare(a.Grant.ID, b.Grant.ID) })
	var idList, fingerprintList, partList []string
	uses := map[uint64]int{}
	var order []uint64
	for i, h := range requests {
		if i < maxLoggedRequests {
			idList = append(idList, h.Grant.ID)
			fingerprintList = append(fingerprintList, strconv.FormatUint(h.Request.Fingerprint, 16))
		}
		for _, p := range h.Request.PartHashes {
			if uses[p] == 0 {
				order = append(order, p)
			}
			uses[p]++
		}
	}
	slices.SortStableFunc(order, func(a, b uint64) int { return uses[b] - uses[a] })
	for _, p := range order[:min(len(order), maxLoggedParts)] {
		partList = append(partList, fmt.Sprintf("%x:%d", p, uses[p]))
	}
	return strings.Join(idList, ","), strings.Join(fingerprintList, ","), strings.Join(partList, ",")
}

// engineSurvived clears the requests that ran on an engine which was taken for lost, and
// has answered since under the same incarnation. Silence alone must not make a request a
// suspect: after two engines that were silent for a while it would be refused for good.
func (m *Manager) engineSurvived(name, incarnation string) {
	report := m.guard.noteEngineSurvived(crashguard.Loss{Engine: name, Incarnation: incarnation})
	if len(report.Survived)+len(report.SurvivedParts) == 0 {
		return
	}
	level.Info(m.opt.Logger).Log("msg", "engine was only unreachable", "engine", name, "cleared", len(report.Survived), "cleared_parts", len(report.SurvivedParts))
	m.recheck()
	m.broadcastInBackground(report)
}

// runningOn returns the fingerprints of all requests known to run on an engine.
func (m *Manager) runningOn(name, incarnation string) []uint64 {
	seen := map[uint64]bool{}
	var out []uint64
	add := func(f uint64) {
		if f != noFingerprint && !seen[f] {
			seen[f] = true
			out = append(out, f)
		}
	}
	if m.opt.Policy != PolicyShared {
		// The groups have the requests of all gateways. Under the shared policy they have those
		// of this one only, also while a grant awaits its confirmation and nothing is sent.
		for _, r := range m.allRunners() {
			for _, f := range r.fingerprints(name) {
				add(f)
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.held {
		if h.ranOn(name, incarnation) {
			add(h.Request.Fingerprint)
		}
	}
	return out
}

// finished clears a request that ran to its end from the suspects, here and at the
// other gateways.
func (m *Manager) finished(fingerprint uint64) {
	if !m.guard.finished(fingerprint) {
		return
	}
	m.recheck()
	m.broadcastInBackground(crashguard.Report{Finished: []uint64{fingerprint}})
}

// answered clears parts of prompts on which an engine has begun an answer from the suspects,
// here and at the other gateways.
func (m *Manager) answered(parts []uint64) {
	if len(parts) == 0 {
		return
	}
	cleared := m.guard.answered(parts)
	if len(cleared) == 0 {
		return
	}
	level.Info(m.opt.Logger).Log("msg", "prompt parts cleared by an answer", "parts", formatParts(cleared))
	m.recheck()
	m.broadcastInBackground(crashguard.Report{AnsweredParts: cleared})
}

// formatParts returns parts for a log line.
func formatParts(parts []uint64) string {
	var out []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		out = append(out, strconv.FormatUint(p, 16))
	}
	return strings.Join(out, ",")
}

// broadcastInBackground broadcasts a report without waiting.
func (m *Manager) broadcastInBackground(report crashguard.Report) {
	m.inBackground(func() { m.broadcast(report) })
}

// recheck applies changed verdicts to waiting requests.
func (m *Manager) recheck() {
	for _, r := range m.allRunners() {
		r.recheck(time.Now())
	}
}

// maxUnsent bounds the reports queued for one gateway that cannot be reached; the
// oldest are dropped first. The queues of all gateways share the same fingerprints.
const maxUnsent = 256

// unsentReports holds, in order, the reports that a gateway has not received.
type unsentReports struct {
	reports []crashguard.Report
	sending bool
}

// broadcast sends a report to all live gateways and waits at most 200 ms. The report is
// queued for gateways that don't answer or are not live: a request that crashed engines
// while a gateway was cut off would otherwise run there once more when the connection
// is restored.
func (m *Manager) broadcast(report crashguard.Report) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, g := range m.opt.View.Known() {
		if !g.Live {
			m.queueReport(g.Name, report)
			continue
		}
		if m.hasUnsentReports(g.Name) {
			// Order matters: an earlier report that a request finished must not clear a
			// later loss.
			m.queueReport(g.Name, report)
			wait.Go(func() { m.sendUnsent(ctx, g) })
			continue
		}
		wait.Go(func() {
			if err := m.sendReport(ctx, g.PeerAddress, report); err != nil {
				level.Warn(m.opt.Logger).Log("msg", "reporting suspects failed", "peer", g.Name, "err", err)
				m.queueReport(g.Name, report)
			}
		})
	}
	wait.Wait()
}

func (m *Manager) sendReport(ctx context.Context, address string, report crashguard.Report) error {
	return m.opt.Caller.Call(ctx, address, SuspectsServiceName+".Report", &report, new(Empty))
}

// queueReport keeps a report for a gateway until it can be reached.
func (m *Manager) queueReport(gateway string, report crashguard.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.unsentReports[gateway]
	if u == nil {
		u = new(unsentReports)
		m.unsentReports[gateway] = u
	}
	u.reports = append(u.reports, report)
	if extra := len(u.reports) - maxUnsent; extra > 0 {
		u.reports = slices.Clone(u.reports[extra:])
	}
}

// hasUnsentReports reports whether earlier reports are queued for a gateway.
func (m *Manager) hasUnsentReports(gateway string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unsentReports[gateway] != nil
}

// resendReports retries sending the queued reports. Those for gateways that are no
// longer known are dropped; a gateway that restarts fetches all suspects.
func (m *Manager) resendReports() {
	m.mu.Lock()
	none := len(m.unsentReports) == 0
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
	for name, u := range m.unsentReports {
		if g, ok := known[name]; ok {
			due = append(due, g)
		} else if !u.sending {
			delete(m.unsentReports, name)
		}
	}
	m.mu.Unlock()
	for _, g := range due {
		m.inBackground(func() { m.sendUnsent(context.Background(), g) })
	}
}

// sendUnsent sends the queued reports of one gateway until one fails. Only one call at
// a time sends to a gateway.
func (m *Manager) sendUnsent(ctx context.Context, g membership.Gateway) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.unsentReports[g.Name]
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
	delete(m.unsentReports, g.Name)
}
