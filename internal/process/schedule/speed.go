package schedule

import (
	"slices"
	"time"

	"persimmonwing/internal/process/memory"
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
	// fullBatchSteps is how much longer the steps of a full batch take than those of a single generation.
	fullBatchSteps = 1.4
	// moveGain is how many times shorter steps must be at the replica that a generation moves to from a slow one. The move
	// itself costs a pause and network traffic.
	moveGain = 2
	// tokenGapTTL is the time after which a target for the time between tokens is forgotten, if no request has it any more.
	tokenGapTTL = time.Minute
)

// noteStep learns from a report of this incarnation.
func (g *Group) noteStep(r *replica, report api.LoadReport) {
	if report.StepMS > 0 {
		r.batch = report.Running
	}
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

// noteTokenGap learns the smallest target for the time between tokens of the group's requests.
func (g *Group) noteTokenGap(now time.Time, q *Request) {
	if q.TokenGap > 0 && (g.tokenGap == 0 || q.TokenGap <= g.tokenGap || now.Sub(g.tokenGapAt) > tokenGapTTL) {
		g.tokenGap, g.tokenGapAt = q.TokenGap, now
	}
}

// slowBatch returns the number of sequences up to which the steps of a slow replica are expected to keep the smallest target
// for the time between tokens: at most its batch limit, and at least 1.
//
// Load pattern: engines share their hosts with others, and some are several times as slow as the others for seconds or for
// good. With a full batch there all of its generations pause for too long.
func (g *Group) slowBatch(r *replica) int {
	limit := r.maxBatch()
	if limit < 2 || g.tokenGap == 0 || g.slowness(r) == 1 {
		return limit
	}
	// The time of a step grows in proportion to the batch.
	growth := (fullBatchSteps - 1) / float64(limit-1)
	single := r.step / (1 + growth*float64(min(max(r.batch, 1), limit)-1))
	most := 1 + (float64(g.tokenGap)/float64(time.Millisecond)/single-1)/growth
	return int(min(max(most, 1), float64(limit)))
}

// stepShare returns the part of a request's time on a usual replica that is spent on steps and not on reading its prompt.
func (g *Group) stepShare(q *Request) float64 {
	steps := g.usualStep * float64(time.Millisecond) * float64(q.ExpectedOutputTokens)
	if steps <= 0 {
		return 1
	}
	return steps / (steps + float64(q.PromptTokens)*float64(g.prefill.average()))
}

// leaveSlow chooses a replica for a generation that may leave a slow one. It takes no room for which another request waits.
func (g *Group) leaveSlow(now time.Time, q *Request, s *memory.Sequence) (*replica, string, placement) {
	if g.waiting() == 1 {
		if r, reason, why := g.spread(now, q, s); why == placed {
			return r, reason, why
		}
	}
	return nil, "", noneEligible
}

// relieves reports whether a replica is clearly faster than the slow one that a generation may leave, and keeps
// its target. Copies between data centres take twice as long and are not worth it.
func (g *Group) relieves(r *replica, q *Request) bool {
	from, known := g.replicas[q.SlowFrom]
	if !known || g.slowness(from) == 1 || g.remote(r, q) {
		return false
	}
	step := r.step
	if step == 0 {
		step = g.usualStep
	}
	return moveGain*step <= from.step && (q.TokenGap <= 0 || step <= float64(q.TokenGap)/float64(time.Millisecond))
}
