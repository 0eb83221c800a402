package relay

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

const (
	engineID  = "resp_e1"
	attemptID = "attempt-1"
	backend   = "engine-1"
)

// wholeStream returns all events of a generation with n tokens.
func wholeStream(n int) []api.Event {
	events := []api.Event{{Type: api.EventCreated, Response: &api.Response{ID: engineID, Metadata: map[string]string{api.MetadataAttempt: attemptID}}}}
	for i := range n {
		events = append(events, api.Event{Type: api.EventDelta, ItemID: api.ItemID(engineID), Delta: fmt.Sprint(i, " ")})
	}
	events = append(events, api.Event{Type: api.EventCompleted, Response: &api.Response{ID: engineID, Status: api.StatusCompleted}})
	for i := range events {
		events[i].SequenceNumber = int64(i)
	}
	return events
}

// errCut has the type of the engine client's errors. Such an error concerns one
// connection and must not end the relay.
var errCut error = fault.New(fault.EngineLost, "stream", backend, api.Unknown, "connection reset")

// step is one result of link.Next.
type step struct {
	event api.Event
	err   error
	// silent makes Next block until the link is closed.
	silent bool
}

// link is a fake connection to an engine. It returns its steps in order, then io.EOF.
type link struct {
	steps  []step
	closed chan struct{}
}

func newLink(steps ...step) *link { return &link{steps: steps, closed: make(chan struct{})} }

func eventSteps(events ...api.Event) []step {
	steps := make([]step, len(events))
	for i, e := range events {
		steps[i] = step{event: e}
	}
	return steps
}

func (l *link) Next() (api.Event, error) {
	if len(l.steps) == 0 {
		return api.Event{}, io.EOF
	}
	s := l.steps[0]
	l.steps = l.steps[1:]
	if s.silent {
		<-l.closed
		return api.Event{}, io.ErrClosedPipe
	}
	time.Sleep(time.Millisecond)
	return s.event, s.err
}

func (l *link) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

// recorder is a sink that records the events it receives.
type recorder struct {
	events    []api.Event
	failAfter int // number of events before Send fails; 0 means never
}

func (r *recorder) Send(e api.Event) error {
	if r.failAfter > 0 && len(r.events) >= r.failAfter {
		return errCut
	}
	r.events = append(r.events, e)
	return nil
}

// noResume is the Resume function of an engine that no longer has the stream.
func noResume(context.Context, string, int64) (Source, error) {
	return nil, fault.New(fault.UnknownResponse, "resume", backend, api.Unknown, "gone")
}

// refuseConnection is the Resume function of an engine whose process has ended.
func refuseConnection(context.Context, string, int64) (Source, error) {
	return nil, fault.Wrap(syscall.ECONNREFUSED, fault.EngineLost, "resume", backend, api.NotRun)
}

// hang is the Resume function of an engine that accepts connections but never answers.
func hang(ctx context.Context, _ string, _ int64) (Source, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// awaitReaders waits until the goroutines that read links have ended, which must happen
// before the end of a synctest bubble.
func awaitReaders() { time.Sleep(time.Second) }
