package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	standin "persimmonwing/internal/process/standin/engine"
	"persimmonwing/internal/request/api"
)

// replaceEngine replaces the first engine by a fake.
func (w *harness) replaceEngine(h http.HandlerFunc) {
	server := httptest.NewServer(h)
	w.servers = append(w.servers, server)
	w.scheduler.replicas[0].Address = server.Listener.Addr().String()
}

// acceptAndBreak is an engine that accepts a generation and closes the connection
// before the first token. It does not know the generation afterwards.
func acceptAndBreak(w http.ResponseWriter, r *http.Request) {
	var req api.CreateRequest
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&req) != nil {
		writeJSON(w, http.StatusNotFound, api.ErrorBody{Error: api.Error{Code: "unknown_response"}})
		return
	}
	data, _ := json.Marshal(api.Event{Type: api.EventCreated, Response: &api.Response{ID: "resp_lost", Metadata: req.Metadata}})
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "event: %s\ndata: %s\n\n", api.EventCreated, data)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// kill stops an engine like a crash of its process.
func (w *harness) kill(i int) {
	w.engines[i].Close()
	w.servers[2*i].CloseClientConnections()
	w.servers[2*i].Close()
}

// checkText checks that text consists of all want tokens of one generation, in order.
func checkText(t *testing.T, text, marker string, want int) {
	t.Helper()
	is := is.New(t)
	parts := strings.Fields(text)
	is.Equal(len(parts), want)
	id, _, _ := strings.Cut(text, "|")
	for i, p := range parts {
		is.Equal(p, fmt.Sprintf("%s|%s|%d", id, marker, i))
	}
}

func (w *harness) checkNextRequest() {
	w.t.Helper()
	w.waitIdle()
	a := w.send(w.create("plan", "#id=after #tokens=2", false))
	if a.status != http.StatusOK {
		w.t.Errorf("the next request failed: status %d, body %s", a.status, a.body)
	}
}

// Guards against a slot, grant or goroutine that is not released when a reader
// disconnects in the middle of its stream.
func TestReaderLeavesStream(t *testing.T) {
	w := newHarness(t, nil)
	s := w.open(w.create("plan", "#id=x #tokens=4000", true))
	for range 4 {
		s.next()
	}
	_ = s.resp.Body.Close()
	w.checkNextRequest()
}

// Guards against a generation that runs for a caller that disconnected while its
// request was queued.
func TestCallerLeavesQueue(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		w := newHarness(t, nil)
		w.scheduler.set(nil, true)
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := w.client.Do(w.create("plan", "#id=x #tokens=2", stream).WithContext(ctx))
			done <- err
		}()
		is.True(eventually(func() bool { return w.scheduler.waitingCount() == 1 }))
		leave()
		is.True(<-done != nil)
		is.True(eventually(func() bool { return w.scheduler.waitingCount() == 0 }))
		w.scheduler.set(nil, false)
		w.checkNextRequest()
		is.Equal(w.runs("x"), 0)
	}
}

// Guards against the loss of an engine before the first token that is visible to the
// reader: the response must be complete, from one generation and under one id.
func TestEngineLostBeforeFirstToken(t *testing.T) {
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		w := newHarness(t, nil)
		w.replaceEngine(acceptAndBreak)
		if stream {
			events := w.open(w.create("plan", "#id=x #tokens=20", true)).rest()
			is.Equal(len(events), 22)
			is.Equal(events[0].Type, api.EventCreated)
			is.Equal(events[21].Type, api.EventCompleted)
			is.Equal(events[0].Response.ID, events[21].Response.ID)
			for i, e := range events {
				is.Equal(e.SequenceNumber, int64(i))
			}
			text, _ := tokens(events)
			checkText(t, text, "x", 20)
		} else {
			a := w.send(w.create("plan", "#id=x #tokens=20", false))
			is.Equal(a.status, http.StatusOK)
			var r api.Response
			is.NoErr(json.Unmarshal(a.body, &r))
			checkText(t, r.OutputText, "x", 20)
		}
		is.Equal(w.scheduler.grantedCount(), 2)
		is.Equal(w.runs("x"), 1)
		w.checkNextRequest()
	}
}

// Guards against an engine that works on a generation which counts as lost and has been tried at another
// engine.
func TestLostGenerationIsCancelled(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	cancelled := make(chan string, 1)
	w.replaceEngine(func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/cancel") {
			cancelled <- r.URL.Path
		}
		acceptAndBreak(rw, r)
	})
	a := w.send(w.create("plan", "#id=x #tokens=20", false))
	is.Equal(a.status, http.StatusOK)
	select {
	case path := <-cancelled:
		is.Equal(path, "/v1/responses/resp_lost/cancel")
	case <-time.After(time.Second):
		t.Fatal("the generation was not cancelled at its first engine")
	}
}

// Guards against a second generation that continues a stream whose engine was lost
// after the first token.
func TestEngineLostInStream(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	s := w.open(w.create("plan", "#id=x #tokens=4000", true))
	var events []api.Event
	for range 4 {
		e, ok := s.next()
		is.True(ok)
		events = append(events, e)
	}
	w.kill(0)
	events = append(events, s.rest()...)
	last := events[len(events)-1]
	is.Equal(last.Type, api.EventFailed)
	is.Equal(last.Response.ID, events[0].Response.ID)
	is.Equal(last.Response.Error.Code, "engine_lost")
	is.Equal(last.Response.Error.Execution, api.Ran)
	is.Equal(last.Response.Error.RequestID, s.resp.Header.Get(headerRequestID))
	for i, e := range events {
		is.Equal(e.SequenceNumber, int64(i))
	}
	is.Equal(w.scheduler.grantedCount(), 1) // no second generation
	w.scheduler.replicas = w.scheduler.replicas[1:]
	w.checkNextRequest()
}

// Guards against text of a lost generation in a non-streaming response, which is
// generated again by another engine.
func TestEngineLostInNonStreamingResponse(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	done := make(chan response, 1)
	r := w.create("plan", "#id=x #tokens=100", false)
	go func() { done <- w.send(r) }()
	is.True(eventually(func() bool {
		c, err := w.engines[0].Counters(t.Context())
		return err == nil && c.Tokens > 10
	}))
	w.kill(0)
	a := <-done
	is.Equal(a.status, http.StatusOK)
	var whole api.Response
	is.NoErr(json.Unmarshal(a.body, &whole))
	checkText(t, whole.OutputText, "x", 100)
	is.Equal(w.scheduler.grantedCount(), 2)
}

// Guards against a cancel that leaves the generation running or its reader without a
// terminal event.
func TestCancel(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	s := w.open(w.create("plan", "#id=x #tokens=4000", true))
	created, ok := s.next()
	is.True(ok)
	a := w.send(w.request(http.MethodPost, responses+"/"+created.Response.ID+"/cancel", keyA, ""))
	is.Equal(a.status, http.StatusOK)
	events := s.rest()
	last := events[len(events)-1]
	is.Equal(last.Type, api.EventIncomplete)
	is.Equal(last.Response.IncompleteReason, api.ReasonCancelled)
	c, err := w.engines[0].Counters(t.Context())
	is.NoErr(err)
	is.Equal(c.Running, 0)
	w.checkNextRequest()
}

// Guards against tokens that are lost, repeated or mixed between streams when an
// engine cuts connections, repeats events or sends events of other streams.
func TestFaultyLinks(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	w.engines[0].SetFaults(standin.Faults{DuplicateEvents: true, MisrouteEvents: true})
	done := make(chan []api.Event, 2)
	for _, id := range []string{"x", "y"} {
		r := w.create("wide", "#id="+id+" #tokens=100", true)
		s := w.open(r)
		go func() { done <- s.rest() }()
	}
	time.Sleep(50 * time.Millisecond)
	w.engines[0].SetFaults(standin.Faults{DuplicateEvents: true, MisrouteEvents: true, CutStreams: true})
	ids := map[string]bool{}
	for range 2 {
		events := <-done
		is.Equal(len(events), 102)
		text, _ := tokens(events)
		marker := strings.Split(text, "|")[1]
		ids[marker] = true
		checkText(t, text, marker, 100)
	}
	is.Equal(len(ids), 2)
}

// Guards against unbounded retries: they are bounded by MaxAttempts and, if a backend
// server refuses everything, by its retry budget.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, func(o *Options) { o.MaxAttempts = 2 })
	w.engines[0].SetFaults(standin.Faults{Refuse: true})
	w.engines[1].SetFaults(standin.Faults{Refuse: true})
	a := w.send(w.create("plan", "#id=x #tokens=2", true))
	is.Equal(a.err.Code, "engine_refused")
	is.Equal(a.err.Execution, api.NotRun)
	is.Equal(w.scheduler.grantedCount(), 2)
	w.engines[1].SetFaults(standin.Faults{})
	served := 0
	for range 10 {
		a := w.send(w.create("plan", "#id=y #tokens=2", false))
		if a.status == http.StatusOK {
			served++
			continue
		}
		is.Equal(a.err.Execution, api.NotRun)
	}
	is.Equal(served, retryReserve-1) // the first request used one retry of the budget
	is.Equal(w.runs("x"), 0)
	is.Equal(w.runs("y"), served)
}
