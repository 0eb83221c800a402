package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform/platformtest"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/standin/app"
	standin "persimmonwing/internal/process/standin/engine"
	"persimmonwing/internal/request/api"
)

// failure is one way in which a request fails, with the error that its caller receives.
type failure struct {
	name      string
	before    func(*testing.T, *harness)
	entry     string
	input     string
	status    int
	code      string
	execution api.Execution
	runs      int
	// streamed is set if a streaming request receives the failure as its last event.
	streamed bool
}

// closedAddress returns a loopback address that refuses connections.
func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

func engineFaults(f standin.Faults) func(*testing.T, *harness) {
	return func(_ *testing.T, w *harness) { w.engines[0].SetFaults(f) }
}

func fakeEngine(h http.HandlerFunc) func(*testing.T, *harness) {
	return func(_ *testing.T, w *harness) { w.replaceEngine(h) }
}

func generationFailures() []failure {
	long := "#id=x #tokens=4000"
	return []failure{
		{name: "queue full", before: func(_ *testing.T, w *harness) {
			w.scheduler.set(&schedule.Refusal{Reason: schedule.ReasonQueueFull}, false)
		}, status: 503, code: "queue_full", execution: api.NotRun},
		{name: "deadline while queued", before: func(_ *testing.T, w *harness) { w.scheduler.set(nil, true) },
			entry: "short", status: 504, code: "deadline_exceeded", execution: api.NotRun},
		{name: "deadline while running", entry: "short", input: long, status: 504, code: "deadline_exceeded", execution: api.Ran, runs: 1, streamed: true},
		{name: "connection refused", before: func(t *testing.T, w *harness) { w.scheduler.replicas[0].Address = closedAddress(t) },
			status: 502, code: "engine_lost", execution: api.NotRun},
		{name: "reset after bytes were sent", before: fakeEngine(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
			status: 502, code: "engine_lost", execution: api.Unknown},
		{name: "lost before the first token", before: fakeEngine(acceptAndBreak), status: 502, code: "engine_lost", execution: api.Ran},
		{name: "5xx without a body", before: engineFaults(standin.Faults{ErrorAfterAccept: true}), status: 502, code: "engine_lost", execution: api.Unknown, runs: 1},
		{name: "refused with a body", before: engineFaults(standin.Faults{Refuse: true}), status: 502, code: "engine_refused", execution: api.NotRun},
		{name: "5xx that claims not_run", before: fakeEngine(func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, 500, api.ErrorBody{Error: api.Error{Code: "internal", Execution: api.NotRun}})
		}), status: 500, code: "internal", execution: api.Unknown},
		{name: "no event stream", before: fakeEngine(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, 1) }),
			status: 502, code: "engine_protocol", execution: api.Unknown},
	}
}

// Guards against an error that reports not_run for a generation that ran, and against
// a failure that keeps a concurrency slot or grant, for streaming and non-streaming
// responses.
func TestExecutionOfGenerations(t *testing.T) {
	for _, c := range generationFailures() {
		for _, stream := range []bool{true, false} {
			name := c.name + " whole"
			if stream {
				name = c.name + " streamed"
			}
			t.Run(name, func(t *testing.T) { c.checkGeneration(t, stream) })
		}
	}
}

func (c failure) checkGeneration(t *testing.T, stream bool) {
	is := is.New(t)
	w := newHarness(t, func(o *Options) { o.MaxAttempts = 1 })
	if c.before != nil {
		c.before(t, w)
	}
	if c.entry == "" {
		c.entry = "plan"
	}
	if c.input == "" {
		c.input = "#id=x #tokens=3"
	}
	r := w.create(c.entry, c.input, stream)
	if stream && c.streamed {
		events := w.open(r).rest()
		last := events[len(events)-1]
		is.Equal(last.Type, api.EventFailed)
		is.Equal(last.Response.Error.Code, c.code)
		is.Equal(last.Response.Error.Execution, c.execution)
	} else {
		a := w.send(r)
		is.Equal(a.status, c.status)
		is.Equal(a.err.Code, c.code)
		is.Equal(a.err.Execution, c.execution)
	}
	is.Equal(w.runs("x"), c.runs)
	w.engines[0].SetFaults(standin.Faults{})
	w.scheduler.replicas = w.scheduler.replicas[1:]
	w.scheduler.set(nil, false)
	w.waitIdle()
	is.Equal(w.send(w.create(c.entry, "#id=after #tokens=2", false)).status, http.StatusOK) // the slot was released
}

func appFaults(f app.Faults) func(*testing.T, *harness) {
	return func(_ *testing.T, w *harness) {
		for _, a := range w.apps {
			a.SetFaults(f)
		}
	}
}

func callFailures() []failure {
	refused := func(t *testing.T, w *harness) {
		for i := range w.backends {
			w.backends[i].Address = closedAddress(t)
		}
	}
	none := func(_ *testing.T, w *harness) { w.backends = nil }
	out := func(_ *testing.T, w *harness) {
		w.table.Next = func(bool) platformtest.Plan { return platformtest.Plan{Fault: platformtest.Refuse} }
	}
	return []failure{
		{name: "connection refused", before: refused, entry: "booking", status: 502, code: "backend_lost", execution: api.NotRun},
		{name: "no server", before: none, entry: "booking", status: 503, code: "no_backend_server", execution: api.NotRun},
		{name: "reset before the run", before: appFaults(app.Faults{ResetBefore: -1}), entry: "booking", status: 502, code: "backend_lost", execution: api.Unknown},
		{name: "reset after the run", before: appFaults(app.Faults{ResetAfter: -1}), entry: "booking", status: 502, code: "backend_lost", execution: api.Unknown, runs: 1},
		{name: "refused with a body", before: appFaults(app.Faults{ErrorWithBody: -1}), entry: "booking", status: 502, code: "backend_refused", execution: api.NotRun},
		{name: "platform out", before: out, entry: "booking", status: 503, code: "platform_unavailable", execution: api.Unknown},
		{name: "deadline while running", before: appFaults(app.Faults{DelayMS: 200}), entry: "hasty", status: 504, code: "deadline_exceeded", execution: api.Unknown, runs: 1},
		{name: "idempotent connection refused", before: refused, entry: "stock", status: 502, code: "backend_lost", execution: api.NotRun},
	}
}

// Guards against an error that reports not_run for a service call that ran, and against
// a non-idempotent call that runs again when it is resent.
func TestExecutionOfCalls(t *testing.T) {
	for _, c := range callFailures() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, func(o *Options) { o.MaxAttempts = 1 })
			backends := append(fakeBackends(nil), w.backends...)
			c.before(t, w)
			a := w.send(w.service("POST", c.entry, "x"))
			is.Equal(a.status, c.status)
			is.Equal(a.err.Code, c.code)
			is.Equal(a.err.Execution, c.execution)
			is.Equal(w.runs("x"), c.runs)
			w.waitIdle()
			w.backends = backends
			appFaults(app.Faults{})(t, w)
			again := w.send(w.service("POST", c.entry, "x"))
			switch {
			case c.entry != "booking" || c.execution == api.NotRun:
				is.Equal(again.status, http.StatusOK)
			case c.code == "platform_unavailable":
				is.Equal(again.err.Code, "platform_unavailable")
			default:
				is.Equal(again.err.Code, "call_in_progress")
				is.Equal(again.err.Execution, api.Unknown)
				is.Equal(w.runs("x"), c.runs) // ran at most once
			}
		})
	}
}

// Guards against an idempotent call that fails although another server is available,
// and against an error response of a server that is treated as a lost call.
func TestRetriedAndForwardedCalls(t *testing.T) {
	is := is.New(t)
	w := newHarness(t, nil)
	w.apps[0].SetFaults(app.Faults{ResetAfter: -1})
	w.apps[1].SetFaults(app.Faults{})
	is.Equal(w.send(w.service("POST", "stock", "x")).status, http.StatusOK)
	is.Equal(w.runs("x"), 2)
	appFaults(app.Faults{ErrorWithoutBody: 1})(t, w)
	a := w.send(w.service("POST", "booking", "y"))
	is.Equal(a.status, http.StatusInternalServerError)
	is.Equal(len(a.body), 0)
	again := w.send(w.service("POST", "booking", "y"))
	is.Equal(again.status, http.StatusInternalServerError) // the recorded answer
	is.True(again.header.Get(headerRequestID) != a.header.Get(headerRequestID))
	is.Equal(w.runs("y"), 1)
}
