package engine

import (
	"sync"
	"time"

	"persimmonwing/internal/request/api"
)

// reportLog stores recent load reports and returns them with the configured lag.
type reportLog struct {
	lag time.Duration

	mu      sync.Mutex
	reports []timedReport
}

type timedReport struct {
	api.LoadReport
	at time.Time
}

// add appends a report and drops the reports that are older than the newest one
// with an age of at least lag.
func (l *reportLog) add(r api.LoadReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, timedReport{LoadReport: r, at: now})
	for len(l.reports) > 1 && now.Sub(l.reports[1].at) >= l.lag {
		l.reports = l.reports[1:]
	}
}

// latest returns the newest report that is at least lag old, or else the oldest
// report. It returns false if there is no report yet.
func (l *reportLog) latest(now time.Time) (api.LoadReport, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.reports) == 0 {
		return api.LoadReport{}, false
	}
	r := l.reports[0]
	for _, next := range l.reports[1:] {
		if now.Sub(next.at) < l.lag {
			break
		}
		r = next
	}
	return r.LoadReport, true
}

// report adds a load report to the log in each report interval until the engine
// stops.
func (e *Engine) report() {
	ticker := time.NewTicker(max(time.Millisecond, e.settings.scaled(e.settings.ReportInterval)))
	defer ticker.Stop()
	for {
		now := time.Now()
		if err := e.do(e.stopped, func() { e.reports.add(e.snapshot(now), now) }); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-e.stopped.Done():
			return
		}
	}
}

// snapshot returns the current load report. It must be called on the loop
// goroutine.
func (e *Engine) snapshot(now time.Time) api.LoadReport {
	return api.LoadReport{
		Name:             e.settings.Name,
		Models:           e.orders.state().Loaded,
		Running:          len(e.batch.running),
		Waiting:          len(e.batch.waiting),
		KVUsedTokens:     e.batch.pool.usedTokens(),
		KVCapacityTokens: e.settings.KVCapacityTokens,
		StepMS:           e.batch.stepMS,
		MaxBatch:         e.settings.MaxBatch,
		Preemptions:      e.batch.counters.Preempted,
		TokensGenerated:  e.batch.counters.Tokens,
		Draining:         e.draining(),
		ColdLeftMS:       e.faults.coldLeft(),
		Incarnation:      e.incarnation,
		ReportedAtMS:     now.UnixMilli(),
	}
}
