package schedule

import (
	"container/heap"
	"slices"
	"time"

	"persimmonwing/internal/process/memory"
	"persimmonwing/internal/request/api"
)

// reportWindow is the number of recent reports that must agree before sequences which
// are not tracked here are attributed to another gateway.
const reportWindow = 4

// replica is the state of one engine. index is its position in Group.available, or -1
// if it accepts no new work. returnedAt is the start of its slow start, or zero.
// recentRunning holds the numbers of running grants at the last reports. reportedBatch
// and reportedKV are the limits that the engine reports.
type replica struct {
	Replica
	listed   bool
	draining bool
	// bound is the largest batch that keeps the token gap target.
	bound    int
	running  []*grant
	suspects int
	// reservedIn is the number of the last pass, by rank, in which the replica was kept from requests of the rank, because others that
	// may not use all replicas wait for it.
	reservedIn [ranks]uint64
	// yielding is the number of running grants that engines preempt first.
	yielding int
	// projection is the projected memory use of all sequences.
	projection memory.Projection
	// backlog is the estimate of the prompt tokens that the replica has yet to prefill.
	backlog backlog
	// external is the number of running sequences that this group did not grant.
	external int
	// peers holds the loads of other gateways' grants by gateway name. reservations
	// holds the confirmed grants that these loads do not include yet, by grant ID.
	// corrections holds the loads that an arbiter has corrected, by gateway name.
	peers         map[string]ReplicaLoad
	corrections   map[string]correction
	reservations  map[string]reservation
	recentRunning [reportWindow]int
	reports       int
	hasReport     bool
	lastReport    int64
	reportedAt    time.Time
	incarnation   string
	returnedAt    time.Time
	load          float64
	index         int
	// slotCount, openCount and freeCount are this replica's shares of the sums in Group.
	slotCount, openCount, freeCount int
	reportedBatch                   int
	reportedKV                      int
	// step is the moving average of the reported step times in milliseconds, or 0.
	step float64
	// batch is the number of running sequences in the last report with a step time.
	batch int
	// refusals is the number of requests refused since the last one that ran.
	refusals      int
	coolingDown   bool
	cooldownUntil time.Time
	// starts are the times of the requests placed within the last second, while MaxStarts bounds them.
	starts []time.Time
	// postponed is set while the replica cools down because of a refused
	// reservation.
	postponed bool
}

func (r *replica) accepting() bool { return r.listed && r.Accepting && !r.draining && !r.coolingDown }

// maxBatch returns the engine's own batch limit, or defaultBatch if it is unknown.
func (r *replica) maxBatch() int {
	switch {
	case r.MaxBatch > 0:
		return r.MaxBatch
	case r.reportedBatch > 0:
		return r.reportedBatch
	}
	return defaultBatch
}

// capacity returns the KV capacity in tokens, or 0 while it is unknown.
func (r *replica) capacity() int {
	if r.KVCapacityTokens > 0 {
		return r.KVCapacityTokens
	}
	return r.reportedKV
}

// occupied returns the number of slots in use, including those of other gateways.
func (r *replica) occupied() int { return len(r.running) + r.external }

// capacityFor returns the number of KV tokens on the replica that this gateway may use.
func (g *Group) capacityFor(r *replica) int {
	return int(float64(r.capacity()) * g.share)
}

// empty reports whether a replica is known to run nothing. Under the shared policy
// its memory must be unused too, because it may still contain copies of generations
// that run elsewhere.
func (g *Group) empty(r *replica) bool {
	return r.occupied() == 0 && (g.o.Policy != PolicyShared || r.projection.Used() == 0)
}

// limitsMemory reports whether admission to the replica is limited by its memory.
func (g *Group) limitsMemory(r *replica) bool {
	return !g.o.NoMemoryAdmission && r.capacity() > 0
}

// loadOf returns the load of a replica: 1 or more if it is full, and less than 1
// otherwise. In the baseline it is the number of generations in flight.
func (g *Group) loadOf(r *replica, now time.Time) float64 {
	if g.o.Policy == PolicyBaseline {
		return float64(len(r.running))
	}
	slots := float64(r.occupied()) / float64(g.slots(r, now))
	if !g.limitsMemory(r) || g.empty(r) {
		return slots
	}
	memoryLoad := r.projection.Peak() / float64(g.capacityFor(r))
	if slots >= 1 || memoryLoad >= 1 {
		return max(slots, memoryLoad)
	}
	// The mean of the squares avoids both long steps and preemptions. The maximum of
	// the two would balance memory alone and leave batches uneven.
	return (slots*slots + memoryLoad*memoryLoad) / 2
}

// update recomputes the load of r after a change, adds r to the available replicas or
// removes it from them, and restores their order.
func (g *Group) update(r *replica, now time.Time) {
	r.load = g.loadOf(r, now)
	accepting := r.accepting()
	g.updateSlotCounts(r, now, accepting)
	switch {
	case accepting && r.index >= 0:
		heap.Fix(&g.available, r.index)
	case accepting:
		heap.Push(&g.available, r)
		g.inFlight += len(r.running)
	case r.index >= 0:
		heap.Remove(&g.available, r.index)
		g.inFlight -= len(r.running)
	}
}

// updateSlotCounts updates the sums of all, open and free slots of the available
// replicas after a change of r.
func (g *Group) updateSlotCounts(r *replica, now time.Time, accepting bool) {
	g.slotCount -= r.slotCount
	g.openCount -= r.openCount
	g.freeCount -= r.freeCount
	r.slotCount, r.openCount, r.freeCount = 0, 0, 0
	if accepting && g.o.Policy != PolicyBaseline {
		r.slotCount = g.slots(r, now)
		r.openCount = max(0, r.slotCount-r.occupied())
		if r.load < 1 {
			r.freeCount = r.openCount
		}
	}
	g.slotCount += r.slotCount
	g.openCount += r.openCount
	g.freeCount += r.freeCount
}

// recomputeLoads recomputes the loads of all available replicas.
func (g *Group) recomputeLoads() {
	for _, r := range g.available {
		r.load = g.loadOf(r, time.Time{})
		g.updateSlotCounts(r, time.Time{}, true)
	}
	heap.Init(&g.available)
}

// replica returns the state of a replica. It creates the state if there is none.
func (g *Group) replica(name string) *replica {
	r, known := g.replicas[name]
	if !known {
		r = &replica{Replica: Replica{Name: name}, index: -1}
		g.replicas[name] = r
	}
	return r
}

// SetReplicas replaces the list of the group's replicas. Replicas that are no longer
// listed accept no new work and are removed when their last grant ends.
func (g *Group) SetReplicas(now time.Time, replicas []Replica) {
	for _, r := range g.replicas {
		r.listed = false
	}
	for _, next := range replicas {
		r := g.replica(next.Name)
		wasAvailable := r.index >= 0
		r.Replica = next
		r.listed = true
		r.bound = clampBound(r.bound, r.maxBatch())
		if r.accepting() && !wasAvailable && g.started {
			g.beginSlowStart(now, r)
		}
		g.update(r, now)
	}
	g.started = g.started || len(replicas) > 0
	for _, r := range g.replicas {
		if !r.listed {
			g.expireReservations(now, r)
			g.update(r, now)
			g.removeIfIdle(r)
		}
	}
	g.updateUnavailableSince(now)
}

// removeIfIdle removes a replica that is not listed and has neither grants nor
// reservations. Such a replica has left the group, or is not listed yet.
func (g *Group) removeIfIdle(r *replica) {
	if r.listed || len(r.running) > 0 || len(r.reservations) > 0 {
		return
	}
	delete(g.replicas, r.Name)
	if i := slices.Index(g.slowStarting, r); i >= 0 {
		g.slowStarting = slices.Delete(g.slowStarting, i, i+1)
	}
	if i := slices.Index(g.coolingDown, r); i >= 0 {
		g.coolingDown = slices.Delete(g.coolingDown, i, i+1)
	}
}

// updateUnavailableSince records the time since which no replica accepts work.
func (g *Group) updateUnavailableSince(now time.Time) {
	switch {
	case len(g.available) > 0:
		g.unavailableSince = time.Time{}
	case g.unavailableSince.IsZero():
		g.unavailableSince = now
	}
}

// Report updates a replica with a load report of its engine. Reports of unknown
// replicas and repeated reports are ignored.
func (g *Group) Report(now time.Time, name string, report api.LoadReport) {
	r, known := g.replicas[name]
	if !known || (report.ReportedAtMS != 0 && report.ReportedAtMS == r.lastReport) {
		return
	}
	r.lastReport, r.reportedAt = report.ReportedAtMS, now
	r.reportedBatch = report.MaxBatch
	r.reportedKV = report.KVCapacityTokens
	if r.incarnation != "" && report.Incarnation != r.incarnation {
		g.beginSlowStart(now, r)
		r.resetExternal()
		r.step = 0
	}
	r.incarnation = report.Incarnation
	if r.draining && !report.Draining {
		g.beginSlowStart(now, r)
	}
	r.draining = report.Draining
	switch g.o.Policy {
	case PolicyOwner, "":
		r.reconcile(report)
	case PolicyShared:
		// The slots in use are known from the gateways. The memory also contains copies
		// of generations, which only the engine reports.
		r.projection.Report(report.KVUsedTokens)
		g.expireReservations(now, r)
	}
	r.bound = clampBound(r.bound, r.maxBatch())
	if !r.hasReport {
		// A new owner continues with the batch that the engine already runs.
		r.bound = max(r.bound, min(report.Running, r.maxBatch()))
		r.hasReport = true
	}
	r.adjustBound(report)
	g.noteStep(r, report)
	g.updateUsualStep(now)
	g.update(r, now)
	g.updateUnavailableSince(now)
}

// reportAge returns the time since the last report was received, or 0 if there is none.
func (r *replica) reportAge(now time.Time) time.Duration {
	if r.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(r.reportedAt)
}

// resetExternal discards the external work, peer loads and reservations that belong to
// the engine's previous incarnation.
func (r *replica) resetExternal() {
	r.projection.ResetReports()
	for gateway, l := range r.peers {
		r.projection.RemoveLoad(&l.Memory)
		delete(r.peers, gateway)
	}
	for id, c := range r.reservations {
		r.projection.RemoveLoad(&c.Load.Memory)
		delete(r.reservations, id)
	}
	clear(r.corrections)
	r.external = 0
	r.recentRunning = [reportWindow]int{}
}

// reconcile derives the work of other gateways from a report: the number of sequences
// beyond the largest number of own grants at the last reports. A single report is not
// enough, because it may still include sequences that have ended since.
func (r *replica) reconcile(report api.LoadReport) {
	r.projection.Report(report.KVUsedTokens)
	r.recentRunning[r.reports%reportWindow] = len(r.running)
	r.reports++
	tracked := 0
	for _, v := range r.recentRunning {
		tracked = max(tracked, v)
	}
	r.external = max(0, report.Running+report.Waiting-tracked)
}
