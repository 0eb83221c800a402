package schedule

import (
	"math"
	"time"

	"persimmonwing/internal/version/catalogue"
)

const (
	// headroomTime is the time for which the headroom lasts at the usual rate of
	// grants. Slots that end meanwhile refill it.
	headroomTime = 150 * time.Millisecond
	// headroomDeviations covers bursts: arrivals in that time are Poisson.
	headroomDeviations = 2.0
	// urgentSizeWeight is the weight of the newest urgent grant in their mean size.
	urgentSizeWeight = 0.05
)

// headroom is what less entitled work leaves free, so that a more entitled
// request that arrives next needs not wait for a running one to end.
type headroom struct {
	// spare counts the slots that the less entitled work may still take.
	spare float64
	// tokens is the memory kept free on each replica.
	tokens int
}

// unlimited keeps nothing free.
var unlimited = headroom{spare: math.Inf(1)}

// headroomFor keeps room for requests that come at a rate per second, at most
// the urgent reserve of the catalogue. Without such requests nothing is kept.
func (g *Group) headroomFor(rate float64) headroom {
	if len(g.available) == 0 {
		return unlimited
	}
	expected := rate * headroomTime.Seconds()
	wanted := expected + headroomDeviations*math.Sqrt(expected)
	// Whole slots only, so that the last slot of a small group is never kept.
	kept := math.Floor(min(wanted, g.o.UrgentReserve*float64(g.slotCount)))
	perReplica := kept / float64(len(g.available))
	return headroom{spare: float64(g.freeCount) - kept, tokens: int(perReplica * g.urgentSize)}
}

// urgentHeadroom is what background work leaves free for urgent work.
func (g *Group) urgentHeadroom(now time.Time) headroom {
	if g.o.NoClasses {
		return unlimited
	}
	urgent, _ := g.admitted.rates(now)
	return g.headroomFor(urgent)
}

// fairHeadroom is what urgent work of workspaces over their share leaves free
// for that of the others.
func (g *Group) fairHeadroom(now time.Time) headroom {
	if g.o.NoFairness {
		return unlimited
	}
	return g.headroomFor(g.shares.under.rate(now))
}

// noteUrgentSize keeps the mean size in tokens of urgent grants.
func (g *Group) noteUrgentSize(class catalogue.Class, tokens float64) {
	switch {
	case class != catalogue.Urgent:
	case g.urgentSize == 0:
		g.urgentSize = tokens
	default:
		g.urgentSize += urgentSizeWeight * (tokens - g.urgentSize)
	}
}
