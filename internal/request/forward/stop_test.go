package forward

import (
	"context"
	"testing"
	"time"

	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/routing"
)

// beginStop begins a planned stop of the fleet's forwarder, with d until all answers are due.
func (w *fakeFleet) beginStop(d time.Duration) { w.f.o.Grace.(*daemon.Grace).Begin(d) }

// Guards against a stop that breaks off a stream which has begun and could be resumed: no other
// gateway can take it over, and its remaining events fit into the grace period.
func TestBegunStreamIsResumedDuringStop(t *testing.T) {
	cases := map[string]func(q *Request){
		"route without a target between events": func(*Request) {},
		"remaining events fit, all of them do not": func(q *Request) {
			q.Route.GapTarget, q.MaxOutputTokens = 100*time.Millisecond, 80
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			w := newFakeFleet("a", "b")
			w.servers["a"].diesAfter = 15
			q, c := check(), &recordingCaller{}
			change(q)
			c.after = func(writes int) {
				if writes == 1 {
					w.beginStop(2500 * time.Millisecond)
				}
			}
			_, err := w.f.Serve(context.Background(), q, c)
			if want := events(0, 20); err != nil || c.body.String() != want {
				t.Errorf("%d of 20 events, sent to %v, error %v", c.writes, w.sent, err)
			}
		})
	}
}

// Guards against a stop that gives up an idempotent call which was sent before it, when the
// first server fails with most of the grace period left.
func TestCallIsRepeatedDuringStop(t *testing.T) {
	w := newFakeFleet("a", "b")
	for _, s := range w.servers {
		s.fail, s.failsAfter = errUnknown, 50*time.Millisecond
	}
	q := newRequest(routing.Route{Name: "call", Kind: routing.Idempotent, Attempts: 2})
	time.AfterFunc(10*time.Millisecond, func() { w.beginStop(7 * time.Second) })
	_, err := w.f.Serve(context.Background(), q, &recordingCaller{})
	if len(w.sent) != 2 {
		t.Errorf("sent to %v, error %v", w.sent, err)
	}
}

// Guards against a request that is sent although it can't end before the stop does: the checks
// before it reaches the Forwarder may have passed earlier.
func TestRequestThatDoesNotFitIsNotSent(t *testing.T) {
	for name, q := range map[string]*Request{"call": call(routing.NonIdempotent, 1), "stream": plan()} {
		w := newFakeFleet("a")
		w.servers["a"].answer = ok("done")
		w.beginStop(100 * time.Millisecond)
		_, err := w.f.Serve(context.Background(), q, &recordingCaller{})
		if len(w.sent) > 0 || err == nil || err.Code != fault.ShuttingDown || err.Execution != api.NotRun {
			t.Errorf("%s: sent to %v, error %v", name, w.sent, err)
		}
	}
}

// Guards against a request that goes on waiting for a destination of its generation after the end of
// the grace period, or after its caller has left.
func TestWaitForDestinationEndsWithRequest(t *testing.T) {
	w := newFakeFleet("a", "b")
	w.servers["a"].diesAfter, w.servers["a"].copyTime = 10, 2*time.Second
	c := &recordingCaller{after: func(writes int) {
		if writes == 2 {
			w.leave("a")
		}
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := w.f.Serve(ctx, plan(), c)
	if d := time.Since(began); err == nil || d < 300*time.Millisecond || d > 800*time.Millisecond {
		t.Errorf("ended after %v, error %v", d, err)
	}
}

// Guards against a stop that uses up retry budget, and logs a retry, without sending one.
func TestRefusedRetryLeavesRetryBudget(t *testing.T) {
	cases := map[string]struct {
		request *Request
		fail    *fault.Error
	}{
		"call that may have run":  {call(routing.Idempotent, 2), errUnknown},
		"call that has not run":   {call(routing.Idempotent, 2), errNotRun},
		"stream that has not run": {plan(), errNotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newFakeFleet("a", "b")
			for _, s := range w.servers {
				s.fail, s.failsAfter = c.fail, 50*time.Millisecond
			}
			before := w.budget
			time.AfterFunc(10*time.Millisecond, func() { w.beginStop(100 * time.Millisecond) })
			_, _ = w.f.Serve(context.Background(), c.request, &recordingCaller{})
			if used := before - w.budget; used != len(w.sent)-1 {
				t.Errorf("%d retries counted in the budget, %d sent", used, len(w.sent)-1)
			}
		})
	}
}
