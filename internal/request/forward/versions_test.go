package forward

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/origins"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// firstVersion is the version of a fake server's software unless a test sets another.
const firstVersion, otherVersion = "v1", "v2"

// setVersion returns s with the version of its software.
func setVersion(s registry.Server, version string) registry.Server {
	s.Version = version
	return s
}

// withOrigin returns q as the request of a caller that takes up the stream which the attempt with
// this id began, after an event.
func withOrigin(q *Request, id string, after int64) *Request {
	q.Resumes, q.After, q.Origin = true, after, id
	return q
}

// fakeOrigins remembers where streams began, and knows that of others if only one version serves.
type fakeOrigins struct {
	w     *fakeFleet
	known map[string]origins.Origin
}

func (f *fakeOrigins) Begun(_ context.Context, s origins.Stream, o origins.Origin) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	f.known[s.ID] = o
}

func (f *fakeOrigins) Find(_ context.Context, s origins.Stream) (origins.Origin, error) {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if o, ok := f.known[s.ID]; ok {
		return o, nil
	}
	only := origins.Origin{Service: s.Services[0]}
	for _, server := range f.w.servers {
		if only.Version != "" && server.version != only.Version {
			return origins.Origin{}, origins.ErrUnknown
		}
		only.Version = server.version
	}
	return only, nil
}

// suits reports whether the scheduler may grant a request an engine of this version.
func suits(schedule.Request, string) bool { return true }

// versionMark returns what the events of a server of this version end with.
func versionMark(version string) string {
	if version == firstVersion {
		return ""
	}
	return " of " + version
}

// eventsOf returns the stream of the events from (inclusive) to (exclusive) of servers of a version.
func eventsOf(version string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d%s\n\n", i, i, versionMark(version))
	}
	return b.String()
}

// spans describes the events that a caller received by the versions of their servers, such as "0-4 v1, 5-19 v2".
func spans(body string) string {
	var out []string
	first, last, version := 0, 0, ""
	end := func() {
		if version != "" {
			out = append(out, fmt.Sprintf("%d-%d %s", first, last, version))
		}
	}
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if event == "" {
			break
		}
		id, of := 0, firstVersion
		_, _ = fmt.Sscanf(event, "id: %d\n", &id) // compared below
		if _, mark, marked := strings.Cut(strings.TrimSpace(event), " of "); marked {
			of = mark
		}
		if event != eventsOf(of, id, id+1) {
			return fmt.Sprintf("%q is no event", event)
		}
		if of != version || id != last+1 {
			end()
			first, version = id, of
		}
		last = id
	}
	end()
	return strings.Join(out, ", ")
}

// newMixedFleet returns a fleet of the servers a, b and so on with these versions. Its scheduler takes
// as long as the real one to refuse a request that no server may get.
func newMixedFleet(total int, versions ...string) *fakeFleet {
	var names []string
	for i := range versions {
		names = append(names, string(rune('a'+i)))
	}
	w := newFakeFleet(names...)
	w.refusesAfter = 225 * time.Millisecond
	for i, n := range names {
		w.servers[n].version, w.servers[n].total = versions[i], total
	}
	return w
}

// restart starts a server again under its name, with another version of its software.
func (w *fakeFleet) restart(name, version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[name]
	s.version, s.starts = version, s.starts+1
}

// reached returns which of the servers got a request or a generation's memory and are now of this version.
func (w *fakeFleet) reached(version string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, n := range append(slices.Clone(w.sent), w.copies...) {
		if w.servers[n].version == version && !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}

// atOnce is the longest time from the last event of a stream, or from the arrival of a request, to its
// end if it can't go on. The scheduler takes longer to say that no server is left.
const atOnce = 50 * time.Millisecond

// Guards against a stream that goes on at an engine of another software version than that of its first event, on each way
// on which it goes on inside one answer, against one that is lost although an engine of its version is left, and
// against one that is held or moved elsewhere if none is.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	const total = 60
	slowPlan := func() *Request {
		q := plan()
		q.HintTokens = total * q.stride()
		return q
	}
	for _, c := range []struct {
		name string
		q    func() *Request
		// versions are those of the engines a, b and so on. The stream begins at a, and goesOn is the engine at
		// which it ends. That engine has the other version in the second part of the test.
		versions []string
		goesOn   string
		setup    func(w *fakeFleet)
		// during is called after each event with the number of events so far.
		during func(w *fakeFleet, n int)
		// events is the number of events that the caller receives if no engine is left, or 0 if it does not matter, and
		// within the longest time from the last one to the end.
		events int
		within time.Duration
	}{
		{"leaves", plan, []string{"v1", "v2", "v1"}, "c", func(w *fakeFleet) {
			w.servers["a"].diesAfter = 12
		}, leaveAt("a", 5), 12, atOnce},
		{"leaves and works to its end", plan, []string{"v1", "v2", "v1"}, "c", nil, leaveAt("a", 5), total, atOnce},
		{"leaves, resumable", resumablePlan, []string{"v1", "v2", "v1"}, "c", func(w *fakeFleet) {
			w.servers["a"].diesAfter = 12
		}, leaveAt("a", 5), 12, atOnce},
		{"breaks while its memory is copied", resumablePlan, []string{"v1", "v2", "v1"}, "c", func(w *fakeFleet) {
			w.servers["a"].diesAfter, w.servers["a"].copyTime = 9, time.Second
		}, leaveAt("a", 5), 9, atOnce},
		{"leaves twice", plan, []string{"v1", "v2", "v1", "v2", "v1"}, "e", func(w *fakeFleet) {
			w.servers["c"].diesAfter = 35
		}, func(w *fakeFleet, n int) { leaveAt("a", 5)(w, n); leaveAt("c", 30)(w, n) }, 0, atOnce},
		{"slow", slowPlan, []string{"v1", "v2", "v1"}, "c", func(w *fakeFleet) {
			w.servers["a"].slowGap, w.servers["a"].slowEvents = 250*time.Millisecond, total
		}, nil, total, atOnce},
		{"breaks", check, []string{"v1", "v2", "v1"}, "c", func(w *fakeFleet) {
			w.servers["a"].diesAfter = 5
		}, nil, 5, atOnce},
		{"breaks and starts again under its name with the other version", check, []string{"v1", "v2", "v1"}, "c", func(w *fakeFleet) {
			w.servers["a"].diesAfter = 5
		}, func(w *fakeFleet, n int) {
			if n == 5 {
				w.restart("a", otherVersion)
			}
		}, 5, atOnce},
		{"is silent", check, []string{"v1", "v2", "v1"}, "c", func(w *fakeFleet) {
			w.servers["a"].slowGap, w.servers["a"].slowEvents = 10*time.Second, 1
		}, nil, 5, maxSilence(check()) + atOnce},
		{"breaks after a destination was given up", resumablePlan, []string{"v1", "v1", "v2", "v1"}, "d", func(w *fakeFleet) {
			w.servers["b"].beginsLate = 350 * time.Millisecond
			w.servers["a"].diesAfter = 50
		}, leaveAt("a", 5), 50, atOnce},
	} {
		serve := func(t *testing.T, versions []string, verify func(is *is.I, w *fakeFleet, r *recordingCaller, failed bool)) {
			synctest.Test(t, func(t *testing.T) {
				w := newMixedFleet(total, versions...)
				defer func() {
					w.settle()
					if w.running() != 0 {
						t.Errorf("%d runs are left", w.running())
					}
				}()
				if c.setup != nil {
					c.setup(w)
				}
				r := &recordingCaller{}
				r.after = func(n int) {
					if c.during != nil {
						c.during(w, n)
					}
				}
				q := c.q()
				q.Deadline = time.Now().Add(time.Minute)
				_, err := w.f.Serve(context.Background(), q, r)
				if err != nil && err.Execution != api.Ran {
					t.Errorf("execution %v of a stream that has begun", err.Execution)
				}
				verify(is.New(t), w, r, err != nil)
			})
		}
		t.Run(c.name+"/an engine is left", func(t *testing.T) {
			serve(t, c.versions, func(is *is.I, w *fakeFleet, r *recordingCaller, failed bool) {
				is.Equal(spans(r.body.String()), fmt.Sprintf("0-%d v1", total-1))
				is.True(!failed)
				is.Equal(w.sent[len(w.sent)-1], c.goesOn)
			})
		})
		t.Run(c.name+"/none is left", func(t *testing.T) {
			versions := slices.Clone(c.versions)
			versions[c.goesOn[0]-'a'] = otherVersion
			serve(t, versions, func(is *is.I, w *fakeFleet, r *recordingCaller, failed bool) {
				if c.events == 0 {
					if !strings.HasPrefix(events(0, total-1), r.body.String()) {
						t.Errorf("events %s, want the first ones of v1", spans(r.body.String()))
					}
				} else {
					is.Equal(spans(r.body.String()), fmt.Sprintf("0-%d v1", c.events-1))
				}
				is.Equal(failed, c.events < total)
				is.True(time.Since(r.last) <= c.within)
				for _, n := range w.reached(otherVersion) {
					is.Equal(n, "a") // that began it and has started again
				}
			})
		})
	}
}

// leaveAt returns a function that announces the end of a server at an event.
func leaveAt(server string, event int) func(*fakeFleet, int) {
	return func(w *fakeFleet, n int) {
		if n == event {
			w.leave(server)
		}
	}
}

// Guards against a stream that goes on at an engine which joined with another version, or started again with one, while
// the stream waited for an engine: what was excluded before the wait doesn't contain it.
func TestEngineChangesWhileAStreamWaits(t *testing.T) {
	for name, c := range map[string]struct {
		q      func() *Request
		during func(w *fakeFleet, n int)
	}{
		"breaks": {check, func(*fakeFleet, int) {}},
		"leaves": {plan, leaveAt("a", 5)},
	} {
		for _, joins := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/joins %v", name, joins), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newMixedFleet(40, "v1", "v1", "v1")
					defer w.settle()
					changing := w.servers["b"]
					if joins {
						delete(w.servers, "b")
					}
					if name == "breaks" {
						w.servers["a"].diesAfter = 5
					}
					acquired := 0
					w.waited = func() {
						if acquired++; acquired == 2 {
							changing.version, changing.starts = otherVersion, changing.starts+1
							w.servers["b"] = changing
						}
					}
					r := &recordingCaller{after: func(n int) { c.during(w, n) }}
					_, err := w.f.Serve(context.Background(), c.q(), r)
					is.Equal(spans(r.body.String()), "0-39 v1")
					is.True(err == nil)
					is.Equal(strings.Join(w.sent, " "), "a c")
					is.True(!slices.Contains(w.copies, "b"))
				})
			})
		}
	}
}

// Guards against a stream that goes on at another version after its engine has broken it while a destination was asked
// that then refuses, and against one that never moves again after that, because its first move is kept. It runs in real
// time, since a goroutine that is left behind would end the tests of the whole package.
func TestStreamMovesAgainAfterARefusedMove(t *testing.T) {
	for name, c := range map[string]struct {
		versions   []string
		sent, body string
	}{
		"engines are left": {[]string{"v1", "v1", "v2", "v1", "v1"}, "a b d e", "0-39 v1"},
		"one version":      {[]string{"v1", "v1", "v1", "v1"}, "a b c d", "0-39 v1"},
		"none is left":     {[]string{"v1", "v1", "v2"}, "a b", "0-8 v1"},
	} {
		for i := range 8 { // the outcome may depend on which goroutine receives the refusal first
			t.Run(fmt.Sprint(name, "/", i), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newMixedFleet(40, c.versions...)
				w.servers["a"].diesAfter, w.servers["a"].copyTime = 9, 10*time.Millisecond
				w.servers["b"].refuses, w.servers["b"].failsAfter = true, 100*time.Millisecond
				third := c.sent[len("a b"):]
				r := &recordingCaller{after: func(n int) {
					leaveAt("a", 5)(w, n)
					leaveAt("b", 15)(w, n)
					if third != "" {
						leaveAt(third[1:2], 20)(w, n)
					}
				}}
				_, err := w.f.Serve(context.Background(), resumablePlan(), r)
				is.Equal(spans(r.body.String()), c.body)
				is.Equal(err == nil, third != "")
				is.Equal(strings.Join(w.sent, " "), c.sent)
				is.True(third != "" || time.Since(r.last) <= 200*time.Millisecond) // b refuses after 100 ms
			})
		}
	}
}

// Guards against a stream that is bound to the version of an engine that failed before the first event, and against
// one that is not bound to that of the engine which sent its first event.
func TestRetryBeforeTheFirstEventMayChangeTheVersion(t *testing.T) {
	for name, c := range map[string]struct {
		q     func() *Request
		setup func(w *fakeFleet)
		sent  string
	}{
		"never sent":                {plan, func(w *fakeFleet) { w.servers["a"].fail = errNotRun }, "a b"},
		"breaks before its answer":  {check, func(w *fakeFleet) { w.servers["a"].fail = errUnknown }, "a b"},
		"is silent after its begin": {check, func(w *fakeFleet) { w.servers["a"].gap = 10 * time.Second }, "a b"},
		"and breaks later": {resumablePlan, func(w *fakeFleet) {
			w.servers["a"].fail, w.servers["b"].diesAfter = errUnknown, 5
		}, "a b d"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newMixedFleet(20, "v1", "v2", "v1", "v2")
				defer w.settle()
				c.setup(w)
				r := &recordingCaller{}
				_, err := w.f.Serve(context.Background(), c.q(), r)
				is.Equal(spans(r.body.String()), "0-19 v2")
				is.True(err == nil)
				is.Equal(strings.Join(w.sent, " "), c.sent)
			})
		})
	}
}

// Guards against a stream that its caller takes up at an engine of another version than that which began it, also after
// a failure before its next event or after a break of the taken-up stream, and against a caller that waits where no engine of that
// version is left.
func TestCallersTakeStreamsUpAtTheirVersion(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		// before is called between the two requests.
		before func(w *fakeFleet)
		// sent lists the engines that get the second request, and events what its caller receives.
		sent, events string
	}{
		"no engine is left":               {[]string{"v2", "v1", "v2"}, func(w *fakeFleet) { w.leave("b") }, "", ""},
		"at the same engine":              {[]string{"v2", "v1", "v2"}, func(*fakeFleet) {}, "b", "5-19 v1"},
		"at another engine":               {[]string{"v2", "v1", "v2", "v1"}, func(w *fakeFleet) { w.leave("b") }, "d", "5-19 v1"},
		"an engine fails before an event": {[]string{"v2", "v1", "v2", "v1"}, func(w *fakeFleet) { w.servers["b"].fail = errUnknown }, "b d", "5-19 v1"},
		"an engine is not reached":        {[]string{"v2", "v1", "v2", "v1"}, func(w *fakeFleet) { w.servers["b"].fail = errNotRun }, "b d", "5-19 v1"},
		"the taken-up stream breaks":      {[]string{"v2", "v1", "v2", "v1"}, func(w *fakeFleet) { w.servers["b"].diesAfter = 3 }, "b d", "5-19 v1"},
		"its engine has another version":  {[]string{"v2", "v1", "v2"}, func(w *fakeFleet) { w.restart("b", "v2") }, "", ""},
		"and its engine another one":      {[]string{"v2", "v1", "v2", "v1"}, func(w *fakeFleet) { w.restart("b", "v2") }, "d", "5-19 v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newMixedFleet(20, c.versions...)
				defer w.settle()
				for n, s := range w.servers {
					if n != "b" {
						s.fail = errNotRun // so that the stream begins at b
					}
				}
				w.servers["b"].diesAfter = 5
				first := check()
				first.ID, first.Route.Attempts = "first", 1
				r := &recordingCaller{}
				_, err := w.f.Serve(context.Background(), first, r)
				is.True(err != nil)
				is.Equal(spans(r.body.String()), "0-4 v1")
				w.settle()
				for _, s := range w.servers {
					s.fail, s.diesAfter = nil, 0
				}
				w.sent, w.budget = nil, 10
				c.before(w)
				second := check()
				second.ID = "second"
				r, began := &recordingCaller{}, time.Now()
				_, err = w.f.Serve(context.Background(), withOrigin(second, first.ID, 4), r)
				is.Equal(spans(r.body.String()), c.events)
				is.Equal(strings.Join(w.sent, " "), c.sent)
				if c.events == "" {
					is.True(err != nil)
					is.Equal(err.Execution, api.NotRun)
					is.True(time.Since(began) <= atOnce)
				} else {
					is.True(err == nil)
				}
			})
		})
	}
}

// Guards against serving a take-up of a stream that nobody knows while engines of two versions could have begun it.
func TestUnknownStreamIsNotTakenUp(t *testing.T) {
	for _, origin := range []string{"unknown", ""} {
		t.Run(fmt.Sprintf("origin %q", origin), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newMixedFleet(20, "v1", "v2")
				defer w.settle()
				r, began := &recordingCaller{}, time.Now()
				_, err := w.f.Serve(context.Background(), withOrigin(check(), origin, 4), r)
				is.Equal(spans(r.body.String()), "")
				is.Equal(len(w.sent), 0)
				is.True(err != nil)
				is.Equal(err.Execution, api.NotRun)
				is.True(time.Since(began) <= atOnce)
			})
		})
	}
}

// Guards against a take-up that is refused because its first event can't come in time, which its caller has. While engines that take work
// are full, it may wait for one of its version until its caller leaves: on days with full servers 3 of 22 take-ups went on, and 15 of 26.
// A new stream is refused in time for its caller to begin elsewhere.
func TestTakeUpMayWaitUntilItsDeadline(t *testing.T) {
	const full = 4 * time.Second
	for name, c := range map[string]struct {
		takesUp bool
		events  string
		ends    time.Duration
	}{
		"new stream":        {false, "", schedule.MaxQueueWait(time.Second)},
		"take-up":           {true, "5-19 v1", full},
		"take-up, deadline": {true, "", 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newMixedFleet(20, "v1")
				defer w.settle()
				began := time.Now()
				w.fullUntil = began.Add(full)
				q := check()
				q.Deadline = began.Add(time.Minute)
				if c.takesUp && c.ends < full {
					q.Deadline = began.Add(c.ends)
				}
				if c.takesUp {
					q = withOrigin(q, "first", 4)
				}
				r := &recordingCaller{}
				waits := w.f.schedulingRequest(q)
				is.Equal(waits.FirstTokenBy.IsZero(), c.takesUp)
				_, err := w.f.Serve(context.Background(), q, r)
				is.Equal(err == nil, c.events != "")
				is.Equal(spans(r.body.String()), c.events)
				if c.events == "" {
					is.Equal(time.Since(began), c.ends)
				} else {
					is.True(time.Since(began) >= c.ends)
				}
			})
		})
	}
}
