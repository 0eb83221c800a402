package app

import (
	"context"
	"sync"
)

// Faults is the body of PUT /control/faults; each put replaces all faults.
// The numbers count the next calls that fail so; -1 means all calls.
type Faults struct {
	// ResetBefore closes the connection before the call runs.
	ResetBefore int `json:"reset_before"`
	// ResetAfter runs the call and closes the connection without an answer.
	ResetAfter int `json:"reset_after"`
	// ErrorWithBody refuses with 503, an error body and execution not_run.
	ErrorWithBody int `json:"error_with_body"`
	// ErrorWithoutBody runs the call and answers 500 without a body.
	ErrorWithoutBody int `json:"error_without_body"`
	// Freeze holds calls and load reports until it is taken back. Held calls
	// then run even if their client has left, as in a process that was paused.
	Freeze  bool `json:"freeze"`
	DelayMS int  `json:"delay_ms"`
	// Drain refuses new calls and shows in the load report.
	Drain bool `json:"drain"`
}

// outcome is what happens to one call.
type outcome int

const (
	answer outcome = iota
	resetBefore
	resetAfter
	errorWithBody
	errorWithoutBody
)

// faultState hands each call its outcome.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	// thawed is closed while calls are not held.
	thawed chan struct{}
}

func newFaultState() *faultState {
	f := &faultState{thawed: make(chan struct{})}
	close(f.thawed)
	return f
}

func (f *faultState) set(v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case v.Freeze && !f.faults.Freeze:
		f.thawed = make(chan struct{})
	case !v.Freeze && f.faults.Freeze:
		close(f.thawed)
	}
	f.faults = v
}

func (f *faultState) current() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// waitThawed returns false if ctx ends while calls are still held.
func (f *faultState) waitThawed(ctx context.Context) bool {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *faultState) next() outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case take(&f.faults.ResetBefore):
		return resetBefore
	case take(&f.faults.ResetAfter):
		return resetAfter
	case take(&f.faults.ErrorWithBody):
		return errorWithBody
	case take(&f.faults.ErrorWithoutBody):
		return errorWithoutBody
	default:
		return answer
	}
}

func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
