package schedule

import (
	"time"

	"persimmonwing/internal/version/catalogue"
)

const (
	// unknownRate is assumed in grants per second for each replica before any
	// grant was counted.
	unknownRate = 5.0
	minRetry    = 100 * time.Millisecond
	maxRetry    = time.Minute
)

// drainTime returns how long a queue of this length takes at the recent rate
// of its class, divided among a number of workspaces.
func (g *Group) drainTime(now time.Time, class catalogue.Class, length, workspaces int) time.Duration {
	wait := g.waitOf(now, class, float64(length*max(workspaces, 1)))
	return min(max(wait, minRetry), maxRetry)
}

// waitOf returns the time for n grants of a class at its recent rate.
func (g *Group) waitOf(now time.Time, class catalogue.Class, n float64) time.Duration {
	urgent, background := g.admitted.rates(now)
	rate := urgent
	switch {
	case urgent+background == 0:
		rate = unknownRate * float64(max(len(g.available), 1))
	case g.o.NoClasses:
		rate += background
	case class == catalogue.Background:
		rate = background
	}
	// A class without any recent grant has no rate and waits the longest.
	seconds := min(n/rate, maxRetry.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// Summary describes the group's load.
func (g *Group) Summary(now time.Time) Summary {
	s := Summary{
		Group:            g.key,
		Owner:            g.o.Owner,
		Replicas:         len(g.available),
		QueuedUrgent:     g.queue.Len(catalogue.Urgent),
		QueuedBackground: g.queue.Len(catalogue.Background),
	}
	for _, r := range g.available {
		s.FreeSlots += g.freeSlots(r, now)
	}
	s.WaitUrgentMS = g.entitledWait(now, s.FreeSlots).Milliseconds()
	s.WaitBackgroundMS = g.predict(now, catalogue.Background, s.QueuedBackground, s.FreeSlots).Milliseconds()
	if s.QueuedUrgent > 0 {
		s.WaitBackgroundMS = max(s.WaitBackgroundMS, s.WaitUrgentMS)
	}
	return s
}

// entitledWait returns the wait of urgent work of workspaces within their share.
// Work over its share does not count: while large workspaces flood all groups, its
// queues would send everybody to the group whose last summary was the shortest.
func (g *Group) entitledWait(now time.Time, free int) time.Duration {
	switch {
	case g.o.Policy == PolicyBaseline || g.openCount == 0:
		return g.predict(now, catalogue.Urgent, 0, free)
	case g.waitingSince.IsZero() || g.queue.Len(catalogue.Urgent) == 0:
		return 0
	}
	return now.Sub(g.waitingSince)
}

// freeSlots returns how many requests the replica can take now.
func (g *Group) freeSlots(r *replica, now time.Time) int {
	if g.o.Policy == PolicyBaseline {
		return max(0, r.maxBatch()-len(r.running))
	}
	if r.load >= 1 {
		return 0
	}
	return max(0, g.slots(r, now)-r.occupied())
}

// predict returns the wait of a request that joins a queue.
func (g *Group) predict(now time.Time, class catalogue.Class, queued, free int) time.Duration {
	if queued == 0 && free > 0 {
		return 0
	}
	return g.waitOf(now, class, float64(queued+1))
}
