package schedule

import (
	"fmt"
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
