package schedule

import (
	"fmt"
	"testing"
	"time"

	"persimmonwing/internal/version/catalogue"
)

// Guards against a workspace that gets less than its floor beside others with more weight, against background
// work that then gets less than its own, and against a floor that is kept free or saved up while it is not used.
func TestWorkspaceKeepsItsFloor(t *testing.T) {
	const floor, background = 0.3, 0.1
	g := testGroup(Options{BackgroundFloor: background, UrgentReserve: 0.2}, 4, 8, 100_000)
	g.SetWorkspaceFloors(map[string]float64{"small": floor})
	now, next := start, 0
	enqueue := func(workspace string, weight float64, class catalogue.Class) {
		next++
		q := testRequest(fmt.Sprint(next), workspace, class)
		q.Weight = weight
		g.Enqueue(now, q)
	}
	var running []string
	// serve ends one generation each 20 ms for a time, while the large workspace and background work always wait,
	// and returns what each got.
	serve := func(d time.Duration, small bool) (granted map[string]float64) {
		granted = map[string]float64{}
		total := 0.0
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			enqueue("large", 50, catalogue.Urgent)
			enqueue("other", 1, catalogue.Background)
			if small {
				enqueue("small", 1, catalogue.Urgent)
			}
			for _, d := range g.Dispatch(now) {
				running = append(running, d.Request.ID)
				granted[d.Request.Workspace]++
				total++
			}
			if len(running) == 32 {
				g.Release(now, running[0], Outcome{Generated: 200, Completed: true})
				running = running[1:]
			}
		}
		for name := range granted {
			granted[name] /= total
		}
		return granted
	}
	serve(20*time.Second, true)
	if got := serve(20*time.Second, true); got["small"] < floor-0.02 || got["small"] > floor+0.05 || got["other"] < background-0.02 {
		t.Errorf("served %v; the floors are %v and %v for background work", got, floor, background)
	}
	for g.queue.WorkspaceLen("small", catalogue.Urgent) > 0 {
		g.queue.Cancel(g.queue.NextOf("small", catalogue.Urgent).ID)
	}
	if got := serve(30*time.Second, false); got["large"] < 1-background-0.05 || len(running) < 31 {
		t.Errorf("served %v, %d run, while the small workspace has no work", got, len(running))
	}
	if got := serve(10*time.Second, true); got["small"] > floor+floor*usageTimeConstant.Seconds()/10+0.02 {
		t.Errorf("served %v after a pause, the floor is %v", got, floor)
	}
}
