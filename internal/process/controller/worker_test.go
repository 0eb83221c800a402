package controller

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/platform/platformtest"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/order"
)

// twoDataCentres has one engine in each of two data centres and records the last order
// sent to each engine and the controllers that read its state.
type twoDataCentres struct {
	mu      sync.Mutex
	down    bool
	orders  map[string]api.Order
	callers map[string][]string
}

func (w *twoDataCentres) Hosts(context.Context) ([]platform.Host, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, errors.New("host list is out")
	}
	var hosts []platform.Host
	for _, dc := range []string{"north", "south"} {
		hosts = append(hosts, platform.Host{Name: dc, Address: dc, DataCentre: dc, Kind: platform.KindEngine, State: platform.HostLive})
	}
	return append(hosts, platform.Host{Name: "app", DataCentre: "west", Kind: platform.KindApp}), nil
}

func (w *twoDataCentres) Current() *catalogue.Snapshot {
	return catalogue.NewSnapshot(1, "", &catalogue.Catalogue{Models: []catalogue.Model{{Name: "a", Replicas: 1}}})
}

// caller is one controller's access to the engines.
type caller struct {
	*twoDataCentres
	name string
}

func (c caller) OrderState(_ context.Context, name, _ string) (api.OrderState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.callers[name], c.name) {
		c.callers[name] = append(c.callers[name], c.name)
	}
	o := c.orders[name]
	return api.OrderState{HighestFencing: o.Fencing, Goal: o.Goal, Loaded: o.Goal.Models}, nil
}

func (c caller) Load(context.Context, string, string) (api.LoadReport, error) {
	return api.LoadReport{}, nil
}

func (c caller) Order(_ context.Context, name, _ string, o api.Order) (api.OrderState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[name] = o
	return api.OrderState{HighestFencing: o.Fencing, Goal: o.Goal, Loaded: o.Goal.Models}, nil
}

// Guards against controllers that read the engines of another data centre which has a
// controller of its own, against engines that get no orders once that controller has
// stopped, and against controllers that each use the bounds on loads in full.
func TestEachDataCentreHasItsController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var table platformtest.Table
		w := &twoDataCentres{orders: map[string]api.Order{}, callers: map[string][]string{}, down: true}
		start := func(name, dc string) (*Controller, func()) {
			o := DefaultOptions()
			o.Name, o.DataCentre, o.HonourFencing = name, dc, []string{"north", "south"}
			c := New(o, Deps{Catalogue: w, Table: &table, Hosts: w, Engines: caller{w, name}, Lease: order.DefaultLeaseOptions(name, dc)}, log.NewNopLogger())
			ctx, cancel := context.WithCancel(t.Context())
			var wait sync.WaitGroup
			wait.Go(func() { _ = c.runWorkers(ctx) })
			return c, func() { cancel(); wait.Wait(); c.release(t.Context()) }
		}
		north, stopNorth := start("n1", "north")
		_, stopSouth := start("s1", "south")
		time.Sleep(20 * time.Second) // the host list is unavailable at first
		w.mu.Lock()
		w.down = false
		w.mu.Unlock()
		time.Sleep(5 * time.Minute)
		is.Equal(w.callers, map[string][]string{"north": {"n1"}, "south": {"s1"}})
		is.Equal(slices.Sorted(maps.Keys(w.orders)), []string{"north", "south"})
		is.Equal(north.hostList.loadShare(), 0.5)
		stopSouth()
		time.Sleep(90 * time.Second)
		is.Equal(w.callers["south"], []string{"s1", "n1"})
		is.Equal(len(north.Status().Leases), 2)
		is.Equal(north.Status().Orders.Engines, 2)
		stopNorth()
	})
}
