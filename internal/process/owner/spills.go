package owner

import (
	"sync"
	"time"

	"persimmonwing/internal/process/schedule"
)

// spillWindow is how long a request that was sent to another group counts against the
// free slots in that group's summary. Summaries are published every second and take
// about as long to arrive.
const spillWindow = 2 * time.Second

// spills records the requests that this gateway has recently sent to groups other than
// their first.
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

// count returns the number of requests sent to a group within spillWindow.
func (s *spills) count(now time.Time, k schedule.GroupKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.recent(now, k))
}

// recent returns the times in s.sent that are within spillWindow.
func (s *spills) recent(now time.Time, k schedule.GroupKey) []time.Time {
	sent := s.sent[k]
	old := 0
	for old < len(sent) && now.Sub(sent[old]) > spillWindow {
		old++
	}
	return sent[old:]
}
