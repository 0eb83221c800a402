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

// world is a host list and engines, and checks the bounds on orders.
type world struct {
	mu        sync.Mutex
	hosts     []platform.Host
	hostsDown bool
	listed    int
	// polled is the time of the last poll of the catalogue; zero is always now.
	polled   time.Time
	engines  map[string]*fakeEngine
	snapshot *catalogue.Snapshot
	// adapters are those of model a from the next edit on.
	adapters []string
	loads    []time.Time
	maxLoads int
	broken   error
}

type fakeEngine struct {
	state    api.OrderState
	honours  bool
	down     bool
	draining bool
	failLoad bool
	// loseAnswer lets the next order take effect without an answer.
	loseAnswer bool
	refused    int
	orders     int
	// states and reports count the reads.
	states, reports int
}

// permit is held while its number is not 0.
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

func newWorld(replicas map[string]int, draining ...string) *world {
	w := &world{engines: map[string]*fakeEngine{}}
	w.edit(1, replicas, draining...)
	return w
}

func (w *world) edit(revision int64, replicas map[string]int, draining ...string) {
	c := &catalogue.Catalogue{Draining: draining}
	for _, name := range modelNames {
		c.Models = append(c.Models, catalogue.Model{Name: name, Replicas: replicas[name]})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Models[0].Adapters = w.adapters
	w.snapshot = catalogue.NewSnapshot(revision, "", c)
}

func (w *world) add(name string, loaded ...string) {
	e := &fakeEngine{state: api.OrderState{Goal: api.Goal{Models: loaded}, Loaded: loaded}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines[name] = e
	w.hosts = append(w.hosts, platform.Host{Name: name, Address: name, DataCentre: "dc0", Kind: platform.KindEngine, State: platform.HostLive})
}

func (w *world) setState(name string, s platform.HostState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.hosts {
		if w.hosts[i].Name == name {
			w.hosts[i].State = s
		}
	}
}

// change edits an engine under the lock.
func (w *world) change(name string, f func(e *fakeEngine)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.engines[name])
}

// engine returns a copy.
func (w *world) engine(name string) fakeEngine {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := *w.engines[name]
	e.state = e.copy()
	return e
}

func (w *world) polledSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.polled.IsZero() || w.polled.After(t)
}

// lists returns the number of reads of the host list.
func (w *world) lists() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listed
}

func (w *world) hostListDown() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hostsDown = true
}

// serving counts the ready replicas of a model.
func (w *world) serving(model string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ready(model)
}

func (w *world) ready(model string) (n int) {
	for _, e := range w.engines {
		if slices.Contains(e.state.Loaded, model) && !e.state.Goal.Drain && !e.draining && !e.down {
			n++
		}
	}
	return n
}

func (w *world) Current() *catalogue.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.snapshot
}

func (w *world) Hosts(context.Context) ([]platform.Host, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed++
	if w.hostsDown {
		return nil, errors.New("host list is out")
	}
	return slices.Clone(w.hosts), nil
}

// reach blocks until ctx ends for an engine that is down.
func (w *world) reach(ctx context.Context, name string) (*fakeEngine, error) {
	w.mu.Lock()
	e := w.engines[name]
	down := e.down
	w.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return e, nil
}

func (w *world) OrderState(ctx context.Context, name, _ string) (api.OrderState, error) {
	e, err := w.reach(ctx, name)
	if err != nil {
		return api.OrderState{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e.states++
	return e.copy(), nil
}

func (w *world) Load(ctx context.Context, name, _ string) (api.LoadReport, error) {
	e, err := w.reach(ctx, name)
	if err != nil {
		return api.LoadReport{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e.reports++
	return api.LoadReport{Name: name, Models: e.state.Loaded, Draining: e.draining || e.state.Goal.Drain}, nil
}

func (e *fakeEngine) copy() api.OrderState {
	s := e.state
	s.Loaded, s.Loading = slices.Clone(s.Loaded), slices.Clone(s.Loading)
	return s
}

func (w *world) Order(ctx context.Context, name, _ string, o api.Order) (api.OrderState, error) {
	e, err := w.reach(ctx, name)
	if err != nil {
		return api.OrderState{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e.orders++
	if e.honours {
		if o.Fencing < e.state.HighestFencing {
			e.refused++
			return api.OrderState{}, errors.New(api.CodeStaleFencing)
		}
		e.state.HighestFencing = o.Fencing
	}
	w.drop(e, o.Goal)
	for range without(o.Goal.Adapters, e.state.Goal.Adapters) {
		w.startLoad()
	}
	e.state.Goal = o.Goal
	for _, m := range without(o.Goal.Models, e.state.Loaded, e.state.Loading) {
		e.state.Loading = append(e.state.Loading, m)
		w.startLoad()
		time.AfterFunc(loadTime, func() { w.finishLoad(e, m) })
	}
	if e.loseAnswer {
		e.loseAnswer = false
		return api.OrderState{}, errors.New("answer was lost")
	}
	return e.copy(), nil
}

// drop unloads what the goal does not name and checks that enough stays ready.
func (w *world) drop(e *fakeEngine, goal api.Goal) {
	usable := 0
	for name, e := range w.engines {
		live := slices.ContainsFunc(w.hosts, func(h platform.Host) bool { return h.Name == name && h.State == platform.HostLive })
		if live && !e.draining && !slices.Contains(w.snapshot.Draining, name) {
			usable++
		}
	}
	for _, m := range without(e.state.Loaded, goal.Models) {
		half := (Shares(w.snapshot.Catalogue, usable)[m] + 1) / 2
		if counted := !e.state.Goal.Drain && !e.draining; counted && half > 0 && w.ready(m)-1 < half {
			w.broken = fmt.Errorf("%d replicas of %s left of at least %d", w.ready(m)-1, m, half)
		}
	}
	e.state.Loaded = without(e.state.Loaded, without(e.state.Loaded, goal.Models))
}

func (w *world) startLoad() {
	w.loads = append(w.loads, time.Now())
	n := 0
	for _, e := range w.engines {
		n += len(e.state.Loading)
	}
	w.maxLoads = max(w.maxLoads, n)
}

func (w *world) finishLoad(e *fakeEngine, model string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.state.Loading = without(e.state.Loading, []string{model})
	if slices.Contains(e.state.Goal.Models, model) && !e.failLoad {
		e.state.Loaded = append(e.state.Loaded, model)
	}
}

// closestLoads returns the shortest time between two load starts.
func (w *world) closestLoads() time.Duration {
	least := time.Hour
	for i := 1; i < len(w.loads); i++ {
		least = min(least, w.loads[i].Sub(w.loads[i-1]))
	}
	return least
}

// reconcile runs a reconciler until the returned function is called.
func (w *world) reconcile(p Permit, honour ...string) (r *Reconciler, stop func()) {
	return w.reconcileWith(p, nil, honour...)
}

func (w *world) reconcileWith(p Permit, raise func(int64), honour ...string) (r *Reconciler, stop func()) {
	r = NewReconciler(Options{
		Permit: p, Catalogue: w, CatalogueSince: w.polledSince, Hosts: w, Engines: w,
		Interval: 2 * time.Second, CallTimeout: 500 * time.Millisecond, LostAfter: 10 * time.Second,
		Concurrency: 8, MaxLoads: 2, LoadsPerSecond: 2, HonourFencing: honour, Raise: raise,
		Logger: log.NewNopLogger(), Metrics: telemetry.New(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = r.Run(ctx) })
	return r, func() { cancel(); wait.Wait(); time.Sleep(2 * loadTime) }
}
