// Package retrybudget limits the retries that all gateways together send to a service,
// without messages between them: each gateway may use its share of the allowance.
package retrybudget

import (
	"sync"
	"time"
)

// windowSlots is the number of slots of a window that are counted separately.
const windowSlots = 20

// Allowance limits the retries to one service by this gateway within a window.
type Allowance struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed in addition: this gateway's share of the
	// slack of all gateways.
	Slack float64
}

// Budget counts this gateway's requests and retries to each service. It is safe for
// concurrent use.
type Budget struct {
	window    time.Duration
	allowance func() Allowance

	mu sync.Mutex
	by map[string]*counts
}

// counts contains the requests and retries in each slot of the window. head is the
// number of the newest slot.
type counts struct {
	requests, retries [windowSlots]int
	head              int64
}

// New returns an empty budget for a sliding window of the given length. It calls
// allowance for each retry, because settings and the number of gateways change.
func New(window time.Duration, allowance func() Allowance) *Budget {
	return &Budget{window: window, allowance: allowance, by: map[string]*counts{}}
}

// Request counts a request to a service, which adds to its allowance.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	c.requests[c.head%windowSlots]++
}

// Allow reports whether a retry to a service is within the allowance and, if so, counts
// it. reserve is the fraction of the slack, from 0 to 1, that this kind of retry must
// leave unused.
func (b *Budget) Allow(now time.Time, service string, reserve float64) bool {
	a := b.allowance()
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	requests, retries := 0, 0
	for i := range windowSlots {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	if float64(retries+1) > a.Ratio*float64(requests)+a.Slack*(1-reserve) {
		return false
	}
	c.retries[c.head%windowSlots]++
	return true
}

// advance clears the slots that have left the window and returns the service's counts.
func (b *Budget) advance(now time.Time, service string) *counts {
	c := b.by[service]
	if c == nil {
		c = &counts{}
		b.by[service] = c
	}
	head := now.UnixNano() / int64(b.window/(windowSlots-1))
	for i := max(c.head+1, head-windowSlots+1); i <= head; i++ {
		c.requests[i%windowSlots], c.retries[i%windowSlots] = 0, 0
	}
	c.head = max(c.head, head)
	return c
}
