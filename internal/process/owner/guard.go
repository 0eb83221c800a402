package owner

import (
	"sync"
	"time"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
)

// guard makes the tables of crashguard safe for concurrent use.
type guard struct {
	// broadcast sends a report to the other gateways without waiting.
	broadcast func(crashguard.Report)
	mu        sync.Mutex
	table     *crashguard.Guard
	parts     *crashguard.Parts
	// changed is closed, and replaced, when the verdict on a part of a prompt may change.
	changed chan struct{}
}

func newGuard(broadcast func(crashguard.Report)) *guard {
	return &guard{broadcast: broadcast, table: crashguard.New(), parts: crashguard.NewParts(), changed: make(chan struct{})}
}

// noFingerprint is the fingerprint of requests that can't crash an engine as a whole: moved generations,
// which have events, and calls, which are suspect parts.
const noFingerprint = 0

// check returns the verdict on a request that is about to wait or run, and
// broadcasts a refusal of which the other gateways have to be notified.
func (g *guard) check(r *schedule.Request) crashguard.Verdict {
	now := time.Now()
	g.mu.Lock()
	verdict := crashguard.Clear
	if r.Fingerprint != noFingerprint {
		verdict = g.table.Check(now, r.Fingerprint)
	}
	var report crashguard.Report
	if verdict == crashguard.Refuse && g.table.Refused(now, r.Fingerprint) {
		report.Refused = []uint64{r.Fingerprint}
	}
	if verdict != crashguard.Refuse {
		switch parts, _ := g.parts.Check(now, r.PartHashes); {
		case parts == crashguard.Refuse:
			report.RefusedParts = g.parts.Refused(now, r.PartHashes)
			verdict = crashguard.Refuse
		case parts == crashguard.AwaitTrial && r.Trial:
			verdict = crashguard.Isolate
		case parts == crashguard.AwaitTrial:
			verdict = crashguard.AwaitTrial
		}
	}
	g.mu.Unlock()
	if len(report.Refused)+len(report.RefusedParts) > 0 {
		g.broadcast(report)
	}
	return verdict
}

// suspectParts returns the parts whose trial a request with these parts has to become, and a
// channel that is closed when that may have changed.
func (g *guard) suspectParts(parts []uint64) ([]uint64, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, suspects := g.parts.Check(time.Now(), parts)
	return suspects, g.changed
}

// partsChanged wakes the requests that wait for a verdict on their parts. The caller holds the
// lock.
func (g *guard) partsChanged() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// noteEngineLost records the loss of an engine and returns it as a report of what is new.
func (g *guard) noteEngineLost(loss crashguard.Loss, fingerprints []uint64, parts []crashguard.PartLoss) crashguard.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	report := crashguard.Report{Loss: loss, Fingerprints: g.table.EngineLost(now, loss.Engine, loss.Incarnation, fingerprints)}
	report.Parts, _ = g.parts.EngineLost(now, loss, parts)
	if len(report.Parts) > 0 {
		g.partsChanged()
	}
	return report
}

// noteServerEnded records the end of an application server with calls, and returns it as a report. isNew
// is false if nothing in it is new.
func (g *guard) noteServerEnded(loss crashguard.Loss, service string, parts []crashguard.PartLoss) (report crashguard.Report, isNew bool) {
	report = g.noteEngineLost(loss, nil, parts)
	report.Service = service
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := g.parts.ServerEnded(time.Now(), service, loss)
	return report, ended || len(report.Parts) > 0
}

// noteEngineSurvived withdraws a loss and returns a report of what changed.
func (g *guard) noteEngineSurvived(loss crashguard.Loss) crashguard.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	report := crashguard.Report{Loss: loss, Survived: g.table.EngineSurvived(loss.Engine, loss.Incarnation)}
	report.SurvivedParts = g.parts.EngineSurvived(time.Now(), loss)
	if len(report.SurvivedParts) > 0 {
		g.partsChanged()
	}
	return report
}

func (g *guard) finished(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Finished(fingerprint)
}

// trialSurvived records that a server has survived a trial of these parts, and reports whether that
// changed anything.
func (g *guard) trialSurvived(parts []uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := len(g.parts.TrialSurvived(time.Now(), parts)) > 0
	if changed {
		g.partsChanged()
	}
	return changed
}

// answered records an answer on these parts and returns those that it has cleared.
func (g *guard) answered(parts []uint64) []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	cleared := g.parts.Answered(time.Now(), parts)
	if len(cleared) > 0 {
		g.partsChanged()
	}
	return cleared
}

func (g *guard) reports() []crashguard.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	out := g.table.Reports(now)
	for loss, parts := range g.parts.Losses(now) {
		out = append(out, crashguard.Report{Loss: loss, Parts: parts})
	}
	return out
}

// merge applies another gateway's report and reports whether it changed a verdict. It
// broadcasts the parts of the report on which this gateway has just received an answer.
func (g *guard) merge(r crashguard.Report) bool {
	now := time.Now()
	g.mu.Lock()
	changed := len(g.table.Merge(now, r)) > 0
	added, answered := g.parts.EngineLost(now, r.Loss, r.Parts)
	if r.Service != "" {
		g.parts.ServerEnded(now, r.Service, r.Loss)
	}
	withdrawn := g.parts.Withdraw(now, r.Loss, r.SurvivedParts)
	cleared := append(g.parts.Clear(r.AnsweredParts), g.parts.TrialSurvived(now, r.SurvivedTrials)...)
	g.parts.RefusedElsewhere(now, r.RefusedParts)
	if len(added)+len(withdrawn)+len(cleared) > 0 {
		g.partsChanged()
		changed = true
	}
	g.mu.Unlock()
	if len(answered) > 0 {
		g.broadcast(crashguard.Report{AnsweredParts: answered})
	}
	return changed
}
