package engine

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tmaxmax/go-sse"

	"persimmonwing/internal/connection/bodies"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// maxEventBytes is the maximum size of one event. It prevents a faulty engine from exhausting
// the gateway's memory.
const maxEventBytes = 256 << 10

// drainTimeout is the maximum wait for the end of the body after the terminal event. If the
// body ends in time, its connection is reused.
const drainTimeout = time.Second

// Stream reads the events of one generation. Next must be called by one goroutine only.
// Close may be called by any goroutine, also during Next.
type Stream struct {
	call   call
	ctx    context.Context
	cancel context.CancelFunc
	body   io.Closer
	events *bodies.EventStream
	closed atomic.Bool

	mu       sync.Mutex
	next     func() (sse.Event, error, bool)
	stop     func()
	terminal bool
	err      error
}

// open sends a call and returns its response as an event stream. A response of another
// content type is an error.
func (c *Client) open(ctx context.Context, k call) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.do(ctx, k)
	if err != nil {
		cancel()
		return nil, err
	}
	if !isEventStream(resp) {
		cancel()
		resp.Body.Close()
		cause := eris.Errorf("response has content type %q, want text/event-stream", resp.Header.Get("Content-Type"))
		return nil, k.fault(cause, fault.EngineProtocol, api.Unknown)
	}
	s := &Stream{call: k, ctx: ctx, cancel: cancel, body: resp.Body, events: c.bodies.Events(resp.Body, maxEventBytes)}
	s.call.step = StepStream
	events := sse.Read(s.events, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	s.next, s.stop = iter.Pull2(iter.Seq2[sse.Event, error](events))
	return s, nil
}

// Next returns the next event. It returns io.EOF after the terminal event, or if the engine
// closed the stream cleanly. It returns another error if the connection broke or an event is
// malformed. After an error, all further calls return the same error.
func (s *Stream) Next() (api.Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return api.Event{}, s.err
	}
	event, err := s.readLocked()
	s.err = err
	if err == nil && event.Type.Terminal() {
		s.terminal = true
		s.err = io.EOF
	}
	return event, err
}

func (s *Stream) readLocked() (api.Event, error) {
	raw, err, ok := s.next()
	switch {
	case s.closed.Load():
		cause := eris.New("stream was closed by the caller")
		return api.Event{}, s.call.fault(cause, fault.Cancelled, api.Unknown)
	case err != nil:
		return api.Event{}, s.call.fault(err, transportCode(s.ctx, err), api.Unknown)
	case !ok:
		return api.Event{}, io.EOF
	}
	s.events.NextEvent()
	var event api.Event
	if err := json.Unmarshal([]byte(raw.Data), &event); err != nil {
		return api.Event{}, s.call.fault(err, fault.EngineProtocol, api.Unknown)
	}
	if event.Type == "" || (raw.Type != "" && raw.Type != string(event.Type)) {
		cause := eris.Errorf("event has name %q but its data has type %q", raw.Type, event.Type)
		return api.Event{}, s.call.fault(cause, fault.EngineProtocol, api.Unknown)
	}
	return event, nil
}

// Close stops reading the stream. The connection is reused only if the body ends directly
// after the terminal event; otherwise it is closed. Close doesn't stop the generation.
func (s *Stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	if s.mu.TryLock() {
		terminal := s.terminal
		s.mu.Unlock()
		if terminal {
			go s.drain()
			return nil
		}
	}
	s.abandon()
	return nil
}

// abandon closes the connection, which also unblocks a pending call of Next.
func (s *Stream) abandon() {
	s.cancel()
	_ = s.body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stop()
	s.events.Release()
}

// drain reads to the end of the body after the terminal event, so that the connection can be
// reused, and then releases the stream.
func (s *Stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	s.mu.Lock()
	_, err, ok := s.next()
	s.mu.Unlock()
	if err == nil && !ok {
		_ = s.body.Close()
	}
	s.abandon()
}
