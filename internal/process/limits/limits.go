// Package limits enforces the catalogue's rate and concurrency limits of
// workspaces and entries. Each gateway enforces a share of a limit locally, so that
// admitting a request needs no message. By default this is the equal share: the limit
// divided by the number of live gateways. When a gateway uses more than that, the
// gateway responsible for the workspace or entry divides the limit by demand. Each
// gateway allows a burst of two seconds of the whole rate.
//
// Gateways that use less than their equal share don't report to the responsible
// gateway, so the limit can be exceeded by what they use, at most twofold.
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

// burstSeconds is the size of a burst: the number of seconds of the rate that may be
// used at once.
const burstSeconds = 2

// concurrencyRetryAfter is the retry delay returned when a concurrency limit is
// reached. It is fixed, because the end of a running request cannot be predicted.
const concurrencyRetryAfter = time.Second

// Limiter enforces limits at one gateway. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	share   float64
	buckets map[string]*bucket
	// reportedAt is when the current reporting period began.
	reportedAt time.Time
}

// New returns a limiter that enforces whole limits until SetShare is called.
func New() *Limiter {
	return &Limiter{share: 1, buckets: make(map[string]*bucket)}
}

// bucket is the state of one scope, that is, of a workspace or an entry.
type bucket struct {
	limits       catalogue.Limits
	share        float64
	requests     *rate.Limiter
	tokens       *rate.Limiter
	running      int
	usage        usage
	demandCounts demandCounts
	// assigned is the share that the responsible gateway assigned; it expires at until.
	assigned Share
	until    time.Time
}

// SetShare sets the equal share: the fraction of each limit that this gateway may use
// while the responsible gateway has not assigned a share of that limit.
func (l *Limiter) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// The prefixes of scope names.
const (
	workspaceScope = "workspace "
	entryScope     = "entry "
)

// Lease is the admission of one request. Release must be called once.
type Lease struct {
	limiter *Limiter
	held    []*bucket
	tokens  int
}

// Acquire admits a request of a workspace for an entry, or returns an error that names
// the limit reached. A refused request consumes nothing of either limit.
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
		b.demandCounts.attempts++
		if err := b.check(now, s.name); err != nil {
			b.demandCounts.countRefusal(err.Code)
			return nil, err
		}
		held = append(held, b)
	}
	for _, b := range held {
		b.admit(now)
	}
	return &Lease{limiter: l, held: held}, nil
}

// Tokens charges n generated tokens. A negative token balance delays later requests.
func (x *Lease) Tokens(now time.Time, n int) {
	x.limiter.mu.Lock()
	defer x.limiter.mu.Unlock()
	x.tokens += n
	for _, b := range x.held {
		b.charge(now, n)
		b.demandCounts.tokens += n
	}
}

// Release frees the request's concurrency slots.
func (x *Lease) Release() {
	x.limiter.mu.Lock()
	defer x.limiter.mu.Unlock()
	for _, b := range x.held {
		b.running--
		b.demandCounts.countEnd(x.tokens)
	}
	x.held = nil
}

// bucket returns the state of a scope, updated to limits and to the current share. It
// creates the state if necessary.
func (l *Limiter) bucket(now time.Time, name string, limits catalogue.Limits) *bucket {
	b := l.buckets[name]
	if b == nil {
		b = &bucket{usage: newUsage(now)}
		l.buckets[name] = b
	}
	if share := b.currentShare(now, l.share); b.limits != limits || b.share != share {
		b.adjust(now, limits, share)
	}
	return b
}

func (b *bucket) adjust(now time.Time, limits catalogue.Limits, share float64) {
	b.limits, b.share = limits, share
	b.requests = adjusted(now, b.requests, limits.RequestsPerSecond, share)
	b.tokens = adjusted(now, b.tokens, limits.TokensPerSecond, share)
}

// adjusted returns a limiter for this share of a rate that keeps the fill level of the
// old one. The burst is not divided: a balancer spreads a small number of requests
// unevenly, and with a share of a small burst the gateway would refuse a workspace far
// below its limit.
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

// check returns an error for the first limit that is reached, or nil.
func (b *bucket) check(now time.Time, name string) *fault.Error {
	if b.atLimit(now) {
		return refusal(fault.ConcurrencyLimited, name, concurrencyRetryAfter, "%s runs %d requests at once here, its share of the limit of %d", name, b.running, b.limits.Concurrent)
	}
	if wait := timeUntil(now, b.requests, 1); wait > 0 {
		return refusal(fault.RateLimited, name, wait, "%s is over its limit of %v requests a second", name, b.limits.RequestsPerSecond)
	}
	if wait := timeUntil(now, b.tokens, 0); wait > 0 {
		return refusal(fault.RateLimited, name, wait, "%s is over its limit of %v tokens a second", name, b.limits.TokensPerSecond)
	}
	return nil
}

func refusal(code fault.Code, peer string, wait time.Duration, format string, args ...any) *fault.Error {
	return fault.New(code, "limits", peer, api.NotRun, format, args...).WithRetryAfter(wait)
}

// atLimit reports whether the share of the concurrency limit is used up. Without a
// share assigned by the responsible gateway, one request may always run.
func (b *bucket) atLimit(now time.Time) bool {
	switch {
	case b.limits.Concurrent == 0:
		return false
	case now.Before(b.until):
		return b.running >= b.assigned.Concurrent
	}
	return b.running >= max(1, int(math.Ceil(float64(b.limits.Concurrent)*b.share)))
}

// timeUntil returns the time until the token bucket r contains need tokens.
func timeUntil(now time.Time, r *rate.Limiter, need float64) time.Duration {
	if r == nil {
		return 0
	}
	missing := need - r.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(r.Limit()) * float64(time.Second))
}

func (b *bucket) admit(now time.Time) {
	b.running++
	b.usage.count(now, 1, 0)
	if b.requests != nil {
		b.requests.ReserveN(now, 1)
	}
}

func (b *bucket) charge(now time.Time, n int) {
	b.usage.count(now, 0, n)
	if b.tokens == nil {
		return
	}
	for n > 0 {
		part := min(n, b.tokens.Burst())
		b.tokens.ReserveN(now, part)
		n -= part
	}
}
