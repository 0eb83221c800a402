package schedule

import (
	"time"

	"persimmonwing/internal/version/catalogue"
)

const (
	// defaultRate is the rate in grants per second and replica that is assumed while
	// there are no recent grants.
	defaultRate = 5.0
	minRetry    = 100 * time.Millisecond
	maxRetry    = time.Minute
)

// drainTime returns the time until a queue of this length has drained at the recent
// rate of its class, if the rate is divided among a number of workspaces. It is used
// as retry time and is limited to minRetry and maxRetry.
func (g *Group) drainTime(now time.Time, class catalogue.Class, length, workspaces int) time.Duration {
	wait := g.waitFor(now, class, float64(length*max(workspaces, 1)))
	return min(max(wait, minRetry), maxRetry)
}

// waitFor returns the time for n grants of a class at its recent rate, at most maxRetry.
func (g *Group) waitFor(now time.Time, class catalogue.Class, n float64) time.Duration {
	urgent, background := g.admitted.rates(now)
	rate := urgent
	switch {
	case urgent+background == 0:
		rate = defaultRate * float64(max(len(g.available), 1))
	case g.o.NoClasses:
		rate += background
	case class == catalogue.Background:
		rate = background
	}
	// A class without recent grants has rate 0 and gets the maximum.
	seconds := min(n/rate, maxRetry.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// Summary returns the load of the group for gateways that do not own it.
func (g *Group) Summary(now time.Time) Summary {
	s := Summary{
		Group:            g.key,
		Owner:            g.o.Owner,
		Replicas:         len(g.available),
		QueuedUrgent:     g.queue.Len(catalogue.Urgent),
		QueuedBackground: g.queue.Len(catalogue.Background),
	}
	for _, r := range g.available {
		free := g.freeSlots(r, now)
		starts, wait := r.startsLeft(now)
		if free > 0 && starts == 0 && (s.ColdWait == 0 || wait < s.ColdWait) {
			s.ColdWait = wait
		}
		s.FreeSlots += min(free, starts)
	}
	s.WaitUrgentMS = g.entitledWait(now, s.FreeSlots).Milliseconds()
	if s.FreeSlots > 0 {
		s.ColdWait = 0
	}
	s.WaitUrgentMS = max(s.WaitUrgentMS, s.ColdWait.Milliseconds())
	s.WaitBackgroundMS = g.predictWait(now, catalogue.Background, s.QueuedBackground, s.FreeSlots).Milliseconds()
	if s.QueuedUrgent > 0 {
		s.WaitBackgroundMS = max(s.WaitBackgroundMS, s.WaitUrgentMS)
	}
	return s
}

// entitledWait returns the predicted wait of entitled work. Work of workspaces over
// their share is not taken into account: while large workspaces flood all groups, the
// lengths of the queues of these workspaces would direct all requests to the group with
// the shortest queue in the last summaries.
func (g *Group) entitledWait(now time.Time, free int) time.Duration {
	switch {
	case g.o.Policy == PolicyBaseline || g.openCount == 0:
		return g.predictWait(now, catalogue.Urgent, 0, free)
	case g.blockedSince.IsZero() || g.queue.Len(catalogue.Urgent) == 0:
		return 0
	}
	return now.Sub(g.blockedSince)
}

// freeSlots returns the number of requests that the replica can accept now.
func (g *Group) freeSlots(r *replica, now time.Time) int {
	if g.o.Policy == PolicyBaseline {
		return max(0, r.maxBatch()-len(r.running))
	}
	if r.load >= 1 {
		return 0
	}
	return max(0, g.slots(r, now)-r.occupied())
}

// predictWait returns the predicted wait of a request that joins a queue.
func (g *Group) predictWait(now time.Time, class catalogue.Class, queued, free int) time.Duration {
	if queued == 0 && free > 0 {
		return 0
	}
	return g.waitFor(now, class, float64(queued+1))
}
