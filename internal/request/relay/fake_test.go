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

// script is the whole stream of a generation with n tokens.
func script(n int) []api.Event {
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

// errCut is typed like the errors of the engine client. Such an error describes
// one link and must not end the relay.
var errCut error = fault.New(fault.EngineLost, "stream", backend, api.Unknown, "connection reset")

// step is what a fake link does next.
type step struct {
	event api.Event
	err   error
	// silent blocks until the link is closed.
	silent bool
}

// link plays steps, then ends with io.EOF.
type link struct {
	steps  []step
	closed chan struct{}
}

func newLink(steps ...step) *link { return &link{steps: steps, closed: make(chan struct{})} }

func play(events ...api.Event) []step {
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

// recorder is a sink that keeps what it got.
type recorder struct {
	events    []api.Event
	failAfter int // 0 means never
}

func (r *recorder) Send(e api.Event) error {
	if r.failAfter > 0 && len(r.events) >= r.failAfter {
		return errCut
	}
	r.events = append(r.events, e)
	return nil
}

// noResume is an engine that does not know the stream any more.
func noResume(context.Context, string, int64) (Source, error) {
	return nil, fault.New(fault.UnknownResponse, "resume", backend, api.Unknown, "gone")
}

// refuse is an engine whose process has ended.
func refuse(context.Context, string, int64) (Source, error) {
	return nil, fault.Wrap(syscall.ECONNREFUSED, fault.EngineLost, "resume", backend, api.NotRun)
}

// hang is an engine that accepts connections and never answers.
func hang(ctx context.Context, _ string, _ int64) (Source, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// awaitReaders lets the goroutines that read links end before a synctest bubble
// does.
func awaitReaders() { time.Sleep(time.Second) }
