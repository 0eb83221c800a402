package order

import (
	"context"
	"slices"
	"time"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/catalogue"
)

// gate admits the orders of one round within the limits on loads and unloads.
type gate struct {
	r *Reconciler
	// loads counts the loads that may be in flight, including those admitted in this
	// round.
	loads int
	// deferred counts the loads that were not admitted.
	deferred int
	// ready is the number of replicas that serve each model in each data centre. Orders
	// must not reduce it below minReady.
	ready, minReady map[modelLocation]int
	// unreadDataCentres contains the data centres with an engine whose state is not
	// known yet. A model may be loaded on that engine that would otherwise be loaded
	// elsewhere.
	unreadDataCentres map[string]bool
}

// modelLocation is a model in a data centre.
type modelLocation struct{ dataCentre, model string }

func (r *Reconciler) newGate(c *catalogue.Catalogue, now time.Time) *gate {
	g := &gate{r: r, ready: map[modelLocation]int{}, minReady: map[modelLocation]int{}, unreadDataCentres: map[string]bool{}}
	usable := map[string]int{}
	for name, rec := range r.engines {
		dc := rec.host.DataCentre
		// A lost engine is assumed to have stopped loading. Otherwise a few lost
		// engines would block all loads while the host list cannot be read.
		lost := rec.lost(now, r.opt.LostAfter)
		if !lost {
			g.loads += rec.loads(now)
		}
		live := rec.host.State == platform.HostLive && !lost
		if !rec.known {
			g.unreadDataCentres[dc] = g.unreadDataCentres[dc] || live
			continue
		}
		if !live || rec.draining || slices.Contains(c.Draining, name) {
			continue
		}
		usable[dc]++
		if rec.reachable() && !rec.state.Goal.Drain {
			for _, m := range rec.state.Loaded {
				g.ready[modelLocation{dc, m}]++
			}
		}
	}
	for dc, n := range usable {
		for model, share := range Shares(c, n) {
			g.minReady[modelLocation{dc, model}] = (share + 1) / 2
		}
	}
	return g
}

// admit reports whether an order may be sent now, and counts it if so. It waits for the
// rate limit of loads until ctx ends.
func (g *gate) admit(ctx context.Context, o pendingOrder) bool {
	dc, n := o.rec.host.DataCentre, len(o.loads)
	if !g.mayUnload(dc, o) || n > 0 && !g.mayLoad(dc, n) || !g.mayFetch(ctx, o.fetches) {
		g.deferred += n
		return false
	}
	for _, m := range o.unloads {
		g.ready[modelLocation{dc, m}]--
	}
	g.loads += n
	return true
}

// mayUnload reports whether enough replicas of each model stay ready after its unload:
// at least half of the replicas in the catalogue, or half of the model's share if the
// data centre has too few engines.
func (g *gate) mayUnload(dc string, o pendingOrder) bool {
	if o.rec.state.Goal.Drain || o.goal.Drain {
		return true // the engine's replica is not counted as ready
	}
	for _, m := range o.unloads {
		p := modelLocation{dc, m}
		if g.minReady[p] > 0 && g.ready[p]-1 < g.minReady[p] {
			return false
		}
	}
	return true
}

// mayLoad reports whether n more loads are within the limit. It admits at least one
// order, however small the share of this reconciler is.
func (g *gate) mayLoad(dc string, n int) bool {
	share := int(float64(g.r.opt.MaxLoads) * g.r.opt.Share())
	return !g.unreadDataCentres[dc] && g.loads+n <= min(g.r.opt.MaxLoads, max(n, share))
}

// mayFetch waits for the rate limit of the weight store. One order may fetch several
// items; all but the first are reserved in advance and delay later orders.
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
