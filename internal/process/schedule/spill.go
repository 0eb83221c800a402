package schedule

import (
	"time"

	"persimmonwing/internal/version/catalogue"
)

// SpillAfter is the time that an urgent request waits in its first group before it may
// move to another group with free slots. Groups are small, so that one can be short of
// memory for seconds while others are not.
const SpillAfter = 10 * time.Millisecond

// Spill chooses another group for an urgent request that has waited for SpillAfter in
// its first group: the group with the most free slots and no queued urgent requests. It
// returns false if there is none. sent returns the number of requests that this gateway
// has sent to a group since the group's last summary, so that an outdated summary does
// not attract more requests than the group has room for.
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
