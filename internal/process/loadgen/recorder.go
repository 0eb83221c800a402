package loadgen

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonwing/internal/request/api"
)

// Window is a named part of a run for which results are kept apart.
type Window struct {
	Name     string
	From, To time.Duration
}

func (w Window) holds(t time.Duration) bool { return t >= w.From && t < w.To }

// Histograms are in microseconds, with an error of 0.1%.
const (
	histogramMax    = int64(15 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's range, so that no error is possible.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), histogramMax))
}

// cell holds the results of one stream in one window. First tokens and
// outcomes count in the window of the arrival, tokens, gaps and stalls in the
// window in which they occurred.
type cell struct {
	mu           sync.Mutex
	firstToken   *hdrhistogram.Histogram
	gaps         *hdrhistogram.Histogram
	stalls       *hdrhistogram.Histogram
	totals       *hdrhistogram.Histogram
	stallTotal   time.Duration
	arrivals     int
	judged       int
	onTime       int
	tokens       int
	onTimeTokens int
	attempts     int
	skipped      int
	resumed      int
	outcomes     map[string]int
	executions   map[api.Execution]int
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
	// notRun holds ids of requests whose callers were told that they did not
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

func (r *recorder) late(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lateness, d)
}

// token records a token and, unless it is the first one, the gap before it.
func (r *recorder) token(stream int, at, gap time.Duration, f *finished) {
	stall := excess(gap, r.streams[stream].Targets.TokenGap)
	f.generating += gap
	f.stalled += stall
	for w, window := range r.windows {
		if !window.holds(at) {
			continue
		}
		f.parts[w].tokens++
		f.parts[w].stall += stall
		c := r.cells[w][stream]
		c.mu.Lock()
		c.tokens++
		if gap > 0 {
			record(c.gaps, gap)
		}
		c.mu.Unlock()
	}
}

// openGap adds the stall of a gap that the end of the run cut off.
func (r *recorder) openGap(stream int, at, gap time.Duration, f *finished) {
	stall := excess(gap, r.streams[stream].Targets.TokenGap)
	f.generating += gap
	f.stalled += stall
	for w, window := range r.windows {
		if window.holds(at) {
			f.parts[w].stall += stall
		}
	}
}

func excess(gap, target time.Duration) time.Duration {
	if target == 0 {
		return 0
	}
	return max(0, gap-target)
}

// maxStallShare is the part of a generation's time that may be stall time in a
// generation on time.
const maxStallShare = 0.05

// onTime judges a request. A request without a first token whose target has
// not passed when the run ends is not judged.
func onTime(f *finished, t Targets) (good, judged bool) {
	waiting := f.code == OutcomeUnfinished && f.firstToken == 0
	if waiting {
		tooLong := t.FirstToken > 0 && f.ended-f.arrived > t.FirstToken
		return false, tooLong
	}
	if !f.served() && f.code != OutcomeUnfinished {
		return false, true
	}
	if t.FirstToken > 0 && f.firstToken > t.FirstToken {
		return false, true
	}
	return float64(f.stalled) <= math.Ceil(maxStallShare*float64(f.generating)), true
}

// finish records the end of a request.
func (r *recorder) finish(stream int, f *finished) {
	good, judged := onTime(f, r.streams[stream].Targets)
	for w, window := range r.windows {
		c := r.cells[w][stream]
		c.mu.Lock()
		if window.holds(f.arrived) {
			c.arrived(f, good, judged)
		}
		c.took(f.parts[w], good)
		c.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, n := range f.violations {
		r.violations[p] += n
	}
	if f.execution == api.NotRun && len(r.notRun) < maxRefusedToTell {
		r.notRun = append(r.notRun, f.id)
	}
	if r.streams[stream].IdempotencyKey && len(r.once) < maxRefusedToTell {
		r.once = append(r.once, f.id)
	}
}

// arrived counts a request in the window of its arrival. A wait that the end
// of the run cut off counts with the time it has lasted, so that an overload
// does not look better than it is.
func (c *cell) arrived(f *finished, good, judged bool) {
	c.arrivals++
	c.attempts += f.attempts
	c.skipped += f.skipped
	c.resumed += f.resumed
	c.outcomes[f.label()]++
	c.executions[f.execution]++
	if judged {
		c.judged++
	}
	if good {
		c.onTime++
	}
	switch {
	case f.firstToken > 0:
		record(c.firstToken, f.firstToken)
	case f.code == OutcomeUnfinished && judged:
		record(c.firstToken, f.ended-f.arrived)
	}
	if f.served() {
		record(c.totals, f.ended-f.arrived)
	}
}

func (c *cell) took(p part, good bool) {
	if p.tokens == 0 && p.stall == 0 {
		return
	}
	record(c.stalls, p.stall)
	c.stallTotal += p.stall
	if good {
		c.onTimeTokens += p.tokens
	}
}
