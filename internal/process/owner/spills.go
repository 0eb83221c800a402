package owner

import (
	"sync"
	"time"

	"persimmonwing/internal/process/schedule"
)

// spillMemory is how long a request that was sent to another group counts
// against the free slots of that group's summary. Summaries are published every
// second and take about as long to arrive.
const spillMemory = 2 * time.Second

// spills remembers the requests that this gateway has lately sent to other
// groups than their first.
type spills struct {
	mu   sync.Mutex
	sent map[schedule.GroupKey][]time.Time
}

func (s *spills) add(now time.Time, k schedule.GroupKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == nil {
		s.sent = map[schedule.GroupKey][]time.Time{}
	}
	s.sent[k] = append(s.recent(now, k), now)
}

// count returns the requests lately sent to a group.
func (s *spills) count(now time.Time, k schedule.GroupKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.recent(now, k))
}

// recent drops what is older than spillMemory.
func (s *spills) recent(now time.Time, k schedule.GroupKey) []time.Time {
	sent := s.sent[k]
	old := 0
	for old < len(sent) && now.Sub(sent[old]) > spillMemory {
		old++
	}
	return sent[old:]
}
