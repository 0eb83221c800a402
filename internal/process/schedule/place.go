package schedule

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwing/internal/process/memory"
)

// The reasons of a Grant.
const (
	ReasonPrefix      = "prefix"
	ReasonLeastLoad   = "least_load"
	ReasonFingerprint = "same_fingerprint"
	ReasonSpread      = "spread"
)

const (
	// affinityLoadFactor is the multiple of the mean number of grants per replica below
	// which a replica is preferred for its cached prefix.
	affinityLoadFactor = 1.25
	// placementTries limits the replicas that are tried for an ordinary request,
	// least loaded first. It covers a whole shard, even if the shards are uneven.
	placementTries = 32
	// memoryTries limits the tried replicas that turn out to be short of memory,
	// because the following ones are fuller.
	memoryTries = 16
)

// placement is the reason why a request was or was not placed. If several reasons
// apply, the lowest value is used.
type placement int

const (
	placed placement = iota
	// noRoom means that slots or memory are short.
	noRoom
	// isolated means that other suspects, or requests with the same fingerprint, must
	// end first.
	isolated
	// reservedForOthers means that the workspace is over its share and the free slots
	// are kept for other workspaces.
	reservedForOthers
	// noneEligible means that every replica is excluded or does not accept work.
	noneEligible
)

// place chooses a replica for a request. It returns the replica with the grant's
// reason, or nil and the reason why the request cannot be placed now.
func (g *Group) place(now time.Time, q *Request, s *memory.Sequence) (*replica, string, placement) {
	if g.o.Policy == PolicyBaseline {
		return g.leastLoaded(now, q, s)
	}
	if q.SlowFrom != "" {
		return g.leaveSlow(now, q, s)
	}
	if q.Spread {
		return g.spread(now, q, s)
	}
	// An engine is evacuated for longer than requests can wait.
	if p, pinned := g.pinned[q.Fingerprint]; pinned && q.Fingerprint != 0 && !p.replica.Evacuated {
		if g.eligible(p.replica, q) && g.hasRoom(now, p.replica, q, s) {
			return p.replica, ReasonFingerprint, placed
		}
		return nil, "", isolated
	}
	if r := g.prefixReplica(now, q, s); r != nil {
		return r, ReasonPrefix, placed
	}
	return g.leastLoaded(now, q, s)
}

// leastLoaded returns the replica with the lowest placement load of those it tries. It
// tries them in the order of the heap array, which starts with the least loaded one.
func (g *Group) leastLoaded(now time.Time, q *Request, s *memory.Sequence) (*replica, string, placement) {
	tries := len(g.available)
	if !q.Suspect && len(q.Exclude) == 0 && g.o.Policy != PolicyShared {
		tries = min(tries, placementTries)
	}
	var best *replica
	why := noneEligible
	misses := 0
	for _, r := range g.available[:tries] {
		if misses == memoryTries && !q.Suspect {
			break
		}
		if best != nil && g.placementLoad(best, q) <= g.placementLoad(r, q) {
			continue
		}
		switch {
		case slices.Contains(q.Exclude, r.Name):
		case q.Suspect && r.suspects > 0:
			why = min(why, isolated)
		default:
			lack := g.roomLack(now, r, q, s)
			if lack == LackNone {
				best = r
				break
			}
			why = noRoom
			if lack == LackMemory {
				misses++
			}
			g.prefillBlocked = g.prefillBlocked || lack == LackPrompts
		}
		if best == g.available[0] && best != nil && g.o.Policy != PolicyShared {
			break
		}
	}
	if best != nil {
		return best, ReasonLeastLoad, placed
	}
	return nil, "", why
}

// remotePenalty is added to the load of a replica in another data centre than the
// preferred one. A replica in the preferred data centre is chosen even if it has a few
// more grants, because then the response does not cross data centres, and the KV cache
// of a generation that moves within a data centre is copied in half the time.
const remotePenalty = 0.3

// unreadPenalty is added to the load for each prompt token that a replica has yet to
// prefill. Engines prefill prompts one after the other at 14 tokens per millisecond,
// so that a short generation misses its first token target behind a few long prompts.
const unreadPenalty = 0.5 / 14_000

// placementLoad returns the load by which replicas are compared for a request.
func (g *Group) placementLoad(r *replica, q *Request) float64 {
	load := g.pressure(r)
	if slow := g.slowness(r); slow > 1 {
		load = load*slow + slowOffset*(slow-1)*g.stepShare(q)
	}
	if g.remote(r, q) {
		load += remotePenalty
	}
	return load
}

// remote reports whether a replica is known to be in another data centre.
func (g *Group) remote(r *replica, q *Request) bool {
	return r.DataCentre != "" && q.DataCentre != "" && r.DataCentre != q.DataCentre
}

// spread chooses one of the replicas with room by a hash of the request ID and the
// replica name, so that requests which several gateways place at the same time go to
// different replicas. Replicas of the preferred data centre come first, and among them those that are not slow.
func (g *Group) spread(now time.Time, q *Request, s *memory.Sequence) (*replica, string, placement) {
	var best *replica
	var bestRank int
	var highest uint64
	why := noneEligible
	for _, r := range g.available {
		if !g.eligible(r, q) {
			continue
		}
		if !g.hasRoom(now, r, q, s) {
			why = noRoom
			continue
		}
		rank, hash := g.spreadRank(r, q), xxhash.Sum64String(q.ID+"/"+r.Name)
		if best == nil || rank < bestRank || rank == bestRank && hash > highest {
			best, bestRank, highest = r, rank, hash
		}
	}
	if best == nil {
		return nil, "", why
	}
	return best, ReasonSpread, placed
}

// spreadRank orders the replicas for spread; 0 comes first.
func (g *Group) spreadRank(r *replica, q *Request) int {
	rank := 0
	if g.remote(r, q) {
		rank = 2
	}
	if g.slowness(r) > 1 {
		rank++
	}
	return rank
}

// eligible reports whether a replica may run the request, regardless of its room.
func (g *Group) eligible(r *replica, q *Request) bool {
	if !r.accepting() || slices.Contains(q.Exclude, r.Name) || q.SlowFrom != "" && !g.relieves(r, q) {
		return false
	}
	return !q.Suspect || r.suspects == 0
}

// hasRoom reports whether the replica has a free slot and memory for the request, and can read its
// prompt in time.
func (g *Group) hasRoom(now time.Time, r *replica, q *Request, s *memory.Sequence) bool {
	return g.roomLack(now, r, q, s) == LackNone
}

// roomLack returns what a replica lacks to run the request, and notes it for the request's account.
func (g *Group) roomLack(now time.Time, r *replica, q *Request, s *memory.Sequence) Lack {
	lack := LackNone
	switch {
	case slices.Contains(g.keptFor, r), !g.placingFloor && g.isReserved(r, g.placingRank):
		lack = LackTurn
	case !g.hasSlot(now, r):
		lack = LackSlots
	case !g.hasMemory(r, s):
		lack = LackMemory
	case !g.hasPrefillRoom(now, r, q):
		lack = LackPrompts
	}
	g.accounting.placing = max(g.accounting.placing, lack)
	return lack
}

func (g *Group) hasSlot(now time.Time, r *replica) bool {
	return r.occupied() < g.slots(r, now) && g.mayStart(now, r)
}

func (g *Group) hasMemory(r *replica, s *memory.Sequence) bool {
	l := s.Load()
	return g.hasMemoryFor(r, &l, g.entitled)
}

// prefixReplica returns the replica that has probably cached the longest known prefix
// of the request, if it has room and its number of grants is below affinityLoadFactor
// times the mean. Otherwise it tries shorter prefixes, and returns nil if no replica
// qualifies.
func (g *Group) prefixReplica(now time.Time, q *Request, s *memory.Sequence) *replica {
	if g.o.NoAffinity || len(g.available) == 0 {
		return nil
	}
	mean := float64(g.inFlight+1) / float64(len(g.available))
	for i := len(q.PrefixHashes) - 1; i >= 0; i-- {
		r := g.prefixes.lookup(q.PrefixHashes[i])
		// Reading a prefix again takes less time than the steps of a generation on a slow replica.
		if r == nil || !g.eligible(r, q) || g.slowness(r) > 1 {
			continue
		}
		if float64(len(r.running)) < affinityLoadFactor*mean && g.hasRoom(now, r, q, s) {
			return r
		}
	}
	return nil
}
