package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// streamSink writes events to a reader as server-sent events. It replaces the engine's
// response id by responseID and the model by the entry's name. next is the sequence
// number of the next event.
type streamSink struct {
	ctx          context.Context
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	responseID   string
	model        string
	started      bool
	next         int64
}

func newStreamSink(r *http.Request, w http.ResponseWriter, writeTimeout time.Duration, model string) *streamSink {
	return &streamSink{ctx: r.Context(), w: w, control: http.NewResponseController(w), writeTimeout: writeTimeout, model: model}
}

// Send implements relay.Sink.
func (s *streamSink) Send(e api.Event) error {
	if err := s.ctx.Err(); err != nil {
		return err
	}
	s.start()
	if e.Response != nil {
		e.Response = s.publicResponse(e.Response)
	}
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	m := sse.Message{Type: sse.Type(string(e.Type))}
	m.AppendData(string(data))
	if err := s.control.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	if _, err := m.WriteTo(s.w); err != nil {
		return err
	}
	s.next = e.SequenceNumber + 1
	if e.Type == api.EventCreated {
		// The relay sends this event together with the first token, whose flush covers
		// both.
		return nil
	}
	return s.control.Flush()
}

// start writes the response headers before the first event.
func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// fail ends a started stream with a failure event that contains the error.
func (s *streamSink) fail(e *fault.Error, requestID string) {
	body := e.Body(requestID)
	_ = s.Send(api.Event{
		Type:           api.EventFailed,
		SequenceNumber: s.next,
		Response:       &api.Response{Status: api.StatusFailed, Error: &body.Error},
	})
}

// publicResponse returns a copy of an engine's response with the id, model and
// metadata that the caller sees.
func (s *streamSink) publicResponse(r *api.Response) *api.Response {
	out := *r
	out.ID = s.responseID
	out.Object = "response"
	out.Model = s.model
	out.Metadata = withoutAttempt(r.Metadata)
	return &out
}

// withoutAttempt returns the metadata m without the attempt id that the gateway added,
// or nil if nothing else is in it.
func withoutAttempt(m map[string]string) map[string]string {
	out := make(map[string]string, len(m))
	for k, v := range m {
		if k != api.MetadataAttempt {
			out[k] = v
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// textSink collects the text of a non-streaming response.
type textSink struct {
	ctx  context.Context
	text strings.Builder
}

// Send implements relay.Sink.
func (s *textSink) Send(e api.Event) error {
	s.text.WriteString(e.Delta)
	return s.ctx.Err()
}
