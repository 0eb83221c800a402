package schedule

import (
	"flag"
	"fmt"
	"time"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// A fixed seed makes the runs reproducible; -rapid.seed selects another one.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_700_000_000, 0)

// testGroup returns a group whose batch bounds equal the engines' limits.
func testGroup(o Options, replicas, batch, capacity int) *Group {
	g := NewGroup(GroupKey{DataCentre: "hobart", Model: "m"}, o)
	g.SetReplicas(start, testReplicas(replicas, batch, capacity))
	for _, r := range g.replicas {
		r.bound = batch
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
		PromptTokens: 100, MaxOutputTokens: 2000, ExpectedOutputTokens: 200, Deadline: start.Add(time.Hour)}
}

// enqueueN enqueues n requests of workspace "w" and one class.
func enqueueN(g *Group, now time.Time, prefix string, n int, class catalogue.Class) {
	for i := range n {
		g.Enqueue(now, testRequest(fmt.Sprint(prefix, i), "w", class))
	}
}

func report(g *Group, at int64, step float64, running int) {
	g.Report(start, "r000", api.LoadReport{ReportedAtMS: at, StepMS: step, Running: running})
}
