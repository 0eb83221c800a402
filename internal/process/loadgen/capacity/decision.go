package capacity

import (
	"context"
	"fmt"
	"time"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/version/catalogue"
)

// measureDecision measures the CPU time of Enqueue, Dispatch and Release of a request
// in one group, at several group sizes. Shards have at most 16 replicas by design, so
// the larger sizes show only the slope.
func measureDecision(_ context.Context, r *report) error {
	var points []point
	note := "CPU by getrusage, no system calls; grants for each release:"
	for _, replicas := range []int{18, 150, 600} {
		took, grants := decisionTime(replicas)
		points = append(points, point{float64(replicas), float64(took.Nanoseconds()) / 1e3})
		note += fmt.Sprintf(" %d: %.2f", replicas, grants)
	}
	r.add(line{name: "decision", size: "replicas", unit: "us", points: points, target: targetReplicas, budget: 20, note: note})
	return nil
}

// decisionTime returns the CPU time for each release and the mean number of grants
// that follow it, while the queues of 350 workspaces and all batches stay full.
func decisionTime(replicas int) (each time.Duration, grants float64) {
	const rounds = 20_000
	now := time.Now()
	g := schedule.NewGroup(schedule.GroupKey{DataCentre: "centre", Model: "m"}, schedule.Options{Owner: "g", BackgroundFloor: 0.1, UrgentReserve: 0.2})
	var list []schedule.Replica
	for i := range replicas {
		list = append(list, schedule.Replica{Name: fmt.Sprintf("r%03d", i), MaxBatch: 33, KVCapacityTokens: 60_000, Accepting: true})
	}
	g.SetReplicas(now, list)
	next := 0
	enqueue := func() {
		class := catalogue.Urgent
		if next%2 == 1 {
			class = catalogue.Background
		}
		g.Enqueue(now, schedule.Request{
			ID: fmt.Sprint("id", next), Workspace: fmt.Sprint("w", next%targetWorkspaces), Weight: 1, Entry: "e", Class: class,
			Model: "m", PromptTokens: 20 + next*7%400, MaxOutputTokens: 2000, ExpectedOutputTokens: targetTokensPerRequest,
			Fingerprint: uint64(next+1) * 0x9e3779b97f4a7c15, PrefixHashes: []uint64{uint64(next%64) * 0x9e3779b97f4a7c15},
			Deadline: now.Add(time.Hour),
		})
		next++
	}
	var running []string
	dispatch := func() int {
		decisions := g.Dispatch(now)
		for _, d := range decisions {
			running = append(running, d.Grant.ID)
			enqueue()
		}
		return len(decisions)
	}
	for range 8 * targetWorkspaces {
		enqueue()
	}
	for dispatch() > 0 {
	}
	began, granted := cpuTime(), 0
	for i := range rounds {
		now = now.Add(50 * time.Microsecond)
		g.Release(now, running[i], schedule.Outcome{Generated: targetTokensPerRequest, Completed: true})
		granted += dispatch()
	}
	return (cpuTime() - began) / rounds, float64(granted) / rounds
}
