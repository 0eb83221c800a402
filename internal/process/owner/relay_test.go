package owner_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
)

// loadCalls counts the calls with which gateways exchange their loads, by caller.
type loadCalls struct {
	mu    sync.Mutex
	count map[string]int
}

// countedCaller counts the calls of one gateway.
type countedCaller struct {
	membership.Caller
	name  string
	calls *loadCalls
}

func (c countedCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if strings.HasSuffix(method, ".Loads") || strings.HasSuffix(method, ".PushLoads") || strings.HasSuffix(method, ".FetchLoads") {
		c.calls.mu.Lock()
		c.calls.count[c.name]++
		c.calls.mu.Unlock()
	}
	return c.Caller.Call(ctx, address, method, args, reply)
}

// relayedFleet is a fleet of many gateways in two data centres under the shared policy,
// with two engines of four slots.
type relayedFleet struct {
	*fleet
	members []*gateway
	calls   *loadCalls
}

func newRelayedFleet(t *testing.T, gateways int) *relayedFleet {
	h := &relayedFleet{fleet: newFleet(t, 4), calls: &loadCalls{count: map[string]int{}}}
	h.slowStart = time.Millisecond
	var registries []*registry.Registry
	for i := range gateways {
		name := string(rune('a' + i))
		h.remote[name] = i%2 == 1
		h.wrapCaller = func(c membership.Caller) membership.Caller { return countedCaller{c, name, h.calls} }
		g, r := h.startShared(name)
		h.members, registries = append(h.members, g), append(registries, r)
	}
	time.Sleep(15 * time.Second) // the gateways know each other
	for _, r := range registries {
		r.Sync(time.Now(), engineList("e1", "e2"))
	}
	time.Sleep(2 * time.Second)
	return h
}

// fill requests grants, each from another gateway after the loads have been exchanged, and
// returns the number of grants.
func (h *relayedFleet) fill(requests int, patience time.Duration) int {
	granted := 0
	for i := range requests {
		g := h.members[i%len(h.members)]
		if _, err := g.acquire(fmt.Sprint("r", i), 0, patience); err == nil {
			granted++
		}
		time.Sleep(500 * time.Millisecond)
	}
	return granted
}

// Guards against an exchange of loads whose cost for a gateway grows with the number of
// gateways: 83 gateways spent most of their processor time on it. From 20 to 40 gateways
// the calls of the busiest one may grow by a third.
func TestCallsForLoadsDoNotGrowWithGateways(t *testing.T) {
	busiest := func(gateways int) (most int) {
		synctest.Test(t, func(t *testing.T) {
			h := newRelayedFleet(t, gateways)
			defer h.stop()
			h.calls.mu.Lock()
			clear(h.calls.count)
			h.calls.mu.Unlock()
			h.fill(20, 10*time.Millisecond)
			h.calls.mu.Lock()
			defer h.calls.mu.Unlock()
			for _, n := range h.calls.count {
				most = max(most, n)
			}
		})
		return most
	}
	few, many := busiest(20), busiest(40)
	t.Logf("%d calls in 10 s with 20 gateways, %d with 40", few, many)
	if 3*many > 4*few {
		t.Errorf("the busiest gateway made %d calls in 10 s with 20 gateways, and %d with 40", few, many)
	}
}

// Guards against loads that relays lose, or that do not reach the gateways of another data
// centre: more work would be placed on the engines than fits.
func TestRelayedLoadsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newRelayedFleet(t, 24)
		defer h.stop()
		is.Equal(h.fill(12, 10*time.Millisecond), 8)
		for _, g := range h.members {
			running := 0
			for _, r := range g.PeerLoads(schedule.GroupKey{Model: "m"}) {
				running += r
			}
			is.Equal(running, 8) // each gateway knows all grants
		}
	})
}

// Guards against loads that stay unknown because the relay of a data centre is frozen.
func TestLoadsReachOthersWithoutTheirRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newRelayedFleet(t, 24)
		defer h.stop()
		relay := h.members[0].Relay()
		h.network.Freeze("address of " + relay)
		defer h.network.Thaw("address of " + relay)
		time.Sleep(time.Second)
		var rest []*gateway
		for _, g := range h.members {
			if g.name != relay {
				rest = append(rest, g)
			}
		}
		h.members = rest
		granted := h.fill(4, time.Second)
		time.Sleep(time.Second)
		is.Equal(granted, 4)
		for _, g := range h.members {
			running := 0
			for _, r := range g.PeerLoads(schedule.GroupKey{Model: "m"}) {
				running += r
			}
			is.Equal(running, granted)
		}
	})
}

// Guards against loads of a gateway that has ended, which a relay passes on to a gateway
// that calls for the first time, and against old loads that replace newer ones.
func TestRelayBuffer(t *testing.T) {
	is := is.New(t)
	var b owner.RelayBuffer
	now := time.Unix(1000, 0)
	b.Add(now, &owner.LoadsArgs{Gateway: "a", Incarnation: 1, Number: 5, Broken: map[string]time.Duration{"e1": time.Second}}, true)
	b.Add(now, &owner.LoadsArgs{Gateway: "b", Incarnation: 1, Number: 9}, false)
	b.Add(now, &owner.LoadsArgs{Gateway: "a", Incarnation: 1, Number: 4}, true)
	names := func(since uint64, caller string, onlyLocal bool, at time.Time) string {
		loads, _ := b.Since(at, since, caller, onlyLocal)
		var out []string
		for _, l := range loads {
			a, err := owner.DecodeLoads(l.Encoded)
			is.NoErr(err)
			out = append(out, fmt.Sprintf("%s%d%d", a.Gateway, a.Number, len(l.Broken)))
		}
		if len(out) == 2 && out[0] > out[1] {
			out[0], out[1] = out[1], out[0]
		}
		return strings.Join(out, " ")
	}
	is.Equal(names(0, "c", false, now), "a51 b90")
	is.Equal(names(0, "a", false, now), "b90")                        // not its own
	is.Equal(names(0, "c", true, now), "a51")                         // of this data centre
	is.Equal(names(b.Sequence(), "c", false, now), "")                // nothing new
	is.Equal(names(0, "c", false, now.Add(2*time.Second)), "a50 b90") // the engine is used again
	b.Add(now.Add(time.Second), &owner.LoadsArgs{Gateway: "a", Incarnation: 2, Number: 1}, true)
	is.Equal(names(0, "c", false, now.Add(time.Second)), "a10 b90") // restarted
	b.Expire(now.Add(3500 * time.Millisecond))
	is.Equal(names(0, "c", false, now.Add(3500*time.Millisecond)), "a10")
}

// Guards against calls that grow with the gateways because each message that confirms old loads ends the wait of all
// followers, and against a change that does not end it.
func TestOnlyChangesEndTheWaitOfFollowers(t *testing.T) {
	is := is.New(t)
	var b owner.RelayBuffer
	number := uint64(0)
	changes := func(running, used int, broken time.Duration) bool {
		since := b.Sequence()
		number++
		in := owner.LoadsArgs{Gateway: "a", Incarnation: 1, Number: number, Reports: []api.LoadReport{{Name: "e1", Models: []string{"m"}, KVUsedTokens: used, ReportedAtMS: int64(number)}}}
		in.Groups = []owner.GroupLoads{{Group: schedule.GroupKey{Model: "m"}, Loads: []schedule.ReplicaLoad{{Replica: "e1", Running: running}}}}
		if broken > 0 {
			in.Broken = map[string]time.Duration{"e1": broken}
		}
		b.Add(time.Unix(1000, 0), &in, true)
		loads, reports := b.Since(time.Unix(1000, 0), since, "follower", false)
		is.Equal(len(loads)+len(reports), 2) // passed on with the next change, or after the wait
		return b.ChangedSince(since)
	}
	is.True(changes(1, 10, 0))
	is.True(!changes(1, 10, 0))
	is.True(changes(2, 10, 0))
	is.True(changes(2, 11, 0))
	is.True(!changes(2, 11, 0))
	is.True(changes(2, 11, time.Second))
	is.True(changes(2, 11, 0)) // the engine is used again
	is.True(!changes(2, 11, 0))
}

// Guards against a relay on a host with a fifth of a core while a larger one is live: such
// relays answered their own callers late.
func TestRelaysRunOnTheLargestHosts(t *testing.T) {
	is := is.New(t)
	var gateways []membership.Gateway
	for i := range 20 {
		gateways = append(gateways, membership.Gateway{Name: fmt.Sprint("g", i), MilliCores: 192, Live: true})
	}
	small, ok := owner.SelectRelay(gateways)
	is.True(ok)
	is.Equal(small.MilliCores, 192)
	for i := range gateways {
		if gateways[i].Name != small.Name && i%7 == 3 {
			gateways[i].MilliCores = 800
		}
	}
	large, ok := owner.SelectRelay(gateways)
	is.True(ok)
	is.Equal(large.MilliCores, 800)
	_, ok = owner.SelectRelay(nil)
	is.True(!ok)
}

// Guards against gateways that know of a server's load only what it has told them, and against a
// statement that seems newer than it is, with and without relays.
func TestStatementsReachAllGateways(t *testing.T) {
	for _, gateways := range []int{4, 24} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newRelayedFleet(t, gateways)
			defer h.stop()
			read := time.Now()
			h.members[3].NoteStatement(read, owner.ServerStatement{Server: "s", Running: 2, Slots: 6})
			time.Sleep(time.Second)
			for _, g := range h.members {
				age := g.StatementAge(time.Now(), "s")
				is.True(age > 900*time.Millisecond && age <= time.Since(read))
			}
			time.Sleep(1500 * time.Millisecond) // forgotten, and told by nobody
			h.members[5%gateways].NoteStatement(time.Now(), owner.ServerStatement{Server: "other", Slots: 6})
			time.Sleep(time.Second)
			for _, g := range h.members {
				is.True(g.StatementAge(time.Now(), "s") > 2*time.Second || g.StatementAge(time.Now(), "s") < 0)
				is.True(g.StatementAge(time.Now(), "other") > 0)
			}
		})
	}
}
