package limits

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmonwing/internal/version/catalogue"
)

const (
	// useTick is the time that metrics.EWMA expects between two ticks.
	useTick = 5 * time.Second
	// useTimeConstant is the time constant of the moving averages. It is short enough
	// that an operator sees a flood begin and end within half a minute.
	useTimeConstant = 10 * time.Second
	// resetAfterTicks is the number of ticks without a request after which the averages
	// are reset. By then the rate has decayed to e^-30 of the last one.
	resetAfterTicks = 60
)

// useAlpha is the weight of the last tick in the moving averages.
var useAlpha = 1 - math.Exp(-useTick.Seconds()/useTimeConstant.Seconds())

// Use is a workspace's current use of this gateway.
type Use struct {
	// RequestsPerSecond is the rate of admitted requests and TokensPerSecond that of
	// generated tokens. Both are moving averages over about 10 s.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrent is the number of requests running now.
	Concurrent int
}

// usage contains the moving averages of one scope.
type usage struct {
	requests, tokens metrics.EWMA
	lastTick         time.Time
}

func newUsage(now time.Time) usage {
	return usage{requests: metrics.NewEWMA(useAlpha), tokens: metrics.NewEWMA(useAlpha), lastTick: now}
}

// count adds requests and tokens to the current tick.
func (u *usage) count(now time.Time, requests, tokens int) {
	u.advance(now)
	u.requests.Update(int64(requests))
	u.tokens.Update(int64(tokens))
}

// advance performs the ticks that are due. It is called on each use, so that no
// goroutine has to do it.
func (u *usage) advance(now time.Time) {
	if now.Sub(u.lastTick) > resetAfterTicks*useTick {
		*u = newUsage(now)
		return
	}
	for now.Sub(u.lastTick) >= useTick {
		u.lastTick = u.lastTick.Add(useTick)
		u.requests.Tick()
		u.tokens.Tick()
	}
}

// Use returns a workspace's current use; it is zero for an unknown workspace.
func (l *Limiter) Use(now time.Time, workspace string) Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[workspaceScope+workspace]
	if b == nil {
		return Use{}
	}
	b.usage.advance(now)
	return Use{RequestsPerSecond: b.usage.requests.Rate(), TokensPerSecond: b.usage.tokens.Rate(), Concurrent: b.running}
}

// Retain removes the state of workspaces and entries that are no longer in the
// catalogue, so that memory stays bounded over many edits. State with running
// requests is kept; a later call removes it.
func (l *Limiter) Retain(c *catalogue.Catalogue) {
	keep := make(map[string]bool, len(c.Workspaces)+len(c.Entries))
	for _, w := range c.Workspaces {
		keep[workspaceScope+w.Name] = true
	}
	for _, e := range c.Entries {
		keep[entryScope+e.Name] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.buckets {
		if !keep[name] && b.running == 0 {
			delete(l.buckets, name)
		}
	}
}
