package limits

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Division divides the limits of which this gateway is the home. It is safe for
// concurrent use.
type Division struct {
	mu     sync.Mutex
	scopes map[string][]claim
}

// claim is the last demand of one gateway. It counts until a time.
type claim struct {
	gateway  string
	fraction float64
	until    time.Time
}

// NewDivision returns a division without demands.
func NewDivision() *Division { return &Division{scopes: map[string][]claim{}} }

// Divide notes the demands of a gateway until a time and returns its shares in the
// same order.
func (d *Division) Divide(now, until time.Time, gateway string, demands []Demand) []Share {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Share, len(demands))
	for i, demand := range demands {
		claims := d.note(now, claim{gateway, demand.Fraction, until}, demand.Scope)
		at := slices.IndexFunc(claims, func(c claim) bool { return c.gateway == gateway })
		fractions := divide(claims)
		out[i] = Share{Scope: demand.Scope, Fraction: fractions[at], Concurrent: whole(fractions, demand.Concurrent)[at]}
	}
	return out
}

// note replaces a gateway's demand and returns all that still count, sorted by
// gateway.
func (d *Division) note(now time.Time, latest claim, scope string) []claim {
	claims := slices.DeleteFunc(d.scopes[scope], func(c claim) bool {
		return c.gateway == latest.gateway || !now.Before(c.until)
	})
	i, _ := slices.BinarySearchFunc(claims, latest.gateway, func(c claim, name string) int { return cmp.Compare(c.gateway, name) })
	claims = slices.Insert(claims, i, latest)
	d.scopes[scope] = claims
	return claims
}

// Forget drops the scopes without demand.
func (d *Division) Forget(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for scope, claims := range d.scopes {
		if !slices.ContainsFunc(claims, func(c claim) bool { return now.Before(c.until) }) {
			delete(d.scopes, scope)
		}
	}
}

// divide returns parts of 1 for all claims by max-min fairness: small demands
// are met in full and large ones share what is left, so that a flood at one
// gateway takes nothing from the callers of another. What nobody asks for is
// divided equally, so that demand can grow until the next report.
func divide(claims []claim) []float64 {
	order := make([]int, len(claims))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(claims[a].fraction, claims[b].fraction) })
	out := make([]float64, len(claims))
	left := 1.0
	for n, i := range order {
		out[i] = min(claims[i].fraction, left/float64(len(order)-n))
		left -= out[i]
	}
	for i := range out {
		out[i] += left / float64(len(out))
	}
	return out
}

// whole divides a number of slots in proportion to fractions. Their sum is the
// limit: the largest remainders get one more, the first of equal ones.
func whole(fractions []float64, limit int) []int {
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
