package loadgen

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonwing/internal/request/api"
)

// Window is a named part of a run with results of its own. It begins at From and ends
// before To, both counted from the start of the run.
type Window struct {
	Name     string
	From, To time.Duration
}

func (w Window) contains(t time.Duration) bool { return t >= w.From && t < w.To }

// Histograms count microseconds up to histogramMax, with an error of 0.1%.
const (
	histogramMax    = int64(15 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so that RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), histogramMax))
}

// cell contains the results of one stream in one window. First tokens and outcomes
// count in the window in which the request arrived; tokens, gaps and stalls count in
// the window in which they occurred.
type cell struct {
	mu                 sync.Mutex
	firstToken         *hdrhistogram.Histogram
	gaps               *hdrhistogram.Histogram
	stalls             *hdrhistogram.Histogram
	totals             *hdrhistogram.Histogram
	stallTotal         time.Duration
	arrivals           int
	judged             int
	onTime             int
	tokens             int
	onTimeTokens       int
	attempts           int
	connectionsRefused int
	resumed            int
	outcomes           map[string]int
	executions         map[api.Execution]int
}

func newCell() *cell {
	return &cell{
		firstToken: newHistogram(),
		gaps:       newHistogram(),
		stalls:     newHistogram(),
		totals:     newHistogram(),
		outcomes:   map[string]int{},
		executions: map[api.Execution]int{},
	}
}

// recorder collects the results of a run.
type recorder struct {
	streams []Stream
	windows []Window
	// cells is indexed by window and stream.
	cells [][]*cell

	mu         sync.Mutex
	lateness   *hdrhistogram.Histogram
	violations map[Violation]int
	// notRun contains the ids of requests that were reported to their callers as not
	// run, and once the ids of calls that may run only once.
	notRun []string
	once   []string
}

func newRecorder(streams []Stream, windows []Window) *recorder {
	r := &recorder{
		streams:    streams,
		windows:    windows,
		lateness:   newHistogram(),
		violations: map[Violation]int{},
	}
	for range windows {
		row := make([]*cell, len(streams))
		for i := range row {
			row[i] = newCell()
		}
		r.cells = append(r.cells, row)
	}
	return r
}

func (r *recorder) recordLateness(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.lateness, d)
}

// recordToken records a token and the gap before it, which is 0 for the first token.
func (r *recorder) recordToken(stream int, at, gap time.Duration, rr *requestResult) {
	stall := excess(gap, r.streams[stream].Targets.TokenGap)
	rr.generationTime += gap
	rr.stallTime += stall
	for w, window := range r.windows {
		if !window.contains(at) {
			continue
		}
		rr.perWindow[w].tokens++
		rr.perWindow[w].stall += stall
		c := r.cells[w][stream]
		c.mu.Lock()
		c.tokens++
		if gap > 0 {
			recordDuration(c.gaps, gap)
		}
		c.mu.Unlock()
	}
}

// recordOpenGap adds the stall time of a token gap that the end of the run interrupted.
func (r *recorder) recordOpenGap(stream int, at, gap time.Duration, rr *requestResult) {
	stall := excess(gap, r.streams[stream].Targets.TokenGap)
	rr.generationTime += gap
	rr.stallTime += stall
	for w, window := range r.windows {
		if window.contains(at) {
			rr.perWindow[w].stall += stall
		}
	}
}

func excess(gap, target time.Duration) time.Duration {
	if target == 0 {
		return 0
	}
	return max(0, gap-target)
}

// maxStallShare is the fraction of a generation's time that may be stall time if the
// generation is to count as on time.
const maxStallShare = 0.05

// onTime reports whether a request met its targets. A request that has no first token
// when the run ends and is still within its target is not judged.
func onTime(rr *requestResult, t Targets) (good, judged bool) {
	waiting := rr.code == OutcomeUnfinished && rr.firstToken == 0
	if waiting {
		tooLong := t.FirstToken > 0 && rr.ended-rr.arrived > t.FirstToken
		return false, tooLong
	}
	if !rr.served() && rr.code != OutcomeUnfinished {
		return false, true
	}
	if t.FirstToken > 0 && rr.firstToken > t.FirstToken {
		return false, true
	}
	return float64(rr.stallTime) <= math.Ceil(maxStallShare*float64(rr.generationTime)), true
}

// recordRequest records a request that has ended.
func (r *recorder) recordRequest(stream int, rr *requestResult) {
	good, judged := onTime(rr, r.streams[stream].Targets)
	for w, window := range r.windows {
		c := r.cells[w][stream]
		c.mu.Lock()
		if window.contains(rr.arrived) {
			c.arrived(rr, good, judged)
		}
		c.addWindowStats(rr.perWindow[w], good)
		c.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, n := range rr.violations {
		r.violations[p] += n
	}
	if rr.execution == api.NotRun && len(r.notRun) < defaultLimit {
		r.notRun = append(r.notRun, rr.id)
	}
	if r.streams[stream].IdempotencyKey && len(r.once) < defaultLimit {
		r.once = append(r.once, rr.id)
	}
}

// arrived counts a request in the window of its arrival. If the end of the run
// interrupts the wait for the first token beyond the target, the time waited so far
// counts as the first-token latency, so that an overload does not look better than it is.
func (c *cell) arrived(rr *requestResult, good, judged bool) {
	c.arrivals++
	c.attempts += rr.attempts
	c.connectionsRefused += rr.connectionsRefused
	c.resumed += rr.resumed
	c.outcomes[rr.label()]++
	c.executions[rr.execution]++
	if judged {
		c.judged++
	}
	if good {
		c.onTime++
	}
	switch {
	case rr.firstToken > 0:
		recordDuration(c.firstToken, rr.firstToken)
	case rr.code == OutcomeUnfinished && judged:
		recordDuration(c.firstToken, rr.ended-rr.arrived)
	}
	if rr.served() {
		recordDuration(c.totals, rr.ended-rr.arrived)
	}
}

func (c *cell) addWindowStats(p windowStats, good bool) {
	if p.tokens == 0 && p.stall == 0 {
		return
	}
	recordDuration(c.stalls, p.stall)
	c.stallTotal += p.stall
	if good {
		c.onTimeTokens += p.tokens
	}
}
