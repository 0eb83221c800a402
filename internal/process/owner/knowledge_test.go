package owner_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
)

// countingGroup counts the replacements of its list of replicas.
type countingGroup struct {
	owner.Group
	replaced atomic.Int64
}

func (g *countingGroup) SetReplicas(now time.Time, r []schedule.Replica) {
	g.replaced.Add(1)
	g.Group.SetReplicas(now, r)
}

// Guards against work that grows with the square of the engines that start together: the list of
// replicas was replaced once for each of them.
func TestEnginesThatStartTogetherAreOneChange(t *testing.T) {
	for name, start := range map[string]func(*registry.Registry, []registry.Server){
		"list":    func(r *registry.Registry, s []registry.Server) { r.Sync(time.Now(), s) },
		"changes": func(r *registry.Registry, s []registry.Server) { r.Change(time.Now(), s, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				group := &countingGroup{}
				f.changeOptions = func(o owner.Options) owner.Options {
					newGroup := o.NewGroup
					o.NewGroup = func(k schedule.GroupKey) owner.Group {
						group.Group = newGroup(k)
						return group
					}
					return o
				}
				_, r := f.startShared("a")
				defer f.stop()
				time.Sleep(time.Second)
				r.Change(time.Now(), engineList("first"), nil)
				time.Sleep(time.Second) // the group exists
				before := group.replaced.Load()
				names := []string{"first"}
				for i := range 200 {
					names = append(names, fmt.Sprint("e", i))
				}
				start(r, engineList(names...))
				if n := group.replaced.Load() - before; n > 4 {
					t.Errorf("the replicas were replaced %d times for %d engines", n, len(names))
				}
			})
		})
	}
}

// exchanged counts what the gateways of a fleet send each other about engines.
type exchanged struct {
	mu                    sync.Mutex
	calls, loads, reports int
}

// exchangeCaller counts the calls of one gateway.
type exchangeCaller struct {
	membership.Caller
	sum *exchanged
}

func (c exchangeCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := c.Caller.Call(ctx, address, method, args, reply); err != nil {
		return err
	}
	c.sum.mu.Lock()
	defer c.sum.mu.Unlock()
	switch a := args.(type) {
	case *owner.LoadsArgs:
		c.sum.calls++
		c.sum.loads += len(a.Groups)
		c.sum.reports += len(a.Reports)
	case *owner.FetchLoadsArgs:
		r := reply.(*owner.FetchLoadsReply)
		c.sum.calls++
		c.sum.loads += len(r.Loads)
		c.sum.reports += len(r.Reports)
	}
	return nil
}

// startCellFleet starts gateways, with ten engines each, that divide their fleet into cells.
func startCellFleet(t *testing.T, gateways int) (f *fleet, sum *exchanged, registries []*registry.Registry) {
	f, sum = newFleet(t, 4), &exchanged{}
	f.changeOptions = func(o owner.Options) owner.Options {
		v := o.View.(registry.View)
		v.Cells = registry.NewCells(v.Gossiper, v.Registry, log.NewNopLogger(), nil)
		o.View = v
		return o
	}
	f.wrapCaller = func(c membership.Caller) membership.Caller { return exchangeCaller{c, sum} }
	for i := range gateways {
		name := string(rune('a' + i))
		f.remote[name] = i%2 == 1
		_, r := f.startShared(name)
		registries = append(registries, r)
	}
	time.Sleep(15 * time.Second) // the gateways know each other
	var names []string
	for i := range 10 * gateways {
		names = append(names, fmt.Sprint("engine-", i))
	}
	for _, r := range registries {
		r.Sync(time.Now(), engineList(names...))
	}
	time.Sleep(5 * time.Second)
	return f, sum, registries
}

// Guards against knowledge that grows with gateways times engines: with four times as many of both a
// gateway may poll, call and receive a third more. With 100 gateways and 1,000 engines it had no time to serve.
func TestKnowledgeOfAGatewayDoesNotGrowWithTheFleet(t *testing.T) {
	type costs struct{ polls, calls, loads, reports int }
	measure := func(gateways int) (perGateway costs) {
		synctest.Test(t, func(t *testing.T) {
			f, sum, _ := startCellFleet(t, gateways)
			defer f.stop()
			polls := f.engines.pollCount()
			sum.mu.Lock()
			sum.calls, sum.loads, sum.reports = 0, 0, 0
			sum.mu.Unlock()
			for i := range 2 * gateways { // each places work
				_, _ = f.gateways[i%gateways].acquire(fmt.Sprint("r", i), 0, 10*time.Millisecond)
				time.Sleep(5 * time.Second / time.Duration(2*gateways))
			}
			sum.mu.Lock()
			defer sum.mu.Unlock()
			perGateway = costs{(f.engines.pollCount() - polls) / gateways, sum.calls / gateways, sum.loads / gateways, sum.reports / gateways}
		})
		return perGateway
	}
	few, many := measure(20), measure(80)
	t.Logf("a gateway in 5 s: %+v with 20 gateways and 200 engines, %+v with 80 and 800", few, many)
	for name, n := range map[string][2]int{
		"polls": {few.polls, many.polls}, "calls": {few.calls, many.calls}, "loads": {few.loads, many.loads}, "reports": {few.reports, many.reports},
	} {
		if 3*n[1] > 4*n[0] {
			t.Errorf("%s of a gateway in 5 s: %d with 20 gateways, %d with 80", name, n[0], n[1])
		}
	}
}
