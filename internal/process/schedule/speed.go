package schedule

import (
	"slices"
	"time"

	"persimmonwing/internal/request/api"
)

const (
	// slowerStepWeight and fasterStepWeight are the weights of a reported step time in the moving average, if it
	// is longer or shorter than the average. A slowdown is noticed within two or three reports and a recovery is trusted
	// after several, because generations run for many reports. One bad report does not make an engine slow.
	slowerStepWeight, fasterStepWeight = 0.25, 0.15
	// idleStepWeight is the weight of the usual step time in a report without a step time. An engine that gets no
	// work because it was slow is tried again after half a minute.
	idleStepWeight = 0.02
	// speedPeriod is the time after which the usual step time of a group is computed again.
	speedPeriod = time.Second
	// equalSlowness is the slowness up to which an engine counts as fast as the others: a full batch makes
	// steps so much longer than a small one.
	equalSlowness = 1.5
	// maxSlowness bounds the slowness, so that a slow engine still gets work when the others are full.
	maxSlowness = 4
	// slowOffset is the load that a slow engine counts for each multiple of the usual step time above 1, also if it
	// is empty. At twice the usual step time it exceeds remotePenalty: a generation has shorter pauses at a fast engine
	// of another data centre than at a slow one of its own.
	slowOffset = 0.35
)

// noteStep learns from a report of this incarnation.
func (g *Group) noteStep(r *replica, report api.LoadReport) {
	switch {
	case report.StepMS <= 0 && r.step > g.usualStep:
		r.step += idleStepWeight * (g.usualStep - r.step)
	case report.StepMS <= 0:
	case r.step == 0:
		r.step = report.StepMS
	case report.StepMS > r.step:
		r.step += slowerStepWeight * (report.StepMS - r.step)
	default:
		r.step += fasterStepWeight * (report.StepMS - r.step)
	}
}

// updateUsualStep computes the median of the replicas' step times.
func (g *Group) updateUsualStep(now time.Time) {
	if now.Sub(g.usualStepAt) < speedPeriod {
		return
	}
	g.usualStepAt = now
	var steps []float64
	for _, r := range g.available {
		if r.step > 0 {
			steps = append(steps, r.step)
		}
	}
	g.usualStep = 0
	if len(steps) > 0 {
		slices.Sort(steps)
		g.usualStep = steps[len(steps)/2]
	}
}

// slowness is how much longer steps take on a replica than usual: 1 if no difference is known, and more for a slow one.
// Under the other policies the batch bound follows the step time.
func (g *Group) slowness(r *replica) float64 {
	if g.o.Policy != PolicyShared || r.step == 0 || r.step <= equalSlowness*g.usualStep || g.usualStep == 0 {
		return 1
	}
	return min(maxSlowness, r.step/g.usualStep)
}
