package forward

import "time"

const (
	// minSlowTime and minSlowPauses are the time and the number of pauses for which an engine must have been too slow before a
	// generation leaves it. Spells that last less than a second move nothing, nor does one preemption.
	minSlowTime   = 2 * time.Second
	minSlowPauses = 4
	// slowSpread is the mean time over which the generations of a slow engine leave it, each at random. Their copies share the
	// engine's network link, and the engine gets faster with each that has left.
	slowSpread = 4 * time.Second
	// slowDestinationTimeout bounds the wait for a destination: there is one with room, or the generation stays.
	slowDestinationTimeout = 100 * time.Millisecond
)

// The reasons for a move.
const (
	moveLeaving = "leaving"
	moveSlow    = "slow"
)

// slowness is what a stream's pauses show of its engine.
//
// Load pattern: an engine becomes slow for long, because its host is shared, while it runs long generations and other
// engines have room.
type slowness struct {
	// since is the beginning of the first of the pauses that were too long, and pauses their number.
	since  time.Time
	pauses int
}

// note records the time for which the engine kept the stream waiting for an event, and reports whether the generation should
// leave the engine now. A pause between half of the target and the target changes nothing. random is a number in [0, 1).
func (s *slowness) note(now time.Time, waited, target time.Duration, random float64) bool {
	switch {
	case target <= 0 || waited <= target/2:
		*s = slowness{}
		return false
	case waited <= target:
		return false
	case s.pauses == 0:
		s.since = now.Add(-waited)
	}
	s.pauses++
	return s.pauses >= minSlowPauses && now.Sub(s.since) >= minSlowTime && random < float64(waited)/float64(slowSpread)
}

// leavesSlow notes the time for which the stream waited for an event, and reports whether the generation should move off its
// engine because that is slow. One generation of this gateway moves for this reason at a time, and none that ends soon.
func (r *run) leavesSlow(waited time.Duration) bool {
	if !r.slow.note(time.Now(), waited, r.q.Route.GapTarget, r.f.o.Random()) || !r.movable() || r.moving != nil || r.f.o.Servers.Leaving(r.server.Name) {
		return false
	}
	left := time.Duration(r.q.HintTokens/r.q.stride()-r.events) * waited
	return (r.q.HintTokens <= 0 || left >= minSlowTime) && r.f.movingSlow.CompareAndSwap(false, true)
}
