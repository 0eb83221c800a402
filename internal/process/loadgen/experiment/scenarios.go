package experiment

import (
	"context"
	"time"

	"persimmonwing/internal/process/fleet"
	"persimmonwing/internal/process/loadgen"
	"persimmonwing/internal/version/catalogue"
)

// Fractions of the fleet's token capacity.
const (
	steadyUrgent     = 0.45
	steadyBackground = 0.45
	// The reference load before a flood leaves room in every policy.
	calmUrgent      = 0.4
	calmBackground  = 0.1
	backgroundFlood = 4.0
	urgentFlood     = 2.0
)

func steady(o fleet.Options) *experiment {
	p := newPlan(o)
	e := newExperiment(p, p.mix(steadyUrgent, steadyBackground))
	e.judge = func(t, baseline *trial) {
		t.comparedWith(baseline)
		w := t.window(windowMeasured)
		urgent := w.Class(catalogue.Urgent)
		t.atLeast("tokens/s against the baseline", divide(w.Total.TokensPerSecond, baseline.window(windowMeasured).Total.TokensPerSecond), 0.97, "")
		t.atMost("urgent token gap p95", urgent.GapMS.P95, 26, " ms")
		t.atMost("urgent first token p95", urgent.FirstTokenMS.P95, 620, " ms")
	}
	return e
}

// comparedWith adds the goals on preemptions and stall time. They are stated
// for the comparison only, so the baseline itself has none.
func (t *trial) comparedWith(baseline *trial) {
	if t == baseline {
		return
	}
	t.atMost("preemptions against the baseline", divide(t.preemptionsPerThousand(), baseline.preemptionsPerThousand()), 0.1, "")
	stall := func(t *trial) float64 { return t.window(windowMeasured).Total.StallSeconds }
	t.atMost("stall time against the baseline", divide(stall(t), stall(baseline)), 0.2, "")
}

// floodedWorkspaces send the floods: the two large ones and one small one.
var floodedWorkspaces = []int{0, 1, 2}

func floodBackground(o fleet.Options) *experiment {
	p := newPlan(o)
	w := p.mix(calmUrgent, calmBackground)
	p.flood(w, catalogue.Background, backgroundFlood, incident, runLength, floodedWorkspaces...)
	e := newExperiment(p, w).withIncident(settling)
	e.judge = func(t, _ *trial) {
		before, flood := t.window(windowBefore), t.window(windowMeasured)
		t.atMost("urgent first token p95 against before the flood",
			divide(flood.Class(catalogue.Urgent).FirstTokenMS.P95, before.Class(catalogue.Urgent).FirstTokenMS.P95), 1.2, "")
		t.backgroundKeepsFloor(p)
		t.atLeast("decode slots in use", 100*fleet.Utilisation(t.from, t.to), 95, "%")
	}
	return e
}

func (t *trial) backgroundKeepsFloor(p *plan) {
	floor := backgroundFloor * p.capacity(p.fleet.Engines)
	t.atLeast("background tokens/s, its floor", t.window(windowMeasured).Class(catalogue.Background).TokensPerSecond, floor, "/s")
}

// onTimePart is the part of the best possible urgent work on time that the
// design page demands under a flood of it.
const onTimePart = 0.9

func floodUrgent(o fleet.Options) *experiment {
	p := newPlan(o)
	w := p.mix(calmUrgent, 2*calmBackground)
	p.flood(w, catalogue.Urgent, urgentFlood, incident, runLength, floodedWorkspaces...)
	e := newExperiment(p, w).withIncident(settling)
	e.judge = func(t, _ *trial) {
		// Background work keeps its floor, so that the rest is the most that
		// urgent work can get.
		most := (1 - backgroundFloor) * p.capacity(p.fleet.Engines)
		t.atLeast("urgent tokens/s on time", t.window(windowMeasured).Class(catalogue.Urgent).OnTimePerSecond, onTimePart*most, "/s")
		t.backgroundKeepsFloor(p)
	}
	return e
}

// Names of the groups of large-workspaces.
const (
	groupSmall = "small"
	groupLarge = "large"
)

// Load of large-workspaces: every workspace begins with a part of its equal
// share of the capacity, then two of them ask for many times their share.
const (
	partOfShare     = 0.6
	timesTheirShare = 20
	largeCount      = 2
)

func largeWorkspaces(o fleet.Options) *experiment {
	p := newPlan(o)
	w := &loadgen.Workload{CommonPrefixes: sharedPrefixes, CommonPrefixTokens: prefixTokens}
	for i := range workspaces {
		s := p.generations(i, catalogue.Urgent, partOfShare/workspaces)
		s.Group = groupSmall
		if i < largeCount {
			s.Group = groupLarge
			s.Phases = []loadgen.Phase{{Start: incident, End: runLength, Factor: timesTheirShare / partOfShare}}
		}
		w.Streams = append(w.Streams, s)
	}
	e := newExperiment(p, w).withIncident(settling)
	e.judge = func(t, _ *trial) {
		before, now := t.window(windowBefore).Group(groupSmall), t.window(windowMeasured).Group(groupSmall)
		t.atMost("small workspaces' first token p95 against before",
			divide(now.FirstTokenMS.P95, before.FirstTokenMS.P95), 1.25, "")
		t.atLeast("small workspaces on time", 100*now.OnTimeShare, 99, "%")
	}
	return e
}

// Shape of memory-full: the pool holds about 60% of a full batch of these
// lengths, and the load asks for 95% of what the pool holds.
const (
	scarceKVTokens = 10_000
	longMedian     = 200
	memoryLoad     = 0.95
)

func memoryFull(o fleet.Options) *experiment {
	o.KVCapacityTokens = scarceKVTokens
	p := newPlan(o)
	p.output.Median = longMedian
	fraction := p.memoryBound() * memoryLoad / 2
	e := newExperiment(p, p.mix(fraction, fraction))
	e.judge = func(t, baseline *trial) { t.comparedWith(baseline) }
	return e
}

// memoryBound is the fraction of the token capacity that the KV pools allow.
// At a random moment a sequence holds its prompt and half of a length that is
// weighted by its size.
func (p *plan) memoryBound() float64 {
	held := p.prompt.Mean() + p.output.WeightedMean()/2
	batch := min(float64(p.fleet.KVCapacityTokens)/held, float64(p.fleet.MaxBatch))
	tokens := batch / p.fleet.StepTime(int(batch)).Seconds()
	return tokens * float64(p.fleet.Engines) / p.capacity(p.fleet.Engines)
}

// Engine losses: 3 of 14, and the same part of smaller fleets.
const (
	lossOf       = 14
	lossCount    = 3
	lossRecovery = 5 * time.Second
)

func engineLoss(o fleet.Options) *experiment {
	p := newPlan(o)
	lost := max(1, o.Engines*lossCount/lossOf)
	e := newExperiment(p, p.mix(steadyUrgent, steadyBackground)).withIncident(lossRecovery)
	e.events = []event{{incident, func(ctx context.Context, t *trial) {
		for i := range lost {
			t.fleet.KillEngine(ctx, i)
		}
	}}}
	e.judge = func(t, _ *trial) {
		t.atMost("engine runs per generation", t.runsPerGeneration(), 1.1, "")
		left := p.capacity(o.Engines - lost)
		t.atLeast("tokens/s against the remaining capacity", divide(t.window(windowMeasured).Total.TokensPerSecond, left), 0.95, "")
	}
	return e
}
