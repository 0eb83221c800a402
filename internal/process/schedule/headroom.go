package schedule

import (
	"math"
	"time"

	"persimmonwing/internal/version/catalogue"
)

const (
	// headroomTime is the time for which the headroom lasts at the usual rate of
	// urgent grants. Slots that end meanwhile refill it.
	headroomTime = 150 * time.Millisecond
	// headroomDeviations covers bursts: arrivals in that time are Poisson.
	headroomDeviations = 2.0
	// urgentSizeWeight is the weight of the newest urgent grant in their mean size.
	urgentSizeWeight = 0.05
)

// headroom is what background work leaves free, so that an urgent request that
// arrives next needs not wait for a running one to end.
type headroom struct {
	// spare counts the slots that background work may still take.
	spare float64
	// tokens is the memory kept free on each replica.
	tokens int
}

// headroom follows the rate of urgent work and is at most the urgent reserve of
// the catalogue: without urgent work nothing is kept free.
func (g *Group) headroom(now time.Time) headroom {
	if g.o.NoClasses || len(g.available) == 0 {
		return headroom{spare: math.Inf(1)}
	}
	urgent, _ := g.admitted.rates(now)
	expected := urgent * headroomTime.Seconds()
	wanted := expected + headroomDeviations*math.Sqrt(expected)
	kept := min(wanted, g.o.UrgentReserve*float64(g.slotCount))
	perReplica := kept / float64(len(g.available))
	return headroom{spare: float64(g.freeCount) - kept, tokens: int(perReplica * g.urgentSize)}
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
