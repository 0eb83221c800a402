package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// Guards against lost, duplicate or merged events and against long pauses when the
// engine of a running generation leaves, for every outcome of a move.
func TestMoves(t *testing.T) {
	for _, c := range []struct {
		name  string
		setup func(w *fakeFleet)
		// ends is the server on which the generation ends, or "" if the stream breaks.
		ends string
		// freed is the number of copies that are released unused.
		freed int
	}{
		{"copied in time", func(w *fakeFleet) { w.servers["a"].copyTime = 30 * time.Millisecond }, "b", 0},
		{"the source dies after the copy", func(w *fakeFleet) {
			w.servers["a"].diesAfter = 9
			w.servers["a"].copyTime = 20 * time.Millisecond
			w.servers["b"].openTime = 100 * time.Millisecond
		}, "b", 0},
		{"the source dies before the copy", func(w *fakeFleet) {
			w.servers["a"].diesAfter = 9
			w.servers["a"].copyTime = time.Second
		}, "", 0},
		{"the generation ends before the copy", func(w *fakeFleet) { w.servers["a"].copyTime = time.Second }, "a", 0},
		{"the generation ends while the destination is asked", func(w *fakeFleet) {
			w.servers["a"].copyTime = 20 * time.Millisecond
			w.servers["b"].openTime = 250 * time.Millisecond
		}, "a", 1},
		{"the destination has no copy", func(w *fakeFleet) { w.servers["b"].refuses = true }, "a", 1},
		{"the destination does not answer", func(w *fakeFleet) {
			w.servers["a"].total = 100
			w.servers["b"].openTime = time.Hour
		}, "a", 1},
		{"the source dies and the destination has no copy", func(w *fakeFleet) {
			w.servers["a"].diesAfter = 9
			w.servers["a"].copyTime = 20 * time.Millisecond
			w.servers["b"].refuses, w.servers["b"].failsAfter = true, 100*time.Millisecond
		}, "", 1},
		{"the source dies and the destination is not reached", func(w *fakeFleet) {
			w.servers["a"].diesAfter = 9
			w.servers["a"].copyTime = 20 * time.Millisecond
			w.servers["b"].fail, w.servers["b"].failsAfter = errNotRun, 100*time.Millisecond
		}, "", 1},
		{"the destination answers with an error", func(w *fakeFleet) { w.servers["b"].moved = status(http.StatusInternalServerError) }, "a", 1},
		{"the destination answers with something else", func(w *fakeFleet) { w.servers["b"].moved = ok("data: error\n\n") }, "a", 1},
		{"the destination sends an event without an id", func(w *fakeFleet) {
			w.servers["b"].moved = ok("data: error\n\n")
			w.servers["b"].moved.Header.Set("Content-Type", "text/event-stream; charset=utf-8")
		}, "", 0},
		{"no room anywhere", func(w *fakeFleet) { w.servers["a"].copyFails = NoRoom }, "a", 0},
		{"the copy fails", func(w *fakeFleet) { w.servers["a"].copyFails = MoveFailed }, "a", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFakeFleet("a", "b")
				c.setup(w)
				total := w.servers["a"].total
				w.servers["b"].total = total
				r := &recordingCaller{after: func(n int) {
					if n == 5 {
						w.leave("a")
					}
				}}
				begun, err := w.f.Serve(context.Background(), plan(), r)
				is.True(begun)
				if c.ends == "" {
					is.True(err != nil)
					is.Equal(err.Execution, api.Ran)
					is.True(strings.HasPrefix(events(0, total), r.body.String()))
				} else {
					is.True(err == nil)
					is.Equal(r.body.String(), events(0, total))
					is.Equal(r.header.Get("Seal"), "a")
				}
				w.settle()
				is.Equal(w.running(), 0)
				is.Equal(w.freed, c.freed)
				if c.ends == "b" {
					is.True(r.gap <= 130*time.Millisecond)
				}
			})
		})
	}
}

// Guards against forwarding a destination's error to the caller while the source is
// still processing the prompt and has sent no event.
func TestDestinationFailsBeforeTheFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a", "b")
		w.servers["b"].moved = status(http.StatusInternalServerError)
		time.AfterFunc(eventGap/2, func() { w.leave("a") })
		r := &recordingCaller{}
		_, err := w.f.Serve(context.Background(), plan(), r)
		is.True(err == nil)
		is.Equal(r.status, 200)
		is.Equal(r.body.String(), events(0, 20))
		w.settle()
	})
}

// Guards against a source that still runs 400 ms after the destination has resumed.
func TestSourceStopsWhenTheDestinationGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a", "b")
		w.servers["a"].total, w.servers["b"].total = 200, 200
		w.servers["b"].openTime = 50 * time.Millisecond
		var left time.Time
		r := &recordingCaller{after: func(n int) {
			switch {
			case n == 5:
				w.leave("a")
				left = time.Now()
			case n == 200:
				// After its last event, the destination has also ended.
			case time.Since(left) > 100*time.Millisecond && !left.IsZero():
				w.mu.Lock()
				defer w.mu.Unlock()
				is.Equal(len(w.servers["a"].running), 0)
				is.Equal(len(w.servers["b"].running), 1)
			}
		}}
		_, err := w.f.Serve(context.Background(), plan(), r)
		is.True(err == nil)
		is.Equal(r.body.String(), events(0, 200))
	})
}

// Guards against not noticing that the destination of a move is leaving too, so that
// the generation has to move again.
func TestMovesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a", "b", "c")
		for _, s := range w.servers {
			s.total = 60
		}
		r := &recordingCaller{after: func(n int) {
			switch n {
			case 5:
				w.leave("a")
			case 30:
				w.leave("b")
			}
		}}
		_, err := w.f.Serve(context.Background(), plan(), r)
		is.True(err == nil)
		is.Equal(r.body.String(), events(0, 60))
		is.Equal(w.sent, []string{"a", "b", "c"})
	})
}

// Guards against sending a generation to a destination that has begun to leave during the copy,
// and against a generation that stays on its source because of that.
func TestDestinationLeavesDuringTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a", "b", "c")
		for _, s := range w.servers {
			s.total = 60
		}
		w.servers["a"].copyTime = 50 * time.Millisecond
		r := &recordingCaller{after: func(n int) {
			if n == 5 {
				w.leave("a")
				time.AfterFunc(30*time.Millisecond, func() { w.leave("b") })
			}
		}}
		_, err := w.f.Serve(context.Background(), plan(), r)
		is.True(err == nil)
		is.Equal(r.body.String(), events(0, 60))
		is.Equal(w.sent, []string{"a", "c"})
		w.settle()
		is.Equal(w.freed, 1)
	})
}

// Guards against a second run of a generation that may have begun, against a
// resumable stream that is not resumed on another engine, and against more runs than
// the route allows.
func TestBrokenStreams(t *testing.T) {
	for _, c := range []struct {
		name  string
		q     func() *Request
		setup func(w *fakeFleet)
		sends int
		whole bool
	}{
		{"plan, link lost before the answer", plan, func(w *fakeFleet) { w.servers["a"].fail = errUnknown }, 1, false},
		{"plan, never sent", plan, func(w *fakeFleet) { w.servers["a"].fail = errNotRun }, 2, true},
		{"plan, dies midway", plan, func(w *fakeFleet) { w.servers["a"].diesAfter = 5 }, 1, false},
		{"check, link lost before the answer", check, func(w *fakeFleet) { w.servers["a"].fail = errUnknown }, 2, true},
		{"check, dies midway", check, func(w *fakeFleet) { w.servers["a"].diesAfter = 5 }, 2, true},
		{"check, dies twice", check, func(w *fakeFleet) { w.servers["a"].diesAfter, w.servers["b"].diesAfter = 5, 5 }, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFakeFleet("a", "b", "c")
				c.setup(w)
				r := &recordingCaller{}
				_, err := w.f.Serve(context.Background(), c.q(), r)
				is.Equal(len(w.sent), c.sends)
				is.Equal(err == nil, c.whole)
				if c.whole {
					is.Equal(r.body.String(), events(0, 20))
				}
				w.settle()
				is.Equal(w.running(), 0)
			})
		})
	}
}

// Guards against an engine that keeps running after the caller has disconnected, and
// against a cancelled move that leaves the copied KV cache allocated at the destination.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a", "b")
		w.servers["a"].total, w.servers["b"].total = 1000, 1000
		w.servers["b"].openTime = time.Second
		ctx, cancel := context.WithCancel(context.Background())
		r := &recordingCaller{after: func(n int) {
			switch n {
			case 5:
				w.leave("a")
			case 8:
				cancel()
			}
		}}
		_, err := w.f.Serve(ctx, plan(), r)
		is.Equal(err.Code, fault.Cancelled)
		w.settle()
		is.Equal(w.running(), 0)
		is.Equal(w.freed, 1)
	})
}

// Guards against a request that has not ended when the route's timeout expires.
func TestTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a")
		w.servers["a"].total = 1 << 20
		q := plan()
		q.Deadline = time.Now().Add(time.Second)
		started := time.Now()
		_, err := w.f.Serve(context.Background(), q, &recordingCaller{})
		is.Equal(err.Code, fault.DeadlineExceeded)
		is.Equal(time.Since(started), time.Second)
	})
}

// Guards against forwarding events that are repeated or out of order.
func TestEventsOutOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a")
		q := check()
		q.Route.Attempts = 1
		// The caller has the events up to 4 and resumes the stream after them.
		q.After, q.Resumes = 4, true
		w.servers["a"].total = 12
		r := &recordingCaller{}
		_, err := w.f.Serve(context.Background(), q, r)
		is.True(err == nil)
		is.Equal(r.body.String(), events(5, 12))
	})
}

// Guards against failing a request that has time left and may be sent again, because
// its first engine was lost after the first attempt's scheduling deadline.
func TestEngineLostAfterThePatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a", "b")
		w.servers["a"].fail, w.servers["a"].failsAfter = errUnknown, 1700*time.Millisecond
		r := &recordingCaller{}
		_, err := w.f.Serve(t.Context(), check(), r)
		is.True(err == nil)
		is.Equal(w.sent, []string{"a", "b"})
		is.Equal(r.body.String(), events(0, 20))
		w.settle()
	})
}

// Guards against an engine that resets every connection immediately, therefore looks
// idle, and so is given one generation after the other.
func TestBrokenLinksAreNoted(t *testing.T) {
	for _, c := range []struct {
		name  string
		fail  error
		noted []string
	}{
		{"reset", errUnknown, []string{"broken a", "answered b"}},
		{"connection refused", errNotRun, []string{"answered b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFakeFleet("a", "b")
				w.servers["a"].fail = c.fail
				_, err := w.f.Serve(t.Context(), check(), &recordingCaller{})
				is.True(err == nil)
				is.Equal(w.noted, c.noted)
				w.settle()
			})
		})
	}
}

// Guards against a stream of a stalled server that never ends, because the server still
// sends bytes without any progress now and then.
func TestStalledStreamsEnd(t *testing.T) {
	for name, filler := range map[string]string{
		"silent":               "",
		"comments":             ": still here\n\n",
		"empty events":         "\n",
		"events without data":  "event: ping\ndata:\n\n",
		"a byte now and then":  "d",
		"half lines of events": "data: x\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFakeFleet("a")
				w.servers["a"].gap, w.servers["a"].filler = time.Hour, filler
				q := plan()
				q.Route.Target = 3 * time.Second
				q.Deadline = time.Now().Add(time.Minute)
				started := time.Now()
				_, err := w.f.Serve(context.Background(), q, &recordingCaller{})
				is.True(err != nil)
				is.Equal(time.Since(started).Round(time.Second), 12*time.Second) // as long as its caller waits
				w.settle()
				is.Equal(w.running(), 0)
			})
		})
	}
}

// Guards against cutting a slow but sound stream: one with pauses shorter than its caller
// waits, and one whose caller takes long to receive an event.
func TestSlowStreamsAreNotCut(t *testing.T) {
	for name, c := range map[string]struct{ gap, reading time.Duration }{
		"slow engine":                 {gap: 11 * time.Second},
		"slow caller":                 {reading: 20 * time.Second},
		"slow caller and slow engine": {gap: 11 * time.Second, reading: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				for range 20 { // the outcome may depend on which of two events is handled first
					w := newFakeFleet("a")
					w.servers["a"].gap, w.servers["a"].total = c.gap, 6
					q := plan()
					q.Route.Target = 3 * time.Second
					q.Deadline = time.Now().Add(time.Hour)
					r := &recordingCaller{after: func(int) { time.Sleep(c.reading) }}
					_, err := w.f.Serve(context.Background(), q, r)
					is.True(err == nil)
					is.Equal(r.body.String(), events(0, 6))
				}
			})
		})
	}
}
