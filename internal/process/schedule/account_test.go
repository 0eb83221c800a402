package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// Guards against accounts that don't tell a request that waited for its turn from one that was overtaken.
func TestAccountOfWaits(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{}, 1, 1, 100_000)
	now := start
	accounts := map[string]Account{}
	dispatch := func() (last string) {
		for _, d := range g.Dispatch(now) {
			last = d.Request.ID
			accounts[last] = d.Grant.Account
			if d.Refusal != nil {
				accounts[last] = d.Refusal.Account
			}
		}
		return last
	}
	enqueueN(g, now, "first", 1, catalogue.Urgent)
	running := dispatch()
	enqueueN(g, now, "b", 1, catalogue.Background)
	enqueueN(g, now, "u", 2, catalogue.Urgent)
	late := testRequest("late", "w", catalogue.Urgent)
	late.Deadline = now.Add(25 * time.Millisecond)
	g.Enqueue(now, late)
	for range 4 {
		dispatch()
		now = now.Add(10 * time.Millisecond)
		g.Release(now, running, Outcome{Generated: 200, Completed: true})
		if next := dispatch(); next != "late" {
			running = next
		}
	}
	first := accounts["first0"]
	is.Equal(first.LogFields(), nil)
	for id, want := range map[string]Account{
		"u1":   {Rank: "urgent", Ahead: 1, Lacked: LackSlots},
		"b0":   {Rank: "background", Overtaken: 2, Lacked: LackSlots},
		"late": {Rank: "urgent", Ahead: 2, Lacked: LackSlots},
	} {
		got := accounts[id]
		is.True(got.Expected > 0)
		got.Expected = 0
		is.Equal(got, want) // id
	}
}

// Guards against an account that names something else than what kept a request waiting.
func TestAccountNamesWhatIsLacking(t *testing.T) {
	big := func(g *Group) { enqueueN(g, start, "big", 1, catalogue.Urgent); g.Dispatch(start) }
	urgent := testRequest("q", "x", catalogue.Urgent)
	by := start.Add(300 * time.Millisecond)
	for want, c := range map[Lack]struct {
		o       Options
		batch   int
		prepare func(*Group)
		change  func(*Request)
	}{
		LackSlots:  {Options{}, 1, big, nil},
		LackMemory: {Options{}, 8, big, func(q *Request) { q.PromptTokens = 9900 }},
		LackPrompts: {Options{Policy: PolicyShared}, 8, func(g *Group) {
			g.SetPeerLoads(start, "g2", 1, []ReplicaLoad{{Replica: "r000", Running: 1, Unread: 5000}})
		}, func(q *Request) { q.FirstTokenBy = by }},
		LackSuspect: {Options{}, 8, func(g *Group) {
			q := testRequest("s", "y", catalogue.Urgent)
			q.Suspect = true
			g.Enqueue(start, q)
			g.Dispatch(start)
		}, func(q *Request) { q.Suspect = true }},
		LackServer: {Options{}, 8, nil, func(q *Request) { q.Exclude = []string{"r000"} }},
		LackQueue:  {Options{QueueBound: 1}, 1, func(g *Group) { enqueueN(g, start, "w", 1, catalogue.Urgent) }, nil},
		LackShare:  {Options{UrgentReserve: 0.5}, 4, overShareOfX, nil},
	} {
		t.Run(fmt.Sprint(want), func(t *testing.T) {
			is := is.New(t)
			g := testGroup(c.o, 1, c.batch, 10_000)
			if c.prepare != nil {
				c.prepare(g)
			}
			q := urgent
			if c.change != nil {
				c.change(&q)
			}
			if r := g.Enqueue(start, q); r != nil {
				is.Equal(r.Account.Lacked, want)
				return
			}
			g.Dispatch(start)
			is.Equal(g.Account(start, q.ID).Lacked, want)
		})
	}
}

// overShareOfX lets workspace x use most of the group, while others keep sending.
func overShareOfX(g *Group) {
	for i := range 30 {
		at := start.Add(time.Duration(i-30) * activeCountInterval / 10)
		g.shares.add(at, fmt.Sprint("small", i%3), 1, 10)
		g.shares.add(at, "x", 1, 1000)
	}
	enqueueN(g, start, "r", 2, catalogue.Urgent)
	g.Dispatch(start)
}
