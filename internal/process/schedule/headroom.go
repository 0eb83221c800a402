package schedule

import (
	"math"
	"time"
)

const (
	// headroomPeriod is the time for which the headroom lasts at the recent rate of
	// grants. Generations that end in this time restore it.
	headroomPeriod = 150 * time.Millisecond
	// headroomDeviations is the number of standard deviations that cover bursts. The
	// number of arrivals in headroomPeriod is Poisson distributed.
	headroomDeviations = 2.0
	// urgentSizeWeight is the weight of the newest urgent grant in the moving average
	// of their sizes.
	urgentSizeWeight = 0.05
)

// headroom is the room that lower ranks must leave free, so that the next request of
// a higher rank does not have to wait until a running generation ends.
type headroom struct {
	// spare is the number of slots that the lower rank may still use.
	spare float64
	// tokens is the memory in tokens that is kept free on each replica.
	tokens int
}

// noHeadroom is the headroom that keeps nothing free.
var noHeadroom = headroom{spare: math.Inf(1)}

// headroomFor returns the headroom for requests that arrive at a rate per second. It
// keeps at most the fraction UrgentReserve of the slots free, and none at rate 0.
func (g *Group) headroomFor(rate float64) headroom {
	if len(g.available) == 0 {
		return noHeadroom
	}
	expected := rate * headroomPeriod.Seconds()
	wanted := expected + headroomDeviations*math.Sqrt(expected)
	// Rounded down to whole slots, so that the last slot of a small group is never
	// kept free.
	reservedSlots := math.Floor(min(wanted, g.o.UrgentReserve*float64(g.slotCount)))
	perReplica := reservedSlots / float64(len(g.available))
	return headroom{spare: float64(g.freeCount) - reservedSlots, tokens: int(perReplica * g.meanUrgentSize)}
}

// urgentHeadroom returns the headroom that background work leaves for urgent work.
func (g *Group) urgentHeadroom(now time.Time) headroom {
	if g.o.NoClasses {
		return noHeadroom
	}
	urgent, _ := g.admitted.rates(now)
	return g.headroomFor(urgent)
}

// fairHeadroom returns the headroom that urgent work of workspaces over their share
// leaves for urgent work of the others.
func (g *Group) fairHeadroom(now time.Time) headroom {
	if g.o.NoFairness {
		return noHeadroom
	}
	if len(g.shares.peers) == 0 {
		return g.headroomFor(g.shares.withinShare.rate(now))
	}
	g.shares.countActive(now)
	h := g.headroomFor(g.shares.withinShareRate(now))
	h.tokens = g.headroomFor(g.shares.withinShare.rate(now)).tokens
	h.spare = g.shares.spareHere(now, h.spare, g.waitingOverShare(now))
	return h
}

// updateMeanUrgentSize adds an urgent grant to the mean size of urgent grants in tokens.
func (g *Group) updateMeanUrgentSize(tokens float64) {
	if g.meanUrgentSize == 0 {
		g.meanUrgentSize = tokens
		return
	}
	g.meanUrgentSize += urgentSizeWeight * (tokens - g.meanUrgentSize)
}
