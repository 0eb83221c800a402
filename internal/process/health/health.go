// Package health chooses among the replicas of a service and keeps failing ones
// out: least requests in flight, ejection after consecutive failures with a cap,
// and slow start on return. Budget bounds retries.
package health

import (
	"slices"
	"sync"
	"time"

	"persimmonwing/internal/process/membership"
)

// Options tunes a Set.
type Options struct {
	// FailuresToEject is the number of consecutive failures that eject a replica.
	FailuresToEject int
	// EjectFor is the time for which a replica is ejected.
	EjectFor time.Duration
	// MaxEjected is the largest fraction of the replicas ejected at once.
	MaxEjected float64
	// SlowStart is the time over which a returning replica's weight grows to 1.
	SlowStart time.Duration
}

// DefaultOptions returns the values of the design.
func DefaultOptions() Options {
	return Options{
		FailuresToEject: 3,
		EjectFor:        5 * time.Second,
		MaxEjected:      0.5,
		SlowStart:       10 * time.Second,
	}
}

// slowStartFloor is the weight with which a returning replica starts.
const slowStartFloor = 0.1

// Set tracks the replicas of one service. It is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	opts     Options
	replicas map[string]*replica
}

type replica struct {
	inFlight     int
	failures     int
	ejectedUntil time.Time
	returnedAt   time.Time
}

// NewSet returns an empty set.
func NewSet(o Options) *Set {
	return &Set{opts: o, replicas: make(map[string]*replica)}
}

// Result tells how a call to a replica ended.
type Result int

// The values of Result.
const (
	// Success is any answer of the replica.
	Success Result = iota
	// Failure is a lost or refused call.
	Failure
	// Abandoned is a call whose caller left; it says nothing of the replica.
	Abandoned
)

// Pick chooses the accepting replica with the fewest weighted requests in
// flight that is neither ejected nor excluded, and counts a request at it. The
// caller must call done once. It returns false when there is none.
func (s *Set) Pick(now time.Time, candidates []membership.Backend, exclude []string) (b membership.Backend, done func(time.Time, Result), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := -1
	var bestLoad float64
	for i, c := range candidates {
		if !c.Accepting || slices.Contains(exclude, c.Name) || s.ejected(now, c.Name) {
			continue
		}
		load := s.load(now, c.Name)
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return membership.Backend{}, nil, false
	}
	b = candidates[best]
	s.replica(b.Name).inFlight++
	total := len(candidates)
	return b, func(at time.Time, r Result) { s.finish(at, b.Name, r, total) }, true
}

// IsEjected reports whether a replica is ejected now.
func (s *Set) IsEjected(now time.Time, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ejected(now, name)
}

// Ejected counts the replicas ejected now.
func (s *Set) Ejected(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countEjected(now)
}

func (s *Set) countEjected(now time.Time) int {
	n := 0
	for _, r := range s.replicas {
		if now.Before(r.ejectedUntil) {
			n++
		}
	}
	return n
}

func (s *Set) replica(name string) *replica {
	r := s.replicas[name]
	if r == nil {
		r = &replica{}
		s.replicas[name] = r
	}
	return r
}

func (s *Set) ejected(now time.Time, name string) bool {
	r := s.replicas[name]
	return r != nil && now.Before(r.ejectedUntil)
}

// load is the number of requests in flight after one more, divided by the
// replica's slow-start weight.
func (s *Set) load(now time.Time, name string) float64 {
	r := s.replica(name)
	weight := 1.0
	if since := now.Sub(r.returnedAt); !r.returnedAt.IsZero() && since < s.opts.SlowStart {
		weight = max(slowStartFloor, float64(since)/float64(s.opts.SlowStart))
	}
	return float64(r.inFlight+1) / weight
}

// finish ends one request. The cap on ejections counts against all candidates
// of the call, so that a service never ejects every replica.
func (s *Set) finish(now time.Time, name string, result Result, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.replica(name)
	r.inFlight--
	switch result {
	case Success:
		r.failures = 0
	case Failure:
		r.failures++
		if r.failures >= s.opts.FailuresToEject && float64(s.countEjected(now)+1) <= s.opts.MaxEjected*float64(total) {
			r.failures = 0
			r.ejectedUntil = now.Add(s.opts.EjectFor)
			r.returnedAt = r.ejectedUntil
		}
	}
}
