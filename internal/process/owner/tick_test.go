package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// nopGroup is a Group that does nothing.
type nopGroup struct{ Group }

func (nopGroup) SetReplicas(time.Time, []schedule.Replica)        {}
func (nopGroup) Report(time.Time, string, api.LoadReport)         {}
func (nopGroup) Expire(time.Time, time.Duration) []string         { return nil }
func (nopGroup) Summary(time.Time) schedule.Summary               { return schedule.Summary{} }
func (nopGroup) State(time.Time) map[string]schedule.ReplicaState { return nil }
func (nopGroup) SetShare(float64)                                 {}
func (nopGroup) SetClassFractions(float64, float64)               {}
func (nopGroup) Dispatch(time.Time) []schedule.Decision           { return nil }
func (nopGroup) NextWake(time.Time) time.Time                     { return time.Time{} }

type staticLoads struct{}

func (staticLoads) Load(_ context.Context, name, _ string) (api.LoadReport, error) {
	return api.LoadReport{Name: name, Models: []string{"model-" + name[len(name)-1:]}, MaxBatch: 64}, nil
}

// BenchmarkTick reports the CPU usage of a gateway's periodic work at the target of 400
// gateways and 600 engines in 8 data centres; a gateway ticks 4 times/s.
func BenchmarkTick(b *testing.B) {
	view := membership.NewGossiper(membership.Options{
		Self:   membership.Host{Name: "gateway-0-0", DataCentre: "centre-0", PeerAddress: "x", Incarnation: 1},
		Logger: log.NewNopLogger(), Rand: rand.New(rand.NewPCG(1, 2)),
		Revision: func() int64 { return 1 }, Draining: func() []string { return nil },
	})
	var m membership.Message
	for i := range 400 {
		m.Hosts = append(m.Hosts, membership.Host{
			Name: fmt.Sprintf("gateway-%d-%d", i%8, i), DataCentre: fmt.Sprint("centre-", i%8), PeerAddress: fmt.Sprint(i), Incarnation: 1,
		})
	}
	m.From = m.Hosts[0]
	heartbeat := func() {
		for i := range m.Hosts {
			m.Hosts[i].Heartbeat++
		}
		_ = view.Service().Exchange(&m, new(membership.Message))
	}
	heartbeat()
	var hosts []platform.Host
	for i := range 600 {
		hosts = append(hosts, platform.Host{
			Name: fmt.Sprintf("engine-%d", i), Kind: platform.KindEngine, Address: "a", DataCentre: fmt.Sprint("centre-", i/75), State: platform.HostLive,
		})
	}
	view.SetHosts(hosts)
	for _, h := range hosts {
		view.SetReport(h.Name, false, []string{"model-" + h.Name[len(h.Name)-1:]}, "1")
	}
	manager := New(Options{
		Policy: PolicyOwner, View: view, Loads: staticLoads{}, Logger: log.NewNopLogger(),
		NewGroup:   func(schedule.GroupKey) Group { return nopGroup{} },
		ShardCount: func(int) int { return 1 }, ShardOf: func(string, int) int { return 0 },
		Floors: func() (float64, float64) { return 0, 0 },
	})
	defer manager.close()
	for b.Loop() {
		b.StopTimer()
		heartbeat() // otherwise all gateways count as dead after 3 s
		b.StartTimer()
		manager.tick(context.Background(), time.Now())
		manager.background.Wait()
	}
	const ticksPerSecond = float64(time.Second / tickPeriod)
	b.ReportMetric(100*ticksPerSecond*b.Elapsed().Seconds()/float64(b.N), "%core")
	b.ReportMetric(float64(len(manager.allRunners())), "groups")
}
