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

// engineRecord is the state of an engine as known to the reconciler.
type engineRecord struct {
	host  platform.Host
	known bool
	state api.OrderState
	// draining is set if the engine reports that it is draining although no order
	// requested it.
	draining bool
	// converged is set while the engine responds, has reached its goal and is neither
	// loading nor draining.
	converged bool

	// failedSince is the time of the first failed read since the last successful one,
	// or zero for a reachable engine. retryAt is the time of the next attempt.
	failedSince time.Time
	retryAt     time.Time
	readBackoff *backoff.ExponentialBackOff

	// resendAt is the earliest time to send a goal again that was not reached.
	resendAt      time.Time
	resendBackoff *backoff.ExponentialBackOff

	// uncertainUntil is set after an order for a load whose response was lost. The
	// order may have taken effect, or may still do so until then.
	uncertainUntil time.Time
	drainEndedAt   time.Time
}

// Bounds of the backoff after failures. The maximum is in the order of a few intervals,
// so that an engine that recovers is used again soon.
const (
	initialBackoff = time.Second
	maxBackoff     = 10 * time.Second
)

func newEngineRecord() *engineRecord {
	return &engineRecord{readBackoff: newBackoff(), resendBackoff: newBackoff()}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	return b
}

// reachable reports whether the last read succeeded.
func (r *engineRecord) reachable() bool { return r.known && r.failedSince.IsZero() }

// lost reports whether the engine has been unreachable for at least timeout, after
// which its models are assigned to other engines.
func (r *engineRecord) lost(now time.Time, timeout time.Duration) bool {
	return !r.failedSince.IsZero() && now.Sub(r.failedSince) >= timeout
}

// loads returns the number of loads that may be in flight at the engine. It is
// at least 1 for an engine that has not been read yet, because that engine may be
// loading a model.
func (r *engineRecord) loads(now time.Time) int {
	n := len(r.state.Loading)
	if !r.known || now.Before(r.uncertainUntil) {
		n = max(n, 1)
	}
	return n
}

// reportLag is the time after an order to end draining during which a load report may
// still show the previous state.
const reportLag = 5 * time.Second

const (
	// roundsPerReport is the number of rounds between two reads of the load report of a
	// converged engine. The report is only needed to detect an engine that drains
	// without an order; gateways poll it themselves. The order state is read in each
	// round, so that a stale order is corrected within one interval.
	roundsPerReport = 4
	// roundsPerHostList is the number of rounds between two reads of the host list. The
	// list lags by more than a round, and gateways read it every second.
	roundsPerHostList = 2
)

// needsReport reports whether to read the load report of an engine in this round. The
// reads of different engines are spread over the rounds, so that rounds cost the same.
func (r *Reconciler) needsReport(rec *engineRecord) bool {
	offset := rendezvous("report", rec.host.Name) % roundsPerReport
	return !rec.converged || uint64(r.round)%roundsPerReport == offset
}

// forceFullRead makes the next round read the host list and all load reports.
func (r *Reconciler) forceFullRead() {
	r.listDue = true
	for _, rec := range r.engines {
		rec.converged = false
	}
}

// readHosts updates the engines of the host list. If the list cannot be read, the last
// copy is kept.
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

// readEngines updates the records from the host list and from the engines.
func (r *Reconciler) readEngines(ctx context.Context) {
	listed := map[string]bool{}
	var group errgroup.Group
	group.SetLimit(r.opt.Concurrency)
	for _, h := range r.hosts {
		listed[h.Name] = true
		rec := r.engines[h.Name]
		if rec == nil || rec.host.Address != h.Address {
			rec = newEngineRecord()
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

// readEngine reads the state of one engine. It has exclusive access to rec until it
// returns.
func (r *Reconciler) readEngine(ctx context.Context, rec *engineRecord) {
	readCtx, cancel := context.WithTimeout(ctx, r.opt.CallTimeout)
	defer cancel()
	var wait sync.WaitGroup
	var load api.LoadReport
	var loadErr error
	reportNeeded := r.needsReport(rec)
	if reportNeeded {
		wait.Go(func() { load, loadErr = r.opt.Engines.Load(readCtx, rec.host.Name, rec.host.Address) })
	}
	state, err := r.opt.Engines.OrderState(readCtx, rec.host.Name, rec.host.Address)
	wait.Wait()
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		r.recordFailure(rec, now, err)
		return
	}
	rec.known, rec.state = true, state
	rec.failedSince, rec.retryAt = time.Time{}, time.Time{}
	rec.readBackoff.Reset()
	if reportNeeded && loadErr == nil {
		rec.draining = load.Draining && !state.Goal.Drain && now.Sub(rec.drainEndedAt) >= reportLag
	}
}

func (r *Reconciler) recordFailure(rec *engineRecord, now time.Time, err error) {
	if rec.failedSince.IsZero() {
		rec.failedSince = now
	}
	rec.converged = false
	rec.retryAt = now.Add(rec.readBackoff.NextBackOff())
	r.opt.Metrics.Counter("engines", "unreachable").Inc(1)
	level.Info(r.opt.Logger).Log("msg", "engine unreachable", "engine", rec.host.Name, "err", err)
}

// views returns the engines that the plan is based on.
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
