package limits

import (
	"time"

	"golang.org/x/time/rate"

	"persimmonwing/internal/request/fault"
)

const (
	// reportLevel is the fill level of a token bucket, as a fraction of its burst,
	// below which the gateway reports its demand to the responsible gateway. Above that
	// level the gateway cannot have exceeded its equal share for long.
	reportLevel = 0.75
	// sizeWeight is the weight of the newest request in the moving average of tokens
	// per request.
	sizeWeight = 0.1
)

// Demand is the part of a limit that a gateway would use if it were not limited.
type Demand struct {
	// Scope names the workspace or entry.
	Scope string
	// Fraction is the demand as a fraction of the whole limit; it can be above 1.
	Fraction float64
	// Concurrent is the whole concurrency limit in requests, or 0 if there is none.
	Concurrent int
}

// Share is the part of a limit that the responsible gateway assigned to a gateway.
type Share struct {
	Scope string
	// Fraction is the fraction of the rate limits.
	Fraction float64
	// Concurrent is the number of requests that may run at the same time.
	Concurrent int
}

// demandCounts counts the requests for one scope, and their tokens, since the last
// report.
type demandCounts struct {
	attempts, refusedRate, refusedConcurrent int
	tokens                                   int
	// meanTokens is the moving average of generated tokens per request.
	meanTokens float64
}

func (w *demandCounts) countRefusal(code fault.Code) {
	if code == fault.ConcurrencyLimited {
		w.refusedConcurrent++
		return
	}
	w.refusedRate++
}

func (w *demandCounts) countEnd(tokens int) {
	if w.meanTokens == 0 {
		w.meanTokens = float64(tokens)
	}
	w.meanTokens += sizeWeight * (float64(tokens) - w.meanTokens)
}

// demandFraction returns the demand over a period as a fraction of the whole limit:
// the highest one of the limits that are set.
func (b *bucket) demandFraction(period time.Duration) float64 {
	seconds := period.Seconds()
	demand := 0.0
	if b.limits.RequestsPerSecond > 0 {
		demand = max(demand, float64(b.demandCounts.attempts)/seconds/b.limits.RequestsPerSecond)
	}
	if b.limits.TokensPerSecond > 0 {
		tokens := float64(b.demandCounts.tokens) + float64(b.demandCounts.refusedRate)*b.demandCounts.meanTokens
		demand = max(demand, tokens/seconds/b.limits.TokensPerSecond)
	}
	if b.limits.Concurrent > 0 {
		concurrent := b.running + b.demandCounts.refusedConcurrent
		demand = max(demand, float64(concurrent)/float64(b.limits.Concurrent))
	}
	return demand
}

// needsShare reports whether the gateway needs more than its equal share, or uses a
// share that the responsible gateway assigned to it.
func (b *bucket) needsShare(now time.Time, equal, fraction float64) bool {
	switch {
	case b.demandCounts.refusedRate+b.demandCounts.refusedConcurrent > 0:
		return true
	case now.Before(b.until) && fraction > 0:
		return true
	case float64(b.running) > float64(b.limits.Concurrent)*equal && b.limits.Concurrent > 0:
		return true
	}
	return belowReportLevel(now, b.requests) || belowReportLevel(now, b.tokens)
}

func belowReportLevel(now time.Time, r *rate.Limiter) bool {
	return r != nil && r.TokensAt(now) < reportLevel*float64(r.Burst())
}

// Demands returns the demand for each scope in which this gateway needs more than its
// equal share or uses an assigned one. It starts a new reporting period.
func (l *Limiter) Demands(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	period := now.Sub(l.reportedAt)
	l.reportedAt = now
	var out []Demand
	for name, b := range l.buckets {
		if f := b.demandFraction(period); b.needsShare(now, l.share, f) {
			out = append(out, Demand{Scope: name, Fraction: f, Concurrent: b.limits.Concurrent})
		}
		b.demandCounts = demandCounts{meanTokens: b.demandCounts.meanTokens}
	}
	return out
}

// SetShares applies the shares that a responsible gateway assigned. They expire at
// until.
func (l *Limiter) SetShares(until time.Time, shares []Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range shares {
		if b, known := l.buckets[s.Scope]; known {
			b.assigned = s
			b.until = until
		}
	}
}

// currentShare returns the assigned share, or the equal share if that has expired.
func (b *bucket) currentShare(now time.Time, equal float64) float64 {
	if now.Before(b.until) {
		return b.assigned.Fraction
	}
	return equal
}
