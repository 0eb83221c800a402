package revision

import (
	"math"
	"sync"
	"time"
)

// freshness stores the latest time at which the current revision was known to be at
// least as high as the platform's head. It uses the monotonic clock only.
type freshness struct {
	mu    sync.Mutex
	at    time.Time
	known bool
}

func (f *freshness) confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || at.After(f.at) {
		f.at, f.known = at, true
	}
}

// age returns the time since the last confirmation, or the largest duration if there
// was none.
func (f *freshness) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return math.MaxInt64
	}
	return time.Since(f.at)
}

// PolledSince reports whether a poll that began after t succeeded, so that the revision
// of the head is installed unless its body is invalid.
func (s *Syncer) PolledSince(t time.Time) bool {
	s.handled.mu.Lock()
	defer s.handled.mu.Unlock()
	return s.handled.known && s.handled.at.After(t)
}

// Confirmed returns the current revision and the time since the platform's head was
// last known to be no higher. ok is false if it was never known. Gossip sends both
// values to other gateways.
func (s *Syncer) Confirmed() (revision int64, age time.Duration, ok bool) {
	age = s.fresh.age()
	// The current revision only increases, so a value that is read after the age is no
	// lower than the one that was confirmed.
	return s.Holder.Number(), age, age != math.MaxInt64
}

// ObserveConfirmation records a confirmation received by gossip: the platform's head was
// at most revision at the given time or later. The time is a reading of this process's
// monotonic clock, so a delay in transit cannot make the confirmation look more recent.
// The confirmation is ignored while this gateway's revision is lower, so that a
// gateway that cannot fetch from its peers polls the platform.
func (s *Syncer) ObserveConfirmation(revision int64, at time.Time) {
	if s.Holder.Number() < revision {
		return
	}
	s.fresh.confirm(at)
}
