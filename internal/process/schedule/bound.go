package schedule

import (
	"math"
	"time"

	"persimmonwing/internal/request/api"
)

const (
	// defaultTokenGap is the token gap target of the design page.
	defaultTokenGap = 26 * time.Millisecond
	// raiseBelow is the fraction of the target under which the batch bound rises.
	raiseBelow = 0.9
	// farAbove is the multiple of the target above which the batch bound falls by
	// a sixteenth instead of by one, so that a start with too large a batch ends
	// within seconds.
	farAbove     = 1.25
	farAboveStep = 16
	// farBelow is the fraction of the target under which the bound rises by an
	// eighth. Step time grows at most in proportion to the batch, so the target
	// is still kept.
	farBelow     = 0.75
	farBelowStep = 8
	// smallBatch is a batch that is always allowed at the start.
	smallBatch = 16
	// defaultBatch is assumed until the engine states its limit.
	defaultBatch = 64
	// defaultSlowStart is the time in which a returning replica's bound grows to full.
	defaultSlowStart = 10 * time.Second
	slowStartFrom    = 0.25
)

// boundWithin returns a batch bound within the engine's limit. An unset bound
// (0) starts at half: a start at the limit overshoots the token gap target for
// several reports before it is lowered.
func boundWithin(bound, limit int) int {
	if bound <= 0 {
		return max(1, limit/2, min(limit, smallBatch))
	}
	return min(bound, limit)
}

// slots returns how many sequences the replica may run now.
func (g *Group) slots(r *replica, now time.Time) int {
	if g.o.Policy == PolicyBaseline {
		return math.MaxInt
	}
	slots := r.bound
	if g.o.NoBatchBound {
		slots = r.maxBatch()
	}
	fraction := g.share * r.warmth(now, g.o.SlowStart)
	return max(1, int(float64(slots)*fraction))
}

// warmth is the fraction of its bound that a returning replica may use.
func (r *replica) warmth(now time.Time, slowStart time.Duration) float64 {
	if r.returnedAt.IsZero() {
		return 1
	}
	passed := float64(now.Sub(r.returnedAt)) / float64(slowStart)
	return min(1, slowStartFrom+(1-slowStartFrom)*max(0, passed))
}

// target returns the smallest token gap target of the running requests.
func (r *replica) target() time.Duration {
	target := time.Duration(0)
	for _, held := range r.running {
		gap := held.request.TokenGap
		if gap > 0 && (target == 0 || gap < target) {
			target = gap
		}
	}
	if target == 0 {
		return defaultTokenGap
	}
	return target
}

// adjustBound moves the batch bound by one report.
func (r *replica) adjustBound(report api.LoadReport) {
	ratio := report.StepMS * float64(time.Millisecond) / float64(r.target())
	running := max(report.Running, len(r.running))
	used := min(r.bound, max(running, 1))
	inUse := running+1 >= r.bound
	switch {
	case ratio > farAbove:
		// The step time belongs to the batch that ran, not to an unused bound.
		r.bound = used - max(1, used/farAboveStep)
	case ratio > 1:
		r.bound = used - 1
	case ratio < farBelow && inUse:
		r.bound += max(1, r.bound/farBelowStep)
	case ratio < raiseBelow && inUse:
		r.bound++
	}
	r.bound = min(max(r.bound, 1), r.maxBatch())
}
