package schedule

import (
	"container/heap"
	"slices"
	"time"

	"persimmonwing/internal/process/memory"
	"persimmonwing/internal/request/api"
)

// foreignReports is the number of reports that must agree before sequences
// beyond the own view are taken for those of another gateway.
const foreignReports = 4

// replica is the state of one engine.
type replica struct {
	Replica
	listed   bool
	draining bool
	// bound is the largest batch that keeps the token gap target.
	bound    int
	running  []*grant
	suspects int
	// yielding counts the running grants that engines preempt first.
	yielding int
	// all projects every sequence.
	all memory.Projection
	// foreign counts running sequences that this group did not grant.
	foreign int
	// peers holds what other gateways tell of their grants, by gateway, and reservations
	// the confirmed grants that these do not include yet, by grant.
	peers        map[string]ReplicaLoad
	reservations map[string]reservation
	views        [foreignReports]int
	reports      int
	reported     bool
	lastReport   int64
	incarnation  string
	returnedAt   time.Time
	load         float64
	index        int
	// slotCount, openCount and freeCount are this replica's part of the group's sums.
	slotCount, openCount, freeCount int
	reportedBatch                   int
	reportedKV                      int
	// refusals counts the requests refused since the last one that ran.
	refusals  int
	resting   bool
	restUntil time.Time
	// postponed is set while the rest is that of a refused reservation.
	postponed bool
}

func (r *replica) accepting() bool { return r.listed && r.Accepting && !r.draining && !r.resting }

// maxBatch returns the engine's own limit.
func (r *replica) maxBatch() int {
	switch {
	case r.MaxBatch > 0:
		return r.MaxBatch
	case r.reportedBatch > 0:
		return r.reportedBatch
	}
	return defaultBatch
}

// capacity returns the KV capacity in tokens, or 0 while it is not known.
func (r *replica) capacity() int {
	if r.KVCapacityTokens > 0 {
		return r.KVCapacityTokens
	}
	return r.reportedKV
}

// occupied returns the slots in use.
func (r *replica) occupied() int { return len(r.running) + r.foreign }

// capacityFor returns the KV tokens that this gateway may use.
func (g *Group) capacityFor(r *replica) int {
	return int(float64(r.capacity()) * g.share)
}

// empty reports whether nothing is known to run on a replica. Under the shared
// policy its memory may still hold copies of generations that run elsewhere.
func (g *Group) empty(r *replica) bool {
	return r.occupied() == 0 && (g.o.Policy != PolicyShared || r.all.Used() == 0)
}

// limitsMemory reports whether memory bounds admission to the replica.
func (g *Group) limitsMemory(r *replica) bool {
	return !g.o.NoMemoryAdmission && r.capacity() > 0
}

// loadOf returns 1 or more when the replica takes no more work, and less than 1
// otherwise. In the baseline it is the number in flight.
func (g *Group) loadOf(r *replica, now time.Time) float64 {
	if g.o.Policy == PolicyBaseline {
		return float64(len(r.running))
	}
	slots := float64(r.occupied()) / float64(g.slots(r, now))
	if !g.limitsMemory(r) || g.empty(r) {
		return slots
	}
	memory := r.all.Peak() / float64(g.capacityFor(r))
	if slots >= 1 || memory >= 1 {
		return max(slots, memory)
	}
	// The mean of squares avoids both long steps and preemptions; the larger of
	// the two balances memory alone and leaves batches uneven.
	return (slots*slots + memory*memory) / 2
}

// update restores the order of the available replicas after a change of r.
func (g *Group) update(r *replica, now time.Time) {
	r.load = g.loadOf(r, now)
	accepting := r.accepting()
	g.countRoom(r, now, accepting)
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

// countRoom keeps the sums of slots, open and free slots of the available replicas.
func (g *Group) countRoom(r *replica, now time.Time, accepting bool) {
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

// reorder recomputes every load.
func (g *Group) reorder() {
	for _, r := range g.available {
		r.load = g.loadOf(r, time.Time{})
		g.countRoom(r, time.Time{}, true)
	}
	heap.Init(&g.available)
}

// replica returns the state of a replica, created when it is not known.
func (g *Group) replica(name string) *replica {
	r, known := g.replicas[name]
	if !known {
		r = &replica{Replica: Replica{Name: name}, index: -1}
		g.replicas[name] = r
	}
	return r
}

// SetReplicas states the replicas of the group. Those left out take no new
// work and are forgotten when their last grant ends.
func (g *Group) SetReplicas(now time.Time, replicas []Replica) {
	for _, r := range g.replicas {
		r.listed = false
	}
	for _, next := range replicas {
		r := g.replica(next.Name)
		was := r.index >= 0
		r.Replica = next
		r.listed = true
		r.bound = boundWithin(r.bound, r.maxBatch())
		if r.accepting() && !was && g.started {
			g.returned(now, r)
		}
		g.update(r, now)
	}
	g.started = g.started || len(replicas) > 0
	for _, r := range g.replicas {
		if !r.listed {
			g.expireReservations(now, r)
			g.update(r, now)
			g.forgetIdle(r)
		}
	}
	g.noteUnavailable(now)
}

// forgetIdle drops a replica that has left once its last grant has ended, and one
// that is not listed yet once its last reservation has.
func (g *Group) forgetIdle(r *replica) {
	if r.listed || len(r.running) > 0 || len(r.reservations) > 0 {
		return
	}
	delete(g.replicas, r.Name)
	if i := slices.Index(g.warming, r); i >= 0 {
		g.warming = slices.Delete(g.warming, i, i+1)
	}
	if i := slices.Index(g.resting, r); i >= 0 {
		g.resting = slices.Delete(g.resting, i, i+1)
	}
}

// noteUnavailable records since when no replica takes new work.
func (g *Group) noteUnavailable(now time.Time) {
	switch {
	case len(g.available) > 0:
		g.unavailableSince = time.Time{}
	case g.unavailableSince.IsZero():
		g.unavailableSince = now
	}
}

// Report takes an engine's load report into account.
func (g *Group) Report(now time.Time, name string, report api.LoadReport) {
	r, known := g.replicas[name]
	if !known || (report.ReportedAtMS != 0 && report.ReportedAtMS == r.lastReport) {
		return
	}
	r.lastReport = report.ReportedAtMS
	r.reportedBatch = report.MaxBatch
	r.reportedKV = report.KVCapacityTokens
	if r.incarnation != "" && report.Incarnation != r.incarnation {
		g.returned(now, r)
		r.restarted()
	}
	r.incarnation = report.Incarnation
	if r.draining && !report.Draining {
		g.returned(now, r)
	}
	r.draining = report.Draining
	switch g.o.Policy {
	case PolicyOwner, "":
		r.reconcile(report)
	case PolicyShared:
		// Slots are known from the gateways; memory also holds copies.
		r.all.Report(report.KVUsedTokens)
		g.expireReservations(now, r)
	}
	r.bound = boundWithin(r.bound, r.maxBatch())
	if !r.reported {
		// A new owner goes on from the batch that the engine runs.
		r.bound = max(r.bound, min(report.Running, r.maxBatch()))
		r.reported = true
	}
	r.adjustBound(report)
	g.update(r, now)
	g.noteUnavailable(now)
}

// restarted drops what the former incarnation reported.
func (r *replica) restarted() {
	r.all.ResetReports()
	for gateway, l := range r.peers {
		r.all.RemoveLoad(&l.Memory)
		delete(r.peers, gateway)
	}
	for id, c := range r.reservations {
		r.all.RemoveLoad(&c.Load.Memory)
		delete(r.reservations, id)
	}
	r.foreign = 0
	r.views = [foreignReports]int{}
}

// reconcile counts the work of other gateways: what the engine reports beyond
// the largest own view of the last reports. A single report is not enough
// because it may still count sequences that have ended since.
func (r *replica) reconcile(report api.LoadReport) {
	r.all.Report(report.KVUsedTokens)
	r.views[r.reports%foreignReports] = len(r.running)
	r.reports++
	own := 0
	for _, v := range r.views {
		own = max(own, v)
	}
	r.foreign = max(0, report.Running+report.Waiting-own)
}
