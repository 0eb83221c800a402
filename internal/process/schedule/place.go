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
	// affinityBound is the multiple of the mean load up to which a replica is
	// preferred for its cached prefix.
	affinityBound = 1.25
	// placementTries bounds the replicas tried for an ordinary request, least
	// loaded first. It covers a whole shard, also an uneven one.
	placementTries = 32
	// memoryTries bounds those found short of memory: the next ones are fuller.
	memoryTries = 16
)

// placement says why a request was or was not placed. Of several reasons, the
// lowest counts.
type placement int

const (
	placed placement = iota
	// noRoom means that slots or memory are short.
	noRoom
	// isolated means that suspects or equal fingerprints must end first.
	isolated
	// overItsShare means that the free slots are kept for other workspaces.
	overItsShare
	// noneAccepts means that every replica is excluded or not accepting.
	noneAccepts
)

// place chooses a replica for a request.
func (g *Group) place(now time.Time, q *Request, s *memory.Sequence) (*replica, string, placement) {
	if g.o.Policy == PolicyBaseline {
		return g.leastLoaded(now, q, s)
	}
	if q.Spread {
		return g.spread(now, q, s)
	}
	if p, pinned := g.pinned[q.Fingerprint]; pinned && q.Fingerprint != 0 {
		if g.usable(p.replica, q) && g.hasRoom(now, p.replica, s) {
			return p.replica, ReasonFingerprint, placed
		}
		return nil, "", isolated
	}
	if r := g.affine(now, q, s); r != nil {
		return r, ReasonPrefix, placed
	}
	return g.leastLoaded(now, q, s)
}

// leastLoaded tries replicas in the order of the heap array, which starts with
// the least loaded one.
func (g *Group) leastLoaded(now time.Time, q *Request, s *memory.Sequence) (*replica, string, placement) {
	tries := len(g.available)
	if !q.Suspect && len(q.Exclude) == 0 && g.o.Policy != PolicyShared {
		tries = min(tries, placementTries)
	}
	var best *replica
	why := noneAccepts
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
		case !g.hasSlot(now, r):
			why = noRoom
		case !g.hasMemory(r, s):
			why = noRoom
			misses++
		default:
			best = r
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

// remotePenalty is added to the load of a replica of another data centre, so that
// one of the own data centre is preferred while it is a few grants fuller: the
// answer then crosses no data centre, and the memory of a generation that moves
// within one is copied in half the time.
const remotePenalty = 0.3

// unreadPenalty is added to the load for each prompt token that a replica has yet
// to read: prompts are read one after the other, at 14 tokens a millisecond, so that
// a few of them ahead cost a short generation its target.
const unreadPenalty = 0.5 / 14_000

// placementLoad is the load by which replicas are compared for a request.
func (g *Group) placementLoad(r *replica, q *Request) float64 {
	load := g.pressure(r)
	if g.remote(r, q) {
		load += remotePenalty
	}
	return load
}

// remote reports whether a replica is known to be in another data centre.
func (g *Group) remote(r *replica, q *Request) bool {
	return r.DataCentre != "" && q.DataCentre != "" && r.DataCentre != q.DataCentre
}

// spread chooses one of the replicas with room by a hash of the request, so that
// requests placed at the same moment by several gateways go to different ones.
func (g *Group) spread(now time.Time, q *Request, s *memory.Sequence) (*replica, string, placement) {
	var best *replica
	var bestRemote bool
	var highest uint64
	why := noneAccepts
	for _, r := range g.available {
		if !g.usable(r, q) {
			continue
		}
		if !g.hasRoom(now, r, s) {
			why = noRoom
			continue
		}
		remote, hash := g.remote(r, q), xxhash.Sum64String(q.ID+"/"+r.Name)
		if best == nil || bestRemote && !remote || bestRemote == remote && hash > highest {
			best, bestRemote, highest = r, remote, hash
		}
	}
	if best == nil {
		return nil, "", why
	}
	return best, ReasonSpread, placed
}

// usable reports whether a replica may run the request, room aside.
func (g *Group) usable(r *replica, q *Request) bool {
	if !r.accepting() || slices.Contains(q.Exclude, r.Name) {
		return false
	}
	return !q.Suspect || r.suspects == 0
}

// hasRoom reports whether the replica has a slot and memory for the request.
func (g *Group) hasRoom(now time.Time, r *replica, s *memory.Sequence) bool {
	return g.hasSlot(now, r) && g.hasMemory(r, s)
}

func (g *Group) hasSlot(now time.Time, r *replica) bool {
	return r.occupied() < g.slots(r, now)
}

func (g *Group) hasMemory(r *replica, s *memory.Sequence) bool {
	l := s.Load()
	return g.hasMemoryFor(r, &l, g.entitled)
}

// affine returns the replica that holds the longest known prefix, if its load
// is near the mean and it has room.
func (g *Group) affine(now time.Time, q *Request, s *memory.Sequence) *replica {
	if g.o.NoAffinity || len(g.available) == 0 {
		return nil
	}
	mean := float64(g.inFlight+1) / float64(len(g.available))
	for i := len(q.PrefixHashes) - 1; i >= 0; i-- {
		r := g.prefixes.lookup(q.PrefixHashes[i])
		if r == nil || !g.usable(r, q) {
			continue
		}
		if float64(len(r.running)) < affinityBound*mean && g.hasRoom(now, r, s) {
			return r
		}
	}
	return nil
}
