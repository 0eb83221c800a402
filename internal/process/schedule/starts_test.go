package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/version/catalogue"
)

// Guards against a cold engine that gets all that waits because it is empty, against requests that wait for
// it although another engine has room, and against a bound that outlives the cold time.
func TestStartsOnColdEngine(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{Policy: PolicyShared, NoBatchBound: true}, 2, 24, 1_000_000)
	list := testReplicas(2, 24, 1_000_000)
	list[0].MaxStarts = 4
	g.SetReplicas(start, list)
	count := func(now time.Time) (cold, other int) {
		for _, d := range g.Dispatch(now) {
			if d.Grant.Backend == "r000" {
				cold++
			} else if d.Grant.Backend != "" {
				other++
			}
		}
		return cold, other
	}
	enqueueN(g, start, "a", 40, catalogue.Urgent)
	cold, other := count(start)
	is.Equal(cold, 4)
	is.Equal(other, 24)
	is.True(!g.NextWake(start).After(start.Add(slowStartInterval)))
	cold, _ = count(start.Add(startWindow - time.Millisecond))
	is.Equal(cold, 0)
	cold, _ = count(start.Add(startWindow))
	is.Equal(cold, 4)
	g.SetReplicas(start, testReplicas(2, 24, 1_000_000))
	cold, _ = count(start.Add(startWindow))
	is.Equal(cold, 8) // the last of 40
}

// Guards against gateways that each place as many requests on a cold engine as it may get: its arbiter counts
// those that it confirms.
func TestArbiterCountsStarts(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{Owner: "g", Policy: PolicyShared, NoBatchBound: true}, 1, 24, 1_000_000)
	list := testReplicas(1, 24, 1_000_000)
	list[0].MaxStarts = 4
	g.SetReplicas(start, list)
	confirmed := 0
	for i := range 10 {
		c := Reservation{ID: fmt.Sprint(i), Gateway: fmt.Sprint("other", i), MaxBatch: 24, Insists: true, Load: ReplicaLoad{Replica: "r000", Running: 1}}
		if g.Confirm(start, c) {
			confirmed++
		}
	}
	is.Equal(confirmed, 4)
}

// Guards against requests that go to a group because its engines have free slots, although they are cold and get no more now.
func TestSummaryOfColdGroup(t *testing.T) {
	is := is.New(t)
	g := testGroup(Options{Policy: PolicyOwner, NoBatchBound: true}, 1, 24, 1_000_000)
	list := testReplicas(1, 24, 1_000_000)
	list[0].MaxStarts = 2
	g.SetReplicas(start, list)
	enqueueN(g, start, "a", 2, catalogue.Urgent)
	is.Equal(g.Summary(start).FreeSlots, 2)
	is.Equal(len(g.Dispatch(start)), 2)
	s := g.Summary(start.Add(100 * time.Millisecond))
	is.Equal(s.FreeSlots, 0)
	is.Equal(s.ColdWait, 900*time.Millisecond)
	is.True(s.WaitUrgentMS >= 900)
	s = g.Summary(start.Add(startWindow))
	is.True(s.FreeSlots == 2 && s.ColdWait == 0 && s.WaitUrgentMS == 0)
}
