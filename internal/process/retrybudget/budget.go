// Package retrybudget bounds the repeated sends of all gateways to a service
// without messages between them: each gateway may use its part of the allowance.
package retrybudget

import (
	"sync"
	"time"
)

// slices is the number of parts of a window that are counted separately.
const slices = 20

// Allowance bounds the repeats of one service at this gateway in a window.
type Allowance struct {
	// Ratio is the number of repeats allowed for each request.
	Ratio float64
	// Slack is the number allowed beyond that: this gateway's part of the slack of
	// all gateways.
	Slack float64
}

// Budget counts requests and repeats of each service at this gateway. It is
// safe for concurrent use.
type Budget struct {
	window    time.Duration
	allowance func() Allowance

	mu sync.Mutex
	by map[string]*counts
}

// counts holds requests and repeats by slice of the window.
type counts struct {
	requests, repeats [slices]int
	head              int64
}

// New returns an empty budget for a sliding window of this length. Allowance is
// asked for each repeat, because settings and the number of gateways change.
func New(window time.Duration, allowance func() Allowance) *Budget {
	return &Budget{window: window, allowance: allowance, by: map[string]*counts{}}
}

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
	a := b.allowance()
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	requests, repeats := 0, 0
	for i := range slices {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	if float64(repeats+1) > a.Ratio*float64(requests)+a.Slack*(1-reserve) {
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
	head := now.UnixNano() / int64(b.window/(slices-1))
	for i := max(c.head+1, head-slices+1); i <= head; i++ {
		c.requests[i%slices], c.repeats[i%slices] = 0, 0
	}
	c.head = max(c.head, head)
	return c
}
