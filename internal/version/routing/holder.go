package routing

import (
	"sync"
	"time"
)

// Holder keeps the version in force and the time at which its source last
// confirmed that there was no newer one. Versions only increase.
type Holder struct {
	mu    sync.RWMutex
	table *Table
	// confirmedAt is a time since boot, or 0 before the first confirmation.
	confirmedAt time.Duration
}

// Current returns the table in force, or nil before the first.
func (h *Holder) Current() *Table {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.table
}

// Install puts a newer version in force and reports whether it did.
func (h *Holder) Install(t *Table) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && t.Version <= h.table.Version {
		return false
	}
	h.table = t
	return true
}

// Confirm records that the newest version of the source at a time was the given
// one. The time is that at which the question was sent, because the answer may
// have been on its way for long. It is a time since boot, because the monotonic
// clock stands still while a host is suspended. A confirmation of an older version
// is ignored.
func (h *Holder) Confirm(version int64, askedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil || version < h.table.Version {
		return
	}
	h.confirmedAt = max(h.confirmedAt, askedAt)
}

// Age returns the time since the last confirmation; false if there was none.
func (h *Holder) Age(now time.Duration) (time.Duration, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil || h.confirmedAt == 0 {
		return 0, false
	}
	return now - h.confirmedAt, true
}
