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

// Guards against loads that exceed the limits on number or rate, against unloading all
// replicas of a model at once, and against states from which the engines never reach
// the plan.
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
			sim := newSimulation(first)
			for i, models := range loaded {
				sim.add(fmt.Sprint("e", i), models...)
				sim.change(fmt.Sprint("e", i), func(e *fakeEngine) { e.loseAnswer = lose[i] })
			}
			r, stop := sim.reconcile(&permit{fencing: 1})
			time.Sleep(wait)
			sim.edit(2, second)
			time.Sleep(2 * time.Minute)
			p := r.Progress()
			stop()
			broken = sim.broken
			for m, share := range Shares(sim.snapshot.Catalogue, len(loaded)) {
				if n := sim.countServing(m); n != share && broken == nil {
					broken = fmt.Errorf("%d replicas of %s serve, want %d", n, m, share)
				}
			}
			if broken == nil && (sim.maxLoads > 2 || sim.minLoadInterval() < 500*time.Millisecond || p.Differing+p.PendingLoads > 0) {
				broken = fmt.Errorf("%d loads at once, %v apart, progress %+v", sim.maxLoads, sim.minLoadInterval(), p)
			}
		})
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}

// Guards against an edit of adapters that makes all engines read from the weight store
// at once.
func TestAdaptersRespectTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(map[string]int{"a": 8})
		for i := range 8 {
			sim.add(fmt.Sprint("e", i), "a")
		}
		_, stop := sim.reconcile(&permit{fencing: 1})
		sim.adapters = []string{"letters"}
		sim.edit(2, map[string]int{"a": 8})
		time.Sleep(time.Minute)
		stop()
		is.Equal(len(sim.loads), 8)
		is.True(sim.minLoadInterval() >= 500*time.Millisecond)
	})
}

// step is one step of a fault case: a change, and the time to wait before the check.
type step struct {
	change func(sim *simulation)
	wait   time.Duration
	// ready is the number of replicas of model a that must serve at the check.
	ready int
}

// Guards against engines that do not recover after a fault, and against models that are
// moved because of a short fault. Model a has 2 replicas, and there are 3 engines.
func TestFaults(t *testing.T) {
	loaded := 3 * loadTime
	engine := func(name string, f func(e *fakeEngine)) func(*simulation) {
		return func(sim *simulation) { sim.change(name, f) }
	}
	down := engine("e0", func(e *fakeEngine) { e.down = true })
	up := engine("e0", func(e *fakeEngine) { e.down = false })
	for name, steps := range map[string][]step{
		"reclaimed at short notice":        {{func(sim *simulation) { sim.setState("e0", platform.HostLeaving) }, loaded, 3}},
		"draining of its own accord":       {{engine("e0", func(e *fakeEngine) { e.draining = true }), loaded, 2}},
		"draining by the catalogue":        {{func(sim *simulation) { sim.edit(2, map[string]int{"a": 2}, "e0") }, loaded, 2}},
		"out for a short time":             {{down, 8 * time.Second, 1}, {up, loaded, 2}},
		"out for long":                     {{down, 30 * time.Second, 2}, {up, 2 * loaded, 2}},
		"host list out while engine fails": {{func(sim *simulation) { sim.hostListDown(); down(sim) }, 30 * time.Second, 2}},
		"lost its state": {{engine("e0", func(e *fakeEngine) {
			e.state = api.OrderState{}
		}), loaded, 2}},
		"a load fails once": {
			{engine("e2", func(e *fakeEngine) { e.failLoad = true }), 0, 2},
			{func(sim *simulation) { sim.edit(2, map[string]int{"a": 3}) }, loaded, 2},
			{engine("e2", func(e *fakeEngine) { e.failLoad = false }), 6 * loaded, 3},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(map[string]int{"a": 2})
				sim.add("e0", "a")
				sim.add("e1", "a")
				sim.add("e2")
				_, stop := sim.reconcile(&permit{fencing: 1})
				time.Sleep(5 * time.Second)
				for _, s := range steps {
					s.change(sim)
					time.Sleep(s.wait)
					is.Equal(sim.countServing("a"), s.ready)
				}
				stop()
				is.NoErr(sim.broken)
			})
		})
	}
}

// Guards against a stale order of a paused former holder that stays in effect. An engine
// that honours fencing numbers refuses the order; on another engine it is corrected
// within one interval.
func TestStaleOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(map[string]int{"a": 2})
		sim.add("strict", "a")
		sim.add("lax", "a")
		sim.change("strict", func(e *fakeEngine) { e.honoursFencing = true })
		_, stop := sim.reconcile(&permit{fencing: 2}, "strict")
		time.Sleep(time.Second)
		is.Equal(sim.engine("strict").state.HighestFencing, int64(2)) // raised although the goal is reached
		stale := api.Order{Fencing: 1, Goal: api.Goal{Models: []string{"a"}, Drain: true}}
		_, err := sim.Order(context.Background(), "strict", "", stale)
		is.True(err != nil)
		_, err = sim.Order(context.Background(), "lax", "", stale)
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.True(!sim.engine("lax").state.Goal.Drain)
		is.Equal(sim.countServing("a"), 2)
		is.Equal(sim.engine("strict").refused, 1)
		strict, lax := sim.engine("strict").orders, sim.engine("lax").orders
		time.Sleep(time.Minute)
		is.Equal(sim.engine("strict").orders, strict)
		is.Equal(sim.engine("lax").orders, lax) // a goal that is reached is not repeated
		stop()
	})
}

// Guards against a process that sends orders or changes engines without the permit, and
// against one that uses state that it read under an earlier permit.
func TestNoPermitNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(map[string]int{"a": 1})
		sim.add("e0")
		p := &permit{}
		r, stop := sim.reconcile(p)
		time.Sleep(10 * time.Second)
		is.Equal(sim.engine("e0").orders, 0)
		is.Equal(r.Progress(), Progress{})
		p.set(1)
		time.Sleep(10 * time.Second)
		is.Equal(sim.engine("e0").state.Loaded, []string{"a"})
		p.set(0)
		sim.edit(2, map[string]int{"b": 1})
		time.Sleep(10 * time.Second)
		is.Equal(sim.engine("e0").state.Loaded, []string{"a"}) // the engine keeps its state
		stop()
	})
}

// Guards against a holder that keeps sending orders during a long outage of the
// platform, and against one that does not resume after it.
func TestPlatformOutForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, f := newSimulation(map[string]int{"a": 1}), newFleet(1, false, "dc0")
		sim.add("e0")
		_, stop := sim.reconcile(f.processes[0])
		time.Sleep(20 * time.Second)
		is.Equal(sim.countServing("a"), 1)
		f.processes[0].cutOff(time.Minute)
		time.Sleep(8 * time.Second)
		sim.edit(2, map[string]int{"b": 1})
		time.Sleep(50 * time.Second)
		is.Equal(sim.countServing("a"), 1) // the engine keeps its state
		time.Sleep(20 * time.Second)
		is.Equal(sim.countServing("b"), 1)
		stop()
		f.processes[0].stop()
	})
}

// Guards against a new holder that loads a model elsewhere only because an engine that
// has it loaded does not respond at first.
func TestTakeOverWaitsForUnreadEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(map[string]int{"a": 1})
		sim.add("e0", "a")
		sim.add("e1")
		sim.change("e0", func(e *fakeEngine) { e.down = true })
		_, stop := sim.reconcile(&permit{fencing: 1})
		time.Sleep(6 * time.Second)
		sim.change("e0", func(e *fakeEngine) { e.down = false })
		time.Sleep(time.Minute)
		stop()
		is.Equal(sim.engine("e0").state.Loaded, []string{"a"})
		is.Equal(sim.engine("e1").orders, 0)
	})
}

// Guards against an engine that came from another data centre and refuses all orders,
// because it has accepted a higher number there. Also guards against a successor that
// starts from the number before it was raised.
func TestEngineFromAnotherDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim, f := newSimulation(map[string]int{"a": 1}), newFleet(1, false, "dc0")
		sim.add("e0")
		sim.change("e0", func(e *fakeEngine) { e.honoursFencing, e.state.HighestFencing = true, 57 })
		lease := f.processes[0].Lease
		_, stop := sim.reconcileWith(lease, lease.Raise, "e0")
		time.Sleep(20 * time.Second)
		is.Equal(sim.countServing("a"), 1)
		is.Equal(sim.engine("e0").state.HighestFencing, int64(58))
		is.Equal(sim.engine("e0").refused, 0)
		stop()
		f.processes[0].stop()
		f.start(0)
		time.Sleep(20 * time.Second)
		is.Equal(f.processes[0].Status().Fencing, int64(59))
		f.processes[0].stop()
	})
}

// Guards against a controller that reads engines more often than they change, against
// order states that are read less than once per interval, and against full reads that
// do not resume after an edit or a difference.
func TestSettledEnginesAreReadLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(map[string]int{"a": 2})
		sim.add("e0", "a")
		sim.add("e1", "a")
		sim.add("spare")
		_, stop := sim.reconcile(&permit{fencing: 1})
		reads := func(name string, d time.Duration) (states, reports, lists int) {
			before, l := sim.engine(name), sim.hostListReads()
			time.Sleep(d)
			after := sim.engine(name)
			return after.states - before.states, after.reports - before.reports, sim.hostListReads() - l
		}
		time.Sleep(9 * time.Second)
		for _, name := range []string{"e0", "spare"} {
			states, reports, lists := reads(name, 80*time.Second)
			is.Equal([]int{states, reports, lists}, []int{40, 10, 20})
		}
		total := func() int { return sim.engine("e0").reports + sim.engine("e1").reports + sim.engine("spare").reports }
		before := total()
		sim.edit(2, map[string]int{"a": 2})
		time.Sleep(2 * time.Second)
		is.Equal(total()-before, 3) // at once after an edit
		sim.change("e1", func(e *fakeEngine) { e.draining = true })
		time.Sleep(8 * time.Second)
		is.Equal(sim.engine("spare").state.Goal.Models, []string{"a"}) // detected within 4 intervals
		states, reports, _ := reads("e1", 20*time.Second)
		is.Equal([]int{states, reports}, []int{10, 10}) // each round while it drains
		stop()
		is.NoErr(sim.broken)
	})
}

// Guards against a new holder that sends orders by the old catalogue that it had as a
// standby controller, and against one that waits for a full interval after the
// catalogue has been updated.
func TestTakeOverWaitsForTheCatalogue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(map[string]int{"a": 1})
		sim.add("e0", "a")
		sim.polled = time.Now()
		time.Sleep(time.Second)
		_, stop := sim.reconcile(&permit{fencing: 1})
		time.Sleep(10*time.Second - 1)
		is.Equal(sim.engine("e0").states, 0)
		sim.edit(2, map[string]int{"b": 1})
		sim.change("e0", func(*fakeEngine) { sim.polled = time.Now() })
		time.Sleep(501 * time.Millisecond)
		is.Equal(sim.engine("e0").state.Goal.Models, []string{"a", "b"})
		stop()
	})
}
