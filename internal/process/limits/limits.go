// Package limits enforces the catalogue's rate and concurrency limits of
// workspaces and entries. Each gateway enforces a share of a limit, so that no
// message is needed for a request. The share is the limit divided by the number of
// live gateways until a gateway uses more than that; then one gateway, the home of
// the workspace or entry, divides the limit by demand. A burst of two seconds' worth
// is allowed at each gateway.
//
// Gateways that use less than their equal share tell nobody, so that the limit can
// be exceeded by what they use, at most twofold.
package limits

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

// burstSeconds is the time whose allowance may be used at once.
const burstSeconds = 2

// concurrencyRetryAfter is the advice when a concurrency limit is reached; the
// end of a running request cannot be foreseen.
const concurrencyRetryAfter = time.Second

// Limiter keeps the counters of one gateway. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	share   float64
	buckets map[string]*bucket
	// reportedAt is the start of the period of use.
	reportedAt time.Time
}

// New returns a limiter that enforces whole limits.
func New() *Limiter {
	return &Limiter{share: 1, buckets: make(map[string]*bucket)}
}

// bucket is the state of one workspace or entry.
type bucket struct {
	limits   catalogue.Limits
	share    float64
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	use      use
	wanted   wanted
	// allotted is the share that the home gave; it is in force until its end.
	allotted Share
	until    time.Time
}

// SetShare sets the fraction of each limit that this gateway may use.
func (l *Limiter) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// The prefixes of the names of buckets.
const (
	workspaceScope = "workspace "
	entryScope     = "entry "
)

// Lease is the permission to run one request. Release must be called once.
type Lease struct {
	limiter *Limiter
	held    []*bucket
	tokens  int
}

// Acquire admits a request of a workspace for an entry, or says which limit is
// reached. A refused request uses up nothing.
func (l *Limiter) Acquire(now time.Time, w *catalogue.Workspace, e *catalogue.Entry) (*Lease, *fault.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	scopes := []struct {
		name   string
		limits catalogue.Limits
	}{{workspaceScope + w.Name, w.Limits}, {entryScope + e.Name, e.Limits}}
	held := make([]*bucket, 0, len(scopes))
	for _, s := range scopes {
		b := l.bucket(now, s.name, s.limits)
		b.wanted.attempts++
		if err := b.check(now, s.name); err != nil {
			b.wanted.refused(err.Code)
			return nil, err
		}
		held = append(held, b)
	}
	for _, b := range held {
		b.take(now)
	}
	return &Lease{limiter: l, held: held}, nil
}

// Tokens charges generated tokens; debts delay later requests.
func (x *Lease) Tokens(now time.Time, n int) {
	x.limiter.mu.Lock()
	defer x.limiter.mu.Unlock()
	x.tokens += n
	for _, b := range x.held {
		b.charge(now, n)
		b.wanted.tokens += n
	}
}

// Release ends the request's use of its concurrency limits.
func (x *Lease) Release() {
	x.limiter.mu.Lock()
	defer x.limiter.mu.Unlock()
	for _, b := range x.held {
		b.running--
		b.wanted.ended(x.tokens)
	}
	x.held = nil
}

// bucket returns the state of a scope, adjusted to limits and share in force.
func (l *Limiter) bucket(now time.Time, name string, limits catalogue.Limits) *bucket {
	b := l.buckets[name]
	if b == nil {
		b = &bucket{use: newUse(now)}
		l.buckets[name] = b
	}
	if share := b.shareNow(now, l.share); b.limits != limits || b.share != share {
		b.adjust(now, limits, share)
	}
	return b
}

func (b *bucket) adjust(now time.Time, limits catalogue.Limits, share float64) {
	b.limits, b.share = limits, share
	b.requests = adjusted(now, b.requests, limits.RequestsPerSecond, share)
	b.tokens = adjusted(now, b.tokens, limits.TokensPerSecond, share)
}

// adjusted returns a limiter with this share of a rate that keeps the fill of
// the old one. The burst is not shared: a balancer spreads few requests
// unevenly, and a share of a small burst would refuse a workspace far below its
// limit.
func adjusted(now time.Time, old *rate.Limiter, perSecond, share float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	burst := max(1, int(math.Ceil(perSecond*burstSeconds)))
	if old == nil {
		return rate.NewLimiter(rate.Limit(perSecond*share), burst)
	}
	old.SetLimitAt(now, rate.Limit(perSecond*share))
	old.SetBurstAt(now, burst)
	return old
}

// check reports the first limit that is reached.
func (b *bucket) check(now time.Time, name string) *fault.Error {
	if b.atLimit(now) {
		return refusal(fault.ConcurrencyLimited, name, concurrencyRetryAfter, "%s runs %d requests at once here, its share of the limit of %d", name, b.running, b.limits.Concurrent)
	}
	if wait := untilPositive(now, b.requests, 1); wait > 0 {
		return refusal(fault.RateLimited, name, wait, "%s is over its limit of %v requests a second", name, b.limits.RequestsPerSecond)
	}
	if wait := untilPositive(now, b.tokens, 0); wait > 0 {
		return refusal(fault.RateLimited, name, wait, "%s is over its limit of %v tokens a second", name, b.limits.TokensPerSecond)
	}
	return nil
}

func refusal(code fault.Code, peer string, wait time.Duration, format string, args ...any) *fault.Error {
	return fault.New(code, "limits", peer, api.NotRun, format, args...).WithRetryAfter(wait)
}

// atLimit reports whether the share of the concurrency limit is used up. Without
// an allotment of the home, one request may always run.
func (b *bucket) atLimit(now time.Time) bool {
	switch {
	case b.limits.Concurrent == 0:
		return false
	case now.Before(b.until):
		return b.running >= b.allotted.Concurrent
	}
	return b.running >= max(1, int(math.Ceil(float64(b.limits.Concurrent)*b.share)))
}

// untilPositive returns the time until the bucket holds need tokens.
func untilPositive(now time.Time, r *rate.Limiter, need float64) time.Duration {
	if r == nil {
		return 0
	}
	missing := need - r.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(r.Limit()) * float64(time.Second))
}

func (b *bucket) take(now time.Time) {
	b.running++
	b.use.count(now, 1, 0)
	if b.requests != nil {
		b.requests.ReserveN(now, 1)
	}
}

func (b *bucket) charge(now time.Time, n int) {
	b.use.count(now, 0, n)
	if b.tokens == nil {
		return
	}
	for n > 0 {
		part := min(n, b.tokens.Burst())
		b.tokens.ReserveN(now, part)
		n -= part
	}
}
