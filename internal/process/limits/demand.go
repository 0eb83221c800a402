package limits

import (
	"time"

	"golang.org/x/time/rate"

	"persimmonwing/internal/request/fault"
)

const (
	// reportBelow is the fill of a bucket under which the gateway asks the home for
	// an allotment. Above it, it uses no more than its equal share for long.
	reportBelow = 0.75
	// sizeWeight is the weight of the newest request in the mean number of tokens.
	sizeWeight = 0.1
)

// Demand is what a gateway would use of a limit.
type Demand struct {
	// Scope names the workspace or entry.
	Scope string
	// Fraction is the demand in parts of the whole limit; it can be above 1.
	Fraction float64
	// Concurrent is the whole concurrency limit, 0 if there is none.
	Concurrent int
}

// Share is a gateway's allotment of a limit.
type Share struct {
	Scope string
	// Fraction is the part of the rates.
	Fraction float64
	// Concurrent is the number of requests at once.
	Concurrent int
}

// wanted counts what was asked of one bucket since the last report.
type wanted struct {
	attempts, refusedRate, refusedConcurrent int
	tokens                                   int
	// meanTokens is the mean number of tokens of a request.
	meanTokens float64
}

func (w *wanted) refused(code fault.Code) {
	if code == fault.ConcurrencyLimited {
		w.refusedConcurrent++
		return
	}
	w.refusedRate++
}

func (w *wanted) ended(tokens int) {
	if w.meanTokens == 0 {
		w.meanTokens = float64(tokens)
	}
	w.meanTokens += sizeWeight * (float64(tokens) - w.meanTokens)
}

// fraction is the demand in parts of the whole limit over a period.
func (b *bucket) fraction(period time.Duration) float64 {
	seconds := period.Seconds()
	demand := 0.0
	if b.limits.RequestsPerSecond > 0 {
		demand = max(demand, float64(b.wanted.attempts)/seconds/b.limits.RequestsPerSecond)
	}
	if b.limits.TokensPerSecond > 0 {
		tokens := float64(b.wanted.tokens) + float64(b.wanted.refusedRate)*b.wanted.meanTokens
		demand = max(demand, tokens/seconds/b.limits.TokensPerSecond)
	}
	if b.limits.Concurrent > 0 {
		concurrent := b.running + b.wanted.refusedConcurrent
		demand = max(demand, float64(concurrent)/float64(b.limits.Concurrent))
	}
	return demand
}

// short reports whether the gateway needs more than its equal share, or has an
// allotment that it uses.
func (b *bucket) short(now time.Time, equal, fraction float64) bool {
	switch {
	case b.wanted.refusedRate+b.wanted.refusedConcurrent > 0:
		return true
	case now.Before(b.until) && fraction > 0:
		return true
	case float64(b.running) > float64(b.limits.Concurrent)*equal && b.limits.Concurrent > 0:
		return true
	}
	return low(now, b.requests) || low(now, b.tokens)
}

func low(now time.Time, r *rate.Limiter) bool {
	return r != nil && r.TokensAt(now) < reportBelow*float64(r.Burst())
}

// Demands returns the demand on every limit of which this gateway needs more than
// its equal share, and starts a new period.
func (l *Limiter) Demands(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	period := now.Sub(l.reportedAt)
	l.reportedAt = now
	var out []Demand
	for name, b := range l.buckets {
		if f := b.fraction(period); b.short(now, l.share, f) {
			out = append(out, Demand{Scope: name, Fraction: f, Concurrent: b.limits.Concurrent})
		}
		b.wanted = wanted{meanTokens: b.wanted.meanTokens}
	}
	return out
}

// SetShares puts allotments of the home in force until a time.
func (l *Limiter) SetShares(until time.Time, shares []Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range shares {
		if b, known := l.buckets[s.Scope]; known {
			b.allotted = s
			b.until = until
		}
	}
}

// shareNow returns the allotment in force, or the equal share.
func (b *bucket) shareNow(now time.Time, equal float64) float64 {
	if now.Before(b.until) {
		return b.allotted.Fraction
	}
	return equal
}
