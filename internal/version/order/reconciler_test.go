package order

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/api"
)

// Guards against too many or too fast loads, replicas of a model that are all
// unloaded together, and states from which the engines never reach the plan.
func TestConvergesWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		replicas := func(label string) map[string]int {
			return rapid.MapOf(rapid.SampledFrom(modelNames), rapid.IntRange(0, 4)).Draw(rt, label)
		}
		first, second := replicas("first"), replicas("second")
		loaded := rapid.SliceOfN(rapid.SliceOfNDistinct(rapid.SampledFrom(modelNames), 0, 2, rapid.ID), 1, 8).Draw(rt, "loaded")
		lose := rapid.SliceOfN(rapid.Bool(), len(loaded), len(loaded)).Draw(rt, "lose an answer")
		wait := rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, 2 * time.Minute}).Draw(rt, "wait")
		var broken error
		synctest.Test(t, func(*testing.T) {
			w := newWorld(first)
			for i, models := range loaded {
				w.add(fmt.Sprint("e", i), models...)
				w.change(fmt.Sprint("e", i), func(e *fakeEngine) { e.loseAnswer = lose[i] })
			}
			r, stop := w.reconcile(&permit{fencing: 1})
			time.Sleep(wait)
			w.edit(2, second)
			time.Sleep(2 * time.Minute)
			p := r.Progress()
			stop()
			broken = w.broken
			for m, share := range Shares(w.snapshot.Catalogue, len(loaded)) {
				if n := w.serving(m); n != share && broken == nil {
					broken = fmt.Errorf("%d replicas of %s serve, want %d", n, m, share)
				}
			}
			if broken == nil && (w.maxLoads > 2 || w.closestLoads() < 500*time.Millisecond || p.Differing+p.PendingLoads > 0) {
				broken = fmt.Errorf("%d loads at once, %v apart, progress %+v", w.maxLoads, w.closestLoads(), p)
			}
		})
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}

// Guards against an edit of adapters that makes all engines read from the
// weight store at once.
func TestAdaptersRespectTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(map[string]int{"a": 8})
		for i := range 8 {
			w.add(fmt.Sprint("e", i), "a")
		}
		_, stop := w.reconcile(&permit{fencing: 1})
		w.adapters = []string{"letters"}
		w.edit(2, map[string]int{"a": 8})
		time.Sleep(time.Minute)
		stop()
		is.Equal(len(w.loads), 8)
		is.True(w.closestLoads() >= 500*time.Millisecond)
	})
}

// step is a moment of a fault case: what changes, and when to look.
type step struct {
	change func(w *world)
	wait   time.Duration
	// ready is the number of replicas of model a that then serve.
	ready int
}

// Guards against engines that get stuck after a fault, and against models that
// are moved for a short one. Model a has 2 replicas, and there are 3 engines.
func TestFaults(t *testing.T) {
	loaded := 3 * loadTime
	engine := func(name string, f func(e *fakeEngine)) func(*world) {
		return func(w *world) { w.change(name, f) }
	}
	down := engine("e0", func(e *fakeEngine) { e.down = true })
	up := engine("e0", func(e *fakeEngine) { e.down = false })
	for name, steps := range map[string][]step{
		"reclaimed at short notice":        {{func(w *world) { w.setState("e0", platform.HostLeaving) }, loaded, 3}},
		"draining of its own accord":       {{engine("e0", func(e *fakeEngine) { e.draining = true }), loaded, 2}},
		"draining by the catalogue":        {{func(w *world) { w.edit(2, map[string]int{"a": 2}, "e0") }, loaded, 2}},
		"out for a short time":             {{down, 8 * time.Second, 1}, {up, loaded, 2}},
		"out for long":                     {{down, 30 * time.Second, 2}, {up, 2 * loaded, 2}},
		"host list out while engine fails": {{func(w *world) { w.hostListDown(); down(w) }, 30 * time.Second, 2}},
		"lost its state": {{engine("e0", func(e *fakeEngine) {
			e.state = api.OrderState{}
		}), loaded, 2}},
		"a load fails once": {
			{engine("e2", func(e *fakeEngine) { e.failLoad = true }), 0, 2},
			{func(w *world) { w.edit(2, map[string]int{"a": 3}) }, loaded, 2},
			{engine("e2", func(e *fakeEngine) { e.failLoad = false }), 6 * loaded, 3},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(map[string]int{"a": 2})
				w.add("e0", "a")
				w.add("e1", "a")
				w.add("e2")
				_, stop := w.reconcile(&permit{fencing: 1})
				time.Sleep(5 * time.Second)
				for _, s := range steps {
					s.change(w)
					time.Sleep(s.wait)
					is.Equal(w.serving("a"), s.ready)
				}
				stop()
				is.NoErr(w.broken)
			})
		})
	}
}

// Guards against a stale order of a paused former holder that stays in force:
// an engine that honours the number refuses it, another is corrected within
// one interval.
func TestStaleOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(map[string]int{"a": 2})
		w.add("strict", "a")
		w.add("lax", "a")
		w.change("strict", func(e *fakeEngine) { e.honours = true })
		_, stop := w.reconcile(&permit{fencing: 2}, "strict")
		time.Sleep(time.Second)
		is.Equal(w.engine("strict").state.HighestFencing, int64(2)) // raised although the goal is reached
		stale := api.Order{Fencing: 1, Goal: api.Goal{Models: []string{"a"}, Drain: true}}
		_, err := w.Order(context.Background(), "strict", "", stale)
		is.True(err != nil)
		_, err = w.Order(context.Background(), "lax", "", stale)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.True(!w.engine("lax").state.Goal.Drain)
		is.Equal(w.serving("a"), 2)
		is.Equal(w.engine("strict").refused, 1)
		strict, lax := w.engine("strict").orders, w.engine("lax").orders
		time.Sleep(time.Minute)
		is.Equal(w.engine("strict").orders, strict)
		is.Equal(w.engine("lax").orders, lax) // a goal that is reached is not repeated
		stop()
	})
}

// Guards against a process that sends orders or changes engines without the
// permit, and one that acts on what it read under an earlier permit.
func TestNoPermitNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(map[string]int{"a": 1})
		w.add("e0")
		p := &permit{}
		r, stop := w.reconcile(p)
		time.Sleep(10 * time.Second)
		is.Equal(w.engine("e0").orders, 0)
		is.Equal(r.Progress(), Progress{})
		p.set(1)
		time.Sleep(10 * time.Second)
		is.Equal(w.engine("e0").state.Loaded, []string{"a"})
		p.set(0)
		w.edit(2, map[string]int{"b": 1})
		time.Sleep(10 * time.Second)
		is.Equal(w.engine("e0").state.Loaded, []string{"a"}) // the engine keeps its state
		stop()
	})
}

// Guards against a holder that goes on through a long outage of the platform,
// and one that does not come back after it.
func TestPlatformOutForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, f := newWorld(map[string]int{"a": 1}), newFleet(1, false, "dc0")
		w.add("e0")
		_, stop := w.reconcile(f.processes[0])
		time.Sleep(20 * time.Second)
		is.Equal(w.serving("a"), 1)
		f.processes[0].cutOff(time.Minute)
		time.Sleep(8 * time.Second)
		w.edit(2, map[string]int{"b": 1})
		time.Sleep(50 * time.Second)
		is.Equal(w.serving("a"), 1) // the engine keeps its state
		time.Sleep(20 * time.Second)
		is.Equal(w.serving("b"), 1)
		stop()
		f.processes[0].stop()
	})
}

// Guards against a new holder that loads a model elsewhere only because an
// engine that has it does not answer at first.
func TestTakeOverWaitsForUnreadEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(map[string]int{"a": 1})
		w.add("e0", "a")
		w.add("e1")
		w.change("e0", func(e *fakeEngine) { e.down = true })
		_, stop := w.reconcile(&permit{fencing: 1})
		time.Sleep(6 * time.Second)
		w.change("e0", func(e *fakeEngine) { e.down = false })
		time.Sleep(time.Minute)
		stop()
		is.Equal(w.engine("e0").state.Loaded, []string{"a"})
		is.Equal(w.engine("e1").orders, 0)
	})
}

// Guards against an engine that came from another data centre and refuses all
// orders, because it has accepted a higher number there, and against a successor
// that starts from the number before it was raised.
func TestEngineFromAnotherDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, f := newWorld(map[string]int{"a": 1}), newFleet(1, false, "dc0")
		w.add("e0")
		w.change("e0", func(e *fakeEngine) { e.honours, e.state.HighestFencing = true, 57 })
		lease := f.processes[0].Lease
		_, stop := w.reconcileWith(lease, lease.Raise, "e0")
		time.Sleep(20 * time.Second)
		is.Equal(w.serving("a"), 1)
		is.Equal(w.engine("e0").state.HighestFencing, int64(58))
		is.Equal(w.engine("e0").refused, 0)
		stop()
		f.processes[0].stop()
		f.start(0)
		time.Sleep(20 * time.Second)
		is.Equal(f.processes[0].Status().Fencing, int64(59))
		f.processes[0].stop()
	})
}

// Guards against a controller that reads engines more often than they change,
// against order states read less than once in an interval, and against full
// reads that do not come back after an edit or a difference.
func TestSettledEnginesAreReadLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(map[string]int{"a": 2})
		w.add("e0", "a")
		w.add("e1", "a")
		w.add("spare")
		_, stop := w.reconcile(&permit{fencing: 1})
		reads := func(name string, d time.Duration) (states, reports, lists int) {
			before, l := w.engine(name), w.lists()
			time.Sleep(d)
			after := w.engine(name)
			return after.states - before.states, after.reports - before.reports, w.lists() - l
		}
		time.Sleep(9 * time.Second)
		for _, name := range []string{"e0", "spare"} {
			states, reports, lists := reads(name, 80*time.Second)
			is.Equal([]int{states, reports, lists}, []int{40, 10, 20})
		}
		total := func() int { return w.engine("e0").reports + w.engine("e1").reports + w.engine("spare").reports }
		before := total()
		w.edit(2, map[string]int{"a": 2})
		time.Sleep(2 * time.Second)
		is.Equal(total()-before, 3) // at once after an edit
		w.change("e1", func(e *fakeEngine) { e.draining = true })
		time.Sleep(8 * time.Second)
		is.Equal(w.engine("spare").state.Goal.Models, []string{"a"}) // noticed within 4 intervals
		states, reports, _ := reads("e1", 20*time.Second)
		is.Equal([]int{states, reports}, []int{10, 10}) // each round while it drains
		stop()
		is.NoErr(w.broken)
	})
}

// Guards against a new holder that orders by the old catalogue that it had as a
// standby, and one that waits a whole interval after the catalogue has come.
func TestTakeOverWaitsForTheCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(map[string]int{"a": 1})
		w.add("e0", "a")
		w.polled = time.Now()
		time.Sleep(time.Second)
		_, stop := w.reconcile(&permit{fencing: 1})
		time.Sleep(10*time.Second - 1)
		is.Equal(w.engine("e0").states, 0)
		w.edit(2, map[string]int{"b": 1})
		w.change("e0", func(*fakeEngine) { w.polled = time.Now() })
		time.Sleep(501 * time.Millisecond)
		is.Equal(w.engine("e0").state.Goal.Models, []string{"a", "b"})
		stop()
	})
}
