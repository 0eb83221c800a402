package faults

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a schedule that a seed does not repeat, that leaves a process
// broken at the end, or that gives a process two faults at once.
func TestSchedule(t *testing.T) {
	fleet := Fleet{Gateways: 7, Engines: 14}
	ends := map[Action]Action{Kill: Start, Stop: Continue, Put: Clear, EditOutage: Clear, Leave: Return, StopHolder: ContinueHolder}
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		seed := rapid.Uint64().Draw(t, "seed")
		steps, err := Schedule(seed, fleet)
		is.NoErr(err)
		again, err := Schedule(seed, fleet)
		is.NoErr(err)
		var one, two bytes.Buffer
		is.NoErr(WriteSteps(&one, steps))
		is.NoErr(WriteSteps(&two, again))
		is.Equal(one.String(), two.String()) // the same seed gives the same schedule
		open := map[string]Action{}
		last := time.Duration(0)
		for _, s := range steps {
			is.True(s.At >= last && s.At <= Length+time.Second) // in order, within the run
			last = s.At
			if end := ends[s.Action]; end != "" {
				is.Equal(open[s.Target], Action("")) // one fault at a time
				open[s.Target] = end
			}
			switch s.Action {
			case Term:
				is.Equal(open[s.Target], Action("")) // P6 holds for undisturbed shutdowns
			case Start, Continue, Clear, Return, ContinueHolder:
				is.Equal(open[s.Target], s.Action)
				delete(open, s.Target)
			}
		}
		is.Equal(len(open), 0) // each fault ends
	})
	_, err := Schedule(1, Fleet{Gateways: 3, Engines: 14})
	is.New(t).True(err != nil)
}

// Guards against leaving servers that nobody can learn of, which would make the
// check of P5 fail without a fault.
func TestLeavingHasAWorkingPlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps, err := Schedule(rapid.Uint64().Draw(t, "seed"), Fleet{Gateways: 7, Engines: 14})
		if err != nil {
			t.Fatal(err)
		}
		faulty, leaving := false, 0
		for _, s := range steps {
			switch {
			case s.Target == "platform":
				faulty = s.Action != Clear
			case s.Action == Leave:
				leaving++
			case s.Action == Return:
				leaving--
			}
			if faulty && leaving > 0 {
				t.Fatalf("%v: the platform has a fault while a server leaves", s.At)
			}
		}
	})
}
