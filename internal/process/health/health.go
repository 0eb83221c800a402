// Package health selects replicas of a service by fewest requests in flight, or lets its
// caller select one of the eligible ones. It ejects replicas after consecutive failures, up
// to a maximum fraction, and lets them return with a slow start. Budget limits retries.
package health

import (
	"slices"
	"sync"
	"time"

	"persimmonwing/internal/process/membership"
)

// Options configures a Set.
type Options struct {
	// FailuresToEject is the number of consecutive failures after which a replica is
	// ejected.
	FailuresToEject int
	// EjectFor is how long a replica stays ejected.
	EjectFor time.Duration
	// MaxEjected is the largest fraction of replicas that may be ejected at the same
	// time.
	MaxEjected float64
	// SlowStart is the time over which a returning replica's weight grows to 1.
	SlowStart time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		FailuresToEject: 3,
		EjectFor:        5 * time.Second,
		MaxEjected:      0.5,
		SlowStart:       10 * time.Second,
	}
}

// minSlowStartWeight is the weight with which a returning replica starts.
const minSlowStartWeight = 0.1

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

// Result is the outcome of a call to a replica.
type Result int

// The values of Result.
const (
	// Success means that the replica answered, whatever the answer.
	Success Result = iota
	// Failure means that the call was lost or refused.
	Failure
	// Abandoned means that the caller stopped waiting; it says nothing about the
	// replica's health.
	Abandoned
)

// Eligible is a replica that may be selected.
type Eligible struct {
	membership.Backend
	// Share is its slow-start weight: 1 or less.
	Share float64
}

// Chooser selects one of the eligible replicas by its index. It returns a negative number to leave the choice to
// the numbers of requests in flight.
type Chooser func(eligible []Eligible) int

// Pick selects the accepting replica with the lowest weighted number of requests in
// flight that is neither ejected nor excluded, unless choose, which may be nil, selects
// another one. It counts one more request in flight to it. The caller must call done
// once. Pick returns false if no replica is eligible.
func (s *Set) Pick(now time.Time, candidates []membership.Backend, exclude []string, choose Chooser) (b membership.Backend, done func(time.Time, Result), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var eligible []Eligible
	best := -1
	var bestLoad float64
	for _, c := range candidates {
		if !c.Accepting || slices.Contains(exclude, c.Name) || s.ejected(now, c.Name) {
			continue
		}
		share := s.share(now, c.Name)
		load := float64(s.replica(c.Name).inFlight+1) / share
		if best < 0 || load < bestLoad {
			best, bestLoad = len(eligible), load
		}
		eligible = append(eligible, Eligible{Backend: c, Share: share})
	}
	if best < 0 {
		return membership.Backend{}, nil, false
	}
	if choose != nil {
		if i := choose(eligible); i >= 0 {
			best = i
		}
	}
	b = eligible[best].Backend
	s.replica(b.Name).inFlight++
	total := len(candidates)
	return b, func(at time.Time, r Result) { s.finish(at, b.Name, r, total) }, true
}

// Return begins the slow start of a replica that gets work again after a planned break.
func (s *Set) Return(now time.Time, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica(name).returnedAt = now
}

// IsEjected reports whether a replica is ejected at now.
func (s *Set) IsEjected(now time.Time, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ejected(now, name)
}

// Ejected returns the number of replicas ejected at now.
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

// share returns a replica's slow-start weight.
func (s *Set) share(now time.Time, name string) float64 {
	r := s.replica(name)
	if since := now.Sub(r.returnedAt); !r.returnedAt.IsZero() && since < s.opts.SlowStart {
		return max(minSlowStartWeight, float64(since)/float64(s.opts.SlowStart))
	}
	return 1
}

// finish records the result of a call and ejects the replica if necessary. The limit on
// ejections is a fraction of total, the number of candidates of the call, so that an
// ejection never leaves a service without a replica.
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
