package order

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

const loadTime = 5 * time.Second

// simulation provides a host list and engines, and verifies the limits on orders.
type simulation struct {
	mu        sync.Mutex
	hosts     []platform.Host
	hostsDown bool
	hostReads int
	// polled is the time of the last poll of the catalogue; zero means the current time.
	polled   time.Time
	engines  map[string]*fakeEngine
	snapshot *catalogue.Snapshot
	// adapters are the adapters of model a from the next edit on.
	adapters []string
	loads    []time.Time
	maxLoads int
	broken   error
}

type fakeEngine struct {
	state          api.OrderState
	honoursFencing bool
	down           bool
	draining       bool
	failLoad       bool
	// loseAnswer lets the next order take effect without a response.
	loseAnswer bool
	refused    int
	orders     int
	// states and reports count the reads of order states and load reports.
	states, reports int
}

// permit is a Permit that is held while its fencing number is not 0.
type permit struct {
	mu      sync.Mutex
	fencing int64
}

func (p *permit) set(fencing int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fencing = fencing
}

func (p *permit) Allow() (int64, time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fencing, time.Now().Add(3 * time.Second), p.fencing != 0
}

func newSimulation(replicas map[string]int, draining ...string) *simulation {
	sim := &simulation{engines: map[string]*fakeEngine{}}
	sim.edit(1, replicas, draining...)
	return sim
}

func (sim *simulation) edit(revision int64, replicas map[string]int, draining ...string) {
	c := &catalogue.Catalogue{Draining: draining}
	for _, name := range modelNames {
		c.Models = append(c.Models, catalogue.Model{Name: name, Replicas: replicas[name]})
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	c.Models[0].Adapters = sim.adapters
	sim.snapshot = catalogue.NewSnapshot(revision, "", c)
}

func (sim *simulation) add(name string, loaded ...string) {
	e := &fakeEngine{state: api.OrderState{Goal: api.Goal{Models: loaded}, Loaded: loaded}}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.engines[name] = e
	sim.hosts = append(sim.hosts, platform.Host{Name: name, Address: name, DataCentre: "dc0", Kind: platform.KindEngine, State: platform.HostLive})
}

func (sim *simulation) setState(name string, s platform.HostState) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i := range sim.hosts {
		if sim.hosts[i].Name == name {
			sim.hosts[i].State = s
		}
	}
}

// change modifies an engine under the lock.
func (sim *simulation) change(name string, f func(e *fakeEngine)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f(sim.engines[name])
}

// engine returns a copy of an engine.
func (sim *simulation) engine(name string) fakeEngine {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e := *sim.engines[name]
	e.state = e.copy()
	return e
}

func (sim *simulation) polledSince(t time.Time) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.polled.IsZero() || sim.polled.After(t)
}

// hostListReads returns the number of reads of the host list.
func (sim *simulation) hostListReads() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.hostReads
}

func (sim *simulation) hostListDown() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.hostsDown = true
}

// countServing counts the ready replicas of a model.
func (sim *simulation) countServing(model string) (n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.countReady(model)
}

func (sim *simulation) countReady(model string) (n int) {
	for _, e := range sim.engines {
		if slices.Contains(e.state.Loaded, model) && !e.state.Goal.Drain && !e.draining && !e.down {
			n++
		}
	}
	return n
}

func (sim *simulation) Current() *catalogue.Snapshot {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.snapshot
}

func (sim *simulation) Hosts(context.Context) ([]platform.Host, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.hostReads++
	if sim.hostsDown {
		return nil, errors.New("host list is out")
	}
	return slices.Clone(sim.hosts), nil
}

// reach returns an engine. For an engine that is down, it blocks until ctx ends and
// returns an error.
func (sim *simulation) reach(ctx context.Context, name string) (*fakeEngine, error) {
	sim.mu.Lock()
	e := sim.engines[name]
	down := e.down
	sim.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return e, nil
}

func (sim *simulation) OrderState(ctx context.Context, name, _ string) (api.OrderState, error) {
	e, err := sim.reach(ctx, name)
	if err != nil {
		return api.OrderState{}, err
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e.states++
	return e.copy(), nil
}

func (sim *simulation) Load(ctx context.Context, name, _ string) (api.LoadReport, error) {
	e, err := sim.reach(ctx, name)
	if err != nil {
		return api.LoadReport{}, err
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e.reports++
	return api.LoadReport{Name: name, Models: e.state.Loaded, Draining: e.draining || e.state.Goal.Drain}, nil
}

func (e *fakeEngine) copy() api.OrderState {
	s := e.state
	s.Loaded, s.Loading = slices.Clone(s.Loaded), slices.Clone(s.Loading)
	return s
}

func (sim *simulation) Order(ctx context.Context, name, _ string, o api.Order) (api.OrderState, error) {
	e, err := sim.reach(ctx, name)
	if err != nil {
		return api.OrderState{}, err
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e.orders++
	if e.honoursFencing {
		if o.Fencing < e.state.HighestFencing {
			e.refused++
			return api.OrderState{}, errors.New(api.CodeStaleFencing)
		}
		e.state.HighestFencing = o.Fencing
	}
	sim.unload(e, o.Goal)
	for range without(o.Goal.Adapters, e.state.Goal.Adapters) {
		sim.startLoad()
	}
	e.state.Goal = o.Goal
	for _, m := range without(o.Goal.Models, e.state.Loaded, e.state.Loading) {
		e.state.Loading = append(e.state.Loading, m)
		sim.startLoad()
		time.AfterFunc(loadTime, func() { sim.finishLoad(e, m) })
	}
	if e.loseAnswer {
		e.loseAnswer = false
		return api.OrderState{}, errors.New("answer was lost")
	}
	return e.copy(), nil
}

// unload unloads the models that the goal does not contain, and verifies that enough
// replicas stay ready.
func (sim *simulation) unload(e *fakeEngine, goal api.Goal) {
	usable := 0
	for name, e := range sim.engines {
		live := slices.ContainsFunc(sim.hosts, func(h platform.Host) bool { return h.Name == name && h.State == platform.HostLive })
		if live && !e.draining && !slices.Contains(sim.snapshot.Draining, name) {
			usable++
		}
	}
	for _, m := range without(e.state.Loaded, goal.Models) {
		half := (Shares(sim.snapshot.Catalogue, usable)[m] + 1) / 2
		if counted := !e.state.Goal.Drain && !e.draining; counted && half > 0 && sim.countReady(m)-1 < half {
			sim.broken = fmt.Errorf("%d replicas of %s left of at least %d", sim.countReady(m)-1, m, half)
		}
	}
	e.state.Loaded = without(e.state.Loaded, without(e.state.Loaded, goal.Models))
}

func (sim *simulation) startLoad() {
	sim.loads = append(sim.loads, time.Now())
	n := 0
	for _, e := range sim.engines {
		n += len(e.state.Loading)
	}
	sim.maxLoads = max(sim.maxLoads, n)
}

func (sim *simulation) finishLoad(e *fakeEngine, model string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e.state.Loading = without(e.state.Loading, []string{model})
	if slices.Contains(e.state.Goal.Models, model) && !e.failLoad {
		e.state.Loaded = append(e.state.Loaded, model)
	}
}

// minLoadInterval returns the shortest time between two load starts.
func (sim *simulation) minLoadInterval() time.Duration {
	least := time.Hour
	for i := 1; i < len(sim.loads); i++ {
		least = min(least, sim.loads[i].Sub(sim.loads[i-1]))
	}
	return least
}

// reconcile runs a reconciler until the returned function is called.
func (sim *simulation) reconcile(p Permit, honour ...string) (r *Reconciler, stop func()) {
	return sim.reconcileWith(p, nil, honour...)
}

func (sim *simulation) reconcileWith(p Permit, raise func(int64), honour ...string) (r *Reconciler, stop func()) {
	r = NewReconciler(Options{
		Permit: p, Catalogue: sim, CatalogueCheckedSince: sim.polledSince, Hosts: sim, Engines: sim,
		Interval: 2 * time.Second, CallTimeout: 500 * time.Millisecond, LostAfter: 10 * time.Second,
		Concurrency: 8, MaxLoads: 2, LoadsPerSecond: 2, HonourFencing: honour, Raise: raise,
		Logger: log.NewNopLogger(), Metrics: telemetry.New(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = r.Run(ctx) })
	return r, func() { cancel(); wait.Wait(); time.Sleep(2 * loadTime) }
}
