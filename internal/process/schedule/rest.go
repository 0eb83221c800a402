package schedule

import (
	"slices"
	"time"
)

const (
	// refusalsBeforeRest is the number of consecutive refusals after which a replica
	// rests, that is, gets no new work. An engine that refuses immediately has the
	// lowest load and would otherwise be granted most of the requests.
	refusalsBeforeRest = 3
	// restPeriod is the duration of a rest. After it, a single refusal starts the next
	// rest.
	restPeriod = time.Second
)

// trackRefusals counts the consecutive refusals of a replica and lets it rest after
// refusalsBeforeRest. At most half of the replicas rest at the same time, so that a
// general shortage does not stop the group.
func (g *Group) trackRefusals(now time.Time, r *replica, o Outcome) {
	switch {
	case g.o.Policy == PolicyBaseline || r.resting:
	case o.Refused:
		r.refusals++
		if r.refusals >= refusalsBeforeRest && r.index >= 0 && 2*(len(g.resting)+1) <= len(g.available)+len(g.resting) {
			r.resting = true
			r.restUntil = now.Add(restPeriod)
			g.resting = append(g.resting, r)
		}
	case !o.NotRun && !o.EngineLost:
		r.refusals = 0
	}
}

// endRests makes the replicas whose rest is over available again.
func (g *Group) endRests(now time.Time) {
	for i := len(g.resting) - 1; i >= 0; i-- {
		r := g.resting[i]
		if now.Before(r.restUntil) {
			continue
		}
		g.resting = slices.Delete(g.resting, i, i+1)
		r.resting = false
		if !r.postponed {
			g.beginSlowStart(now, r)
		}
		r.postponed = false
		g.update(r, now)
		g.updateUnavailableSince(now)
	}
}
