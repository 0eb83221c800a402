package limits

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Division divides limits among gateways by demand. It covers the scopes that
// this gateway is responsible for. It is safe for concurrent use.
type Division struct {
	mu     sync.Mutex
	scopes map[string][]gatewayDemand
}

// gatewayDemand is the latest demand of one gateway. It expires at until.
type gatewayDemand struct {
	gateway  string
	fraction float64
	until    time.Time
}

// NewDivision returns a division without demands.
func NewDivision() *Division { return &Division{scopes: map[string][]gatewayDemand{}} }

// Divide records the demands of a gateway, which expire at until, and returns its
// shares in the same order.
func (d *Division) Divide(now, until time.Time, gateway string, demands []Demand) []Share {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Share, len(demands))
	for i, demand := range demands {
		recorded := d.record(now, gatewayDemand{gateway, demand.Fraction, until}, demand.Scope)
		at := slices.IndexFunc(recorded, func(c gatewayDemand) bool { return c.gateway == gateway })
		fractions := divideFraction(recorded)
		out[i] = Share{Scope: demand.Scope, Fraction: fractions[at], Concurrent: divideSlots(fractions, demand.Concurrent)[at]}
	}
	return out
}

// record replaces a gateway's demand for a scope and returns the unexpired demands of
// all gateways, sorted by gateway.
func (d *Division) record(now time.Time, latest gatewayDemand, scope string) []gatewayDemand {
	recorded := slices.DeleteFunc(d.scopes[scope], func(c gatewayDemand) bool {
		return c.gateway == latest.gateway || !now.Before(c.until)
	})
	i, _ := slices.BinarySearchFunc(recorded, latest.gateway, func(c gatewayDemand, name string) int { return cmp.Compare(c.gateway, name) })
	recorded = slices.Insert(recorded, i, latest)
	d.scopes[scope] = recorded
	return recorded
}

// RemoveExpired removes the scopes whose demands have all expired.
func (d *Division) RemoveExpired(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for scope, recorded := range d.scopes {
		if !slices.ContainsFunc(recorded, func(c gatewayDemand) bool { return now.Before(c.until) }) {
			delete(d.scopes, scope)
		}
	}
}

// divideFraction divides 1 among the recorded demands by max-min fairness: small
// demands are met in full and large ones share the rest equally, so that excessive
// demand at one gateway doesn't reduce the share of a gateway with little. What is
// left when all demands are met is divided equally, so that demand can grow until the
// next report.
func divideFraction(recorded []gatewayDemand) []float64 {
	order := make([]int, len(recorded))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(recorded[a].fraction, recorded[b].fraction) })
	out := make([]float64, len(recorded))
	left := 1.0
	for n, i := range order {
		out[i] = min(recorded[i].fraction, left/float64(len(order)-n))
		left -= out[i]
	}
	for i := range out {
		out[i] += left / float64(len(out))
	}
	return out
}

// divideSlots divides limit slots in proportion to fractions by the largest-remainder
// method, so that the results add up to limit. Of equal remainders the first one gets
// the slot.
func divideSlots(fractions []float64, limit int) []int {
	out := make([]int, len(fractions))
	order := make([]int, len(fractions))
	left := limit
	for i, f := range fractions {
		out[i] = int(f * float64(limit))
		left -= out[i]
		order[i] = i
	}
	remainder := func(i int) float64 { return fractions[i]*float64(limit) - float64(out[i]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainder(b), remainder(a)) })
	for _, i := range order[:min(max(left, 0), len(order))] {
		out[i]++
	}
	return out
}
