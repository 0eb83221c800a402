package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// Guards against grants to a replica that reports that it is draining, and against
// requests that stay queued after it has stopped draining.
func TestNoGrantToDrainingReplica(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 8, 100_000)
	g.Report(start, "r000", api.LoadReport{ReportedAtMS: 1, Draining: true})
	enqueueN(g, start, "a", 1, catalogue.Urgent)
	is.Equal(len(g.Dispatch(start)), 0)
	report(g, 2, 0, 0)
	is.Equal(len(g.Dispatch(start)), 1)
}

// Guards against urgent requests that wait behind queued background requests.
func TestUrgentOvertakesBackground(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 1, 100_000)
	enqueueN(g, start, "b", 3, catalogue.Background)
	enqueueN(g, start, "u", 1, catalogue.Urgent)
	is.Equal(g.Dispatch(start)[0].Request.ID, "u0")
}

// Guards against background work that starves or gets more than its floor while there
// are more urgent requests than slots.
func TestBackgroundKeepsItsFloor(t *testing.T) {
	const grants = 2000
	for _, floor := range []float64{0, 0.1, 0.3} {
		g := testGroup(Options{BackgroundFloor: floor, UrgentReserve: 0.2}, 4, 8, 100_000)
		var granted []Request
		now, background := start, 0
		for i := 0; len(granted) < grants; i++ {
			enqueueN(g, now, fmt.Sprint("u", i, "-"), 2, catalogue.Urgent)
			enqueueN(g, now, fmt.Sprint("b", i, "-"), 2, catalogue.Background)
			for _, d := range g.Dispatch(now) {
				granted = append(granted, d.Request)
				background += classIndex(d.Request.Class)
			}
			now = now.Add(20 * time.Millisecond)
			g.Release(now, granted[i].ID, Outcome{Generated: 200, Completed: true})
		}
		if got := float64(background) / grants; got < floor-0.01 || got > floor+0.03 {
			t.Errorf("background got %.3f of the grants, floor %.2f", got, floor)
		}
	}
}

// Guards against background work that accumulates credit while it has no requests. It
// would then get all slots for seconds and block urgent work.
func TestFloorGathersNoCredit(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{BackgroundFloor: 0.2}, 1, 10, 1_000_000)
	now := start
	for i := range 50 {
		now = now.Add(100 * time.Millisecond)
		g.Enqueue(now, testRequest(fmt.Sprint("u", i), "w", catalogue.Urgent))
		is.Equal(len(g.Dispatch(now)), 1)
		g.Release(now, fmt.Sprint("u", i), Outcome{Generated: 200, Completed: true})
	}
	enqueueN(g, now, "v", 20, catalogue.Urgent)
	enqueueN(g, now, "b", 20, catalogue.Background)
	background := 0
	for _, d := range g.Dispatch(now) {
		background += classIndex(d.Request.Class)
	}
	is.Equal(background, 2)
}

// Guards against ignoring the work of another owner, and against slots that stay
// occupied because a lagging report still includes released work.
func TestForeignSequencesTakeSlots(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 8, 0)
	report(g, 1, 0, 3)
	is.Equal(g.Summary(start).FreeSlots, 5)
	enqueueN(g, start, "a", 5, catalogue.Urgent)
	is.Equal(len(g.Dispatch(start)), 5)
	report(g, 2, 0, 8)
	for i := range 5 {
		g.Release(start, fmt.Sprint("a", i), Outcome{})
	}
	report(g, 3, 0, 8)
	is.Equal(g.Summary(start).FreeSlots, 5)
}

// grantAndEnd grants n urgent requests and completes them immediately.
func grantAndEnd(g *Group, now time.Time, prefix string, n int) {
	enqueueN(g, now, prefix, n, catalogue.Urgent)
	for _, d := range g.Dispatch(now) {
		g.Release(now, d.Grant.ID, Outcome{Generated: 100, Completed: true})
	}
}

// Guards against background work that uses the slots or the memory that the next
// urgent requests need, so that these wait until a running generation ends.
func TestBackgroundLeavesHeadroom(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{UrgentReserve: 0.25}, 2, 8, 100_000)
	grantAndEnd(g, start, "w", 16) // urgent requests arrive at a high rate
	enqueueN(g, start, "b", 40, catalogue.Background)
	is.Equal(len(g.Dispatch(start)), 12) // a quarter of 16 slots stays free
	enqueueN(g, start, "u", 8, catalogue.Urgent)
	is.Equal(len(g.Dispatch(start)), 4)

	g = testGroup(Options{UrgentReserve: 0.5}, 1, 200, 10_000)
	grantAndEnd(g, start, "w", 10)
	enqueueN(g, start, "b", 100, catalogue.Background)
	g.Dispatch(start)
	kept := g.urgentHeadroom(start).tokens
	is.True(kept > 1000)
	is.True(g.replicas["r000"].projection.Peak() <= float64(10_000-kept))
	enqueueN(g, start, "u", 3, catalogue.Urgent)
	is.Equal(len(g.Dispatch(start)), 3)
}

// Guards against a large workspace that uses all slots, so that a small one waits until
// a generation ends, and against starvation of the large one.
func TestSmallWorkspaceFindsRoom(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{UrgentReserve: 0.25}, 2, 8, 100_000)
	now := start
	send := func(prefix, workspace string, n int) int {
		for i := range n {
			r := testRequest(fmt.Sprint(prefix, i), workspace, catalogue.Urgent)
			is.True(g.Enqueue(now, r) == nil)
		}
		return len(g.Dispatch(now))
	}
	for i := range 20 {
		send(fmt.Sprint("s", i, "-"), "small", 1)
		now = now.Add(time.Second)
		g.Release(now, fmt.Sprint("s", i, "-0"), Outcome{Generated: 100, Completed: true})
	}
	send("l", "large", 40)
	now = now.Add(time.Second)
	for i := range 8 {
		g.Release(now, fmt.Sprint("l", i), Outcome{Generated: 100, Completed: true})
	}
	granted := len(g.Dispatch(now))
	is.True(granted > 0 && granted < 8)
	is.Equal(send("late", "small", 1), 1)

	g = testGroup(Options{UrgentReserve: 0.25}, 1, 1, 100_000)
	is.Equal(send("a", "small", 1), 1)
	g.Release(now, "a0", Outcome{Generated: 1, Completed: true})
	for i := range 5 {
		is.Equal(send(fmt.Sprint("b", i, "-"), "large", 1), 1)
		g.Release(now, fmt.Sprint("b", i, "-0"), Outcome{Generated: 1000, Completed: true})
	}
}

// Guards against slots that are kept free for urgent work although there is none.
func TestNoHeadroomWithoutUrgentWork(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{UrgentReserve: 0.25}, 2, 8, 100_000)
	grantAndEnd(g, start, "w", 16)
	later := start.Add(time.Minute)
	enqueueN(g, later, "b", 40, catalogue.Background)
	is.Equal(len(g.Dispatch(later)), 16)
}

// Guards against a batch bound that changes on a repeated report, changes in the wrong
// direction or leaves its limits.
func TestBatchBoundFollowsStepTime(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{}, Options{})
	g.SetReplicas(start, testReplicas(1, 20, 0))
	for _, c := range []struct {
		at      int64
		step    float64
		running int
		want    int
	}{
		{1, 25, 16, 16}, // the initial bound is below the engine's limit
		{2, 20, 16, 17},
		{3, 15, 17, 19}, // far below the target
		{4, 20, 19, 20},
		{5, 20, 20, 20}, // never above the engine's limit
		{6, 27, 20, 19},
		{6, 27, 19, 19}, // the same report again
		{7, 25, 19, 19}, // within 90% to 100% of the target
		{8, 20, 5, 19},  // the bound was not reached
		{9, 27, 12, 11}, // the step time results from 12 sequences
		{10, 80, 1, 1},
	} {
		report(g, c.at, c.step, c.running)
		is.Equal(g.replicas["r000"].bound, c.want) // after the report of this row
	}
}

// Guards against a full batch on a replica that has just returned.
func TestReturningReplicaStartsSlowly(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 2, 20, 0)
	r := g.replicas["r000"]
	is.Equal(g.slots(r, start), 20) // a new group starts without a slow start
	list := testReplicas(2, 20, 0)
	g.SetReplicas(start, list[1:])
	g.SetReplicas(start, list)
	r = g.replicas["r000"]
	r.bound = 20
	is.Equal(g.slots(r, start), 5)
	is.Equal(g.slots(r, start.Add(5*time.Second)), 12)
	is.Equal(g.slots(r, start.Add(10*time.Second)), 20)
}

// Guards against starvation of a large request that smaller ones bypass again and again.
func TestLargeRequestIsNotStarved(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 64, 10_000)
	large := testRequest("large", "large", catalogue.Urgent)
	large.PromptTokens = 7000
	now, granted, released := start, []string{}, 0
	for i := range 500 {
		g.Enqueue(now, testRequest(fmt.Sprint("s", i), "small", catalogue.Urgent))
		if i == 20 {
			g.Enqueue(now, large)
		}
		for _, d := range g.Dispatch(now) {
			granted = append(granted, d.Grant.ID)
		}
		now = now.Add(20 * time.Millisecond)
		if i%2 == 1 && released < len(granted) {
			g.Release(now, granted[released], Outcome{Generated: 200, Completed: true})
			released++
		}
	}
	is.True(!g.Cancel("large")) // granted, so no longer waiting
}

// Guards against a workspace that gets more than its share because its generations are
// longer than the estimate of their entry.
func TestFairnessCountsRealTokens(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 4, 0)
	length, tokens := map[string]int{"long": 1000, "short": 100}, map[string]int{}
	var running []Request
	for i := range 2000 {
		for w := range length {
			g.Enqueue(start, testRequest(fmt.Sprint(w, i), w, catalogue.Urgent))
		}
		for _, d := range g.Dispatch(start) {
			running = append(running, d.Request)
		}
		q, n := running[i], length[running[i].Workspace]
		g.Progress(start, q.ID, n/2)
		g.Release(start, q.ID, Outcome{Generated: n, Completed: true})
		tokens[q.Workspace] += q.PromptTokens + n
	}
	ratio := float64(tokens["long"]) / float64(tokens["short"])
	is.True(ratio > 0.9 && ratio < 1.1)
}

// Guards against grants whose projected memory use exceeds the capacity, and against
// background work that takes the memory for which an urgent request waits.
func TestMemoryAdmission(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 64, 6000)
	enqueueN(g, start, "u", 64, catalogue.Urgent)
	granted := len(g.Dispatch(start))
	is.True(granted > 5 && granted < 60)
	is.True(g.replicas["r000"].projection.Peak() <= 6000)

	g = testGroup(Options{}, 1, 64, 10_000)
	for _, id := range []string{"first", "second"} {
		large := testRequest(id, "w", catalogue.Urgent)
		large.PromptTokens = 6000
		g.Enqueue(start, large)
	}
	small := testRequest("small", "w", catalogue.Background)
	small.MaxOutputTokens = 10
	g.Enqueue(start, small)
	is.Equal(len(g.Dispatch(start)), 1)
	is.Equal(len(g.Dispatch(start)), 0)
	is.True(g.Cancel("second"))
	is.Equal(len(g.Dispatch(start)), 1)
}

// Guards against grants that outlive their gateway, and against a residue in the sums
// after a change of owner or after a request that was granted twice.
func TestAdoptExpireRelease(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{}, Options{})
	held := Held{Request: testRequest("a", "w", catalogue.Background), Grant: Grant{ID: "a", Backend: "r000"}, Generated: 40}
	g.Adopt(start, held) // before the replicas are known
	g.SetReplicas(start, testReplicas(1, 4, 10_000))
	r := g.replicas["r000"]
	is.Equal(r.projection.Used(), 140)
	g.Report(start, "r000", api.LoadReport{ReportedAtMS: 1, Running: 2, KVUsedTokens: 280})
	is.Equal(g.Summary(start).FreeSlots, 2)
	held.Grant.ID = "b"
	g.Adopt(start, held) // already included in the report
	is.Equal(r.projection.Used(), 280)
	is.Equal(g.Summary(start).FreeSlots, 2)
	held.Generated = 60
	g.Adopt(start.Add(2*time.Second), held)
	is.Equal(r.projection.Used(), 300)
	is.Equal(g.Expire(start.Add(3*time.Second), 3*time.Second), []string{"a"})
	g.Release(start, "a", Outcome{}) // late and unknown
	g.Enqueue(start, testRequest("b", "w", catalogue.Urgent))
	is.Equal(len(g.Dispatch(start)), 1) // the gateway did not get the first grant
	g.Release(start, "b", Outcome{Generated: 80})
	is.Equal(r.projection.Peak(), 0.0)
	is.Equal(g.Summary(start).FreeSlots, 4)
}

// Guards against requests that wait forever while no replica accepts work, and against
// a retry time that does not follow the drain rate.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{}, Options{})
	enqueueN(g, start, "a", 1, catalogue.Urgent)
	is.Equal(len(g.Dispatch(start)), 0)
	later := start.Add(noReplicaTimeout)
	is.Equal(g.NextWake(start.Add(1500*time.Millisecond)), later)
	is.Equal(g.Dispatch(later)[0].Refusal.Reason, ReasonNoReplica)

	excluded := testGroup(Options{}, 1, 1, 0)
	q := testRequest("x", "w", catalogue.Urgent)
	q.Exclude = []string{"r000"}
	excluded.Enqueue(start, q)
	is.Equal(len(excluded.Dispatch(start)), 0)
	is.Equal(excluded.Dispatch(later)[0].Refusal.Reason, ReasonNoReplica)

	busy := testGroup(Options{QueueBound: 100}, 1, 1, 0)
	now := start
	enqueueN(busy, now, "", 100, catalogue.Urgent)
	for i := range 50 { // 10 grants per second
		busy.Dispatch(now)
		now = now.Add(100 * time.Millisecond)
		busy.Release(now, fmt.Sprint(i), Outcome{})
		busy.Enqueue(now, testRequest(fmt.Sprint(100+i), "w", catalogue.Urgent))
	}
	refusal := busy.Enqueue(now, testRequest("full", "w", catalogue.Urgent))
	is.Equal(refusal.Reason, ReasonQueueFull)
	is.True(refusal.RetryAfter > 9*time.Second && refusal.RetryAfter < 11*time.Second)
}

// Guards against a baseline that queues requests or ignores the number in flight, and
// against gateways that together use more than a replica under the policy "shares".
func TestPolicies(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{Policy: PolicyBaseline}, 3, 2, 500)
	enqueueN(g, start, "b", 30, catalogue.Background)
	is.Equal(len(g.Dispatch(start)), 30)
	for name := range g.replicas {
		is.Equal(len(g.Running(name)), 10)
	}
	shares := testGroup(Options{Policy: PolicyShares}, 1, 20, 0)
	shares.SetShare(0.25)
	enqueueN(shares, start, "u", 20, catalogue.Urgent)
	is.Equal(len(shares.Dispatch(start)), 5)
}

// Guards against prefix hints that are ignored, or that are followed to a replica whose
// load is far above the mean.
func TestPrefixAffinityIsBounded(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 4, 32, 0)
	for i := range 80 {
		q := testRequest(fmt.Sprint(i), "w", catalogue.Urgent)
		q.PrefixHashes = []uint64{7}
		g.Enqueue(start, q)
	}
	g.Dispatch(start)
	most := 0
	for name := range g.replicas {
		most = max(most, len(g.Running(name)))
	}
	is.True(most > 20 && most <= 26)
}
