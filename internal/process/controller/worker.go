package controller

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/logging"
	"persimmonwing/internal/version/order"
)

const (
	// discoverPeriod is the interval at which a controller without a lease reads the
	// host list. It needs only the names of the data centres from it.
	discoverPeriod = time.Minute
	// discoverRetry is the interval until the first list has been read.
	discoverRetry = 5 * time.Second
)

// worker holds the lease of one data centre and reconciles its engines.
type worker struct {
	lease      *order.Lease
	reconciler *order.Reconciler
}

func (c *Controller) newWorker(dataCentre string) *worker {
	lease := c.leaseOptions
	lease.DataCentre = dataCentre
	w := &worker{lease: order.NewLease(c.table, lease)}
	o := c.opts
	w.reconciler = order.NewReconciler(order.Options{
		Permit:                w.lease,
		Catalogue:             c.catalogue,
		CatalogueCheckedSince: c.catalogueCheckedSince,
		Hosts:                 dataCentreHostList{c.hostList, dataCentre},
		Engines:               c.engines,
		Interval:              o.Reconcile.Interval,
		CallTimeout:           o.Reconcile.CallTimeout,
		LostAfter:             o.Reconcile.LostAfter,
		Concurrency:           o.Reconcile.Concurrency,
		MaxLoads:              o.MaxLoads,
		LoadsPerSecond:        o.WeightsPerSecond,
		Share:                 c.hostList.loadShare,
		HonourFencing:         o.HonourFencing,
		Raise:                 w.lease.Raise,
		Logger:                log.With(logging.Part(c.logger, "order"), "data_centre", dataCentre),
		Metrics:               c.metrics,
	})
	return w
}

// runWorkers runs a worker for each data centre with engines until ctx ends. The
// worker of the controller's own data centre starts at once. A data centre that
// disappears from the host list keeps its worker, because the list may be wrong
// temporarily.
func (c *Controller) runWorkers(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	start := func(dataCentre string) {
		if w, added := c.addWorker(dataCentre); added {
			wait.Go(func() { _ = w.lease.Run(ctx) })
			wait.Go(func() { _ = w.reconciler.Run(ctx) })
		}
	}
	start(c.opts.DataCentre)
	for {
		pause := c.discover(ctx)
		for _, name := range c.hostList.dataCentres() {
			start(name)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
}

// discover reads the host list and returns the time to wait before the next read.
func (c *Controller) discover(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Platform.Timeout)
	defer cancel()
	if _, err := c.hostList.Hosts(ctx); err != nil && c.hostList.dataCentres() == nil {
		return discoverRetry
	}
	return discoverPeriod
}

func (c *Controller) addWorker(dataCentre string) (*worker, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[dataCentre]; ok {
		return w, false
	}
	w := c.newWorker(dataCentre)
	c.workers[dataCentre] = w
	return w, true
}

// leases returns the status of the leases of all workers, sorted by data centre.
func (c *Controller) leases() []order.LeaseStatus {
	var all []order.LeaseStatus
	for _, w := range c.allWorkers() {
		all = append(all, w.lease.Status())
	}
	slices.SortFunc(all, func(a, b order.LeaseStatus) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return all
}

func (c *Controller) allWorkers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*worker
	for _, w := range c.workers {
		all = append(all, w)
	}
	return all
}

// active reports whether this controller may send orders in any data centre.
func (c *Controller) active() bool {
	return slices.ContainsFunc(c.leases(), func(l order.LeaseStatus) bool { return l.Held })
}

// release releases all leases, so that other controllers can acquire them at once. A
// failure is only logged, because the leases then expire.
func (c *Controller) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	var errs []error
	for _, w := range c.allWorkers() {
		errs = append(errs, w.lease.Release(ctx))
	}
	if err := errors.Join(errs...); err != nil {
		level.Warn(c.logger).Log("msg", "could not release all leases; other controllers wait until they expire", "err", err)
		return
	}
	level.Info(c.logger).Log("msg", "controller stopped, leases released")
}
