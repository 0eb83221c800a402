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
	gossipWarm    = 4 * time.Second
	gossipMeasure = 2 * time.Second
)

// memoryNetwork carries the gossip of many gateways in this process.
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

// gossipCost is the cost of one gateway.
type gossipCost struct {
	bytes, core, memory float64
	least               int // gateways counted live by the one that counts fewest
}

func gossipCostOf(ctx context.Context, centres, perCentre int) gossipCost {
	before := heap()
	n := &memoryNetwork{services: map[string]*membership.Service{}, wires: map[string]*peertest.Wire{}}
	var all []*membership.Gossiper
	intro := gossipIntroduction(centres, perCentre)
	for i, h := range intro.Hosts {
		g := membership.NewGossiper(membership.Options{
			Self: h, Caller: n, Logger: log.NewNopLogger(), Rand: rand.New(rand.NewPCG(1, uint64(i))),
			Revision: func() int64 { return 7 }, Draining: func() []string { return nil },
			Confirmed: func() (int64, time.Duration, bool) { return 7, time.Second, true },
		})
		all = append(all, g)
		n.services[h.PeerAddress], n.wires[h.PeerAddress] = g.Service(), peertest.NewWire()
	}
	for _, g := range all {
		_ = g.Service().Exchange(&intro, new(membership.Message))
	}
	ctx, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for i, g := range all {
		wait.Go(func() {
			// Starts are spread over a period, as in a fleet.
			_ = pause.For(ctx, time.Duration(i)*time.Second/time.Duration(len(all)))
			wait.Go(func() { publishSummaries(ctx, g, i%perCentre) })
			_ = g.Run(ctx)
		})
	}
	_ = pause.For(ctx, gossipWarm)
	bytes, used, began := n.bytes.Load(), cpu(), time.Now()
	_ = pause.For(ctx, gossipMeasure)
	took := time.Since(began).Seconds() * float64(len(all))
	c := gossipCost{
		// Each byte is sent by one gateway and received by another.
		bytes: 2 * float64(n.bytes.Load()-bytes) / took,
		core:  100 * (cpu() - used).Seconds() / took,
		least: len(all),
	}
	for _, g := range all {
		c.least = min(c.least, len(g.Live()))
	}
	stop()
	wait.Wait()
	c.memory = (heap() - before) / float64(len(all))
	runtime.KeepAlive(all)
	return c
}

// gossipIntroduction tells of all gateways and groups, and of the target's share
// of engines of each data centre. Without the groups their names, which are asked
// for once, would be counted on a busy machine.
func gossipIntroduction(centres, perCentre int) membership.Message {
	var m membership.Message
	now := time.Now().UnixMilli()
	for dc := range centres {
		name := fmt.Sprint("centre-", dc)
		for i := range perCentre {
			m.Hosts = append(m.Hosts, membership.Host{
				Name: fmt.Sprintf("gateway-%d-%03d", dc, i), DataCentre: name,
				PeerAddress: fmt.Sprintf("10.%d.0.%d:7400", dc, i), Incarnation: now - 1e6, Heartbeat: 1 << 20,
			})
		}
		for i := range targetReplicas / targetCentres {
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
	for dc := range centres {
		for model := range targetModels {
			m.Groups = append(m.Groups, schedule.GroupKey{DataCentre: fmt.Sprint("centre-", dc), Model: fmt.Sprint("model-", model)})
		}
	}
	m.From = m.Hosts[0]
	return m
}

// publishSummaries states the load of one of the ten groups of a data centre.
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
	for _, centres := range []int{1, targetCentres} {
		var bytes, core, memory []point
		notes := ""
		for _, per := range []int{7, 25, 50, 100} {
			c := gossipCostOf(ctx, centres, per)
			size := float64(centres * per)
			bytes = append(bytes, point{size, c.bytes})
			core = append(core, point{size, c.core})
			memory = append(memory, point{size, c.memory})
			if c.least < centres*per {
				notes += fmt.Sprintf("at %d gateways one counts only %d live; ", centres*per, c.least)
			}
		}
		target := float64(targetPerCentre * centres)
		name := fmt.Sprintf("in %d data centres", centres)
		size := "gateways " + name
		r.add(line{name: "gossip bytes " + name, size: size, unit: "B/s", points: bytes, target: target, note: notes})
		r.add(line{name: "gossip CPU " + name, size: size, unit: "% core", points: core, target: target,
			note: "getrusage of the process; gob on both sides is in it, system calls are not"})
		r.add(line{name: "gossip memory " + name, size: size, unit: "B", points: memory, target: target})
	}
	return nil
}
