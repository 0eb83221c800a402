package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// crowdedGroup returns the group of a gateway whose 8 engines run 32 generations, and its requests' patience.
func crowdedGroup(t *testing.T) (*Group, time.Duration) {
	g := sharedGroup(8)
	g.SetReplicas(start, testReplicas(8, 4, 100_000))
	enqueueN(g, start, "running", 40, catalogue.Urgent)
	if n := len(grantsAt(g, start)); n != 32 {
		t.Fatalf("%d granted", n)
	}
	for i := range 40 {
		g.Cancel(fmt.Sprint("running", i))
	}
	return g, 1125 * time.Millisecond
}

// burst queues n requests whose callers wait 6 s, and returns those that are refused at once.
func burst(g *Group, now time.Time, prefix string, n int, patience time.Duration) (refused []Decision) {
	for i := range n {
		q := testRequest(fmt.Sprint(prefix, i), fmt.Sprint("w", i%4), catalogue.Urgent)
		q.Fingerprint, q.Deadline, q.LeaveBy = uint64(now.UnixMilli())+uint64(i), now.Add(patience), now.Add(6*time.Second)
		g.Enqueue(now, q)
		now = now.Add(time.Microsecond)
	}
	for _, d := range g.Dispatch(now) {
		if d.Refusal != nil {
			refused = append(refused, d)
		}
	}
	return refused
}

// Guards against requests that wait until their deadline behind others that need all room until then, and
// against a refusal of those in front. Load pattern: a burst of far more than the engines can end in time.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g, patience := crowdedGroup(t)
	refused := burst(g, start.Add(time.Second), "b", 200, patience)
	is.True(len(refused) > 100)
	waits := map[time.Duration]bool{}
	for _, d := range refused {
		is.Equal(d.Refusal.Reason, ReasonNoRoomInTime)
		is.True(d.Refusal.RetryAfter >= minRetry)
		is.True(d.Refusal.RetryAfter <= 2*time.Second) // a third of the time that callers have
		waits[d.Refusal.RetryAfter.Truncate(10*time.Millisecond)] = true
		is.True(d.Request.ID != "b0") // the oldest waits
	}
	is.True(len(waits) > len(refused)/4) // they do not return together, also when room is expected after the latest return
}

// Guards against a refusal while an engine has room, also if only after a pause, and of what may still find room.
func TestNotHopeless(t *testing.T) {
	is := is.New(t)
	g, patience := crowdedGroup(t)
	is.Equal(len(burst(g, start.Add(time.Second), "few", 4, patience)), 0)
	g.SetReplicas(start.Add(time.Second), append(testReplicas(8, 4, 100_000), Replica{Name: "new", MaxBatch: 200, KVCapacityTokens: 1_000_000, Accepting: true}))
	g.replicas["new"].bound, g.replicas["new"].returnedAt = 200, time.Time{}
	g.Postpone(start.Add(2*time.Second), "new")
	is.Equal(len(burst(g, start.Add(2*time.Second), "b", 100, patience)), 0)
}

// Guards against a refusal at once while engines are full of work that nobody knows, whose end can't be foreseen.
func TestMemoryOfUnknownWorkMayBeGivenBack(t *testing.T) {
	is := is.New(t)
	g := sharedGroup(8)
	g.SetReplicas(start, testReplicas(1, 8, 10_000))
	for i := range 2 {
		g.Report(start, "r000", api.LoadReport{ReportedAtMS: int64(i + 1), MaxBatch: 8, KVCapacityTokens: 10_000, KVUsedTokens: 10_000})
	}
	is.Equal(len(burst(g, start.Add(time.Second), "b", 2, time.Second)), 0)
}

// Guards against an outlook that takes each gateway for the only one: all of them keep what only some can place.
func TestPeersWaitInFront(t *testing.T) {
	is := is.New(t)
	g, patience := crowdedGroup(t)
	other, _ := crowdedGroup(t)
	now := start.Add(time.Second)
	for i := range 200 {
		q := testRequest(fmt.Sprint("o", i), "w", catalogue.Urgent)
		q.Deadline = now.Add(patience)
		other.Enqueue(now.Add(-time.Second/2), q)
	}
	is.Equal(len(burst(g, now, "b", 1, patience)), 0)
	g.SetPeerDemand(now, "other", other.Demand(now))
	is.Equal(len(burst(g, now.Add(outlookPeriod), "c", 1, patience)), 2) // b waits no longer either
}
