package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// asyncLines bounds the lines that wait for a slow reader.
	asyncLines = 1024
	// asyncBytesPerSecond bounds the volume; asyncBurst may be written at once.
	asyncBytesPerSecond = 20 << 10
	asyncBurst          = 64 << 10
	// notePeriod is the time between two notes of dropped lines.
	notePeriod = time.Second
	// flushWait bounds the wait for the reader at the end of the process.
	flushWait = 200 * time.Millisecond
)

// Async is a writer that never blocks its caller: lines that the reader does not
// take in time or that exceed the volume are dropped, counted, and their number is
// written later.
type Async struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
	tokens  float64
	filled  time.Time
	notedAt time.Time
}

// NewAsync starts a writer to w, whose Write gets one line at a time.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan []byte, asyncLines), done: make(chan struct{}), tokens: asyncBurst, filled: time.Now()}
	go a.run()
	return a
}

// Write queues one line. It always reports success.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.affordable(len(line)) {
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

// affordable takes n bytes from the allowed volume.
func (a *Async) affordable(n int) bool {
	now := time.Now()
	a.tokens = min(asyncBurst, a.tokens+now.Sub(a.filled).Seconds()*asyncBytesPerSecond)
	a.filled = now
	if a.tokens < float64(n) {
		return false
	}
	a.tokens -= float64(n)
	return true
}

// Dropped returns the number of lines dropped since the last note of it.
func (a *Async) Dropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dropped
}

func (a *Async) run() {
	defer close(a.done)
	for line := range a.lines {
		a.write(line)
		a.noteDropped(time.Now())
	}
	a.noteDropped(time.Time{})
}

// noteDropped says how many lines were dropped, at most once a second; the zero
// time is that of the end.
func (a *Async) noteDropped(now time.Time) {
	a.mu.Lock()
	n := a.dropped
	if n == 0 || !now.IsZero() && now.Sub(a.notedAt) < notePeriod {
		a.mu.Unlock()
		return
	}
	note := fmt.Appendf(nil, "part=log level=warn msg=\"lines dropped\" lines=%d\n", n)
	a.dropped, a.notedAt = 0, now
	a.tokens -= float64(len(note))
	a.mu.Unlock()
	a.write(note)
}

// write ignores errors: a log that cannot be written has nowhere to say so.
func (a *Async) write(line []byte) { _, _ = a.w.Write(line) }

// Close writes what is queued, for a bounded time.
func (a *Async) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(flushWait):
	}
}
