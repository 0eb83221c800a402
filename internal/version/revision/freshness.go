package revision

import (
	"math"
	"sync"
	"time"
)

// freshness keeps the latest instant at which the revision in force was known
// to be at least the platform's head. It uses the monotonic clock only.
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

// age is the largest duration while nothing was confirmed yet.
func (f *freshness) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return math.MaxInt64
	}
	return time.Since(f.at)
}

// PolledSince reports whether a poll that began after t brought the head's
// revision into force, as far as its body is valid.
func (s *Syncer) PolledSince(t time.Time) bool {
	s.settled.mu.Lock()
	defer s.settled.mu.Unlock()
	return s.settled.known && s.settled.at.After(t)
}

// Confirmed returns how long ago the revision in force was confirmed to be at
// least the platform's head; false if never. Gossip carries it to other
// gateways together with the revision.
func (s *Syncer) Confirmed() (age time.Duration, ok bool) {
	age = s.fresh.age()
	return age, age != math.MaxInt64
}

// HearConfirmation takes a confirmation from gossip: the given age ago the
// platform's head was at most revision. It doesn't count while a lower revision
// is in force here, so a gateway that can't fetch from its peers polls.
func (s *Syncer) HearConfirmation(revision int64, age time.Duration) {
	if age < 0 || s.Holder.Number() < revision {
		return
	}
	s.fresh.confirm(time.Now().Add(-age))
}
