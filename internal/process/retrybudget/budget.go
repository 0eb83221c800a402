// Package retrybudget bounds the repeated sends of all gateways to a service
// without messages between them: each gateway may use its part of the allowance.
package retrybudget

import (
	"sync"
	"time"
)

// slices is the number of parts of a window that are counted separately.
const slices = 20

// Options describe the allowance of one service in a sliding window.
type Options struct {
	// Ratio is the number of repeats allowed for each request.
	Ratio float64
	// Slack is the number of repeats allowed to all gateways beyond that.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
	// Gateways returns the number of gateways that share Slack.
	Gateways func() int
}

// Budget counts requests and repeats of each service at this gateway. It is
// safe for concurrent use.
type Budget struct {
	o  Options
	mu sync.Mutex
	by map[string]*counts
}

// counts holds requests and repeats by slice of the window.
type counts struct {
	requests, repeats [slices]int
	head              int64
}

// New returns an empty budget.
func New(o Options) *Budget { return &Budget{o: o, by: map[string]*counts{}} }

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	c.requests[c.head%slices]++
}

// Allow takes a repeat from the allowance and reports whether there was one.
// Reserve is the part of the slack, from 0 to 1, that this use leaves to others.
func (b *Budget) Allow(now time.Time, service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	requests, repeats := 0, 0
	for i := range slices {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	slack := b.o.Slack / float64(max(1, b.o.Gateways())) * (1 - reserve)
	if float64(repeats+1) > b.o.Ratio*float64(requests)+slack {
		return false
	}
	c.repeats[c.head%slices]++
	return true
}

// advance clears the slices that have left the window.
func (b *Budget) advance(now time.Time, service string) *counts {
	c := b.by[service]
	if c == nil {
		c = &counts{}
		b.by[service] = c
	}
	head := now.UnixNano() / int64(b.o.Window/(slices-1))
	for i := max(c.head+1, head-slices+1); i <= head; i++ {
		c.requests[i%slices], c.repeats[i%slices] = 0, 0
	}
	c.head = max(c.head, head)
	return c
}
