package order

import (
	"context"
	"slices"
	"time"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/catalogue"
)

// gate admits the orders of one round within the bounds on loads and unloads.
type gate struct {
	r *Reconciler
	// loads counts the loads that may be in flight, with those of this round.
	loads int
	// waiting counts the loads that were not admitted.
	waiting int
	// ready counts the replicas that serve each model in each data centre, and
	// floor is the number below which orders do not bring it.
	ready, floor map[place]int
	// unread names data centres with an engine whose state is not known yet. It
	// may hold a model that would otherwise be loaded elsewhere.
	unread map[string]bool
}

// place is a model in a data centre.
type place struct{ dataCentre, model string }

func (r *Reconciler) newGate(c *catalogue.Catalogue, now time.Time) *gate {
	g := &gate{r: r, ready: map[place]int{}, floor: map[place]int{}, unread: map[string]bool{}}
	usable := map[string]int{}
	for name, rec := range r.engines {
		dc := rec.host.DataCentre
		// An engine lost for long is taken to have stopped loading, or a few of
		// them would hold up all loads while the host list is out.
		lost := rec.lost(now, r.opt.LostAfter)
		if !lost {
			g.loads += rec.loads(now)
		}
		live := rec.host.State == platform.HostLive && !lost
		if !rec.known {
			g.unread[dc] = g.unread[dc] || live
			continue
		}
		if !live || rec.draining || slices.Contains(c.Draining, name) {
			continue
		}
		usable[dc]++
		if rec.reachable() && !rec.state.Goal.Drain {
			for _, m := range rec.state.Loaded {
				g.ready[place{dc, m}]++
			}
		}
	}
	for dc, n := range usable {
		for model, share := range Shares(c, n) {
			g.floor[place{dc, model}] = (share + 1) / 2
		}
	}
	return g
}

// admits reports whether an order may be sent now and counts it. It waits for
// the rate of loads as long as ctx allows.
func (g *gate) admits(ctx context.Context, o pendingOrder) bool {
	dc, n := o.rec.host.DataCentre, len(o.loads)
	if !g.mayDrop(dc, o) || n > 0 && !g.mayLoad(dc, n) || !g.mayFetch(ctx, o.fetches) {
		g.waiting += n
		return false
	}
	for _, m := range o.drops {
		g.ready[place{dc, m}]--
	}
	g.loads += n
	return true
}

// mayDrop holds an unload back while half of the model's replicas, or as many
// as there are, would not stay ready.
func (g *gate) mayDrop(dc string, o pendingOrder) bool {
	if o.rec.state.Goal.Drain || o.goal.Drain {
		return true // the engine's replica is not counted as ready
	}
	for _, m := range o.drops {
		p := place{dc, m}
		if g.floor[p] > 0 && g.ready[p]-1 < g.floor[p] {
			return false
		}
	}
	return true
}

// mayLoad admits one order at least however small the share is.
func (g *gate) mayLoad(dc string, n int) bool {
	share := int(float64(g.r.opt.MaxLoads) * g.r.opt.Share())
	return !g.unread[dc] && g.loads+n <= min(g.r.opt.MaxLoads, max(n, share))
}

// mayFetch waits for the rate of the weight store. One order may fetch several
// items, so all but the first are reserved ahead and delay later orders.
func (g *gate) mayFetch(ctx context.Context, n int) bool {
	if n == 0 {
		return true
	}
	if g.r.limiter.Wait(ctx) != nil {
		return false
	}
	for range n - 1 {
		g.r.limiter.Reserve()
	}
	return true
}
