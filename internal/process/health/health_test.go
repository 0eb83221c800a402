package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/process/membership"
)

var start = time.Unix(1_700_000_000, 0)

func backends(n int) []membership.Backend {
	list := make([]membership.Backend, n)
	for i := range list {
		list[i] = membership.Backend{Name: fmt.Sprintf("app-%d", i), Accepting: true}
	}
	return list
}

// Guards against ejecting all replicas of a service when all of them fail, and against
// leaking counts of requests in flight.
func TestEjectionIsCapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSet(DefaultOptions())
		list := backends(rapid.IntRange(1, 6).Draw(t, "replicas"))
		now := start
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			_, done, ok := s.Pick(now, list, nil, nil)
			if !ok {
				t.Fatal("no replica left")
			}
			done(now, rapid.SampledFrom([]Result{Success, Failure, Failure, Failure, Abandoned}).Draw(t, "result"))
			if s.Ejected(now)*2 > len(list) {
				t.Fatalf("%d of %d replicas ejected", s.Ejected(now), len(list))
			}
		}
		for name, r := range s.replicas {
			if r.inFlight != 0 {
				t.Fatalf("%s still has %d requests in flight after all calls have ended", name, r.inFlight)
			}
		}
	})
}

// Guards against sending a returning replica its full share of requests at once, and
// against selecting replicas that are excluded or not accepting.
func TestPick(t *testing.T) {
	is := is.New(t)
	s := NewSet(DefaultOptions())
	list := backends(2)
	list[1].Accepting = false
	_, _, ok := s.Pick(start, list, []string{"app-0"}, nil)
	is.True(!ok)
	list[1].Accepting = true
	for range DefaultOptions().FailuresToEject {
		_, done, _ := s.Pick(start, list, []string{"app-1"}, nil)
		done(start, Failure)
	}
	is.Equal(s.Ejected(start), 1)
	back := start.Add(6 * time.Second)
	counts := map[string]int{}
	for range 12 {
		b, _, _ := s.Pick(back, list, nil, nil)
		counts[b.Name]++
	}
	is.True(counts["app-0"] < counts["app-1"])
	is.True(counts["app-0"] > 0)
}

// Guards against a replica that gets its whole share at once when it returns, and against one that gets none
// although the others are busy.
func TestReturnInARamp(t *testing.T) {
	s, list := NewSet(DefaultOptions()), backends(2)
	s.Return(start, "app-0")
	picked := func(after time.Duration) (n int) {
		var ends []func(time.Time, Result)
		for range 22 {
			b, done, _ := s.Pick(start.Add(after), list, nil, nil)
			ends = append(ends, done)
			if b.Name == "app-0" {
				n++
			}
		}
		for _, done := range ends {
			done(start.Add(after), Success)
		}
		return n
	}
	is := is.New(t)
	is.Equal(picked(0), 2)             // a tenth of the other one's weight
	is.Equal(picked(5*time.Second), 7) // half of it
	is.Equal(picked(10*time.Second), 11)
}

// Guards against a retry storm: without successes the budget is used up.
func TestBudgetEnds(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 3)
	allowed := 0
	for range 100 {
		if b.Allow("engine-1") {
			allowed++
		}
	}
	is.Equal(allowed, 3)
	for range 11 {
		b.Success("engine-1")
	}
	is.True(b.Allow("engine-1"))
	is.True(!b.Allow("engine-1"))
}
