package app

import (
	"context"
	"sync"
	"time"
)

// Faults are the faults that the server injects, and the body of PUT
// /control/faults. Each PUT replaces all faults. ResetBefore to ErrorWithoutBody
// are numbers of calls: the fault applies to that many of the next calls; -1 means
// all calls. DelayMS is added to the run time of each call, in milliseconds.
type Faults struct {
	// ResetBefore aborts the connection before the call runs.
	ResetBefore int `json:"reset_before"`
	// ResetAfter runs the call and aborts the connection without a response.
	ResetAfter int `json:"reset_after"`
	// ErrorWithBody refuses the call with status 503 and an error body with
	// execution not_run.
	ErrorWithBody int `json:"error_with_body"`
	// ErrorWithoutBody runs the call and responds with status 500 and no body.
	ErrorWithoutBody int `json:"error_without_body"`
	// Freeze blocks calls and load reports until it is unset. Blocked calls then
	// run even if their client has disconnected, as in a process that was paused.
	Freeze  bool `json:"freeze"`
	DelayMS int  `json:"delay_ms"`
	// Drain refuses new calls and sets Draining in the load report.
	Drain bool `json:"drain"`
	// ColdMS is the time in milliseconds from the PUT for which the server states in its responses that it is cold.
	ColdMS int64 `json:"cold_ms"`
}

// faultKind is the fault injected into one call.
type faultKind int

const (
	noFault faultKind = iota
	resetBefore
	resetAfter
	errorWithBody
	errorWithoutBody
)

// faultState stores the current faults and selects the fault of each call.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	// thawed is closed unless Freeze is set.
	thawed chan struct{}
	// coldUntil is the end of the time that Faults.ColdMS states.
	coldUntil time.Time
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
	f.coldUntil = time.Now().Add(time.Duration(v.ColdMS) * time.Millisecond)
}

// coldLeft returns the time in milliseconds for which the server is still cold.
func (f *faultState) coldLeft() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, time.Until(f.coldUntil).Milliseconds())
}

func (f *faultState) current() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// waitUntilThawed blocks while the server is frozen. It returns false if ctx ends
// first.
func (f *faultState) waitUntilThawed(ctx context.Context) bool {
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

func (f *faultState) nextFault() faultKind {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case consume(&f.faults.ResetBefore):
		return resetBefore
	case consume(&f.faults.ResetAfter):
		return resetAfter
	case consume(&f.faults.ErrorWithBody):
		return errorWithBody
	case consume(&f.faults.ErrorWithoutBody):
		return errorWithoutBody
	default:
		return noFault
	}
}

func consume(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
