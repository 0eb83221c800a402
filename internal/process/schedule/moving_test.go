package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// movingRequest returns a request for a generation that leaves its replica.
func movingRequest(id, workspace string, generated int) Request {
	q := testRequest(id, workspace, catalogue.Background)
	q.PromptTokens, q.MaxOutputTokens = 3000, 700
	q.Moving, q.Generated, q.Spread = true, generated, true
	return q
}

// grantsAt dispatches and returns the ids of the requests that were granted.
func grantsAt(g *Group, now time.Time) []string {
	var ids []string
	for _, d := range g.Dispatch(now) {
		if d.Refusal == nil {
			ids = append(ids, d.Request.ID)
		}
	}
	return ids
}

// Guards against losing the running generations of a large workspace at a notice: they waited behind the
// new requests of their workspace, and the memory that is kept free for them was closed to workspaces
// over their share, and to all on engines without background work. Load pattern: engines full of urgent work while one of them leaves.
func TestMovingGenerationsUseTheReserve(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{Model: "m"}, Options{Policy: PolicyShared, Owner: "g", MoveReserve: 0.2, NoBatchBound: true})
	g.SetReplicas(start, testReplicas(1, 200, 20_000))
	now := start
	for i := range 100 {
		g.Enqueue(now, testRequest(fmt.Sprint("u", i), "large", catalogue.Urgent))
	}
	g.Enqueue(now, testRequest("small", "small", catalogue.Urgent))
	is.True(len(grantsAt(g, now)) > 1)
	now = now.Add(activeCountInterval)
	g.shares.countActive(now)
	is.True(g.overShare(now, &Request{Class: catalogue.Urgent, Workspace: "large"}))
	is.Equal(len(grantsAt(g, now)), 0) // what waits finds no room
	g.Enqueue(now, movingRequest("moving", "large", 300))
	is.Equal(grantsAt(g, now), []string{"moving"})
}

// Guards against counting twice what a generation has produced before it moved, which makes engines
// look fuller with each move, and against charging it to the workspace again.
func TestMovingGenerationCountsOnce(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{Model: "m"}, Options{Policy: PolicyShared, Owner: "g", NoBatchBound: true})
	g.SetReplicas(start, testReplicas(1, 64, 50_000))
	g.Enqueue(start, movingRequest("moving", "w", 400))
	is.Equal(grantsAt(g, start), []string{"moving"})
	r := g.replicas["r000"]
	is.Equal(r.projection.Used(), 3400)
	g.Progress(start, "moving", 408)
	is.Equal(r.projection.Used(), 3408)
	is.Equal(g.shares.usage["w"], nil)
	urgent, background := g.admitted.tokens(start)
	is.Equal(urgent+background, 0.0)
}
