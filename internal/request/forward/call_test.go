package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/routing"
)

// Guards against requests that run twice, against requests that are not retried
// although a retry is safe, and against answers that state "not run" for a request
// that may have run.
func TestCallsAreRepeatedOnlyWhereAllowed(t *testing.T) {
	cut := func() *Answer {
		a := ok("")
		a.Body = iotest.ErrReader(errBroken)
		return a
	}
	unsealed := ok("x")
	unsealed.Sealed = false
	refused := status(http.StatusServiceUnavailable)
	refused.NotRun = true
	for _, c := range []struct {
		name   string
		kind   routing.Kind
		tries  int
		first  fakeServer
		budget int
		// sends is the number of sends. status is the status of the answer, or 0 if the
		// request ends with an error that states this execution.
		sends, status int
		execution     api.Execution
	}{
		{"idempotent, link lost", routing.Idempotent, 2, fakeServer{fail: errUnknown}, 9, 2, 200, ""},
		{"idempotent, one attempt", routing.Idempotent, 1, fakeServer{fail: errUnknown}, 9, 1, 0, api.Unknown},
		{"idempotent, error", routing.Idempotent, 2, fakeServer{answer: status(500)}, 9, 2, 200, ""},
		{"idempotent, error, one attempt", routing.Idempotent, 1, fakeServer{answer: status(500)}, 9, 1, 500, ""},
		{"idempotent, cut answer", routing.Idempotent, 2, fakeServer{answer: cut()}, 9, 2, 200, ""},
		{"idempotent, no budget", routing.Idempotent, 2, fakeServer{fail: errUnknown}, 0, 1, 0, api.Unknown},
		{"idempotent, no seal", routing.Idempotent, 2, fakeServer{answer: unsealed}, 9, 2, 200, ""},
		{"once, link lost", routing.NonIdempotent, 1, fakeServer{fail: errUnknown}, 9, 1, 0, api.Unknown},
		{"once, never sent", routing.NonIdempotent, 1, fakeServer{fail: errNotRun}, 9, 2, 200, ""},
		{"once, refused by the server", routing.NonIdempotent, 1, fakeServer{answer: refused}, 9, 2, 200, ""},
		{"once, error", routing.NonIdempotent, 1, fakeServer{answer: status(500)}, 9, 1, 500, ""},
		{"once, cut answer", routing.NonIdempotent, 1, fakeServer{answer: cut()}, 9, 1, 0, api.Ran},
		{"once, promise of the server", routing.NonIdempotent, 1, fakeServer{answer: status(503)}, 9, 1, 0, api.Ran},
		{"once, no seal", routing.NonIdempotent, 1, fakeServer{answer: unsealed}, 9, 1, 0, api.Ran},
		{"once, never sent, no budget", routing.NonIdempotent, 1, fakeServer{fail: errNotRun}, 0, 1, 0, api.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFakeFleet("a", "b")
				defer w.settle()
				w.budget = c.budget
				w.servers["a"].fail, w.servers["a"].answer = c.first.fail, c.first.answer
				if a := c.first.answer; a != nil && a.Status != 0 && a.Body != nil {
					if _, ok := a.Body.(*strings.Reader); ok {
						a.Body = strings.NewReader("error")
					}
				}
				w.servers["b"].answer = ok("good")
				r := &recordingCaller{}
				begun, err := w.f.Serve(context.Background(), call(c.kind, c.tries), r)
				is.Equal(len(w.sent), c.sends)
				is.Equal(r.status, c.status)
				is.Equal(begun, c.status != 0)
				if c.status == 0 {
					is.True(err != nil)
					is.Equal(err.Execution, c.execution)
				}
				if c.status == 200 {
					is.Equal(r.body.String(), "good")
				}
			})
		})
	}
}

// Guards against sending a request whose API key was revoked while the request
// waited.
func TestRevokedKeyIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, q := range []*Request{call(routing.Idempotent, 2), plan()} {
			w := newFakeFleet("a")
			defer w.settle()
			w.mayRun = false
			_, err := w.f.Serve(context.Background(), q, &recordingCaller{})
			is.True(err != nil)
			is.Equal(err.Execution, api.NotRun)
			is.Equal(len(w.sent), 0)
		}
	})
}

// Guards against an answer other than "not run" when a service has no servers.
func TestNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a")
		defer w.settle()
		w.leave("a")
		_, err := w.f.Serve(context.Background(), call(routing.Idempotent, 2), &recordingCaller{})
		is.Equal(err.Code, fault.NoBackend)
		is.Equal(err.Execution, api.NotRun)
		is.True(err.RetryAfter > 0)
	})
}

// Guards against a retry, with its cost in retry budget and its log line, for a
// request that is at its deadline.
func TestNothingIsSentAgainAtTheDeadline(t *testing.T) {
	for _, c := range []struct {
		name  string
		left  time.Duration
		sends int
	}{
		{"time is over", time.Millisecond, 1},
		{"time is left", 100 * time.Millisecond, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFakeFleet("a", "b")
				defer w.settle()
				w.budget = 9
				w.servers["b"].answer = ok("x")
				q := call(routing.Idempotent, 2)
				w.servers["a"].fail, w.servers["a"].failsAfter = errUnknown, time.Until(q.Deadline)-c.left
				_, _ = w.f.Serve(t.Context(), q, &recordingCaller{})
				is.Equal(w.sent[0], "a")
				is.Equal(len(w.sent), c.sends)
				is.Equal(w.budget, 9-(c.sends-1))
			})
		})
	}
}
