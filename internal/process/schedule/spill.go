package schedule

import (
	"time"

	"persimmonwing/internal/version/catalogue"
)

// SpillAfter is how long an urgent request waits in its first group while
// another has free slots. Groups are small, so that one can be short of memory
// for seconds while others are not.
const SpillAfter = 10 * time.Millisecond

// Spill chooses the group to ask when a request has waited SpillAfter in the
// first one: the one with most free slots and no urgent queue. sent counts what
// this gateway has sent to a group since its last summary, so that a stale
// summary does not attract more than it has room for.
func Spill(candidates []Summary, r Request, first GroupKey, sent func(GroupKey) int) (GroupKey, bool) {
	if r.Class != catalogue.Urgent {
		return GroupKey{}, false
	}
	var best GroupKey
	most := 0
	for i := range candidates {
		s := &candidates[i]
		if s.Group == first || s.Group.Model != r.Model || s.Replicas == 0 || s.QueuedUrgent > 0 {
			continue
		}
		if free := s.FreeSlots - sent(s.Group); free > most {
			best, most = s.Group, free
		}
	}
	return best, most > 0
}
