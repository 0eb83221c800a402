package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// refusedElsewhere refuses a caller at another gateway and passes its place on to g. It returns the request with which
// the caller comes back, and the time of its return.
func refusedElsewhere(t *testing.T, g *Group, now time.Time) (Request, time.Time) {
	other, patience := crowdedGroup(t)
	refused := burst(other, now, "b", 200, patience)
	d := refused[0]
	for i := range other.returns {
		if i != d.Request.Fingerprint {
			delete(other.returns, i)
		}
	}
	g.SetPeerDemand(now.Add(100*time.Millisecond), "other", Demand{Places: other.Demand(now).Later(100 * time.Millisecond).Places})
	back := d.Request
	back.ID, back.Deadline = "back", now.Add(time.Hour)
	return back, now.Add(d.Refusal.RetryAfter)
}

// Guards against callers who come back as told, at another gateway, and lose to those who come for the first time.
// Load pattern: a burst that lasts for longer than a caller's first wait.
func TestReturningCallerGoesFirst(t *testing.T) {
	is := is.New(t)
	g, _ := crowdedGroup(t)
	back, at := refusedElsewhere(t, g, start.Add(time.Second))
	enqueueN(g, at, "first", 8, catalogue.Urgent)
	is.Equal(len(grantsAt(g, at)), 0)
	g.Release(at, g.replicas["r000"].running[0].request.ID, Outcome{Completed: true})
	is.Equal(len(grantsAt(g, at)), 0) // the room is kept
	g.Enqueue(at, back)
	granted := grantsAt(g, at)
	is.Equal(len(granted), 1)
	is.Equal(granted[0], "back")
}

// Guards against places that stay empty because their callers do not come back.
func TestPlaceIsLost(t *testing.T) {
	is := is.New(t)
	g, _ := crowdedGroup(t)
	_, at := refusedElsewhere(t, g, start.Add(time.Second))
	enqueueN(g, at, "first", 8, catalogue.Urgent)
	g.Release(at, g.replicas["r000"].running[0].request.ID, Outcome{Completed: true})
	is.Equal(len(grantsAt(g, at)), 0)
	is.Equal(len(grantsAt(g, at.Add(returnPatience+time.Millisecond))), 1)
}

// Guards against a client that gains by repeating at once and often: it gets no further place, no earlier one, and none of
// its early requests goes first.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	is := is.New(t)
	g, patience := crowdedGroup(t)
	now := start.Add(time.Second)
	refused := burst(g, now, "b", 200, patience)
	is.True(g.returns.own() <= maxPlaces)
	d := refused[0]
	due := now.Add(d.Refusal.RetryAfter)
	for i := range 5 {
		now = now.Add(outlookPeriod)
		q := d.Request
		q.ID = fmt.Sprint("again", i)
		first, returning := g.returns.claim(now, &q)
		is.True(!returning && first.IsZero())
		again := g.RefuseExpired(now, q)
		is.True(now.Add(again.RetryAfter).Sub(due).Abs() <= minRetry+10*time.Millisecond)
	}
	q := d.Request
	q.ID = "back"
	_, returning := g.returns.claim(due, &q)
	is.True(returning)
	q.ID = "beside"
	_, returning = g.returns.claim(due, &q)
	is.True(!returning)
}

// Guards against generations that find no destination while new ones take what is given back. Load pattern:
// engines leave during a burst.
func TestMovingGenerationGoesFirst(t *testing.T) {
	is := is.New(t)
	g, _ := crowdedGroup(t)
	now := start.Add(time.Second)
	g.SetPeerDemand(now, "other", Demand{Waiting: []Waiting{{Class: catalogue.Background, Tokens: 300, Kept: true}}})
	enqueueN(g, now, "first", 1, catalogue.Background)
	g.Release(now, g.replicas["r000"].running[0].request.ID, Outcome{Completed: true})
	is.Equal(len(grantsAt(g, now)), 0)
	g.SetPeerDemand(now, "other", Demand{})
	is.Equal(len(grantsAt(g, now)), 1)
}
