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
