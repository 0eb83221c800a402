package engine

import (
	"context"
	"sync"

	"persimmonwing/internal/request/api"
)

// Faults is the body of PUT /control/faults. Each PUT replaces all faults.
type Faults struct {
	// Freeze stops the step loop and all answers except those under /control.
	Freeze bool `json:"freeze,omitempty"`
	// StallStreams sends nothing on streams while generation goes on.
	StallStreams bool `json:"stall_streams,omitempty"`
	// CutStreams closes the connections of all open streams once.
	CutStreams bool `json:"cut_streams,omitempty"`
	// CrossEvents sends every tenth delta also into another open stream.
	CrossEvents bool `json:"cross_events,omitempty"`
	// DuplicateEvents sends every tenth delta twice.
	DuplicateEvents bool `json:"duplicate_events,omitempty"`
	// Refuse answers new work with 503 overloaded.
	Refuse bool `json:"refuse,omitempty"`
	// ErrorAfterAccept answers 500 without a body after the run was started.
	ErrorAfterAccept bool `json:"error_after_accept,omitempty"`
	// HideReports makes GET /v1/load fail.
	HideReports bool `json:"hide_reports,omitempty"`
	// Drain refuses new work and reports draining.
	Drain bool `json:"drain,omitempty"`
}

// faultInterval is the number of deltas from one crossed or duplicated delta
// to the next.
const faultInterval = 10

// selected reports whether CrossEvents and DuplicateEvents apply to this event.
func selected(e api.Event) bool {
	return e.Type == api.EventDelta && e.SequenceNumber%faultInterval == 0
}

// faultState holds the faults in force and signals their changes.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	cut     chan struct{}
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
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the faults in force and a channel that is closed when they change.
func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// cutSignal returns a channel that is closed at the next cut.
func (s *faultState) cutSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// waitThaw blocks while the engine is frozen.
func (s *faultState) waitThaw(ctx context.Context) error {
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

// foreignLimit bounds the crossed events that wait for one stream's writer.
const foreignLimit = 64

// crossing hands deltas of one open stream to the writer of another.
type crossing struct {
	mu      sync.Mutex
	writers map[chan api.Event]string
}

func newCrossing() *crossing { return &crossing{writers: map[chan api.Event]string{}} }

func (c *crossing) join(id string) chan api.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan api.Event, foreignLimit)
	c.writers[ch] = id
	return ch
}

func (c *crossing) leave(ch chan api.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.writers, ch)
}

// send gives e to one writer of a stream other than id, if there is one.
func (c *crossing) send(id string, e api.Event) {
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
