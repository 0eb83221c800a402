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
		g.loads += rec.loads(now)
		dc := rec.host.DataCentre
		live := rec.host.State == platform.HostLive && !rec.lost(now, r.opt.LostAfter)
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
	if !g.mayDrop(dc, o) || n > 0 && !g.mayLoad(ctx, dc, n) {
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

func (g *gate) mayLoad(ctx context.Context, dc string, n int) bool {
	if g.unread[dc] || g.loads+n > g.r.opt.MaxLoads {
		return false
	}
	for range n {
		if g.r.limiter.Wait(ctx) != nil {
			return false
		}
	}
	return true
}
