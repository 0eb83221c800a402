package capacity

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/order"
)

// Reconcile rounds of the active controller, by its default settings.
const roundsPerSecond = 0.5

type alwaysPermit struct{}

func (alwaysPermit) Allow() (int64, time.Time, bool) { return 1, time.Now().Add(3 * time.Second), true }

type fixedHosts []platform.Host

func (h fixedHosts) Hosts(context.Context) ([]platform.Host, error) {
	return append([]platform.Host(nil), h...), nil
}

// obedientEngines takes over each goal at once.
type obedientEngines struct {
	goals  map[string]*atomic.Pointer[api.Goal]
	reads  atomic.Int64
	orders atomic.Int64
}

func (e *obedientEngines) state(name string) api.OrderState {
	g := e.goals[name].Load()
	return api.OrderState{HighestFencing: 1, Goal: *g, Loaded: g.Models}
}

func (e *obedientEngines) Order(_ context.Context, name, _ string, o api.Order) (api.OrderState, error) {
	e.orders.Add(1)
	e.goals[name].Store(&o.Goal)
	return e.state(name), nil
}

func (e *obedientEngines) OrderState(_ context.Context, name, _ string) (api.OrderState, error) {
	e.reads.Add(1)
	return e.state(name), nil
}

func (e *obedientEngines) Load(_ context.Context, name, _ string) (api.LoadReport, error) {
	e.reads.Add(1)
	return api.LoadReport{Name: name, Models: e.goals[name].Load().Models, MaxBatch: 64}, nil
}

func measureController(ctx context.Context, r *report) error {
	_, c, stop, err := standinEngine()
	if err != nil {
		return err
	}
	defer stop()
	client := engine.New(&http.Client{Transport: engine.NewTransport()})
	bytes, used, err := c.cost(300, func() error {
		if _, err := client.Load(ctx, "e", c.address); err != nil {
			return err
		}
		_, err := client.OrderState(ctx, "e", c.address)
		return err
	})
	if err != nil {
		return err
	}
	var reads, memory, plan, wire, wireCPU []point
	note := ""
	for _, n := range []int{18, 150, targetReplicas} {
		x := float64(n)
		cost, err := reconcileCost(ctx, n)
		if err != nil {
			return err
		}
		note += fmt.Sprintf("%d: %d differing; ", n, cost.differing)
		reads = append(reads, point{x, cost.reads * roundsPerSecond})
		memory = append(memory, point{x, cost.memory})
		plan = append(plan, point{x, cost.core})
		// The host list is read once in a round.
		list := r.lines["host list read bytes"]
		slope, offset := fit(list.points)
		wire = append(wire, point{x, (x*bytes + slope*x + offset) * roundsPerSecond})
		wireCPU = append(wireCPU, point{x, x * used.Seconds() * roundsPerSecond * 100})
	}
	r.add(line{name: "controller reads", size: "engines", unit: "reads/s", points: reads, target: targetReplicas, note: note})
	r.add(line{name: "controller memory", size: "engines", unit: "B", points: memory, target: targetReplicas})
	r.add(line{name: "controller plan CPU", size: "engines", unit: "% core", points: plan, target: targetReplicas, note: "rounds on engines in memory; HTTP is not in it"})
	r.add(line{name: "controller read CPU", size: "engines", unit: "% core", points: wireCPU, target: targetReplicas, note: cpuOfPoll + "; multiples of one engine's reads"})
	r.add(line{name: "controller bytes", size: "engines", unit: "B/s", points: wire, target: targetReplicas, budget: budgetBytes,
		note: fmt.Sprintf("the active controller only; one engine's load report and order state: %.0f bytes", bytes)})
	return nil
}

type reconcile struct {
	reads, memory, core float64
	differing           int
}

// reconcileCost runs rounds at engines that have reached their goals.
func reconcileCost(ctx context.Context, n int) (reconcile, error) {
	before := heap()
	var hosts fixedHosts
	e := &obedientEngines{goals: map[string]*atomic.Pointer[api.Goal]{}}
	for i := range n {
		name := fmt.Sprintf("engine-%d-%03d", i%targetCentres, i)
		hosts = append(hosts, platform.Host{Name: name, Kind: platform.KindEngine, Address: fmt.Sprint("10.0.0.", i),
			DataCentre: fmt.Sprint("centre-", i%targetCentres), State: platform.HostLive})
		e.goals[name] = &atomic.Pointer[api.Goal]{}
		e.goals[name].Store(&api.Goal{})
	}
	c := catalogueOf(targetWorkspaces)
	for i := range c.Models {
		c.Models[i].Replicas = max(1, n/targetCentres/targetModels)
	}
	rec := order.NewReconciler(order.Options{
		Permit: alwaysPermit{}, Catalogue: fixedCatalogue{catalogue.NewSnapshot(1, "", c)}, Hosts: hosts, Engines: e,
		Interval: 2 * time.Second, CallTimeout: 500 * time.Millisecond, LostAfter: 10 * time.Second, Concurrency: 64,
		MaxLoads: 10_000, LoadsPerSecond: 1e6, Logger: log.NewNopLogger(), Metrics: telemetry.New(),
	})
	for range 3 {
		rec.Round(ctx)
	}
	const rounds = 20
	reads, used := e.reads.Load(), cpu()
	for range rounds {
		rec.Round(ctx)
	}
	out := reconcile{
		reads:     float64(e.reads.Load()-reads) / rounds,
		core:      (cpu() - used).Seconds() / rounds * roundsPerSecond * 100,
		memory:    heap() - before,
		differing: rec.Progress().Differing,
	}
	runtime.KeepAlive(rec)
	return out, nil
}
