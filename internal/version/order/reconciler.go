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

// Permit gives the right to send orders; *Lease implements it.
type Permit interface {
	Allow() (fencing int64, until time.Time, ok bool)
}

// Options are the parts and settings of a reconciler.
type Options struct {
	Permit    Permit
	Catalogue Catalogue
	// CatalogueSince reports whether the catalogue was compared with the head
	// after a time. A new holder waits for it, because a standby's revision may
	// be old. It may be nil if the catalogue is always current.
	CatalogueSince func(time.Time) bool
	Hosts          HostList
	Engines        Engines
	// Interval is the time between two rounds.
	Interval time.Duration
	// CallTimeout bounds one call of the host list or of an engine. Three of them
	// must fit into an interval: host list, engines and orders.
	CallTimeout time.Duration
	// LostAfter is the time after which the models of an unreachable engine are
	// planned elsewhere.
	LostAfter time.Duration
	// Concurrency bounds the calls of engines at one time.
	Concurrency int
	// MaxLoads bounds the model loads in flight over all engines.
	MaxLoads int
	// LoadsPerSecond bounds the rate at which loads of models and adapters start.
	LoadsPerSecond float64
	// Share returns the part of MaxLoads and LoadsPerSecond that this reconciler
	// may use, over 0 and up to 1; nil means all. At least one load may be in flight.
	Share func() float64
	// HonourFencing names the engines that refuse old fencing numbers.
	HonourFencing []string
	// Raise asks for a fencing number above one that such an engine has accepted;
	// it may be nil.
	Raise   func(accepted int64)
	Logger  log.Logger
	Metrics *telemetry.Metrics
}

// Progress describes the last round for operators.
type Progress struct {
	Revision int64 `json:"revision"`
	// Engines and Unreachable count the listed engines and those not reached.
	Engines     int `json:"engines"`
	Unreachable int `json:"unreachable"`
	// Differing counts the engines that do not have their goal yet.
	Differing int `json:"differing"`
	// PendingLoads counts loads in flight and loads that wait for their turn.
	PendingLoads int `json:"pending_loads"`
}

// Plus adds up the progress in two data centres.
func (p Progress) Plus(o Progress) Progress {
	return Progress{
		Revision:     max(p.Revision, o.Revision),
		Engines:      p.Engines + o.Engines,
		Unreachable:  p.Unreachable + o.Unreachable,
		Differing:    p.Differing + o.Differing,
		PendingLoads: p.PendingLoads + o.PendingLoads,
	}
}

// Reconciler brings the engines to the plan. Only one goroutine runs it.
type Reconciler struct {
	opt     Options
	limiter *rate.Limiter
	hosts   []platform.Host
	engines map[string]*record
	// honours holds the names of HonourFencing.
	honours map[string]bool
	// active tells whether the permit was held in the last round.
	active bool
	// since is the time at which active was set, and current tells whether the
	// catalogue was compared with the head since.
	since   time.Time
	current bool
	// round counts the rounds, and revision is the catalogue's in the last one.
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
	if opt.CatalogueSince == nil {
		opt.CatalogueSince = func(time.Time) bool { return true }
	}
	if opt.Raise == nil {
		opt.Raise = func(int64) {}
	}
	r := &Reconciler{
		opt:     opt,
		limiter: rate.NewLimiter(rate.Limit(opt.LoadsPerSecond), 1),
		engines: map[string]*record{},
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

// Run does a round in each interval until ctx ends. Orders in flight at that
// time are finished before it returns.
func (r *Reconciler) Run(ctx context.Context) error {
	tick := time.NewTicker(r.opt.Interval)
	defer tick.Stop()
	for {
		var again <-chan time.Time
		if !r.Round(ctx) {
			again = time.After(r.opt.CallTimeout)
		}
		select {
		case <-tick.C:
		case <-again:
		case <-ctx.Done():
			return nil
		}
	}
}

// Round reads everything, plans and orders once, if the permit is held. It
// returns false if it waits for the catalogue.
func (r *Reconciler) Round(ctx context.Context) bool {
	_, _, ok := r.opt.Permit.Allow()
	if ok != r.active {
		r.active, r.since, r.current = ok, time.Now(), false
		// The former holder may have started a load just now.
		r.limiter.Allow()
		level.Info(r.opt.Logger).Log("msg", "permit for orders changed", "held", ok)
	}
	if !ok {
		// What was read under an earlier permit is too old for the next one.
		clear(r.engines)
		r.listDue = true
		r.setProgress(Progress{})
		return true
	}
	r.current = r.current || r.opt.CatalogueSince(r.since)
	if !r.current {
		return false
	}
	start := time.Now()
	snapshot := r.opt.Catalogue.Current()
	if snapshot != nil && snapshot.Revision != r.revision {
		r.revision = snapshot.Revision
		r.readAll()
	}
	r.round++
	if r.listDue || r.round%listRounds == 0 {
		r.readHosts(ctx)
	}
	if snapshot == nil {
		return true
	}
	r.readEngines(ctx)
	if ctx.Err() == nil {
		r.act(ctx, snapshot, start)
	}
	return true
}

func (r *Reconciler) setProgress(p Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress = p
}

// act sends the orders that the bounds allow now. Orders without a load go
// first, because they wait for nothing.
func (r *Reconciler) act(ctx context.Context, snapshot *catalogue.Snapshot, start time.Time) {
	now := time.Now()
	r.limiter.SetLimit(rate.Limit(r.opt.LoadsPerSecond * r.opt.Share()))
	orders, differing := r.differences(snapshot.Catalogue, now)
	gate := r.newGate(snapshot.Catalogue, now)
	// Loads that wait for their rate must not delay the next round.
	deadline, cancel := context.WithDeadline(ctx, start.Add(r.opt.Interval-r.opt.CallTimeout))
	defer cancel()
	var group errgroup.Group
	group.SetLimit(r.opt.Concurrency)
	for _, o := range orders {
		if ctx.Err() != nil || !gate.admits(deadline, o) {
			continue
		}
		group.Go(func() error {
			r.send(ctx, o, snapshot.Revision)
			return nil
		})
	}
	_ = group.Wait()
	p := Progress{Revision: snapshot.Revision, Engines: len(r.hosts), Differing: differing, PendingLoads: gate.waiting}
	for _, rec := range r.engines {
		p.PendingLoads += rec.loads(time.Now())
		if !rec.reachable() {
			p.Unreachable++
		}
	}
	r.setProgress(p)
}

// pendingOrder is a goal to state at an engine.
type pendingOrder struct {
	rec  *record
	goal api.Goal
	// loads are the models that the engine will start to load, and drops the
	// loaded ones that it will unload.
	loads, drops []string
	// fetches counts the models and adapters to read from the weight store.
	fetches int
}

// differences returns the orders that would bring the engines to the plan, and
// the number of engines that do not have their goal.
func (r *Reconciler) differences(c *catalogue.Catalogue, now time.Time) (orders []pendingOrder, differing int) {
	var loading []pendingOrder
	for _, rec := range r.engines {
		rec.settled = rec.reachable() && !rec.draining && len(rec.state.Loading) == 0
	}
	for _, a := range Plan(c, r.views(now)) {
		rec := r.engines[a.Engine]
		o := pendingOrder{
			rec:   rec,
			goal:  a.Goal,
			loads: without(a.Goal.Models, rec.state.Loaded, rec.state.Loading),
			drops: without(rec.state.Loaded, a.Goal.Models),
		}
		o.fetches = len(o.loads) + len(without(a.Goal.Adapters, rec.state.Goal.Adapters))
		same := sameGoal(a.Goal, rec.state.Goal)
		reached := same && len(without(a.Goal.Models, rec.state.Loaded)) == 0
		rec.settled = rec.settled && reached
		if !reached {
			differing++
		} else {
			rec.restatePause.Reset()
		}
		switch {
		case !rec.reachable():
		case r.fencingAhead(rec):
			r.opt.Raise(rec.state.HighestFencing)
		case same && len(o.loads) == 0 && !r.fencingBehind(rec):
		case same && len(o.loads) > 0 && now.Before(rec.restateAt):
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
func (r *Reconciler) fencingBehind(rec *record) bool {
	fencing, _, ok := r.opt.Permit.Allow()
	return ok && rec.state.HighestFencing < fencing && r.honours[rec.host.Name]
}

// fencingAhead reports whether an engine would refuse orders because it has
// accepted a higher number, of the lease of another data centre.
func (r *Reconciler) fencingAhead(rec *record) bool {
	fencing, _, ok := r.opt.Permit.Allow()
	return ok && rec.state.HighestFencing > fencing && r.honours[rec.host.Name]
}

// without returns the elements of list that are in none of the others.
func without(list []string, others ...[]string) []string {
	all := slices.Concat(others...)
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(all, s) })
}

// send states one goal. It owns o.rec for the time of the call.
func (r *Reconciler) send(ctx context.Context, o pendingOrder, revision int64) {
	rec := o.rec
	fencing, until, ok := r.opt.Permit.Allow()
	if !ok {
		return
	}
	// The call is not cut off when the process stops, so that its outcome is known.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), until)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, r.opt.CallTimeout)
	defer cancel()
	undrain := rec.state.Goal.Drain && !o.goal.Drain
	state, err := r.opt.Engines.Order(ctx, rec.host.Name, rec.host.Address,
		api.Order{Fencing: fencing, Revision: revision, Goal: o.goal})
	now := time.Now()
	if len(o.loads) > 0 {
		rec.restateAt = now.Add(rec.restatePause.NextBackOff())
	}
	if undrain {
		rec.undrainedAt = now
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
