package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

var start = time.Unix(1_700_000_000, 0)

func testGroup(o Options, replicas, batch, capacity int) *Group {
	g := NewGroup(GroupKey{DataCentre: "hobart", Model: "m"}, o)
	g.SetReplicas(start, testReplicas(replicas, batch, capacity))
	for _, r := range g.replicas {
		r.bound = batch // as if learned
		g.update(r, start)
	}
	return g
}

func testReplicas(n, batch, capacity int) []Replica {
	list := make([]Replica, n)
	for i := range list {
		list[i] = Replica{Name: fmt.Sprintf("r%03d", i), MaxBatch: batch, KVCapacityTokens: capacity, Accepting: true}
	}
	return list
}

func testRequest(id, workspace string, class catalogue.Class) Request {
	return Request{ID: id, Workspace: workspace, Weight: 1, Entry: "e", Class: class, Model: "m",
		PromptTokens: 100, MaxOutputTokens: 2000, ExpectedOutputTokens: 200,
		Deadline: start.Add(time.Hour)}
}

// Guards against new work for a replica that drains by its own report and
// against work that stays queued after it stops draining.
func TestNoGrantToDrainingReplica(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 8, 100_000)
	g.Report(start, "r000", api.LoadReport{ReportedAtMS: 1, Draining: true})
	is.Equal(g.Enqueue(start, testRequest("a", "w", catalogue.Urgent)), nil)
	is.Equal(len(g.Dispatch(start)), 0)
	g.Report(start, "r000", api.LoadReport{ReportedAtMS: 2})
	is.Equal(len(g.Dispatch(start)), 1)
}

// Guards against urgent work that waits behind queued background work.
func TestUrgentOvertakesBackground(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 1, 100_000)
	for i := range 3 {
		g.Enqueue(start, testRequest(fmt.Sprint("b", i), "w", catalogue.Background))
	}
	g.Enqueue(start, testRequest("u", "w", catalogue.Urgent))
	is.Equal(g.Dispatch(start)[0].Request.ID, "u")
}

// serve runs a group at full batches for a number of grants with both classes
// always waiting and returns the grants of each class.
func serve(g *Group, grants int) map[catalogue.Class]int {
	served := map[catalogue.Class]int{}
	var running []string
	now, next := start, 0
	refill := func() {
		for g.queue.Len(catalogue.Urgent) < 50 || g.queue.Len(catalogue.Background) < 50 {
			class := [...]catalogue.Class{catalogue.Urgent, catalogue.Background}[next%2]
			g.Enqueue(now, testRequest(fmt.Sprint(next), fmt.Sprint("w", next%6), class))
			next++
		}
	}
	for n := 0; n < grants; {
		refill()
		for _, d := range g.Dispatch(now) {
			served[d.Request.Class]++
			running = append(running, d.Grant.ID)
			n++
		}
		now = now.Add(20 * time.Millisecond)
		g.Release(now, running[0], Outcome{Generated: 200, Completed: true})
		running = running[1:]
	}
	return served
}

// Guards against background work that starves, or that takes more than its
// floor, while urgent work floods in.
func TestBackgroundKeepsItsFloor(t *testing.T) {
	for _, floor := range []float64{0, 0.1, 0.3} {
		o := Options{BackgroundFloor: floor, UrgentReserve: 0.2}
		served := serve(testGroup(o, 4, 8, 100_000), 2000)
		got := float64(served[catalogue.Background]) / 2000
		if got < floor-0.01 || got > floor+0.03 {
			t.Errorf("background got %.3f of the grants, floor %.2f", got, floor)
		}
	}
}

// Guards against background credit for a time without background work, which
// would shut urgent work out for seconds.
func TestFloorGathersNoCredit(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{BackgroundFloor: 0.2}, 1, 100, 1_000_000)
	now := start
	for i := range 50 {
		now = now.Add(100 * time.Millisecond)
		g.Enqueue(now, testRequest(fmt.Sprint("u", i), "w", catalogue.Urgent))
		is.Equal(len(g.Dispatch(now)), 1)
		g.Release(now, fmt.Sprint("u", i), Outcome{Generated: 200, Completed: true})
	}
	g.SetReplicas(now, []Replica{{Name: "r000", MaxBatch: 10, Accepting: true}})
	for i := range 20 {
		g.Enqueue(now, testRequest(fmt.Sprint("v", i), "w", catalogue.Urgent))
		g.Enqueue(now, testRequest(fmt.Sprint("b", i), "w", catalogue.Background))
	}
	background := 0
	for _, d := range g.Dispatch(now) {
		if d.Request.Class == catalogue.Background {
			background++
		}
	}
	is.Equal(background, 2)
}

// Guards against background work that fills the slots kept for urgent work.
func TestBackgroundLeavesReserve(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{UrgentReserve: 0.25}, 2, 8, 100_000)
	for i := range 40 {
		g.Enqueue(start, testRequest(fmt.Sprint("b", i), "w", catalogue.Background))
	}
	is.Equal(len(g.Dispatch(start)), 12)
	for i := range 8 {
		g.Enqueue(start, testRequest(fmt.Sprint("u", i), "w", catalogue.Urgent))
	}
	is.Equal(len(g.Dispatch(start)), 4)
}

// Guards against a batch bound that moves on a repeated report, moves the
// wrong way or leaves its limits.
func TestBatchBoundFollowsStepTime(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{}, Options{})
	g.SetReplicas(start, testReplicas(1, 20, 0))
	r := g.replicas["r000"]
	at := int64(0)
	report := func(step float64, running int) {
		at++
		g.Report(start, "r000", api.LoadReport{ReportedAtMS: at, StepMS: step, Running: running})
	}
	is.Equal(r.bound, 16) // the start is below the engine's limit
	report(20, 16)
	is.Equal(r.bound, 17)
	report(15, 17)
	is.Equal(r.bound, 19) // far below the target
	report(20, 19)
	is.Equal(r.bound, 20)
	report(27, 20)
	is.Equal(r.bound, 19)
	g.Report(start, "r000", api.LoadReport{ReportedAtMS: at, StepMS: 27, Running: 19})
	is.Equal(r.bound, 19) // the same report again
	report(25, 19)
	is.Equal(r.bound, 19) // within 90% to 100% of the target
	report(20, 5)
	is.Equal(r.bound, 19) // the bound was not in use
	report(20, 19)
	report(20, 20)
	is.Equal(r.bound, 20) // never above the engine's limit
	for range 100 {
		report(80, 20)
	}
	is.Equal(r.bound, 1)
}

// Guards against full load on a replica that has just returned.
func TestReturningReplicaStartsSlowly(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 2, 20, 0)
	is.Equal(g.slots(g.replicas["r000"], start), 20) // a new group starts at full
	list := testReplicas(2, 20, 0)
	list[0].Accepting = false
	g.SetReplicas(start, list)
	list[0].Accepting = true
	g.SetReplicas(start, list)
	r := g.replicas["r000"]
	is.Equal(g.slots(r, start), 5)
	is.Equal(g.slots(r, start.Add(5*time.Second)), 12)
	is.Equal(g.slots(r, start.Add(10*time.Second)), 20)
}

// Guards against a request that does not fit and is overtaken for ever.
func TestLargeRequestIsNotStarved(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 64, 10_000)
	now := start
	var running []string
	granted := false
	large := testRequest("large", "large", catalogue.Urgent)
	large.PromptTokens = 7000
	for i := 0; i < 500 && !granted; i++ {
		g.Enqueue(now, testRequest(fmt.Sprint("s", i), "small", catalogue.Urgent))
		if i == 20 {
			g.Enqueue(now, large)
		}
		for _, d := range g.Dispatch(now) {
			running = append(running, d.Grant.ID)
			granted = granted || d.Grant.ID == "large"
		}
		now = now.Add(20 * time.Millisecond)
		if len(running) > 0 && i%2 == 1 {
			g.Release(now, running[0], Outcome{Generated: 200, Completed: true})
			running = running[1:]
		}
	}
	is.True(granted)
}

// Guards against memory that is projected to overflow, and against background
// work that takes the room for which an urgent request waits.
func TestMemoryAdmission(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 64, 6000)
	for i := range 64 {
		g.Enqueue(start, testRequest(fmt.Sprint("u", i), "w", catalogue.Urgent))
	}
	granted := len(g.Dispatch(start))
	r := g.replicas["r000"]
	is.True(granted > 5 && granted < 60)
	is.True(r.all.Peak() <= 6000)

	g = testGroup(Options{}, 1, 64, 10_000)
	large := testRequest("large", "w", catalogue.Urgent)
	large.PromptTokens = 6000
	g.Enqueue(start, large)
	is.Equal(len(g.Dispatch(start)), 1)
	large.ID = "second"
	g.Enqueue(start, large)
	small := testRequest("small", "w", catalogue.Background)
	small.MaxOutputTokens = 10
	g.Enqueue(start, small)
	is.Equal(len(g.Dispatch(start)), 0)
	is.True(g.Cancel("second"))
	is.Equal(len(g.Dispatch(start)), 1)
}

// Guards against a workspace that gains service because its generations are
// longer than its entry's estimate.
func TestFairnessCountsRealTokens(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 4, 0)
	length := map[string]int{"long": 1000, "short": 100}
	tokens := map[string]int{}
	var running []Request
	now := start
	for i := range 2000 {
		for w := range length {
			g.Enqueue(now, testRequest(fmt.Sprint(w, i), w, catalogue.Urgent))
		}
		for _, d := range g.Dispatch(now) {
			running = append(running, d.Request)
		}
		q := running[0]
		running = running[1:]
		g.Progress(now, q.ID, length[q.Workspace]/2)
		g.Release(now, q.ID, Outcome{Generated: length[q.Workspace], Completed: true})
		tokens[q.Workspace] += q.PromptTokens + length[q.Workspace]
	}
	ratio := float64(tokens["long"]) / float64(tokens["short"])
	is.True(ratio > 0.9 && ratio < 1.1)
}

// Guards against grants that outlive their gateway or leave a residue after an
// owner change.
func TestAdoptExpireRelease(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{}, Options{})
	held := Held{Request: testRequest("a", "w", catalogue.Background), Grant: Grant{ID: "a", Backend: "r000"}, Generated: 40}
	g.Adopt(start, held) // before the replicas are known
	g.SetReplicas(start, testReplicas(1, 4, 10_000))
	is.Equal(g.replicas["r000"].all.Used(), 140)
	is.Equal(g.Summary(start).FreeSlots, 3)
	held.Grant.ID = "b"
	g.Adopt(start, held)
	held.Generated = 60
	g.Adopt(start.Add(2*time.Second), held)
	is.Equal(g.replicas["r000"].all.Used(), 300)
	is.Equal(g.Expire(start.Add(3*time.Second), 3*time.Second), []string{"a"})
	g.Release(start, "a", Outcome{}) // late and unknown
	g.Release(start, "b", Outcome{Generated: 80})
	is.Equal(g.replicas["r000"].all.Peak(), 0.0)
	is.Equal(g.Summary(start).FreeSlots, 4)
}

// Guards against requests that wait for ever for a replica that does not come
// and against a retry time that does not follow the drain rate.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{}, Options{QueueBound: 2})
	g.Enqueue(start, testRequest("a", "w", catalogue.Urgent))
	is.Equal(len(g.Dispatch(start)), 0)
	later := start.Add(noReplicaPatience)
	is.Equal(g.NextWake(start.Add(1500*time.Millisecond)), later)
	is.Equal(g.Dispatch(later)[0].Refusal.Reason, ReasonNoReplica)

	busy := testGroup(Options{QueueBound: 100}, 1, 1, 0)
	now := start
	for i := range 100 {
		busy.Enqueue(now, testRequest(fmt.Sprint(i), "w", catalogue.Urgent))
	}
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

// Guards against a baseline that queues or ignores the number in flight.
func TestBaselineGrantsAtOnce(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{Policy: PolicyBaseline}, 3, 2, 500)
	perReplica := map[string]int{}
	for i := range 30 {
		g.Enqueue(start, testRequest(fmt.Sprint(i), "w", catalogue.Background))
		perReplica[g.Dispatch(start)[0].Grant.Backend]++
	}
	is.Equal(perReplica, map[string]int{"r000": 10, "r001": 10, "r002": 10})
}

// Guards against gateways that together use more than a replica under the
// policy of shares.
func TestShares(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{Policy: PolicyShares}, 1, 20, 0)
	g.SetShare(0.25)
	for i := range 20 {
		g.Enqueue(start, testRequest(fmt.Sprint(i), "w", catalogue.Urgent))
	}
	is.Equal(len(g.Dispatch(start)), 5)
}

// Guards against prefix hints that are ignored, or followed to a replica far
// above the mean load.
func TestPrefixAffinityIsBounded(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 4, 32, 0)
	perReplica := map[string]int{}
	for i := range 80 {
		q := testRequest(fmt.Sprint(i), "w", catalogue.Urgent)
		q.PrefixHashes = []uint64{7}
		g.Enqueue(start, q)
		perReplica[g.Dispatch(start)[0].Grant.Backend]++
	}
	most := 0
	for _, n := range perReplica {
		most = max(most, n)
	}
	is.True(most > 20 && most <= 26)
}
