package forward

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// maxOverlap is how long an engine may work on a generation that goes on at another one.
const maxOverlap = 400 * time.Millisecond

// Guards against two engines that work on one generation, because one of them goes on with a
// generation whose connection closes, and against losing the generation in order to avoid that.
func TestEnginesThatWorkOnAreStopped(t *testing.T) {
	for _, c := range []struct {
		name  string
		q     func() *Request
		setup func(w *fakeFleet)
		// servers lists the servers that ran the generation, in order.
		servers string
		// readsNothingAt is the event after which the caller reads nothing for a second, or 0.
		readsNothingAt int
	}{
		{"the generation moves", plan, func(*fakeFleet) {}, "a b", 0},
		{"the source is not reached at first", plan, func(w *fakeFleet) { w.servers["a"].unreachable = 2 }, "a b", 0},
		{"the destination has no room for the rest", plan, func(w *fakeFleet) { w.servers["b"].noRoom = true }, "a b", 0},
		{"the source's connection breaks during the copy", plan, func(w *fakeFleet) {
			w.servers["a"].diesAfter = 8
			w.servers["a"].copyTime = 100 * time.Millisecond
		}, "a b", 0},
		{"the source's connection breaks while the destination is asked", plan, func(w *fakeFleet) {
			w.servers["a"].diesAfter = 9
			w.servers["b"].openTime = 200 * time.Millisecond
		}, "a b", 0},
		{"the destination begins too late", plan, func(w *fakeFleet) { w.servers["b"].beginsLate = 350 * time.Millisecond }, "a b", 0},
		{"the destination begins long after", plan, func(w *fakeFleet) { w.servers["b"].beginsLate = 2 * time.Second }, "a b", 0},
		{"a resumable generation breaks after a move that was given up", resumablePlan, func(w *fakeFleet) {
			w.servers["b"].beginsLate = 350 * time.Millisecond
			w.servers["a"].diesAfter = 50
		}, "a b c", 0},
		{"a resumable stream breaks", check, func(w *fakeFleet) { w.servers["a"].diesAfter = 5 }, "a b", 0},
		{"a resumable stream is silent", check, func(w *fakeFleet) { w.servers["a"].gap = 10 * time.Second }, "a b", 0},
		{"the destination begins at once and answers late", plan, func(w *fakeFleet) {
			w.servers["b"].answersLate = 600 * time.Millisecond
			w.servers["a"].endLag, w.servers["b"].endLag = 200*time.Millisecond, 200*time.Millisecond
		}, "a b", 0},
		{"the destination answers late, when the source is about to stop", plan, func(w *fakeFleet) {
			w.servers["a"].copyTime = 800 * time.Millisecond
			w.servers["b"].answersLate = 600 * time.Millisecond
			w.servers["a"].endLag, w.servers["b"].endLag = 200*time.Millisecond, 200*time.Millisecond
		}, "a b", 0},
		{"the caller reads nothing while the destination begins", plan, func(w *fakeFleet) { w.servers["b"].openTime = 50 * time.Millisecond }, "a b", 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFakeFleet("a", "b", "c")
				const total = 500
				for _, s := range w.servers {
					s.total, s.worksOn = total, true
				}
				c.setup(w)
				q := c.q()
				r := &recordingCaller{after: func(n int) {
					if n == 5 && q.Class != catalogue.Urgent {
						w.leave("a")
					}
					if n == c.readsNothingAt {
						time.Sleep(time.Second)
					}
				}}
				_, err := w.f.Serve(context.Background(), q, r)
				if err != nil {
					t.Error(err)
				}
				is.Equal(r.body.String(), events(0, total))
				w.settle()
				var servers []string
				for _, run := range w.runs {
					servers = append(servers, run.server)
				}
				is.Equal(strings.Join(servers, " "), c.servers)
				if overlap := w.overlap(); overlap > maxOverlap {
					t.Fatalf("two engines worked on the generation for %v", overlap)
				}
			})
		})
	}
}

// resumablePlan returns a request for a long stream that another run may resume.
func resumablePlan() *Request {
	q := plan()
	q.Route.Resumable, q.Route.Attempts = true, 3
	return q
}

// Guards against a caller that leaves during a move while two engines work on for it.
func TestCallerLeavesEnginesThatWorkOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a", "b")
		for _, s := range w.servers {
			s.total, s.worksOn = 1000, true
		}
		w.servers["b"].beginsLate = 200 * time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		r := &recordingCaller{after: func(n int) {
			switch n {
			case 5:
				w.leave("a")
			case 10:
				cancel()
			}
		}}
		_, err := w.f.Serve(ctx, plan(), r)
		is.True(err != nil)
		w.settle()
		time.Sleep(time.Minute) // the source works on to its end, for nobody
		is.Equal(len(w.runs), 2)
		is.True(w.overlap() <= maxOverlap)
	})
}

// Guards against calls to stop a generation that goes on nowhere else, and against waiting for an
// engine that can't be reached when the process ends.
func TestHaltsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFakeFleet("a", "b")
		_, err := w.f.Serve(context.Background(), plan(), &recordingCaller{})
		is.True(err == nil)
		w.servers["a"].fail = errNotRun // never sent
		_, err = w.f.Serve(context.Background(), check(), &recordingCaller{})
		is.True(err == nil)
		w.settle()
		is.Equal(w.stops, 0)

		w.servers["a"].fail = errUnknown
		w.servers["a"].unreachable = 1 << 20
		_, err = w.f.Serve(context.Background(), check(), &recordingCaller{})
		is.True(err == nil)
		w.settle()
		is.Equal(w.stops, 1) // the engine has ended

		w.servers["a"].survives = true
		_, err = w.f.Serve(context.Background(), check(), &recordingCaller{})
		is.True(err == nil)
		began := time.Now()
		w.f.Close()
		is.True(time.Since(began) <= haltExitTime)
		w.settle() // returns although the engine is never reached
		is.True(w.stops > 1)
	})
}
