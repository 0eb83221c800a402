package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// asyncQueueLines is the capacity of the queue of lines not written yet.
	asyncQueueLines = 1024
	// asyncBytesPerSecond and asyncBurstBytes are the rate and the capacity of the
	// token bucket that limits the volume of the log.
	asyncBytesPerSecond = 20 << 10
	asyncBurstBytes     = 64 << 10
	// dropReportPeriod is the minimum time between two reports of dropped lines.
	dropReportPeriod = time.Second
	// closeTimeout bounds the time for which Close waits until the queue is written.
	closeTimeout = 200 * time.Millisecond
)

// Async is a writer that never blocks its caller. It drops and counts lines that
// exceed the allowed volume, or that find the queue full because the underlying
// writer is slow, and later writes a line with their number.
type Async struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex
	closed     bool
	dropped    int
	tokens     float64
	refilledAt time.Time
	reportedAt time.Time
}

// NewAsync returns a writer that writes to w in the background, one line per call.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan []byte, asyncQueueLines), done: make(chan struct{}), tokens: asyncBurstBytes, refilledAt: time.Now()}
	go a.run()
	return a
}

// Write queues one line or drops it. It always reports success.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.takeTokens(len(line)) {
		a.dropped++
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped++
	}
	return len(line), nil
}

// takeTokens takes n bytes from the token bucket and reports whether it had enough.
func (a *Async) takeTokens(n int) bool {
	now := time.Now()
	a.tokens = min(asyncBurstBytes, a.tokens+now.Sub(a.refilledAt).Seconds()*asyncBytesPerSecond)
	a.refilledAt = now
	if a.tokens < float64(n) {
		return false
	}
	a.tokens -= float64(n)
	return true
}

// Dropped returns the number of lines dropped since the last report of dropped lines.
func (a *Async) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

func (a *Async) run() {
	defer close(a.done)
	for line := range a.lines {
		a.write(line)
		a.reportDropped(time.Now())
	}
	a.reportDropped(time.Time{})
}

// reportDropped writes the number of lines dropped since the last report, if any, at
// most once per dropReportPeriod. With the zero time, which marks the end of the log,
// it writes it in any case.
func (a *Async) reportDropped(now time.Time) {
	a.mu.Lock()
	n := a.dropped
	if n == 0 || !now.IsZero() && now.Sub(a.reportedAt) < dropReportPeriod {
		a.mu.Unlock()
		return
	}
	report := fmt.Appendf(nil, "part=log level=warn msg=\"lines dropped\" lines=%d\n", n)
	a.dropped, a.reportedAt = 0, now
	a.tokens -= float64(len(report))
	a.mu.Unlock()
	a.write(report)
}

// write ignores errors, because there is no other place to report that the log can't
// be written.
func (a *Async) write(line []byte) { _, _ = a.w.Write(line) }

// Close stops accepting lines and waits up to closeTimeout until the queued lines are
// written.
func (a *Async) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}
