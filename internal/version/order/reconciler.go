package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// Permit grants the right to send orders; *Lease implements it.
type Permit interface {
	Allow() (fencing int64, until time.Time, ok bool)
}

// Options holds the dependencies and settings of a reconciler.
type Options struct {
	Permit    Permit
	Catalogue Catalogue
	// CatalogueCheckedSince reports whether the catalogue was compared with the head
	// after the given time. A new lease holder waits until it returns true, because the
	// revision of a standby controller may be outdated. The function may be nil if the
	// catalogue is always current.
	CatalogueCheckedSince func(time.Time) bool
	Hosts                 HostList
	Engines               Engines
	// Interval is the time between the starts of two rounds.
	Interval time.Duration
	// CallTimeout limits one call of the host list or of an engine. Three consecutive
	// calls must fit into an interval: host list, engines and orders.
	CallTimeout time.Duration
	// LostAfter is the time after which the models of an unreachable engine are
	// assigned to other engines.
	LostAfter time.Duration
	// Concurrency limits the concurrent calls of engines.
	Concurrency int
	// MaxLoads limits the model loads in flight over all engines.
	MaxLoads int
	// LoadsPerSecond limits the rate at which loads of models and adapters start.
	LoadsPerSecond float64
	// Share returns the fraction of MaxLoads and LoadsPerSecond that this reconciler
	// may use, more than 0 and at most 1; nil means all. At least one load may be in
	// flight.
	Share func() float64
	// HonourFencing lists the engines that refuse outdated fencing numbers.
	HonourFencing []string
	// Raise requests a fencing number above one that such an engine has accepted; it
	// may be nil.
	Raise   func(accepted int64)
	Logger  log.Logger
	Metrics *telemetry.Metrics
}

// Progress describes the last round for operators.
type Progress struct {
	Revision int64 `json:"revision"`
	// Engines and Unreachable count the listed engines and those that are unreachable.
	Engines     int `json:"engines"`
	Unreachable int `json:"unreachable"`
	// Differing counts the engines that do not have their goal yet.
	Differing int `json:"differing"`
	// PendingLoads counts the loads in flight and those that were not admitted yet.
	PendingLoads int `json:"pending_loads"`
}

// Add returns the combined progress in two data centres, with the higher revision.
func (p Progress) Add(o Progress) Progress {
	return Progress{
		Revision:     max(p.Revision, o.Revision),
		Engines:      p.Engines + o.Engines,
		Unreachable:  p.Unreachable + o.Unreachable,
		Differing:    p.Differing + o.Differing,
		PendingLoads: p.PendingLoads + o.PendingLoads,
	}
}

// Reconciler brings the engines to the state of the plan. Only one goroutine may run
// it.
type Reconciler struct {
	opt     Options
	limiter *rate.Limiter
	hosts   []platform.Host
	engines map[string]*engineRecord
	// honours contains the names in HonourFencing.
	honours map[string]bool
	// permitHeld reports whether the permit was held in the last round.
	permitHeld bool
	// activeSince is the time at which permitHeld last changed. catalogueCurrent
	// reports whether the catalogue was compared with the head since then.
	activeSince      time.Time
	catalogueCurrent bool
	// round is the number of rounds so far, and revision is the catalogue revision in
	// the last one.
	round    int
	revision int64
	// listDue makes the next round read the host list.
	listDue bool

	mu       sync.Mutex
	progress Progress
}

// NewReconciler returns a reconciler; Run runs it.
func NewReconciler(opt Options) *Reconciler {
	if opt.Share == nil {
		opt.Share = func() float64 { return 1 }
	}
	if opt.CatalogueCheckedSince == nil {
		opt.CatalogueCheckedSince = func(time.Time) bool { return true }
	}
	if opt.Raise == nil {
		opt.Raise = func(int64) {}
	}
	r := &Reconciler{
		opt:     opt,
		limiter: rate.NewLimiter(rate.Limit(opt.LoadsPerSecond), 1),
		engines: map[string]*engineRecord{},
		honours: map[string]bool{},
		listDue: true,
	}
	for _, name := range opt.HonourFencing {
		r.honours[name] = true
	}
	return r
}

// Progress returns the state after the last round.
func (r *Reconciler) Progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.progress
}

// Run executes a round in each interval until ctx ends. It returns after the orders in
// flight have ended.
func (r *Reconciler) Run(ctx context.Context) error {
	tick := time.NewTicker(r.opt.Interval)
	defer tick.Stop()
	for {
		var retry <-chan time.Time
		if !r.Round(ctx) {
			retry = time.After(r.opt.CallTimeout)
		}
		select {
		case <-tick.C:
		case <-retry:
		case <-ctx.Done():
			return nil
		}
	}
}

// Round reads the host list and the engines, plans and sends orders once, if the permit
// is held. It returns false if it waits for the catalogue.
func (r *Reconciler) Round(ctx context.Context) bool {
	_, _, ok := r.opt.Permit.Allow()
	if ok != r.permitHeld {
		r.permitHeld, r.activeSince, r.catalogueCurrent = ok, time.Now(), false
		// Reserve one load, because the former holder may have started one just now.
		r.limiter.Allow()
		level.Info(r.opt.Logger).Log("msg", "permit for orders changed", "held", ok)
	}
	if !ok {
		// State that was read under an earlier permit is too old for the next one.
		clear(r.engines)
		r.listDue = true
		r.setProgress(Progress{})
		return true
	}
	r.catalogueCurrent = r.catalogueCurrent || r.opt.CatalogueCheckedSince(r.activeSince)
	if !r.catalogueCurrent {
		return false
	}
	start := time.Now()
	snapshot := r.opt.Catalogue.Current()
	if snapshot != nil && snapshot.Revision != r.revision {
		r.revision = snapshot.Revision
		r.forceFullRead()
	}
	r.round++
	if r.listDue || r.round%roundsPerHostList == 0 {
		r.readHosts(ctx)
	}
	if snapshot == nil {
		return true
	}
	r.readEngines(ctx)
	if ctx.Err() == nil {
		r.sendOrders(ctx, snapshot, start)
	}
	return true
}

func (r *Reconciler) setProgress(p Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress = p
}

// sendOrders sends the orders that the limits allow now. Orders without a load are sent
// first, because they wait for nothing.
func (r *Reconciler) sendOrders(ctx context.Context, snapshot *catalogue.Snapshot, start time.Time) {
	now := time.Now()
	r.limiter.SetLimit(rate.Limit(r.opt.LoadsPerSecond * r.opt.Share()))
	orders, differing := r.pendingOrders(snapshot.Catalogue, now)
	gate := r.newGate(snapshot.Catalogue, now)
	// Loads that wait for the rate limit must not delay the next round.
	deadline, cancel := context.WithDeadline(ctx, start.Add(r.opt.Interval-r.opt.CallTimeout))
	defer cancel()
	var group errgroup.Group
	group.SetLimit(r.opt.Concurrency)
	for _, o := range orders {
		if ctx.Err() != nil || !gate.admit(deadline, o) {
			continue
		}
		group.Go(func() error {
			r.send(ctx, o, snapshot.Revision)
			return nil
		})
	}
	_ = group.Wait()
	p := Progress{Revision: snapshot.Revision, Engines: len(r.hosts), Differing: differing, PendingLoads: gate.deferred}
	for _, rec := range r.engines {
		p.PendingLoads += rec.loads(time.Now())
		if !rec.reachable() {
			p.Unreachable++
		}
	}
	r.setProgress(p)
}

// pendingOrder is a goal to send to an engine.
type pendingOrder struct {
	rec  *engineRecord
	goal api.Goal
	// loads are the models that the engine will start to load, and unloads are the
	// loaded ones that it will unload.
	loads, unloads []string
	// fetches counts the models and adapters that the engine will read from the weight
	// store.
	fetches int
}

// pendingOrders returns the orders that bring the engines to the plan, and the number
// of engines that do not have their goal.
func (r *Reconciler) pendingOrders(c *catalogue.Catalogue, now time.Time) (orders []pendingOrder, differing int) {
	var loading []pendingOrder
	for _, rec := range r.engines {
		rec.converged = rec.reachable() && !rec.draining && len(rec.state.Loading) == 0
	}
	for _, a := range Plan(c, r.views(now)) {
		rec := r.engines[a.Engine]
		o := pendingOrder{
			rec:     rec,
			goal:    a.Goal,
			loads:   without(a.Goal.Models, rec.state.Loaded, rec.state.Loading),
			unloads: without(rec.state.Loaded, a.Goal.Models),
		}
		o.fetches = len(o.loads) + len(without(a.Goal.Adapters, rec.state.Goal.Adapters))
		same := sameGoal(a.Goal, rec.state.Goal)
		reached := same && len(without(a.Goal.Models, rec.state.Loaded)) == 0
		rec.converged = rec.converged && reached
		if !reached {
			differing++
		} else {
			rec.resendBackoff.Reset()
		}
		switch {
		case !rec.reachable():
		case r.fencingAhead(rec):
			r.opt.Raise(rec.state.HighestFencing)
		case same && len(o.loads) == 0 && !r.fencingBehind(rec):
		case same && len(o.loads) > 0 && now.Before(rec.resendAt):
		case o.fetches > 0:
			loading = append(loading, o)
		default:
			orders = append(orders, o)
		}
	}
	return slices.Concat(orders, loading), differing
}

// fencingBehind reports whether an engine that honours fencing numbers would
// still accept orders of an earlier holder.
func (r *Reconciler) fencingBehind(rec *engineRecord) bool {
	fencing, _, ok := r.opt.Permit.Allow()
	return ok && rec.state.HighestFencing < fencing && r.honours[rec.host.Name]
}

// fencingAhead reports whether an engine would refuse orders because it has accepted a
// higher number from the lease of another data centre.
func (r *Reconciler) fencingAhead(rec *engineRecord) bool {
	fencing, _, ok := r.opt.Permit.Allow()
	return ok && rec.state.HighestFencing > fencing && r.honours[rec.host.Name]
}

// without returns the elements of list that are in none of the others.
func without(list []string, others ...[]string) []string {
	all := slices.Concat(others...)
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(all, s) })
}

// send sends one order. It has exclusive access to o.rec until it returns.
func (r *Reconciler) send(ctx context.Context, o pendingOrder, revision int64) {
	rec := o.rec
	fencing, until, ok := r.opt.Permit.Allow()
	if !ok {
		return
	}
	// The call is not cancelled when the process stops, so that its outcome is known.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), until)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, r.opt.CallTimeout)
	defer cancel()
	undrain := rec.state.Goal.Drain && !o.goal.Drain
	state, err := r.opt.Engines.Order(ctx, rec.host.Name, rec.host.Address,
		api.Order{Fencing: fencing, Revision: revision, Goal: o.goal})
	now := time.Now()
	if len(o.loads) > 0 {
		rec.resendAt = now.Add(rec.resendBackoff.NextBackOff())
	}
	if undrain {
		rec.drainEndedAt = now
	}
	if err != nil {
		r.opt.Metrics.Counter("orders", "failed").Inc(1)
		level.Warn(r.opt.Logger).Log("msg", "order failed", "engine", rec.host.Name, "fencing", fencing, "err", err)
		if len(o.loads) > 0 {
			rec.uncertainUntil = until
		}
		return
	}
	rec.state = state
	r.opt.Metrics.Counter("orders", "accepted").Inc(1)
	level.Info(r.opt.Logger).Log("msg", "order accepted", "engine", rec.host.Name, "fencing", fencing,
		"revision", revision, "models", o.goal.Models, "drain", o.goal.Drain)
}
