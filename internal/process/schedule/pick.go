package schedule

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwing/internal/version/catalogue"
)

const (
	// replicasPerShard bounds a group, so that its owner's work stays small.
	replicasPerShard = 16
	// A request leaves its data centre when the predicted wait there is longer.
	localWaitUrgent     = 50 * time.Millisecond
	localWaitBackground = 2 * time.Second
)

// wait returns the predicted wait of a class in milliseconds.
func (s *Summary) wait(class catalogue.Class) int64 {
	if class == catalogue.Background {
		return s.WaitBackgroundMS
	}
	return s.WaitUrgentMS
}

// PickGroup chooses the group for a request: the local group of its model with
// the least predicted wait, unless that wait is above the threshold of its
// class; else the better of two random groups of other data centres, if that
// is better than the local one. It returns false when no group of the model
// has a replica.
func PickGroup(candidates []Summary, r Request, localDataCentre string, rnd *rand.Rand) (GroupKey, bool) {
	local := choose(candidates, r, rnd, func(s *Summary) bool { return s.Group.DataCentre == localDataCentre })
	threshold := localWaitUrgent
	if r.Class == catalogue.Background {
		threshold = localWaitBackground
	}
	if local != nil && local.wait(r.Class) <= threshold.Milliseconds() {
		return local.Group, true
	}
	other := choose(candidates, r, rnd, func(s *Summary) bool { return s.Group.DataCentre != localDataCentre })
	best := better(local, other, r.Class)
	if best == nil {
		return GroupKey{}, false
	}
	return best.Group, true
}

// choose takes two random usable groups and returns the better one. Choosing
// the best of all would send every gateway to the same group between reports.
func choose(candidates []Summary, r Request, rnd *rand.Rand, among func(*Summary) bool) *Summary {
	var first, second *Summary
	seen := 0
	for i := range candidates {
		s := &candidates[i]
		if s.Group.Model != r.Model || s.Replicas == 0 || !among(s) {
			continue
		}
		seen++
		first, second = sample(first, second, s, seen, rnd)
	}
	return better(first, second, r.Class)
}

// sample keeps two of the groups seen so far, each pair equally likely.
func sample(first, second, next *Summary, seen int, rnd *rand.Rand) (*Summary, *Summary) {
	if seen <= 2 {
		return next, first
	}
	switch rnd.IntN(seen) {
	case 0:
		return next, second
	case 1:
		return first, next
	}
	return first, second
}

// better returns the group with the shorter wait, then with more free slots.
func better(a, b *Summary, class catalogue.Class) *Summary {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.wait(class) != b.wait(class):
		if a.wait(class) < b.wait(class) {
			return a
		}
		return b
	case b.FreeSlots > a.FreeSlots:
		return b
	}
	return a
}

// ShardCount returns the number of shards for a number of replicas.
func ShardCount(replicas int) int {
	return max(1, (replicas+replicasPerShard-1)/replicasPerShard)
}

// ShardOf returns the shard of a replica by rendezvous hashing, so that few
// replicas move when the number of shards changes.
func ShardOf(replica string, shards int) int {
	best, highest := 0, uint64(0)
	var buffer [80]byte
	for shard := range shards {
		b := strconv.AppendInt(buffer[:0], int64(shard), 10)
		b = append(b, '/')
		b = append(b, replica...)
		if h := xxhash.Sum64(b); h >= highest {
			best, highest = shard, h
		}
	}
	return best
}
