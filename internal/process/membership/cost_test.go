package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonwing/internal/connection/peer/peertest"
	"persimmonwing/internal/process/schedule"
)

// gatewayCost is the gossip cost of one gateway per second.
type gatewayCost struct {
	inOut float64 // bytes received and sent, without TCP/IP headers
	core  float64 // fraction of a CPU core, including encoding
}

// roundTrip sends request over w to b and returns b's response and the size of both in bytes.
func roundTrip(w *peertest.Wire, now time.Time, request Message, b *state) (response Message, size int) {
	var in, out Message
	size, err := w.Call("Membership.Exchange", &request, &in, &out, &response, func() error {
		out = b.response(now, &in)
		return nil
	})
	if err != nil {
		panic(err)
	}
	return response, size
}

// simulate runs gossip between gateways for the given number of seconds. It returns the
// mean cost of a gateway in the second half, and the smallest number of hosts that any
// gateway considers live at the end.
func simulate(perCentre, centres, seconds int) (cost gatewayCost, live int) {
	random := rand.New(rand.NewPCG(3, 4))
	now := epoch
	var all []*state
	for dc := range centres {
		for i := range perCentre {
			all = append(all, newState(Host{
				Name: fmt.Sprintf("gateway-%d-%03d", dc, i), DataCentre: fmt.Sprint("centre-", dc),
				PeerAddress: fmt.Sprintf("10.%d.0.%d:7400", dc, i), Incarnation: epoch.UnixMilli() + 12345,
			}))
		}
	}
	for _, a := range all {
		for _, b := range all {
			if a != b {
				a.table.Merge(now, b.table.self)
			}
		}
	}
	w, bytes, took := peertest.NewWire(), 0, time.Duration(0)
	exchange := func(a, b *state) {
		response, n := roundTrip(w, now, a.newRequest(now, a.table.local(b.table.self.PeerAddress)), b)
		if followUp, needed := a.followUp(now, &response); needed {
			names, k := roundTrip(w, now, followUp, b)
			n += k
			a.apply(now, &names)
			if len(names.Want) > 0 {
				_, k = roundTrip(w, now, a.names(names.Want), b)
				n += k
			}
		}
		bytes += 2 * n // each byte is sent by one gateway and received by another
	}
	for second := range seconds {
		if second == seconds/2 {
			bytes, took = 0, 0
		}
		begin := time.Now()
		for i, a := range all {
			dc := i / perCentre
			a.table.Beat(7)
			if model := i % perCentre; model < 10 { // ten models, one group each
				a.summaries.state(now, schedule.Summary{
					Group: schedule.GroupKey{DataCentre: a.table.self.DataCentre, Model: fmt.Sprint("model-", model)},
					Owner: a.table.self.Name, Replicas: 8, FreeSlots: random.IntN(200),
					QueuedUrgent: random.IntN(9), WaitUrgentMS: random.Int64N(900), WaitBackgroundMS: random.Int64N(9000),
				})
			}
			for range min(gossipFanout, perCentre-1) {
				j := (i%perCentre + 1 + random.IntN(perCentre-1)) % perCentre
				exchange(a, all[dc*perCentre+j])
			}
			if second%roundsPerRemoteCall == i%roundsPerRemoteCall && centres > 1 {
				j := (dc + 1 + random.IntN(centres-1)) % centres
				exchange(a, all[j*perCentre+random.IntN(perCentre)])
			}
		}
		took += time.Since(begin)
		now = now.Add(time.Second)
	}
	live = len(all)
	for _, a := range all {
		local, remote := a.liveHosts(now.Add(-time.Second))
		live = min(live, len(local)+len(remote)+1)
	}
	nodeSeconds := float64(len(all) * (seconds - seconds/2))
	return gatewayCost{float64(bytes) / nodeSeconds, took.Seconds() / nodeSeconds}, live
}

// gossipBudget is the control traffic allowed per gateway, in bytes/s.
const gossipBudget = 17e3

// Guards against gossip that exceeds its budget in a fleet of today's size, and against
// live gateways that are considered dead because the size of messages is limited.
func TestGossipCostToday(t *testing.T) {
	for _, centres := range []int{1, 4} {
		cost, live := simulate(7, centres, 24)
		t.Logf("%d x 7 gateways: %.1f KB/s in and out", centres, cost.inOut/1e3)
		if cost.inOut > gossipBudget {
			t.Errorf("%d x 7 gateways: %.0f bytes/s in and out exceed the budget", centres, cost.inOut)
		}
		if live != 7*centres {
			t.Errorf("%d x 7 gateways: some gateway counts only %d live", centres, live)
		}
	}
}

// Guards against messages that exceed the budget at the target size of 400 gateways and
// 80 groups, when each side has newer heartbeats of half of the hosts.
func TestMessageSizeAtTarget(t *testing.T) {
	now, w, total := epoch, peertest.NewWire(), 0
	ends := [2]*state{}
	for i := range ends {
		ends[i] = newState(Host{Name: fmt.Sprint("end-", i), DataCentre: "centre-0", PeerAddress: fmt.Sprint(i), Incarnation: 1})
	}
	const rounds = 20
	for round := range uint64(rounds) {
		now = now.Add(time.Second)
		for i := range uint64(400) {
			centre := fmt.Sprint("centre-", i%8)
			h := Host{Name: fmt.Sprint("gateway-", i), DataCentre: centre, PeerAddress: fmt.Sprint("10.0.0.", i), Incarnation: 1}
			for e, end := range ends {
				h.Heartbeat = 1<<20 + 2*round + (i+uint64(e))%2
				end.table.Merge(now, h)
				if i < 80 {
					k := schedule.GroupKey{DataCentre: centre, Model: fmt.Sprint("model-", i/8)}
					end.summaries.merge(schedule.Summary{
						Group: k, Owner: h.Name, Replicas: 8, FreeSlots: 100, QueuedUrgent: 10, QueuedBackground: 1000,
						WaitUrgentMS: 500, WaitBackgroundMS: 50000,
					}, now.UnixMilli()+int64((i+uint64(e))%2), now)
				}
			}
		}
		_, n := roundTrip(w, now, ends[0].newRequest(now, true), ends[1])
		if round > 0 { // the first message contains gob's type descriptions
			total += n
		}
	}
	// Each second a gateway starts 3.5 exchanges and responds to as many.
	perSecond := float64(total) / (rounds - 1) * 2 * (gossipFanout + 1.0/roundsPerRemoteCall)
	t.Logf("%.1f KB/s in and out", perSecond/1e3)
	if perSecond > gossipBudget {
		t.Errorf("%.0f bytes/s in and out exceed the budget", perSecond)
	}
}

// BenchmarkGossip reports the cost per gateway for different numbers of gateways.
func BenchmarkGossip(b *testing.B) {
	for _, perCentre := range []int{7, 25, 50, 100} {
		for _, centres := range []int{1, 8} {
			b.Run(fmt.Sprintf("centres=%d/gateways=%d", centres, perCentre), func(b *testing.B) {
				for b.Loop() {
					cost, live := simulate(perCentre, centres, 24)
					b.ReportMetric(cost.inOut/1e3, "KB/s")
					b.ReportMetric(100*cost.core, "%core")
					b.ReportMetric(float64(live), "least-live")
				}
			})
		}
	}
}
