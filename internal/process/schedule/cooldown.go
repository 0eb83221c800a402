package schedule

import (
	"slices"
	"time"
)

const (
	// refusalsBeforeCooldown is the number of consecutive refusals after which a replica
	// gets no new work for a cool-down. An engine that refuses immediately has the
	// lowest load and would otherwise be granted most of the requests.
	refusalsBeforeCooldown = 3
	// cooldownPeriod is the duration of a cool-down. After it, a single refusal starts
	// the next cool-down.
	cooldownPeriod = time.Second
)

// trackRefusals counts the consecutive refusals of a replica and starts its cool-down
// after refusalsBeforeCooldown. At most half of the replicas cool down at the same time,
// so that a general shortage does not stop the group.
func (g *Group) trackRefusals(now time.Time, r *replica, o Outcome) {
	switch {
	case g.o.Policy == PolicyBaseline || r.coolingDown:
	case o.Refused:
		r.refusals++
		if r.refusals >= refusalsBeforeCooldown && r.index >= 0 && 2*(len(g.coolingDown)+1) <= len(g.available)+len(g.coolingDown) {
			r.coolingDown = true
			r.cooldownUntil = now.Add(cooldownPeriod)
			g.coolingDown = append(g.coolingDown, r)
		}
	case !o.NotRun && !o.EngineLost:
		r.refusals = 0
	}
}

// endCooldowns makes the replicas whose cool-down is over available again.
func (g *Group) endCooldowns(now time.Time) {
	for i := len(g.coolingDown) - 1; i >= 0; i-- {
		r := g.coolingDown[i]
		if now.Before(r.cooldownUntil) {
			continue
		}
		g.coolingDown = slices.Delete(g.coolingDown, i, i+1)
		r.coolingDown = false
		if !r.postponed {
			g.beginSlowStart(now, r)
		}
		r.postponed = false
		g.update(r, now)
		g.updateUnavailableSince(now)
	}
}
