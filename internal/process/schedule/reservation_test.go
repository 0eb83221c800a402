package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// reservationOf grants one request in a group of another gateway and returns the
// reservation for the grant.
func reservationOf(t *testing.T, g *Group, id string, prompt int) Reservation {
	t.Helper()
	q := testRequest(id, "w", catalogue.Background)
	q.PromptTokens = prompt
	g.Enqueue(start, q)
	if d := g.Dispatch(start); len(d) != 1 || d[0].Refusal != nil {
		t.Fatalf("%s: decisions %+v", id, d)
	}
	c, ok := g.Reservation(id)
	if !ok {
		t.Fatalf("%s has no reservation", id)
	}
	c.Gateway = "of " + id
	return c
}

// Guards against a thundering herd: 22 gateways that do not know of each other's grants
// request the same replica at the same time. Such a herd placed 22 generations on an
// engine within 10 ms.
func TestArbiterStopsAHerd(t *testing.T) {
	for _, c := range []struct {
		name       string
		prompt     int
		ignoreLoad bool
		most       int
	}{
		{"memory for 10,000 tokens", 4000, true, 2},
		{"unread prompts", 1500, false, 3},
		{"slots", 1, true, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			arbiter := sharedGroup(1)
			confirmed := 0
			for i := range 22 {
				reservation := reservationOf(t, sharedGroup(1), fmt.Sprint("r", i), c.prompt)
				reservation.Insists = c.ignoreLoad
				if arbiter.Confirm(start, reservation) {
					confirmed++
				}
			}
			is.True(confirmed >= 1)
			is.True(confirmed <= c.most)
		})
	}
}

// Guards against a gateway that keeps requesting a full replica. After a refusal it must
// have the loads that the arbiter knows.
func TestRefusedGatewayLearnsTheLoads(t *testing.T) {
	is := is.New(t)
	arbiter, late := sharedGroup(1), sharedGroup(1)
	for i := range 2 {
		c := reservationOf(t, sharedGroup(1), fmt.Sprint("r", i), 4000)
		c.Insists = true
		is.True(arbiter.Confirm(start, c))
	}
	c := reservationOf(t, late, "late", 4000)
	is.True(!arbiter.Confirm(start, c))
	late.Release(start, "late", Outcome{NotRun: true})
	late.CorrectPeerLoads(start, "r000", arbiter.LoadsByGateway("r000", 0))
	late.Postpone(start, "r000")
	q := testRequest("again", "w", catalogue.Background)
	q.PromptTokens = 4000
	late.Enqueue(start, q)
	is.Equal(len(late.Dispatch(start)), 0) // postponed
	is.Equal(late.NextWake(start), start.Add(postponePeriod))
	is.Equal(len(late.Dispatch(start.Add(postponePeriod))), 0) // known to be full from the corrected loads
	late.CorrectPeerLoads(start, "r000", nil)
	is.Equal(len(late.Dispatch(start.Add(postponePeriod))), 1)
}

// Guards against loads that were sent before a grant and arrive after the arbiter has
// reported the grant: the full replica would look free again, and be requested without end.
func TestOlderLoadsDoNotReplaceACorrection(t *testing.T) {
	is := is.New(t)
	arbiter, late := sharedGroup(1), sharedGroup(1)
	for i := range 2 {
		c := reservationOf(t, sharedGroup(1), fmt.Sprint("r", i), 4000)
		c.Gateway, c.After, c.Insists = "other", 7, true
		is.True(arbiter.Confirm(start, c))
	}
	full := func(now time.Time, id string) bool {
		q := testRequest(id, "w", catalogue.Background)
		q.PromptTokens = 4000
		late.Enqueue(now, q)
		granted := len(late.Dispatch(now)) > 0
		late.Cancel(id)
		late.Release(now, id, Outcome{NotRun: true})
		return !granted
	}
	is.True(!full(start, "a"))
	late.CorrectPeerLoads(start, "r000", arbiter.LoadsByGateway("r000", 0))
	is.True(full(start, "b"))
	late.SetPeerLoads(start, "other", 6, nil) // sent before the grants
	late.SetPeerLoads(start, "other", 7, nil)
	is.True(full(start, "c"))
	late.SetPeerLoads(start, "other", 8, nil) // the grants have ended
	is.True(!full(start, "d"))
	late.CorrectPeerLoads(start, "r000", arbiter.LoadsByGateway("r000", 0)) // older than the loads
	is.True(!full(start, "e"))
	// A gateway that has restarted begins with low numbers.
	late.SetPeerLoads(start, "other", 1, nil)
	late.CorrectPeerLoads(start, "r000", arbiter.LoadsByGateway("r000", 0))
	is.True(full(start, "f"))
	late.SetPeerLoads(start.Add(correctionTTL), "other", 2, nil)
	is.True(!full(start.Add(correctionTTL), "g"))
}

// Guards against confirming reservations on a replica that does not accept work according
// to its arbiter.
func TestLeavingReplicaRefusesReservations(t *testing.T) {
	is := is.New(t)
	arbiter := sharedGroup(1)
	c := reservationOf(t, sharedGroup(1), "r", 100)
	list := testReplicas(1, 8, 10_000)
	list[0].Accepting = false
	arbiter.SetReplicas(start, list)
	is.True(!arbiter.Confirm(start, c))
}

// Guards against reservations that are not counted because the arbiter learns of an engine
// later than the gateways that request its confirmation.
func TestReservationsOnUnknownReplica(t *testing.T) {
	is := is.New(t)
	arbiter := NewGroup(GroupKey{Model: "m"}, Options{Policy: PolicyShared, NoBatchBound: true})
	confirmed := 0
	for i := range 23 { // as many as arrived within 3 ms after an engine was added
		c := reservationOf(t, sharedGroup(1), fmt.Sprint("r", i), 4000)
		c.Insists = true
		if arbiter.Confirm(start, c) {
			confirmed++
		}
	}
	is.Equal(confirmed, 2) // memory for 10,000 tokens
	arbiter.SetReplicas(start, testReplicas(1, 8, 10_000))
	is.Equal(arbiter.replicas["r000"].occupied(), 2)
}

// Guards against reservations that are counted in addition to their gateway's loads, or
// that remain after the gateway has stopped or the engine has restarted.
func TestReservationsEnd(t *testing.T) {
	end := map[string]func(g *Group, c Reservation){
		"loads that include it": func(g *Group, c Reservation) { g.DropReservations(start, c.Gateway, c.After+1) },
		"silence": func(g *Group, _ Reservation) {
			g.Report(start.Add(reservationTTL), "r000", reportAt(0))
		},
		"restart of the engine": func(g *Group, _ Reservation) {
			g.Report(start, "r000", reportAt(1))
			r := reportAt(2)
			r.Incarnation = "next"
			g.Report(start, "r000", r)
		},
	}
	for name, f := range end {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := sharedGroup(1)
			g.Report(start, "r000", reportAt(3))
			c := reservationOf(t, sharedGroup(1), "r", 100)
			c.After = 7
			is.True(g.Confirm(start, c))
			g.DropReservations(start, c.Gateway, 7) // loads sent before the reservation
			g.DropReservations(start, "other", 8)
			r := g.replicas["r000"]
			is.Equal(r.occupied(), 1)
			f(g, c)
			is.Equal(r.occupied(), 0)
			is.Equal(r.unread(), 0)
			is.Equal(r.projection.Used(), 0)
		})
	}
}

// Guards against sums that drift when reservations are confirmed, included in loads,
// corrected and expired in any order.
func TestReservationsLeaveNoResidue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := sharedGroup(2)
		now := start
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			gateway := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "gateway")
			replica := rapid.SampledFrom([]string{"r000", "r001", "unlisted"}).Draw(t, "replica")
			switch rapid.SampledFrom([]string{"reservation", "told", "loads", "correct", "postpone", "time"}).Draw(t, "step") {
			case "reservation":
				c := Reservation{ID: fmt.Sprint(i), Gateway: gateway, After: uint64(i), Insists: true, Load: ReplicaLoad{Replica: replica, Running: 1, Unread: 10}}
				c.Load.Memory.Mean[0] = 100
				g.Confirm(now, c)
			case "told":
				g.DropReservations(now, gateway, uint64(i))
			case "correct":
				g.CorrectPeerLoads(now, replica, []GatewayLoad{{gateway, uint64(rapid.IntRange(0, 3).Draw(t, "number")), ReplicaLoad{Replica: replica, Running: 2, Unread: 20}}})
			case "loads":
				g.SetPeerLoads(now, gateway, uint64(rapid.IntRange(0, 3).Draw(t, "number")), []ReplicaLoad{{Replica: replica, Running: 1}})
			case "postpone":
				g.Postpone(now, replica)
			case "time":
				now = now.Add(time.Second)
				g.Dispatch(now)
			}
		}
		for _, gateway := range []string{"a", "b"} {
			g.SetPeerLoads(now, gateway, NoMoreLoads, nil)
			g.DropReservations(now, gateway, 1_000)
		}
		g.SetReplicas(now.Add(reservationTTL), testReplicas(2, 8, 10_000))
		if len(g.replicas) != 2 {
			t.Fatalf("%d replicas are left, want 2", len(g.replicas))
		}
		for name, r := range g.replicas {
			if r.external != 0 || r.unread() != 0 || r.projection.Used() != 0 || len(r.reservations)+len(r.peers) != 0 {
				t.Fatalf("%s still counts %d external sequences and %d tokens", name, r.external, r.projection.Used())
			}
		}
	})
}

func reportAt(at int64) api.LoadReport {
	return api.LoadReport{ReportedAtMS: at, Incarnation: "first"}
}
