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
	// The reference load before a flood leaves free capacity under every policy.
	referenceUrgent     = 0.4
	referenceBackground = 0.1
	backgroundFlood     = 4.0
	urgentFlood         = 2.0
)

func steady(o fleet.Options) *experiment {
	p := newPlan(o)
	e := newExperiment(p, p.mix(steadyUrgent, steadyBackground))
	e.evaluate = func(t, baseline *trial) {
		t.addBaselineGoals(baseline)
		w := t.window(windowMeasured)
		urgent := w.Class(catalogue.Urgent)
		t.atLeast("tokens/s against the baseline", ratio(w.Total.TokensPerSecond, baseline.window(windowMeasured).Total.TokensPerSecond), 0.97, "")
		t.atMost("urgent token gap p95", urgent.GapMS.P95, 26, " ms")
		t.atMost("urgent first token p95", urgent.FirstTokenMS.P95, 620, " ms")
	}
	return e
}

// addBaselineGoals adds the goals for preemptions and stall time. These goals are
// relative to the baseline, so the baseline itself has none of them.
func (t *trial) addBaselineGoals(baseline *trial) {
	if t == baseline {
		return
	}
	t.atMost("preemptions against the baseline", ratio(t.preemptionsPerThousand(), baseline.preemptionsPerThousand()), 0.1, "")
	stall := func(t *trial) float64 { return t.window(windowMeasured).Total.StallSeconds }
	t.atMost("stall time against the baseline", ratio(stall(t), stall(baseline)), 0.2, "")
}

// floodingWorkspaces are the workspaces that send the floods: the two large ones and
// one small one.
var floodingWorkspaces = []int{0, 1, 2}

func floodBackground(o fleet.Options) *experiment {
	p := newPlan(o)
	w := p.mix(referenceUrgent, referenceBackground)
	p.flood(w, catalogue.Background, backgroundFlood, incidentStart, runDuration, floodingWorkspaces...)
	e := newExperiment(p, w).withIncident(settlingTime)
	e.evaluate = func(t, _ *trial) {
		before, flood := t.window(windowBefore), t.window(windowMeasured)
		t.atMost("urgent first token p95 against before the flood",
			ratio(flood.Class(catalogue.Urgent).FirstTokenMS.P95, before.Class(catalogue.Urgent).FirstTokenMS.P95), 1.2, "")
		t.addFloorGoal(p)
		t.atLeast("decode slots in use", 100*fleet.Utilisation(t.startCounters, t.endCounters), 95, "%")
	}
	return e
}

func (t *trial) addFloorGoal(p *plan) {
	floor := backgroundFloor * p.tokenCapacity(p.fleet.Engines)
	t.atLeast("background tokens/s, its floor", t.window(windowMeasured).Class(catalogue.Background).TokensPerSecond, floor, "/s")
}

// minOnTimeFraction is the fraction of the maximum urgent throughput that the design
// page requires to be on time during a flood of urgent work.
const minOnTimeFraction = 0.9

func floodUrgent(o fleet.Options) *experiment {
	p := newPlan(o)
	w := p.mix(referenceUrgent, 2*referenceBackground)
	p.flood(w, catalogue.Urgent, urgentFlood, incidentStart, runDuration, floodingWorkspaces...)
	e := newExperiment(p, w).withIncident(settlingTime)
	e.evaluate = func(t, _ *trial) {
		// Background work keeps its floor, so urgent work can get at most the remaining
		// capacity.
		maxUrgentTokens := (1 - backgroundFloor) * p.tokenCapacity(p.fleet.Engines)
		t.atLeast("urgent tokens/s on time", t.window(windowMeasured).Class(catalogue.Urgent).OnTimeTokensPerSecond, minOnTimeFraction*maxUrgentTokens, "/s")
		t.addFloorGoal(p)
	}
	return e
}

// Names of the groups of large-workspaces.
const (
	groupSmall = "small"
	groupLarge = "large"
)

// Load of large-workspaces: every workspace begins with a fraction of its equal
// share of the capacity, then two of them send many times their share.
const (
	initialShareFraction = 0.6
	overloadFactor       = 20
	largeWorkspaceCount  = 2
)

func largeWorkspaces(o fleet.Options) *experiment {
	p := newPlan(o)
	w := &loadgen.Workload{CommonPrefixes: sharedPrefixes, CommonPrefixTokens: prefixTokens}
	for i := range workspaces {
		s := p.generationStream(i, catalogue.Urgent, initialShareFraction/workspaces)
		s.Group = groupSmall
		if i < largeWorkspaceCount {
			s.Group = groupLarge
			s.Phases = []loadgen.Phase{{Start: incidentStart, End: runDuration, Factor: overloadFactor / initialShareFraction}}
		}
		w.Streams = append(w.Streams, s)
	}
	e := newExperiment(p, w).withIncident(settlingTime)
	e.evaluate = func(t, _ *trial) {
		before, now := t.window(windowBefore).Group(groupSmall), t.window(windowMeasured).Group(groupSmall)
		t.atMost("small workspaces' first token p95 against before",
			ratio(now.FirstTokenMS.P95, before.FirstTokenMS.P95), 1.25, "")
		t.atLeast("small workspaces on time", 100*now.OnTimeShare, 99, "%")
	}
	return e
}

// Parameters of memory-full: the KV pool of an engine fits about 60% of a full batch
// of these lengths, and the load is 95% of what the pool can sustain.
const (
	smallKVCapacityTokens = 10_000
	longOutputMedian      = 200
	memoryLoadFraction    = 0.95
)

func memoryFull(o fleet.Options) *experiment {
	o.KVCapacityTokens = smallKVCapacityTokens
	p := newPlan(o)
	p.output.Median = longOutputMedian
	fraction := p.memoryBoundFraction() * memoryLoadFraction / 2
	e := newExperiment(p, p.mix(fraction, fraction))
	e.evaluate = func(t, baseline *trial) { t.addBaselineGoals(baseline) }
	return e
}

// memoryBoundFraction returns the fraction of the token capacity that the KV pools
// allow. At a random moment a sequence occupies its prompt and, on average, half of
// the length-weighted mean of the output lengths.
func (p *plan) memoryBoundFraction() float64 {
	heldTokens := p.prompt.Mean() + p.output.WeightedMean()/2
	batch := min(float64(p.fleet.KVCapacityTokens)/heldTokens, float64(p.fleet.MaxBatch))
	tokens := batch / p.fleet.StepTime(int(batch)).Seconds()
	return tokens * float64(p.fleet.Engines) / p.tokenCapacity(p.fleet.Engines)
}

// The number of engines to kill: 3 of 14, and the same fraction in smaller fleets.
// lossRecoveryTime is the time after the loss that is not measured.
const (
	lossPerEngines   = 14
	lossCount        = 3
	lossRecoveryTime = 5 * time.Second
)

func engineLoss(o fleet.Options) *experiment {
	p := newPlan(o)
	lost := max(1, o.Engines*lossCount/lossPerEngines)
	e := newExperiment(p, p.mix(steadyUrgent, steadyBackground)).withIncident(lossRecoveryTime)
	e.events = []event{{incidentStart, func(ctx context.Context, t *trial) {
		for i := range lost {
			t.fleet.KillEngine(ctx, i)
		}
	}}}
	e.evaluate = func(t, _ *trial) {
		t.atMost("engine runs per generation", t.runsPerGeneration(), 1.1, "")
		remainingCapacity := p.tokenCapacity(o.Engines - lost)
		t.atLeast("tokens/s against the remaining capacity", ratio(t.window(windowMeasured).Total.TokensPerSecond, remainingCapacity), 0.95, "")
	}
	return e
}
