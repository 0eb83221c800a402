package forward

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/version/routing"
)

// Guards against a call that crashes each application server that runs it and is sent on, as its
// caller repeats it.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	for kind, name := range map[routing.Kind]string{routing.Idempotent: "idempotent", routing.NonIdempotent: "once"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var names []string
				for i := range 10 {
					names = append(names, fmt.Sprint("s", i))
				}
				w := newFakeFleet(names...)
				w.budget = 100
				for _, s := range w.servers {
					s.fail, s.failsAfter = errUnknown, 30*time.Millisecond
				}
				for i := range 20 {
					q := call(kind, 2)
					q.ID, q.Body = fmt.Sprint("call-", i), []byte("crash")
					_, _ = w.f.Serve(context.Background(), q, &recordingCaller{})
					time.Sleep(4 * time.Second) // servers are back
				}
				// Three servers, and three requests that were on their way.
				if len(w.sent) > 6 {
					t.Errorf("20 equal calls reached servers %d times, which they crash (at most 6)", len(w.sent))
				}
			})
		})
	}
}

// Guards against the same where a server that crashes can still be reached for a moment after its
// connections have broken.
func TestCallIsRefusedIfServersEndLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprint("s", i))
		}
		w := newFakeFleet(names...)
		w.budget = 100
		for _, s := range w.servers {
			s.fail, s.failsAfter, s.endsLate = errUnknown, 30*time.Millisecond, 50*time.Millisecond
		}
		for i := range 20 {
			q := call(routing.Idempotent, 2)
			q.ID, q.Body = fmt.Sprint("call-", i), []byte("crash")
			_, _ = w.f.Serve(context.Background(), q, &recordingCaller{})
			time.Sleep(4 * time.Second)
		}
		if len(w.sent) > 6 {
			t.Errorf("20 equal calls reached servers %d times (at most 6)", len(w.sent))
		}
	})
}

// Guards against a call that is sent on without end because it is given up before it crashes its server:
// at its deadline, when it is sent to another server, or when its caller leaves.
func TestCallGivenUpBeforeItsServerEndsIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		kind                     routing.Kind
		attempts                 int
		deadline, leave, crashes time.Duration
	}{
		"deadline":            {routing.Idempotent, 1, 400 * time.Millisecond, 0, 800 * time.Millisecond},
		"deadline, long ago":  {routing.Idempotent, 1, 400 * time.Millisecond, 0, 2500 * time.Millisecond},
		"call that runs once": {routing.NonIdempotent, 1, 400 * time.Millisecond, 0, 800 * time.Millisecond},
		"sent again":          {routing.Idempotent, 2, 3 * time.Second, 0, 800 * time.Millisecond},
		"sent again, late":    {routing.Idempotent, 2, 700 * time.Millisecond, 0, 1500 * time.Millisecond},
		"caller leaves":       {routing.Idempotent, 2, 3 * time.Second, 150 * time.Millisecond, 800 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var names []string
				for i := range 10 {
					names = append(names, fmt.Sprint("s", i))
				}
				w := newFakeFleet(names...)
				w.budget = 100
				for _, s := range w.servers {
					s.crashesAfter = c.crashes
				}
				var arrivals []time.Time
				for i := range 20 {
					q := call(c.kind, c.attempts)
					q.ID, q.Body, q.Deadline = fmt.Sprint("call-", i), []byte("crash"), time.Now().Add(c.deadline)
					ctx, cancel := context.WithCancel(t.Context())
					if c.leave > 0 {
						time.AfterFunc(c.leave, cancel)
					}
					at, before := time.Now(), len(w.sent)
					_, _ = w.f.Serve(ctx, q, &recordingCaller{})
					cancel()
					if len(w.sent) > before {
						arrivals = append(arrivals, at)
					}
					time.Sleep(4 * time.Second) // servers are back
				}
				w.settle()
				late := 0
				for _, at := range arrivals {
					if len(w.crashes) >= 3 && at.After(w.crashes[2].Add(3*time.Second)) {
						late++
					}
				}
				if late > 3 || len(w.crashes) > 6 {
					t.Errorf("20 equal calls crashed %d servers, and %d of them reached servers later than 3 s after the third crash (at most 3)", len(w.crashes), late)
				}
			})
		})
	}
}

// Guards against the end of a server after a call was given up there that no line of the log tells.
func TestLogOfCallsThatAreGivenUp(t *testing.T) {
	for reason, limit := range map[string]func(context.Context, *Request) context.Context{
		givenUpDeadline: func(ctx context.Context, q *Request) context.Context {
			q.Deadline = time.Now().Add(50 * time.Millisecond)
			return ctx
		},
		givenUpAttempt: func(ctx context.Context, q *Request) context.Context {
			q.Route.Attempts, q.Route.Target = 2, time.Millisecond
			return ctx
		},
		givenUpCaller: func(ctx context.Context, _ *Request) context.Context {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(50*time.Millisecond, cancel)
			return ctx
		},
		givenUpStop: func(ctx context.Context, _ *Request) context.Context {
			ctx, cancel := context.WithCancelCause(ctx)
			time.AfterFunc(50*time.Millisecond, func() { cancel(daemon.ErrStopping) })
			return ctx
		},
	} {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeFleet("s")
				w.servers["s"].crashesAfter = time.Second
				q := call(routing.Idempotent, 1)
				_, _ = w.f.Serve(limit(context.Background(), q), q, &recordingCaller{})
				w.settle()
				part := fmt.Sprintf("%x", callPart(q))
				for _, line := range [][]string{
					{"no answer from a server that may be running the call", "id=" + q.ID, "backend=s", "incarnation=0", "part=" + part, "reason=" + reason},
					{"server ended after a request was given up", "server=s", "incarnation=0", "id=" + q.ID + "-0", "parts=" + part, "given_up=1"},
				} {
					if !hasLine(w.log.String(), line) {
						t.Errorf("no line with %q in\n%s", line, w.log.String())
					}
				}
			})
		})
	}
}

// Guards against suspecting what was given up at a server that ended after it had announced that it leaves, before or after that.
func TestAnnouncedEndsProveNothing(t *testing.T) {
	for name, c := range map[string]struct {
		leaves, ends time.Duration
		leavesAtAll  bool
		want         bool
	}{
		"announced before it was given up": {leavesAtAll: true, ends: 50 * time.Millisecond},
		"announced later":                  {leavesAtAll: true, leaves: 500 * time.Millisecond, ends: time.Second},
		"not announced":                    {ends: time.Second, want: true},
		"entry gone with the server":       {leavesAtAll: true, leaves: 1050 * time.Millisecond, ends: time.Second, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeFleet("s")
				s, _ := w.Get("s")
				if c.leavesAtAll && c.leaves == 0 {
					w.leave("s")
				} else if c.leavesAtAll {
					time.AfterFunc(c.leaves, func() { w.leave("s") })
				}
				ended := w.f.endedUnannounced(s)
				time.AfterFunc(c.ends, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.servers["s"].downUntil = time.Now().Add(downTime)
				})
				got := false
				for range 8 { // checks come 0.4 s apart
					time.Sleep(400 * time.Millisecond)
					got = got || ended(t.Context())
				}
				if got != c.want {
					t.Errorf("the end counts: %v, want %v", got, c.want)
				}
			})
		})
	}
}

func hasLine(log string, parts []string) bool {
	for line := range strings.Lines(log) {
		all := true
		for _, p := range parts {
			all = all && strings.Contains(line, p)
		}
		if all {
			return true
		}
	}
	return false
}
