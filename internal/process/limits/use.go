package limits

import (
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"persimmonwing/internal/version/catalogue"
)

const (
	// useTick is the period that metrics.EWMA expects between two ticks.
	useTick = 5 * time.Second
	// useSpan is the time constant of the moving averages. It is short enough
	// that an operator sees a flood begin and end within half a minute.
	useSpan = 10 * time.Second
	// forgetAfter is the number of ticks without a request after which no rate
	// is left: e^-30 of the last one.
	forgetAfter = 60
)

// useAlpha is the weight of the last tick.
var useAlpha = 1 - math.Exp(-useTick.Seconds()/useSpan.Seconds())

// Use is what a workspace used at this gateway.
type Use struct {
	// RequestsPerSecond counts admitted requests and TokensPerSecond generated
	// tokens; both are moving averages over some 10 s.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Concurrent counts the requests that run now.
	Concurrent int
}

// use holds the moving averages of one scope.
type use struct {
	requests, tokens metrics.EWMA
	ticked           time.Time
}

func newUse(now time.Time) use {
	return use{requests: metrics.NewEWMA(useAlpha), tokens: metrics.NewEWMA(useAlpha), ticked: now}
}

// count adds requests and tokens.
func (u *use) count(now time.Time, requests, tokens int) {
	u.advance(now)
	u.requests.Update(int64(requests))
	u.tokens.Update(int64(tokens))
}

// advance does the ticks that are due, so that no goroutine is needed for them.
func (u *use) advance(now time.Time) {
	if now.Sub(u.ticked) > forgetAfter*useTick {
		*u = newUse(now)
		return
	}
	for now.Sub(u.ticked) >= useTick {
		u.ticked = u.ticked.Add(useTick)
		u.requests.Tick()
		u.tokens.Tick()
	}
}

// Use returns the use of a workspace.
func (l *Limiter) Use(now time.Time, workspace string) Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[workspaceScope+workspace]
	if b == nil {
		return Use{}
	}
	b.use.advance(now)
	return Use{RequestsPerSecond: b.use.requests.Rate(), TokensPerSecond: b.use.tokens.Rate(), Concurrent: b.running}
}

// Retain drops the state of workspaces and entries that the catalogue no longer
// has, so that memory stays bounded over many edits. Those with running
// requests stay until the next call.
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
