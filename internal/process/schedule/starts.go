package schedule

import "time"

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
