package schedule

import (
	"slices"
	"time"
)

const (
	// refusalsToRest is the number of requests that an engine refuses one after
	// the other before it rests. An engine that refuses at once has the lowest
	// load and would otherwise be granted most of the requests.
	refusalsToRest = 3
	// restFor is the time without new work. A single refusal after it starts the
	// next rest.
	restFor = time.Second
)

// judge rests a replica that keeps refusing work. At most half of the replicas
// rest at once, so that a general shortage does not stop the group.
func (g *Group) judge(now time.Time, r *replica, o Outcome) {
	switch {
	case g.o.Policy == PolicyBaseline || r.resting:
	case o.Refused:
		r.refusals++
		if r.refusals >= refusalsToRest && r.index >= 0 && 2*(len(g.resting)+1) <= len(g.available)+len(g.resting) {
			r.resting = true
			r.restUntil = now.Add(restFor)
			g.resting = append(g.resting, r)
		}
	case !o.NotRun && !o.EngineLost:
		r.refusals = 0
	}
}

// endRests lets replicas whose rest has ended take work again.
func (g *Group) endRests(now time.Time) {
	for i := len(g.resting) - 1; i >= 0; i-- {
		r := g.resting[i]
		if now.Before(r.restUntil) {
			continue
		}
		g.resting = slices.Delete(g.resting, i, i+1)
		r.resting = false
		if !r.postponed {
			g.returned(now, r)
		}
		r.postponed = false
		g.update(r, now)
		g.noteUnavailable(now)
	}
}
