package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/connection/peer/peertest"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/pause"
)

const (
	gossipWarmUp      = 4 * time.Second
	gossipMeasureTime = 2 * time.Second
)

// memoryNetwork is an in-memory network for the gossip of many gateways. It counts
// the bytes of encoded messages.
type memoryNetwork struct {
	services map[string]*membership.Service
	wires    map[string]*peertest.Wire
	bytes    atomic.Int64
}

// Call implements membership.Caller.
func (n *memoryNetwork) Call(_ context.Context, address, method string, args, reply any) error {
	var in, out membership.Message
	size, err := n.wires[address].Call(method, args, &in, &out, reply, func() error {
		return n.services[address].Exchange(&in, &out)
	})
	n.bytes.Add(int64(size))
	return err
}

// gossipCost is the gossip cost of one gateway: bytes/s in and out, percent of a core
// and bytes of memory.
type gossipCost struct {
	bytes, core, memory float64
	minLive             int // the lowest number of live gateways that any gateway counted
}

func gossipCostOf(ctx context.Context, dataCentres, perDataCentre int) gossipCost {
	before := heapBytes()
	n := &memoryNetwork{services: map[string]*membership.Service{}, wires: map[string]*peertest.Wire{}}
	var all []*membership.Gossiper
	seed := gossipSeedMessage(dataCentres, perDataCentre)
	for i, h := range seed.Hosts {
		g := membership.NewGossiper(membership.Options{
			Self: h, Caller: n, Logger: log.NewNopLogger(), Rand: rand.New(rand.NewPCG(1, uint64(i))),
			Revision: func() int64 { return 7 }, Draining: func() []string { return nil },
			Confirmed: func() (int64, time.Duration, bool) { return 7, time.Second, true },
		})
		all = append(all, g)
		n.services[h.PeerAddress], n.wires[h.PeerAddress] = g.Service(), peertest.NewWire()
	}
	for _, g := range all {
		_ = g.Service().Exchange(&seed, new(membership.Message))
	}
	ctx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for i, g := range all {
		wait.Go(func() {
			// Start times are spread over a gossip period, as in a real fleet.
			_ = pause.For(ctx, time.Duration(i)*time.Second/time.Duration(len(all)))
			wait.Go(func() { publishSummaries(ctx, g, i%perDataCentre) })
			_ = g.Run(ctx)
		})
	}
	_ = pause.For(ctx, gossipWarmUp)
	bytes, used, began := n.bytes.Load(), cpuTime(), time.Now()
	_ = pause.For(ctx, gossipMeasureTime)
	took := time.Since(began).Seconds() * float64(len(all))
	c := gossipCost{
		// Each byte is sent by one gateway and received by another.
		bytes:   2 * float64(n.bytes.Load()-bytes) / took,
		core:    100 * (cpuTime() - used).Seconds() / took,
		minLive: len(all),
	}
	for _, g := range all {
		c.minLive = min(c.minLive, len(g.Live()))
	}
	stop()
	wait.Wait()
	c.memory = (heapBytes() - before) / float64(len(all))
	runtime.KeepAlive(all)
	return c
}

// gossipSeedMessage returns a message with all gateways and groups, and with the
// target number of engines of each data centre. It includes the groups because
// gateways request unknown group names once, and on a busy machine these requests
// would still fall into the measurement.
func gossipSeedMessage(dataCentres, perDataCentre int) membership.Message {
	var m membership.Message
	now := time.Now().UnixMilli()
	for dc := range dataCentres {
		name := fmt.Sprint("centre-", dc)
		for i := range perDataCentre {
			m.Hosts = append(m.Hosts, membership.Host{
				Name: fmt.Sprintf("gateway-%d-%03d", dc, i), DataCentre: name,
				PeerAddress: fmt.Sprintf("10.%d.0.%d:7400", dc, i), Incarnation: now - 1e6, Heartbeat: 1 << 20,
			})
		}
		for i := range targetReplicas / targetDataCentres {
			engine := fmt.Sprintf("engine-%d-%03d", dc, i)
			m.Facts = append(m.Facts, membership.Fact{
				FactKey: membership.FactKey{Kind: membership.FactHost, Name: engine}, Version: now,
				Address: fmt.Sprintf("10.%d.1.%d:8000", dc, i), DataCentre: name,
			}, membership.Fact{
				FactKey: membership.FactKey{Kind: membership.FactReport, Name: engine}, Version: now,
				Models: []string{fmt.Sprint("model-", i%targetModels)}, Incarnation: fmt.Sprint(now),
			})
		}
	}
	for dc := range dataCentres {
		for model := range targetModels {
			m.Groups = append(m.Groups, schedule.GroupKey{DataCentre: fmt.Sprint("centre-", dc), Model: fmt.Sprint("model-", model)})
		}
	}
	m.From = m.Hosts[0]
	return m
}

// publishSummaries publishes a random load summary every second for one of the ten
// groups of a data centre.
func publishSummaries(ctx context.Context, g *membership.Gossiper, index int) {
	if index >= targetModels {
		return
	}
	for ctx.Err() == nil {
		g.SetSummary(schedule.Summary{
			Group: schedule.GroupKey{DataCentre: g.Self().DataCentre, Model: fmt.Sprint("model-", index)},
			Owner: g.Self().Name, Replicas: 8, FreeSlots: rand.IntN(200),
			QueuedUrgent: rand.IntN(9), WaitUrgentMS: rand.Int64N(900), WaitBackgroundMS: rand.Int64N(9000),
		})
		_ = pause.For(ctx, time.Second)
	}
}

func measureGossip(ctx context.Context, r *report) error {
	for _, dataCentres := range []int{1, targetDataCentres} {
		var bytes, core, memory []point
		notes := ""
		for _, perDataCentre := range []int{7, 25, 50, 100} {
			c := gossipCostOf(ctx, dataCentres, perDataCentre)
			size := float64(dataCentres * perDataCentre)
			bytes = append(bytes, point{size, c.bytes})
			core = append(core, point{size, c.core})
			memory = append(memory, point{size, c.memory})
			if c.minLive < dataCentres*perDataCentre {
				notes += fmt.Sprintf("at %d gateways one counts only %d live; ", dataCentres*perDataCentre, c.minLive)
			}
		}
		target := float64(targetGatewaysPerDataCentre * dataCentres)
		name := fmt.Sprintf("in %d data centres", dataCentres)
		size := "gateways " + name
		r.add(line{name: "gossip bytes " + name, size: size, unit: "B/s", points: bytes, target: target, note: notes})
		r.add(line{name: "gossip CPU " + name, size: size, unit: "% core", points: core, target: target,
			note: "getrusage of the process; gob on both sides is in it, system calls are not"})
		r.add(line{name: "gossip memory " + name, size: size, unit: "B", points: memory, target: target})
	}
	return nil
}
