package faults

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/process/loadgen/partition"
)

var todayFleet = Fleet{Gateways: 7, Engines: 14, DataCentres: 4, Controllers: 8}

// Guards against a schedule that differs between two calls with the same seed,
// leaves a fault active at the end, or gives a process two faults at once.
func TestSchedule(t *testing.T) {
	fleet := todayFleet
	ends := map[Action]Action{Kill: Start, Stop: Continue, Put: Clear, EditOutage: Clear, Leave: Return, StopHolder: ContinueHolder, Cut: Heal}
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
			is.True(s.At >= last && s.At <= RunDuration+time.Second) // in order, within the run
			last = s.At
			if end := ends[s.Action]; end != "" {
				is.Equal(open[s.Target], Action("")) // one fault at a time
				open[s.Target] = end
			}
			switch s.Action {
			case Term:
				is.Equal(open[s.Target], Action("")) // P6 holds only for shutdowns without another fault
			case Start, Continue, Clear, Return, ContinueHolder, Heal:
				is.Equal(open[s.Target], s.Action)
				delete(open, s.Target)
			}
		}
		is.Equal(len(open), 0) // each fault ends
	})
	for _, f := range []Fleet{{3, 14, 4, 8}, {7, 14, 2, 8}, {7, 14, 4, 7}} {
		_, err := Schedule(1, f)
		is.New(t).True(err != nil)
	}
}

// Guards against a server that leaves while the host list is faulty. Gateways could
// not learn that the server leaves, so the check of P5 would fail although the gateways
// work correctly.
func TestLeavingHasAWorkingPlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps, err := Schedule(rapid.Uint64().Draw(t, "seed"), todayFleet)
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

// Guards against partitions that are missing, that separate a process from itself,
// or that overlap with a fault whose bound does not hold during a partition.
func TestCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		steps, err := Schedule(rapid.Uint64().Draw(t, "seed"), todayFleet)
		is.NoErr(err)
		open, cuts := map[string]bool{}, map[string]bool{}
		crash, leaving, frozen := false, 0, false
		for _, s := range steps {
			switch s.Action {
			case Cut:
				var c partition.Cut
				is.NoErr(json.Unmarshal([]byte(s.Value), &c))
				for _, a := range c.A {
					is.True(!slices.Contains(c.B, a))
				}
				is.True(len(c.A) > 0 && len(c.B) > 0)
				open[s.Target], cuts[s.Target] = true, true
			case Heal:
				delete(open, s.Target)
			case Crash:
				crash = true
			case CrashAgain:
				is.True(!open["crash-drop"] && !open["crash-reset"])
				crash = false
			case Leave:
				leaving++
			case Return:
				leaving--
			case StopHolder:
				frozen = true
			case ContinueHolder:
				frozen = false
			}
			for name := range open {
				kind, _, _ := strings.Cut(name, "-")
				is.True(!crash || kind == cutCrash || kind == cutPlatform)
				is.True(kind != cutPlatform || leaving == 0 && !frozen)
			}
		}
		is.Equal(len(cuts), 8) // three areas twice, the isolated data centre and the partition during the crash
	})
}
