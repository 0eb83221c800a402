package capacity

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/connection/engine"
	"persimmonwing/internal/connection/platform"
	standinplatform "persimmonwing/internal/process/standin/platform"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/order"
)

// roundsPerSecond is the rate of reconcile rounds of the active controller with its
// default settings.
const roundsPerSecond = 0.5

type alwaysPermit struct{}

func (alwaysPermit) Allow() (int64, time.Time, bool) { return 1, time.Now().Add(3 * time.Second), true }

// fixedHosts is a host list that never changes and counts its reads.
type fixedHosts struct {
	list  []platform.Host
	reads atomic.Int64
}

func (h *fixedHosts) Hosts(context.Context) ([]platform.Host, error) {
	h.reads.Add(1)
	return slices.Clone(h.list), nil
}

// instantEngines are in-memory engines that reach each ordered goal immediately and
// count the reads of their load and order state.
type instantEngines struct {
	goals         map[string]*atomic.Pointer[api.Goal]
	loads, states atomic.Int64
}

func (e *instantEngines) state(name string) api.OrderState {
	g := e.goals[name].Load()
	return api.OrderState{HighestFencing: 1, Goal: *g, Loaded: g.Models}
}

func (e *instantEngines) Order(_ context.Context, name, _ string, o api.Order) (api.OrderState, error) {
	e.goals[name].Store(&o.Goal)
	return e.state(name), nil
}

func (e *instantEngines) OrderState(_ context.Context, name, _ string) (api.OrderState, error) {
	e.states.Add(1)
	return e.state(name), nil
}

func (e *instantEngines) Load(_ context.Context, name, _ string) (api.LoadReport, error) {
	e.loads.Add(1)
	return api.LoadReport{Name: name, Models: e.goals[name].Load().Models, MaxBatch: 64}, nil
}

// callCost is the cost of one call: bytes in both directions and CPU time.
type callCost struct {
	bytes float64
	used  time.Duration
}

// controllerCalls holds the cost of each kind of call that a controller makes.
type controllerCalls struct{ load, state, renew, head callCost }

func measureCalls(ctx context.Context) (c controllerCalls, err error) {
	_, e, stop, err := standinEngine()
	if err != nil {
		return c, err
	}
	defer stop()
	client := engine.New(&http.Client{Transport: engine.NewTransport()})
	p, err := serveCounted(standinplatform.New(standinplatform.DefaultSettings()))
	if err != nil {
		return c, err
	}
	defer p.close()
	table := platform.NewTable("http://"+p.address, &http.Client{Transport: engine.NewTransport()}, time.Second)
	row := platform.CondPut{Key: "controller/lease/centre-4", Value: bytes.Repeat([]byte("x"), leaseBytes)}
	write := func() error {
		results, err := table.Txn(ctx, []platform.CondPut{row})
		if err == nil {
			row.IfRevision = results[0].Row.Revision
		}
		return err
	}
	for _, m := range []struct {
		to   *callCost
		at   *countedServer
		call func() error
	}{
		{&c.load, e, func() error { _, err := client.Load(ctx, "e", e.address); return err }},
		{&c.state, e, func() error { _, err := client.OrderState(ctx, "e", e.address); return err }},
		{&c.renew, p, write},
		// The row of the catalogue head is about as long as that of a lease.
		{&c.head, p, func() error { _, err := table.Get(ctx, row.Key); return err }},
	} {
		if m.to.bytes, m.to.used, err = m.at.costPerCall(300, m.call); err != nil {
			return c, err
		}
	}
	return c, nil
}

// leaseBytes is the length of the value of a lease row, in bytes.
const leaseBytes = 150

// measureController measures the active controller of one data centre, and computes
// the platform reads of standby controllers.
func measureController(ctx context.Context, r *report) error {
	calls, err := measureCalls(ctx)
	if err != nil {
		return err
	}
	var reads, memory, planCPU, readBytes, readCPU []point
	note := ""
	for _, n := range []int{targetReplicas / targetDataCentres / 8, targetReplicas / targetDataCentres / 2, targetReplicas / targetDataCentres, targetReplicas} {
		x := float64(n)
		cost, err := measureRounds(ctx, n)
		if err != nil {
			return err
		}
		note += fmt.Sprintf("%d: %d differing; ", n, cost.differing)
		loads, states := cost.loads*roundsPerSecond, cost.states*roundsPerSecond
		reads = append(reads, point{x, loads + states})
		memory = append(memory, point{x, cost.memory})
		planCPU = append(planCPU, point{x, cost.corePercent})
		readBytes = append(readBytes, point{x, loads*calls.load.bytes + states*calls.state.bytes})
		used := loads*calls.load.used.Seconds() + states*calls.state.used.Seconds()
		readCPU = append(readCPU, point{x, used * 100})
		if n == targetReplicas/targetDataCentres {
			r.hostListReads = cost.lists * roundsPerSecond
		}
	}
	const size, target = "engines of a data centre", targetReplicas / targetDataCentres
	r.add(line{name: "controller reads", size: size, unit: "reads/s", points: reads, target: target, note: note})
	r.add(line{name: "controller memory", size: size, unit: "B", points: memory, target: target})
	r.add(line{name: "controller plan CPU", size: size, unit: "% core", points: planCPU, target: target, note: "rounds on engines in memory; HTTP is not in it"})
	r.add(line{name: "controller read CPU", size: size, unit: "% core", points: readCPU, target: target, note: pollCPUNote + "; multiples of one engine's reads"})
	r.add(line{name: "controller read bytes", size: size, unit: "B/s", points: readBytes, target: target,
		note: fmt.Sprintf("a load report takes %.0f bytes, an order state %.0f", calls.load.bytes, calls.state.bytes)})
	standby := standbyReads()
	var standbys []point
	for _, hosts := range []float64{7, 100, targetGateways} {
		standbys = append(standbys, point{hosts, hosts * standby})
	}
	r.add(line{name: "platform reads of standby controllers", size: "hosts", unit: "reads/s", points: standbys, target: targetGateways, budget: budgetReads,
		note: "counted from the periods, which TestStandby and TestStandbyPollsRarely check"})
	platformCalls := []term{
		{"lease renewal every 3 s", calls.renew.bytes / 3},
		{"catalogue head every second", calls.head.bytes},
	}
	r.sum("control bytes of the active controller", "B/s", budgetBytes, append([]term{
		{"reads of engines", r.targetValue("controller read bytes")},
		{"host list", r.hostListReads * r.targetValue("host list read bytes")},
	}, platformCalls...))
	r.sum("control CPU of the active controller", "% core", budgetCPUPercent, []term{
		{"plan", r.targetValue("controller plan CPU")}, {"reads", r.targetValue("controller read CPU")},
		{"host list", r.hostListReads * r.targetValue("host list read CPU") / 1e4},
		{"lease and catalogue head", 100 * (calls.renew.used.Seconds()/3 + calls.head.used.Seconds())},
	})
	return nil
}

// standbyReads returns the platform reads per second of one controller without a
// lease: it polls the lease rows, and every minute the catalogue head and the host
// list.
func standbyReads() float64 {
	o := order.DefaultLeaseOptions("c", "centre-4")
	return 1/o.Poll.Seconds() + (targetDataCentres-1)/o.ForeignPoll.Seconds() + 2/time.Minute.Seconds()
}

// roundCost is the cost of the reconcile rounds of one data centre. loads, states and
// lists are reads per round, memory is in bytes and corePercent in percent of a core.
type roundCost struct {
	loads, states, lists, memory, corePercent float64
	differing                                 int
}

// measureRounds measures reconcile rounds on n engines that have reached their goals.
func measureRounds(ctx context.Context, n int) (roundCost, error) {
	before := heapBytes()
	hosts := &fixedHosts{}
	e := &instantEngines{goals: map[string]*atomic.Pointer[api.Goal]{}}
	for i := range n {
		name := fmt.Sprintf("engine-4-%03d", i)
		hosts.list = append(hosts.list, platform.Host{Name: name, Kind: platform.KindEngine, Address: fmt.Sprint("10.0.0.", i),
			DataCentre: "centre-4", State: platform.HostLive})
		e.goals[name] = &atomic.Pointer[api.Goal]{}
		e.goals[name].Store(&api.Goal{})
	}
	c := catalogueOf(targetWorkspaces)
	for i := range c.Models {
		c.Models[i].Replicas = max(1, n/targetModels)
	}
	rec := order.NewReconciler(order.Options{
		Permit: alwaysPermit{}, Catalogue: fixedCatalogue{catalogue.NewSnapshot(1, "", c)}, Hosts: hosts, Engines: e,
		Interval: 2 * time.Second, CallTimeout: 500 * time.Millisecond, LostAfter: 10 * time.Second, Concurrency: 64,
		MaxLoads: 10_000, LoadsPerSecond: 1e6, Logger: log.NewNopLogger(), Metrics: telemetry.New(),
	})
	for range 12 {
		rec.Round(ctx)
	}
	const rounds = 24
	loads, states, lists, used := e.loads.Load(), e.states.Load(), hosts.reads.Load(), cpuTime()
	for range rounds {
		rec.Round(ctx)
	}
	out := roundCost{
		loads:       float64(e.loads.Load()-loads) / rounds,
		states:      float64(e.states.Load()-states) / rounds,
		lists:       float64(hosts.reads.Load()-lists) / rounds,
		corePercent: (cpuTime() - used).Seconds() / rounds * roundsPerSecond * 100,
		memory:      heapBytes() - before,
		differing:   rec.Progress().Differing,
	}
	runtime.KeepAlive(rec)
	return out, nil
}
