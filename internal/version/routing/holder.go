package routing

import (
	"slices"
	"sync"
	"time"
)

// Holder stores the current configuration version and the time at which its source
// last confirmed that no newer one exists. The version never decreases. A Holder is
// safe for concurrent use.
type Holder struct {
	mu    sync.RWMutex
	table *Table
	// replaced holds the tables before the current one, the newest last.
	replaced []replacedTable
	// confirmedAt is a time since boot, or 0 before the first confirmation.
	confirmedAt time.Duration
	// changed is closed at the next installation or confirmation, if somebody waits for it.
	changed chan struct{}
}

// Changed returns a channel that is closed at the next installation or confirmation.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// wake closes the channel of Changed. The caller holds the lock.
func (h *Holder) wake() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// Current returns the current table, or nil if none was installed yet.
func (h *Holder) Current() *Table {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.table
}

// Install makes t the current table if its version is higher than the current one, and
// reports whether it did. now is a time since boot.
func (h *Holder) Install(t *Table, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && t.Version <= h.table.Version {
		return false
	}
	if h.table != nil {
		h.replaced = slices.DeleteFunc(h.replaced, func(r replacedTable) bool { return now-r.at > replacedRetention })
		h.replaced = append(h.replaced, replacedTable{h.table, now})
	}
	h.table = t
	h.wake()
	return true
}

// replacedRetention is how long a table is kept after it was replaced. It exceeds the lifetime of streams that callers may take up.
const replacedRetention = time.Minute

// replacedTable is a table with the time since boot at which it was replaced.
type replacedTable struct {
	*Table
	at time.Duration
}

// Services returns the services to which the route of a name has led within a time before now, a time since boot.
func (h *Holder) Services(route string, now, within time.Duration) []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var out []string
	add := func(t *Table) {
		r := t.named[route]
		if r == nil {
			return
		}
		for _, s := range r.Split {
			if !slices.Contains(out, s.Service) {
				out = append(out, s.Service)
			}
		}
	}
	for _, t := range h.replaced {
		if now-t.at <= within {
			add(t.Table)
		}
	}
	if h.table != nil {
		add(h.table)
	}
	return out
}

// Confirm records that version was the newest one of the source at sentAt, the time
// since boot at which the request to the source was sent. The time of the response is
// not used, because the response may have been delayed. The time is counted from boot,
// because the monotonic clock stops while a host is suspended. A confirmation of a
// version lower than the current one is ignored.
func (h *Holder) Confirm(version int64, sentAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil || version < h.table.Version {
		return
	}
	h.confirmedAt = max(h.confirmedAt, sentAt)
	h.wake()
}

// Age returns the time from the last confirmation to now, a time since boot. It returns
// false if there was no confirmation.
func (h *Holder) Age(now time.Duration) (time.Duration, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil || h.confirmedAt == 0 {
		return 0, false
	}
	return now - h.confirmedAt, true
}
