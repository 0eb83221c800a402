package schedule

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonwing/internal/version/catalogue"
)

// Guards against use at other gateways that is counted twice, or that stays when a message is lost or a
// gateway ends: the sum may differ from the truth only by what was granted or has decayed since the newest
// message of each gateway.
func TestUseOverGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		own, now := NewGroup(GroupKey{}, Options{Policy: PolicyShared}), start
		peers := make([]*shares, gateways)
		sent, newer := make([]float64, gateways), make([]float64, gateways)
		for i := range peers {
			peers[i] = &shares{usage: map[string]*usage{}}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			switch name := fmt.Sprint("g", i); rapid.SampledFrom([]string{"grant", "grant", "message", "repeated", "ended"}).Draw(t, "step") {
			case "grant": // the message about it may be lost
				tokens := float64(rapid.IntRange(1, 3000).Draw(t, "tokens"))
				peers[i].add(now, fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "workspace")), 1, tokens)
				newer[i] += tokens
			case "repeated":
				own.SetPeerUse(now, name, peers[i].use(now))
				fallthrough
			case "message":
				own.SetPeerUse(now, name, peers[i].use(now))
				sent[i], newer[i] = peers[i].total.get(now), 0
			case "ended":
				peers[i], sent[i], newer[i] = &shares{usage: map[string]*usage{}}, 0, 0
				own.SetPeerUse(now, name, Use{})
			}
			own.shares.expirePeers(now)
			truth, bound := 0.0, float64(2*gateways)
			for i, p := range peers {
				truth += p.total.get(now)
				bound += newer[i] + max(0, sent[i]-p.total.get(now), p.total.get(now)-sent[i])
				if _, known := own.shares.peers[fmt.Sprint("g", i)]; !known {
					bound += p.total.get(now)
				}
			}
			if got := float64(own.shares.peerTokens); math.Abs(got-truth) > bound {
				t.Fatalf("%.0f tokens at other gateways, the truth is %.0f, the bound of the error %.0f", got, truth, bound)
			}
		}
		for i := range peers {
			own.SetPeerUse(now, fmt.Sprint("g", i), Use{})
		}
		if s := &own.shares; s.peerTokens != 0 || s.peerWithinShare != 0 || s.peerWaiting != 0 {
			t.Fatalf("%d tokens and %d grants are left of gateways that ended", s.peerTokens, s.peerWithinShare)
		}
	})
}

// gatewayFlood simulates gateways that share engines, of which each runs at most 16 generations for 2 s. One
// small workspace calls at each of the first four gateways, and from 10 s on a large one at all eight.
type gatewayFlood struct {
	groups  []*Group
	running map[string]int
	ends    map[int][]func()
	served  map[string][3]int // by workspace: requests served in each 10 s
	sent    [floodGateways]UsePublisher
	// progress passes on the tokens of each generation that runs, one each tick.
	progress map[string]func(ms int)
	number   int
}

const (
	floodGateways = 8
	floodTick     = 10 // ms
	floodBatch    = 16
)

func (f *gatewayFlood) run(seed int64, flood bool) map[string][3]int {
	rnd, lost := rand.New(rand.NewSource(seed)), rand.New(rand.NewSource(seed))
	f.running, f.ends, f.served, f.progress = map[string]int{}, map[int][]func(){}, map[string][3]int{}, map[string]func(int){}
	for i := range floodGateways {
		g := NewGroup(GroupKey{Model: "m"}, Options{Owner: fmt.Sprint("g", i), Policy: PolicyShared, NoBatchBound: true, BackgroundFloor: 0.1, UrgentReserve: 0.1})
		g.SetReplicas(start, testReplicas(4, floodBatch, 1_000_000))
		f.groups = append(f.groups, g)
	}
	for ms := 0; ms < 30_000; ms += floodTick {
		for i, g := range f.groups {
			if i < 4 && rnd.Float64() < 0.035 {
				f.enqueue(ms, g, fmt.Sprint("small", i))
			}
			for range 2 {
				if flood && ms >= 10_000 && lost.Float64() < 0.2 {
					f.enqueue(ms, g, "large")
				}
			}
		}
		for _, end := range f.ends[ms] {
			end()
		}
		for _, i := range lost.Perm(floodGateways) {
			f.dispatch(ms, f.groups[i], 3)
		}
		f.exchange(ms, lost)
	}
	return f.served
}

func (f *gatewayFlood) enqueue(ms int, g *Group, workspace string) {
	f.number++
	q := testRequest(fmt.Sprint(f.number), workspace, catalogue.Urgent)
	q.Deadline = simTime(float64(ms)).Add(urgentTimeout)
	g.Enqueue(simTime(float64(ms)), q)
}

// dispatch applies the decisions of a gateway. An engine that is full refuses as its arbiter does.
func (f *gatewayFlood) dispatch(ms int, g *Group, tries int) {
	now, again := simTime(float64(ms)), false
	for _, d := range g.Dispatch(now) {
		id, engine := d.Request.ID, d.Grant.Backend
		switch {
		case d.Refusal != nil:
		case f.running[engine] >= floodBatch:
			g.Release(now, id, Outcome{NotRun: true})
			g.Postpone(now, engine)
			g.Enqueue(now, d.Request)
			again = true
		default:
			f.running[engine]++
			served := f.served[d.Request.Workspace]
			served[ms/10_000]++
			f.served[d.Request.Workspace] = served
			end := ms + 2000
			f.progress[id] = func(at int) { g.Progress(simTime(float64(at)), id, (at-ms)/floodTick) }
			f.ends[end] = append(f.ends[end], func() {
				f.running[engine]--
				delete(f.progress, id)
				g.Release(simTime(float64(end)), id, Outcome{Generated: 200, Completed: true})
			})
		}
	}
	if again && tries > 1 {
		f.dispatch(ms, g, tries-1)
	}
}

// exchange passes loads on every 50 ms, with the use if it is due. One message in ten is lost.
func (f *gatewayFlood) exchange(ms int, lost *rand.Rand) {
	now := simTime(float64(ms))
	if ms%50 != 0 {
		return
	}
	for _, progress := range f.progress {
		progress(ms)
	}
	for i, from := range f.groups {
		use := from.Use(now)
		due := f.sent[i].Due(now, use.Tokens, use.Waiting)
		for j, to := range f.groups {
			if i == j || lost.Float64() < 0.1 {
				continue
			}
			to.SetPeerLoads(now, from.o.Owner, uint64(ms), from.Loads())
			if due {
				to.SetPeerUse(now, from.o.Owner, use)
			}
		}
	}
}

// Guards against a workspace that floods through many gateways, at some of which it is alone, and takes the
// room of small workspaces: each of these keeps at least 0.9 of its calm share in each 10 s of the flood.
func TestFloodThroughManyGateways(t *testing.T) {
	for seed := range int64(floodSeeds) {
		calm, flooded := (&gatewayFlood{}).run(seed, false), (&gatewayFlood{}).run(seed, true)
		for i := range 4 {
			name := fmt.Sprint("small", i)
			for part := 1; part < 3; part++ {
				if got, want := flooded[name][part], calm[name][part]; float64(got) < 0.9*float64(want) {
					t.Errorf("seed %d: %s got %d requests served in the %d. 10 s of the flood, %d without it", seed, name, got, part, want)
				}
			}
		}
		t.Logf("seed %d: calm %v, flooded %v", seed, calm, flooded)
	}
}
