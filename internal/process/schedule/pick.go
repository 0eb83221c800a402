package schedule

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwing/internal/version/catalogue"
)

const (
	// replicasPerShard limits the size of a group and thus the work of its owner.
	replicasPerShard = 16
	// localWaitUrgent and localWaitBackground are the predicted waits above which a
	// request of the class may be sent to another data centre.
	localWaitUrgent     = 50 * time.Millisecond
	localWaitBackground = 2 * time.Second
)

// predictedWait returns the predicted wait of a class in milliseconds.
func (s *Summary) predictedWait(class catalogue.Class) int64 {
	if class == catalogue.Background {
		return s.WaitBackgroundMS
	}
	return s.WaitUrgentMS
}

// PickGroup chooses the group for a request. It takes the better of two random local
// groups of the model, unless the predicted wait there is above the threshold of the
// request's class. In that case it takes the better of two random groups of other data
// centres, if that one is better than the local one. It returns false if no group of
// the model has a replica.
func PickGroup(candidates []Summary, r Request, localDataCentre string, rnd *rand.Rand) (GroupKey, bool) {
	local := choose(candidates, r, rnd, func(s *Summary) bool { return s.Group.DataCentre == localDataCentre })
	threshold := localWaitUrgent
	if r.Class == catalogue.Background {
		threshold = localWaitBackground
	}
	if local != nil && local.predictedWait(r.Class) <= threshold.Milliseconds() {
		return local.Group, true
	}
	other := choose(candidates, r, rnd, func(s *Summary) bool { return s.Group.DataCentre != localDataCentre })
	best := better(local, other, r.Class)
	if best == nil {
		return GroupKey{}, false
	}
	return best.Group, true
}

// choose returns the better one of two random groups that have replicas of the model
// and are eligible. If it returned the best of all groups, all gateways would choose
// the same one until the next reports.
func choose(candidates []Summary, r Request, rnd *rand.Rand, eligible func(*Summary) bool) *Summary {
	var first, second *Summary
	seen := 0
	for i := range candidates {
		s := &candidates[i]
		if s.Group.Model != r.Model || s.Replicas == 0 || !eligible(s) {
			continue
		}
		seen++
		first, second = sample(first, second, s, seen, rnd)
	}
	return better(first, second, r.Class)
}

// sample is one step of reservoir sampling. It keeps two of the groups seen so far, so
// that each pair is equally likely.
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

// better returns the group with the shorter predicted wait, or of equal ones the group
// with more free slots. It may be called with nil and then returns the other group.
func better(a, b *Summary, class catalogue.Class) *Summary {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.predictedWait(class) != b.predictedWait(class):
		if a.predictedWait(class) < b.predictedWait(class) {
			return a
		}
		return b
	case b.FreeSlots > a.FreeSlots:
		return b
	}
	return a
}

// ShardCount returns the number of shards that a number of replicas is divided into.
func ShardCount(replicas int) int {
	return max(1, (replicas+replicasPerShard-1)/replicasPerShard)
}

// ShardOf returns the shard of a replica. It uses rendezvous hashing, so that few
// replicas move to another shard when the number of shards changes.
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
