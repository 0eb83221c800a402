package experiment

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/loadgen"
	"persimmonwing/internal/version/catalogue"
)

// Guards against an invalid experiment that would fail only when it is run: its
// workload, its catalogue, and the entries and keys that both must agree on.
func TestExperimentsAreValid(t *testing.T) {
	for _, o := range []fleet.Options{fleet.Small(), fleet.Today()} {
		for _, d := range Definitions() {
			is := is.New(t)
			e := d.build(o)
			is.NoErr(e.workload.Validate())
			body, err := e.plan.catalogue()
			is.NoErr(err)
			c, err := catalogue.Parse(d.Name, body)
			is.NoErr(err)
			s := catalogue.NewSnapshot(1, "", c)
			for _, stream := range e.workload.Streams {
				is.Equal(s.Authenticate(stream.Key).Name, stream.Workspace)
				entry := s.Entry(stream.Entry)
				is.Equal(entry.Kind, stream.Kind)
				is.Equal(entry.Class, stream.Class)
			}
			measuredWindow := e.measuredWindow()
			is.True(measuredWindow.From >= warmUp)
			is.True(measuredWindow.To <= e.duration)
			for _, event := range e.events {
				is.True(event.at < e.duration)
			}
		}
	}
}

// Guards against a load that is not the stated fraction of the capacity. Every goal
// of the steady experiment depends on it.
func TestSteadyLoadIsNinetyPercent(t *testing.T) {
	is := is.New(t)
	e := steady(fleet.Today())
	tokenRate := 0.0
	for _, s := range e.workload.Streams {
		if s.Kind == catalogue.Generation {
			tokenRate += s.Rate * s.Output.Mean()
		}
	}
	is.True(math.Abs(tokenRate/e.plan.tokenCapacity(e.plan.fleet.Engines)-0.9) < 1e-9)
}

// Guards against a missed goal that is reported as met.
func TestGoals(t *testing.T) {
	is := is.New(t)
	trial := &trial{}
	trial.atMost("a", 26.1, 26, " ms")
	trial.atMost("b", 26, 26, " ms")
	trial.atLeast("c", 94.9, 95, "%")
	trial.atLeast("d", 95, 95, "%")
	var met []bool
	for _, g := range trial.goals {
		met = append(met, g.Met)
	}
	is.Equal(met, []bool{false, true, false, true})
	is.Equal(trial.goals[0].Want, "at most 26 ms")
	trial.violations = map[loadgen.Violation]int{loadgen.Lost: 2, loadgen.MixedGenerations: 1}
	is.Equal(trial.violationCount(), 3)
}
