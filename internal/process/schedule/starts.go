package schedule

import (
	"math"
	"time"
)

// startWindow is the time to which Replica.MaxStarts applies.
const startWindow = time.Second

// noteStart records that a request was placed on the replica.
//
// Load pattern: an engine that has started cold is empty, and all gateways place on it what waits. It gets
// its share over seconds instead, and the rest goes to other engines without being sent first.
func (r *replica) noteStart(now time.Time) {
	if r.MaxStarts == 0 {
		r.starts = nil
		return
	}
	r.pruneStarts(now)
	r.starts = append(r.starts, now)
}

func (r *replica) pruneStarts(now time.Time) {
	for len(r.starts) > 0 && now.Sub(r.starts[0]) >= startWindow {
		r.starts = r.starts[1:]
	}
}

// startsLeft returns the number of requests that may be placed on the replica now, and the time until the next one may be if
// that is 0. Callers of a group whose replicas are all cold then turn to another one, though there are free slots.
func (r *replica) startsLeft(now time.Time) (n int, wait time.Duration) {
	if r.MaxStarts == 0 {
		return math.MaxInt, 0
	}
	r.pruneStarts(now)
	if n = r.MaxStarts - len(r.starts); n > 0 {
		return n, 0
	}
	return 0, startWindow - now.Sub(r.starts[len(r.starts)-r.MaxStarts])
}

// mayStart reports whether another request may be placed on the replica now.
func (g *Group) mayStart(now time.Time, r *replica) bool {
	if r.MaxStarts == 0 {
		return true
	}
	r.pruneStarts(now)
	if len(r.starts) < r.MaxStarts {
		return true
	}
	g.startsExhausted = true
	return false
}
