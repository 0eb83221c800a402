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

// Guards against a moving generation of a large workspace that waits behind its share while its engine
// leaves. Load pattern: a large workspace has used more than its share when an engine leaves.
func TestMovingGenerationIsWithinItsShare(t *testing.T) {
	is := is.New(t)
	g := NewGroup(GroupKey{Model: "m"}, Options{Policy: PolicyShared, Owner: "g", NoBatchBound: true})
	g.SetReplicas(start, testReplicas(1, 200, 20_000))
	for i := range 10 {
		g.Enqueue(start, testRequest(fmt.Sprint("u", i), "large", catalogue.Urgent))
	}
	g.Enqueue(start, testRequest("small", "small", catalogue.Urgent))
	is.Equal(len(grantsAt(g, start)), 11)
	now := start.Add(activeCountInterval)
	g.shares.countActive(now)
	q := movingRequest("moving", "large", 300)
	is.Equal(g.rankOf(now, &Request{Class: catalogue.Urgent, Workspace: "large"}, catalogue.Urgent), rankOverShare)
	is.Equal(g.rankOf(now, &q, queueClass(&q)), rankUrgent)
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
