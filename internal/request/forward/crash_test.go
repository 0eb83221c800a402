package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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
