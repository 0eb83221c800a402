package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// stepReports applies n reports a second apart, with these step times in milliseconds by replica.
func stepReports(g *Group, from time.Time, n int, incarnation string, steps ...float64) time.Time {
	for range n {
		from = from.Add(time.Second)
		for i, ms := range steps {
			g.Report(from, fmt.Sprintf("r%03d", i), api.LoadReport{ReportedAtMS: from.UnixMilli(), MaxBatch: 8, KVCapacityTokens: 10_000, Incarnation: incarnation, StepMS: ms})
		}
	}
	return from
}

// places grants n requests and returns the number at each replica.
func places(g *Group, now time.Time, n int) map[string]int {
	enqueueN(g, now, fmt.Sprint(now.Unix(), "-"), n, catalogue.Urgent)
	out := map[string]int{}
	for _, d := range g.Dispatch(now) {
		if d.Refusal == nil {
			out[d.Grant.Backend]++
			g.Release(now, d.Grant.ID, Outcome{})
		}
	}
	return out
}

// Guards against generations that go to a slow engine while a fast one has room, against a slow engine that is never
// used, and against a difference that only comes from different batches.
func TestSlowEngineGetsLess(t *testing.T) {
	is := is.New(t)
	g := sharedGroup(3)
	now := stepReports(g, start, 5, "1", 5, 6.5, 12)
	got := places(g, now, 6)
	is.Equal(got["r002"], 0)
	is.True(got["r000"] > 0 && got["r001"] > 0)
	got = places(g, now, 24)
	is.True(got["r002"] > 0)
	is.Equal(places(sharedGroup(3), start, 6), map[string]int{"r000": 2, "r001": 2, "r002": 2})
}

// Guards against a slowdown that is noticed late, a recovery that is trusted at once, an engine that is never tried again, and the speed of an earlier
// incarnation that counts for the next one.
func TestSpeedIsLearned(t *testing.T) {
	is := is.New(t)
	g := sharedGroup(3)
	now := stepReports(g, start, 5, "1", 5, 5, 5)
	now = stepReports(g, now, 1, "1", 5, 5, 12)
	is.Equal(g.slowness(g.replicas["r002"]), 1.0) // a single report
	now = stepReports(g, now, 2, "1", 5, 5, 12)
	is.True(g.slowness(g.replicas["r002"]) > 1)
	now = stepReports(g, now, 3, "1", 5, 5, 12)
	now = stepReports(g, now, 2, "1", 5, 5, 5)
	is.True(g.slowness(g.replicas["r002"]) > 1)
	now = stepReports(g, now, 8, "1", 5, 5, 5)
	is.Equal(g.slowness(g.replicas["r002"]), 1.0)
	now = stepReports(g, now, 8, "1", 5, 5, 12)
	now = stepReports(g, now, 10, "1", 5, 5, 0)
	is.True(g.slowness(g.replicas["r002"]) > 1)
	now = stepReports(g, now, 60, "1", 5, 5, 0)
	is.Equal(g.slowness(g.replicas["r002"]), 1.0) // tried again
	now = stepReports(g, now, 8, "1", 5, 5, 12)
	stepReports(g, now, 1, "2", 0, 0, 0)
	is.Equal(g.slowness(g.replicas["r002"]), 1.0)
}

// Guards against moves to a slow engine while a fast one of the data centre has room.
func TestMovesAvoidSlowEngines(t *testing.T) {
	is := is.New(t)
	g := sharedGroup(3)
	now := stepReports(g, start, 5, "1", 5, 5, 12)
	for i := range 10 {
		r := testRequest(fmt.Sprint("move", i), "w", catalogue.Urgent)
		r.Spread = true
		g.Enqueue(now, r)
		for _, d := range g.Dispatch(now) {
			is.True(d.Refusal == nil && d.Grant.Backend != "r002")
			g.Release(now, d.Grant.ID, Outcome{})
		}
	}
}

// Guards against full batches at an engine on which their generations pause for longer than the target, and against
// long generations that take the room of a slow engine as soon as short ones.
func TestSlowEngineRunsFewAndShort(t *testing.T) {
	is := is.New(t)
	slots := func(step float64, target time.Duration) int {
		g := sharedGroup(3)
		now := stepReports(g, start, 20, "1", 5, 5, step)
		g.noteTokenGap(now, &Request{TokenGap: target})
		return g.slots(g.replicas["r002"], now)
	}
	full := slots(12, 45*time.Millisecond) // slow, and within the target
	is.Equal(slots(60, 0), full)
	is.True(slots(40, 45*time.Millisecond) < full && slots(40, 45*time.Millisecond) > 1)
	is.Equal(slots(60, 45*time.Millisecond), 1)
	g := sharedGroup(3)
	stepReports(g, start, 8, "1", 5, 5, 10)
	long, short := Request{PromptTokens: 3000, ExpectedOutputTokens: 750}, Request{PromptTokens: 2500, ExpectedOutputTokens: 8}
	is.True(g.placementLoad(g.replicas["r002"], &short) < g.placementLoad(g.replicas["r002"], &long))
}

// Guards against a generation that leaves a slow engine for one that is hardly faster, in another data centre, as slow
// as its target, or wanted by a request that waits.
func TestLeavesSlowEngineForAFasterOne(t *testing.T) {
	is := is.New(t)
	leaves := func(step, slow float64, from string, waiting int) bool {
		g := sharedGroup(3)
		now := stepReports(g, start, 30, "1", step, step, slow)
		for _, r := range g.replicas {
			r.DataCentre = "x"
		}
		q := movingRequest("moving", "w", 300)
		q.PromptTokens, q.Exclude, q.SlowFrom, q.TokenGap, q.Deadline = 100, []string{"r002"}, "r002", 45*time.Millisecond, now.Add(time.Second)
		q.DataCentre = from
		g.Enqueue(now, q)
		enqueueN(g, now, "w", waiting, catalogue.Urgent)
		return slices.Contains(grantsAt(g, now), "moving")
	}
	is.True(leaves(5, 20, "x", 0))
	is.True(!leaves(5, 20, "y", 0))
	is.True(!leaves(5, 20, "x", 1))
	is.True(!leaves(5, 8, "x", 0))
	is.True(!leaves(50, 200, "x", 0))
}

// Guards against a choice whose log line doesn't tell what was known of the engine, and since when.
func TestGrantTellsWhatWasKnown(t *testing.T) {
	is := is.New(t)
	g := sharedGroup(1)
	now := stepReports(g, start, 3, "1", 5).Add(300 * time.Millisecond)
	enqueueN(g, now, "r", 1, catalogue.Urgent)
	grant := g.Dispatch(now)[0].Grant
	is.Equal(grant.StepUS, 5000)
	is.Equal(grant.ReportAge, 300*time.Millisecond)
}
