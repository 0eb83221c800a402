package engine

import (
	"context"
	"sync"
	"time"

	"persimmonwing/internal/request/api"
)

// Faults are the faults that the engine injects, and the body of PUT
// /control/faults. Each PUT replaces all faults.
type Faults struct {
	// Freeze pauses the step loop and all responses except those under /control.
	Freeze bool `json:"freeze,omitempty"`
	// StallStreams sends no events on streams while generation continues.
	StallStreams bool `json:"stall_streams,omitempty"`
	// CutStreams aborts the connections of all open streams, once per PUT.
	CutStreams bool `json:"cut_streams,omitempty"`
	// MisrouteEvents also sends every tenth delta on another open stream.
	MisrouteEvents bool `json:"cross_events,omitempty"`
	// DuplicateEvents sends every tenth delta twice.
	DuplicateEvents bool `json:"duplicate_events,omitempty"`
	// Refuse responds to new generations with status 503 and code overloaded.
	Refuse bool `json:"refuse,omitempty"`
	// ErrorAfterAccept responds with status 500 and no body after the generation
	// was accepted.
	ErrorAfterAccept bool `json:"error_after_accept,omitempty"`
	// HideReports makes GET /v1/load fail with status 500.
	HideReports bool `json:"hide_reports,omitempty"`
	// Drain refuses new generations and sets Draining in the load report.
	Drain bool `json:"drain,omitempty"`
	// ColdMS is the time in milliseconds from the PUT for which the engine states in its responses and reports that
	// it is cold.
	ColdMS int64 `json:"cold_ms,omitempty"`
}

// faultInterval is the distance in sequence numbers between two deltas that
// MisrouteEvents and DuplicateEvents apply to.
const faultInterval = 10

// selected reports whether MisrouteEvents and DuplicateEvents apply to this event.
func selected(e api.Event) bool {
	return e.Type == api.EventDelta && e.SequenceNumber%faultInterval == 0
}

// faultState stores the current faults. At each change, the channel changed is
// closed and replaced; at each cut of the streams, the channel cut is closed and
// replaced.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	cut     chan struct{}
	// coldUntil is the end of the time that Faults.ColdMS states.
	coldUntil time.Time
}

func newFaultState() *faultState {
	return &faultState{changed: make(chan struct{}), cut: make(chan struct{})}
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.CutStreams {
		close(s.cut)
		s.cut = make(chan struct{})
		f.CutStreams = false
	}
	s.faults = f
	s.coldUntil = time.Now().Add(time.Duration(f.ColdMS) * time.Millisecond)
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the current faults and a channel that is closed when they change.
func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// coldLeft returns the time in milliseconds for which the engine is still cold.
func (s *faultState) coldLeft() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, time.Until(s.coldUntil).Milliseconds())
}

// cutSignal returns a channel that is closed the next time CutStreams is set.
func (s *faultState) cutSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// waitUntilThawed blocks while the engine is frozen. It returns the error of ctx
// if ctx ends first.
func (s *faultState) waitUntilThawed(ctx context.Context) error {
	for {
		f, changed := s.get()
		if !f.Freeze {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// misroutedLimit is the number of misrouted events buffered for one writer.
// Further events are dropped.
const misroutedLimit = 64

// misrouter passes deltas of one open stream to the writer of another, for
// Faults.MisrouteEvents. It stores the stream id of each writer by the channel on
// which the writer receives misrouted events.
type misrouter struct {
	mu      sync.Mutex
	writers map[chan api.Event]string
}

func newMisrouter() *misrouter { return &misrouter{writers: map[chan api.Event]string{}} }

func (c *misrouter) register(id string) chan api.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan api.Event, misroutedLimit)
	c.writers[ch] = id
	return ch
}

func (c *misrouter) unregister(ch chan api.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.writers, ch)
}

// misroute sends e to one writer of a stream other than id. It drops e if there is no
// such writer or the writer's buffer is full.
func (c *misrouter) misroute(id string, e api.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ch, other := range c.writers {
		if other == id {
			continue
		}
		select {
		case ch <- e:
		default:
		}
		return
	}
}
