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

// Confirmed returns how long ago the platform's head was known to be at most
// revision; false if never. Gossip carries both to other gateways.
func (s *Syncer) Confirmed() (revision int64, age time.Duration, ok bool) {
	age = s.fresh.age()
	// The revision in force only grows, so read afterwards it is no lower than the
	// one that was confirmed.
	return s.Holder.Number(), age, age != math.MaxInt64
}

// HearConfirmation takes a confirmation from gossip: at the given instant, or
// after it, the platform's head was at most revision. The instant is a reading of
// this process's monotonic clock, so a pause on the way can't make it later. It
// doesn't count while a lower revision is in force here, so a gateway that can't
// fetch from its peers polls.
func (s *Syncer) HearConfirmation(revision int64, at time.Time) {
	if s.Holder.Number() < revision {
		return
	}
	s.fresh.confirm(at)
}
