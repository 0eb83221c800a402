package schedule

import (
	"math"
	"time"

	"persimmonwing/internal/request/api"
)

const (
	// defaultTokenGap is the token gap target of the design page. It is used if no
	// running request has a target.
	defaultTokenGap = 26 * time.Millisecond
	// raiseBelow is the fraction of the token gap target below which the batch bound
	// rises by one.
	raiseBelow = 0.9
	// farAbove is the multiple of the target above which the batch bound falls by
	// a sixteenth instead of by one, so that a bound that was too large at the start
	// is corrected within seconds.
	farAbove        = 1.25
	farAboveDivisor = 16
	// farBelow is the fraction of the target below which the bound rises by an
	// eighth. The step time grows at most in proportion to the batch, so the target
	// is still met afterwards.
	farBelow        = 0.75
	farBelowDivisor = 8
	// smallBatch is a batch size that is allowed from the start if the engine's limit
	// permits it.
	smallBatch = 16
	// defaultBatch is the assumed batch limit until the engine reports its own.
	defaultBatch = 64
	// defaultSlowStart is the time in which the batch bound of a returning replica
	// grows from slowStartInitialFraction to its full value.
	defaultSlowStart         = 10 * time.Second
	slowStartInitialFraction = 0.25
)

// clampBound limits a batch bound to the engine's limit. An unset bound (0) becomes
// half of the limit: a bound that starts at the limit exceeds the token gap target
// for several reports before it is lowered.
func clampBound(bound, limit int) int {
	if bound <= 0 {
		return max(1, limit/2, min(limit, smallBatch))
	}
	return min(bound, limit)
}

// slots returns the number of sequences that the replica may run now.
func (g *Group) slots(r *replica, now time.Time) int {
	if g.o.Policy == PolicyBaseline {
		return math.MaxInt
	}
	slots := r.bound
	switch {
	case g.o.Policy == PolicyShared && g.o.NoBatchBound:
		slots = g.slowBatch(r)
	case g.o.NoBatchBound:
		slots = r.maxBatch()
	}
	fraction := g.share * r.slowStartFraction(now, g.o.SlowStart)
	return max(1, int(float64(slots)*fraction))
}

// slowStartFraction returns the fraction of its batch bound that the replica may use:
// less than 1 in slow start, else 1.
func (r *replica) slowStartFraction(now time.Time, slowStart time.Duration) float64 {
	if r.returnedAt.IsZero() {
		return 1
	}
	passed := float64(now.Sub(r.returnedAt)) / float64(slowStart)
	return min(1, slowStartInitialFraction+(1-slowStartInitialFraction)*max(0, passed))
}

// target returns the smallest token gap target of the running requests.
func (r *replica) target() time.Duration {
	target := time.Duration(0)
	for _, h := range r.running {
		gap := h.request.TokenGap
		if gap > 0 && (target == 0 || gap < target) {
			target = gap
		}
	}
	if target == 0 {
		return defaultTokenGap
	}
	return target
}

// adjustBound raises or lowers the batch bound according to the step time of a load
// report.
func (r *replica) adjustBound(report api.LoadReport) {
	ratio := report.StepMS * float64(time.Millisecond) / float64(r.target())
	running := max(report.Running, len(r.running))
	used := min(r.bound, max(running, 1))
	boundReached := running+1 >= r.bound
	switch {
	case ratio > farAbove:
		// The step time results from the batch that ran and not from a bound that was
		// not reached.
		r.bound = used - max(1, used/farAboveDivisor)
	case ratio > 1:
		r.bound = used - 1
	case ratio < farBelow && boundReached:
		r.bound += max(1, r.bound/farBelowDivisor)
	case ratio < raiseBelow && boundReached:
		r.bound++
	}
	r.bound = min(max(r.bound, 1), r.maxBatch())
}
