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
	// discoverPeriod is the time between two reads of the host list at a
	// controller without a lease. It only needs the names of the data centres.
	discoverPeriod = time.Minute
	// discoverRetry replaces it until the first list has been read.
	discoverRetry = 5 * time.Second
)

// unit is a controller's work for one data centre.
type unit struct {
	lease      *order.Lease
	reconciler *order.Reconciler
}

func (c *Controller) newUnit(dataCentre string) *unit {
	lease := c.leaseOptions
	lease.DataCentre = dataCentre
	u := &unit{lease: order.NewLease(c.table, lease)}
	o := c.opts
	u.reconciler = order.NewReconciler(order.Options{
		Permit:         u.lease,
		Catalogue:      c.catalogue,
		CatalogueSince: c.since,
		Hosts:          site{c.sites, dataCentre},
		Engines:        c.engines,
		Interval:       o.Reconcile.Interval,
		CallTimeout:    o.Reconcile.CallTimeout,
		LostAfter:      o.Reconcile.LostAfter,
		Concurrency:    o.Reconcile.Concurrency,
		MaxLoads:       o.MaxLoads,
		LoadsPerSecond: o.WeightsPerSecond,
		Share:          c.sites.share,
		HonourFencing:  o.HonourFencing,
		Raise:          u.lease.Raise,
		Logger:         log.With(logging.Part(c.logger, "order"), "data_centre", dataCentre),
		Metrics:        c.metrics,
	})
	return u
}

// runUnits runs a unit for each data centre with engines until ctx ends. The
// own data centre has one from the start. A data centre that disappears from
// the list keeps its unit, because the list may be wrong for a while.
func (c *Controller) runUnits(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	start := func(dataCentre string) {
		if u, added := c.addUnit(dataCentre); added {
			wait.Go(func() { _ = u.lease.Run(ctx) })
			wait.Go(func() { _ = u.reconciler.Run(ctx) })
		}
	}
	start(c.opts.DataCentre)
	for {
		pause := c.discover(ctx)
		for _, name := range c.sites.dataCentres() {
			start(name)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
}

// discover reads the host list and returns the time until the next read.
func (c *Controller) discover(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Platform.Timeout)
	defer cancel()
	if _, err := c.sites.Hosts(ctx); err != nil && c.sites.dataCentres() == nil {
		return discoverRetry
	}
	return discoverPeriod
}

func (c *Controller) addUnit(dataCentre string) (*unit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, ok := c.units[dataCentre]; ok {
		return u, false
	}
	u := c.newUnit(dataCentre)
	c.units[dataCentre] = u
	return u, true
}

// leases returns the states of all leases, sorted by data centre.
func (c *Controller) leases() []order.LeaseStatus {
	var all []order.LeaseStatus
	for _, u := range c.allUnits() {
		all = append(all, u.lease.Status())
	}
	slices.SortFunc(all, func(a, b order.LeaseStatus) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return all
}

func (c *Controller) allUnits() []*unit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*unit
	for _, u := range c.units {
		all = append(all, u)
	}
	return all
}

// active tells whether this controller may send orders in any data centre.
func (c *Controller) active() bool {
	return slices.ContainsFunc(c.leases(), func(l order.LeaseStatus) bool { return l.Held })
}

// release lets successors act at once. Without it they wait until the leases
// have run out, so a failure does no harm.
func (c *Controller) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	var errs []error
	for _, u := range c.allUnits() {
		errs = append(errs, u.lease.Release(ctx))
	}
	if err := errors.Join(errs...); err != nil {
		level.Warn(c.logger).Log("msg", "lease was not given up", "err", err)
		return
	}
	level.Info(c.logger).Log("msg", "controller has stopped")
}
