package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/api"
)

// record is what the reconciler remembers of an engine.
type record struct {
	host  platform.Host
	known bool
	state api.OrderState
	// draining is set when the engine reports it without having been ordered to.
	draining bool
	// settled is set while the engine answers and has nothing left to do.
	settled bool

	// failedSince is zero for a reachable engine; retryAt is the next attempt.
	failedSince time.Time
	retryAt     time.Time
	readPause   *backoff.ExponentialBackOff

	// restateAt is the earliest time to repeat a goal that was not reached.
	restateAt    time.Time
	restatePause *backoff.ExponentialBackOff

	// uncertainUntil is set after an order for a load whose answer was lost: it
	// may have taken effect, or still do so until then.
	uncertainUntil time.Time
	undrainedAt    time.Time
}

// Bounds of the pauses after failures. The longest is of the order of a few
// intervals, so that an engine that returns is soon put to use.
const (
	firstPause = time.Second
	maxPause   = 10 * time.Second
)

func newRecord() *record {
	return &record{readPause: newPause(), restatePause: newPause()}
}

func newPause() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, maxPause
	return b
}

// reachable reports whether the last read succeeded.
func (r *record) reachable() bool { return r.known && r.failedSince.IsZero() }

// lost reports whether the engine has been unreachable for so long that its
// models are planned elsewhere.
func (r *record) lost(now time.Time, after time.Duration) bool {
	return !r.failedSince.IsZero() && now.Sub(r.failedSince) >= after
}

// loads is the number of loads that may be in flight at the engine. One that
// has not been read yet may be loading a model.
func (r *record) loads(now time.Time) int {
	n := len(r.state.Loading)
	if !r.known || now.Before(r.uncertainUntil) {
		n = max(n, 1)
	}
	return n
}

// reportLag is the time after an order to stop draining during which a load
// report may still show the former state.
const reportLag = 5 * time.Second

const (
	// reportRounds is the number of rounds in which the load report of a settled
	// engine is read once. The report only tells that an engine drains of its own
	// accord; gateways poll it themselves. The order state is read in each round,
	// so that a stale order is corrected within one interval.
	reportRounds = 4
	// listRounds is the number of rounds in which the host list is read once. It
	// lags by more than a round, and gateways read it every second.
	listRounds = 2
)

// needsReport tells whether to read an engine's load report in this round. The
// turns of engines differ, so that rounds cost the same.
func (r *Reconciler) needsReport(rec *record) bool {
	turn := rendezvous("report", rec.host.Name) % reportRounds
	return !rec.settled || uint64(r.round)%reportRounds == turn
}

// readAll makes the next round read everything.
func (r *Reconciler) readAll() {
	r.listDue = true
	for _, rec := range r.engines {
		rec.settled = false
	}
}

// readHosts returns the engines of the host list. While the list is out, the
// last good copy is used.
func (r *Reconciler) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.opt.CallTimeout)
	defer cancel()
	hosts, err := r.opt.Hosts.Hosts(ctx)
	r.listDue = err != nil
	if err != nil {
		r.opt.Metrics.Counter("hosts", "failed").Inc(1)
		level.Debug(r.opt.Logger).Log("msg", "host list was not read, keeping the last copy", "err", err)
		return
	}
	r.hosts = slices.DeleteFunc(hosts, func(h platform.Host) bool { return h.Kind != platform.KindEngine })
}

// readEngines brings the records up to date with the host list and the engines.
func (r *Reconciler) readEngines(ctx context.Context) {
	listed := map[string]bool{}
	var group errgroup.Group
	group.SetLimit(r.opt.Concurrency)
	for _, h := range r.hosts {
		listed[h.Name] = true
		rec := r.engines[h.Name]
		if rec == nil || rec.host.Address != h.Address {
			rec = newRecord()
			r.engines[h.Name] = rec
		}
		rec.host = h
		if time.Now().Before(rec.retryAt) {
			continue
		}
		group.Go(func() error {
			r.readEngine(ctx, rec)
			return nil
		})
	}
	_ = group.Wait()
	for name := range r.engines {
		if !listed[name] {
			delete(r.engines, name)
		}
	}
}

// readEngine owns rec for the time of the call.
func (r *Reconciler) readEngine(ctx context.Context, rec *record) {
	readCtx, cancel := context.WithTimeout(ctx, r.opt.CallTimeout)
	defer cancel()
	var wait sync.WaitGroup
	var load api.LoadReport
	var loadErr error
	reads := r.needsReport(rec)
	if reads {
		wait.Go(func() { load, loadErr = r.opt.Engines.Load(readCtx, rec.host.Name, rec.host.Address) })
	}
	state, err := r.opt.Engines.OrderState(readCtx, rec.host.Name, rec.host.Address)
	wait.Wait()
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		r.failed(rec, now, err)
		return
	}
	rec.known, rec.state = true, state
	rec.failedSince, rec.retryAt = time.Time{}, time.Time{}
	rec.readPause.Reset()
	if reads && loadErr == nil {
		rec.draining = load.Draining && !state.Goal.Drain && now.Sub(rec.undrainedAt) >= reportLag
	}
}

func (r *Reconciler) failed(rec *record, now time.Time, err error) {
	if rec.failedSince.IsZero() {
		rec.failedSince = now
	}
	rec.settled = false
	rec.retryAt = now.Add(rec.readPause.NextBackOff())
	r.opt.Metrics.Counter("engines", "unreachable").Inc(1)
	level.Info(r.opt.Logger).Log("msg", "engine was not reached", "engine", rec.host.Name, "err", err)
}

// views returns the engines that the plan is made of.
func (r *Reconciler) views(now time.Time) []EngineView {
	views := make([]EngineView, 0, len(r.engines))
	for name, rec := range r.engines {
		if !rec.known {
			continue
		}
		views = append(views, EngineView{
			Name:       name,
			DataCentre: rec.host.DataCentre,
			Usable:     rec.host.State == platform.HostLive && !rec.draining && !rec.lost(now, r.opt.LostAfter),
			Goal:       rec.state.Goal,
			Loaded:     rec.state.Loaded,
			Loading:    rec.state.Loading,
		})
	}
	return views
}
