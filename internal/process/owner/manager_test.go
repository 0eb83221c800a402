package owner_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonwing/internal/process/owner"
	"persimmonwing/internal/process/schedule"
)

// startupTime is long enough for the start: host list, gossip, first polls, summaries.
const startupTime = 6 * time.Second

// withFleet runs a test on three gateways and the given engines.
func withFleet(t *testing.T, slots int, engineNames []string, test func(*is.I, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, slots, engineNames...)
		defer f.stop()
		for _, name := range []string{"a", "b", "c"} {
			f.start(name)
		}
		time.Sleep(startupTime)
		test(is.New(t), f)
	})
}

// Guards against grants beyond the slots of a replica when several gateways request
// them, and against a slot that is not granted again after its release.
func TestOneOwnerGrantsForAll(t *testing.T) {
	withFleet(t, 1, []string{"e"}, func(is *is.I, f *fleet) {
		g := f.byRank()
		grant, err := g[1].acquire("1", 1, time.Second)
		is.NoErr(err)
		is.Equal(grant.Owner, g[0].name)
		is.Equal(grant.Backend, "e")
		_, err = g[2].acquire("2", 2, 10*time.Second)
		is.True(err != nil) // the grant is renewed, so its slot stays taken
		g[1].Release(grant.ID, schedule.Outcome{Completed: true})
		time.Sleep(time.Millisecond)
		_, err = g[2].acquire("3", 3, time.Second)
		is.NoErr(err)
	})
}

// Guards against a gateway that reports an engine as owned although another gateway
// owns its group, and against an owner that shows a lost engine as reachable.
func TestEngineStates(t *testing.T) {
	withFleet(t, 2, []string{"e"}, func(is *is.I, f *fleet) {
		g := f.byRank()
		_, err := g[1].acquire("1", 1, time.Second)
		is.NoErr(err)
		state := g[0].EngineStates(time.Now())["e"]
		is.True(state.Owned && state.Polled && !state.Unreachable)
		is.Equal(state.Replica, schedule.ReplicaState{Running: 1, BatchBound: 2})
		is.Equal(state.Report.KVCapacityTokens, 1000)
		for _, other := range g[1:] {
			is.True(!other.EngineStates(time.Now())["e"].Owned)
		}
		f.engines.crash("e", false)
		time.Sleep(3 * time.Second)
		is.True(g[0].EngineStates(time.Now())["e"].Unreachable)
	})
}

// Guards against waits and grants that are lost with their owner: the callers of a
// killed owner go to the next one, which has to learn of the grants in use before it
// grants their slots for long.
func TestOwnerFaults(t *testing.T) {
	for name, fail := range map[string]func(*fleet, *gateway){
		"killed": func(_ *fleet, g *gateway) { g.stop() },
		"frozen": func(f *fleet, g *gateway) { f.network.Freeze(g.address) },
		"left":   func(_ *fleet, g *gateway) { g.view.Leave(context.Background()); g.stop() },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 2, []string{"e"}, func(is *is.I, f *fleet) {
				g := f.byRank()
				used, err := g[1].acquire("used", 1, time.Second)
				is.NoErr(err)
				_, err = g[2].acquire("used too", 2, time.Second)
				is.NoErr(err)
				var wait sync.WaitGroup
				defer wait.Wait()
				wait.Go(func() {
					time.Sleep(time.Second)
					fail(f, g[0])
					time.Sleep(6 * time.Second)
					g[1].Release(used.ID, schedule.Outcome{})
				})
				begin := time.Now()
				late, err := g[2].acquire("waiting", 3, 20*time.Second)
				is.NoErr(err)
				is.Equal(late.Owner, g[1].name)
				is.True(time.Since(begin) >= 7*time.Second) // both slots were taken
				is.True(time.Since(begin) < 8*time.Second)
				is.Equal(g[2].HeldGrants(), 2)
				f.network.Thaw(g[0].address)
			})
		})
	}
}

// Guards against waits in a planned restart: the new owner of a group has to grant as
// soon as all gateways have registered, but no slot that is in use.
func TestGracefulHandoverIsFast(t *testing.T) {
	withFleet(t, 2, []string{"e"}, func(is *is.I, f *fleet) {
		g := f.byRank()
		_, err := g[1].acquire("used", 1, time.Second)
		is.NoErr(err)
		g[0].view.Leave(context.Background())
		time.Sleep(10 * time.Millisecond)
		begin := time.Now()
		next, err := g[2].acquire("next", 2, time.Second)
		is.NoErr(err)
		is.Equal(next.Owner, g[1].name)
		is.True(time.Since(begin) < 100*time.Millisecond)
		_, err = g[2].acquire("third", 3, time.Second)
		is.True(err != nil) // both slots are in use
	})
}

// Guards against a grant that stays at its owner after its caller has left.
func TestLateGrantIsReleased(t *testing.T) {
	withFleet(t, 1, []string{"e"}, func(is *is.I, f *fleet) {
		g := f.byRank()
		first, err := g[1].acquire("1", 1, time.Second)
		is.NoErr(err)
		for i := range 3 {
			_, err = g[2].acquire(fmt.Sprint("gone", i), 2, time.Second)
			is.True(err != nil)
		}
		g[1].Release(first.ID, schedule.Outcome{})
		begin := time.Now()
		_, err = g[1].acquire("2", 3, 10*time.Second)
		is.NoErr(err)
		is.True(time.Since(begin) < 100*time.Millisecond)
		is.Equal(g[2].HeldGrants(), 0)
	})
}

// Guards against a graceful shutdown that cuts off requests: a gateway that has left
// still has to get grants for its waiting requests, from other gateways or, as the last
// one, from itself.
func TestLeavingGatewayFinishesItsRequests(t *testing.T) {
	for name, last := range map[string]bool{"others stay": false, "all leave": true} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 1, []string{"e"}, func(is *is.I, f *fleet) {
				g := f.byRank()
				used, err := g[0].acquire("used", 1, time.Second)
				is.NoErr(err)
				var wait sync.WaitGroup
				defer wait.Wait()
				wait.Go(func() {
					time.Sleep(time.Second)
					g[2].view.Leave(context.Background())
					if last {
						g[1].view.Leave(context.Background())
						g[0].view.Leave(context.Background())
					}
					time.Sleep(15 * time.Second)
					g[0].Release(used.ID, schedule.Outcome{})
				})
				_, err = g[2].acquire("waiting", 2, 20*time.Second)
				is.NoErr(err)
			})
		})
	}
}

// Guards against slots that stay in use by a gateway that was killed.
func TestGrantsOfKilledGatewayExpire(t *testing.T) {
	withFleet(t, 1, []string{"e"}, func(is *is.I, f *fleet) {
		g := f.byRank()
		_, err := g[1].acquire("1", 1, time.Second)
		is.NoErr(err)
		g[1].stop()
		begin := time.Now()
		_, err = g[2].acquire("2", 2, 10*time.Second)
		is.NoErr(err)
		took := time.Since(begin)
		is.True(took > 2*time.Second && took < 4*time.Second)
	})
}

// Guards against a partition between gateways that stops either side, and against two
// owners that still disagree after the partition has healed.
func TestTwoOwnersDuringPartition(t *testing.T) {
	withFleet(t, 4, []string{"e"}, func(is *is.I, f *fleet) {
		g := f.byRank()
		one, rest := []string{g[0].address}, []string{g[1].address, g[2].address}
		f.network.Cut(one, rest)
		here, err := g[0].acquire("1", 1, time.Second)
		is.NoErr(err)
		there, err := g[2].acquire("2", 2, 8*time.Second)
		is.NoErr(err)
		is.Equal(here.Owner, g[0].name)
		is.Equal(there.Owner, g[1].name)
		f.network.Heal(one, rest)
		time.Sleep(5 * time.Second)
		again, err := g[2].acquire("3", 3, time.Second)
		is.NoErr(err)
		is.Equal(again.Owner, g[0].name)
		// After healing, the owner knows of all three grants: one more fits, two do not.
		_, err = g[1].acquire("4", 4, time.Second)
		is.NoErr(err)
		_, err = g[1].acquire("5", 5, 2*time.Second)
		is.True(err != nil)
	})
}

// Guards against an owner that does not learn again of grants whose gateway was frozen
// or cut off for longer than the grants live.
func TestGrantsAreRegisteredAgainAfterAPause(t *testing.T) {
	withFleet(t, 1, []string{"e"}, func(is *is.I, f *fleet) {
		g := f.byRank()
		_, err := g[2].acquire("1", 1, time.Second)
		is.NoErr(err)
		f.network.Freeze(g[2].address)
		time.Sleep(10 * time.Second)
		other, err := g[1].acquire("2", 2, time.Second)
		is.NoErr(err) // the grant has expired
		g[1].Release(other.ID, schedule.Outcome{})
		f.network.Thaw(g[2].address)
		time.Sleep(5 * time.Second)
		_, err = g[1].acquire("3", 3, 2*time.Second)
		is.True(err != nil) // the slot is taken again
	})
}

// Guards against a lost engine that still gets work, and against requests that ran on
// it but are not suspects at every gateway.
func TestEngineLostMarksSuspects(t *testing.T) {
	for name, restart := range map[string]bool{"gone": false, "restarted": true} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 8, []string{"e", "f"}, func(is *is.I, f *fleet) {
				g := f.byRank()
				engineOf := map[string]string{}
				for round := range 2 {
					grant, err := g[1+round].acquire(fmt.Sprint("x", round), 666, time.Second)
					is.NoErr(err)
					engineOf[grant.ID] = grant.Backend
					f.engines.crash(grant.Backend, restart)
					g[1+round].ReportLost(grant.Backend)
					time.Sleep(2 * time.Second) // the owner's polls see the same loss
					g[1+round].Release(grant.ID, schedule.Outcome{EngineLost: true})
				}
				for _, at := range g {
					_, err := at.acquire("again "+at.name, 666, time.Second)
					var refusal *schedule.Refusal
					is.True(errors.As(err, &refusal))
					is.Equal(refusal.Reason, schedule.ReasonCrashes)
				}
				if !restart {
					is.True(engineOf["x0"] != engineOf["x1"])
				}
			})
		})
	}
}

// Guards against a request that waits at the owner and is granted although its
// fingerprint has crashed two engines in the meantime.
func TestWaitingSuspectIsRefused(t *testing.T) {
	withFleet(t, 1, []string{"e"}, func(is *is.I, f *fleet) {
		g := f.byRank()
		_, err := g[1].acquire("1", 666, time.Second)
		is.NoErr(err)
		var wait sync.WaitGroup
		defer wait.Wait()
		wait.Go(func() {
			for range 2 {
				time.Sleep(time.Second)
				f.engines.crash("e", true)
			}
		})
		_, err = g[2].acquire("2", 666, 10*time.Second)
		var refusal *schedule.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal.Reason, schedule.ReasonCrashes)
	})
}

// Guards against comparison policies that depend on peers: each gateway has to serve
// while it is cut off from all others.
func TestPoliciesWithoutOwners(t *testing.T) {
	for _, policy := range []owner.Policy{owner.PolicyShares, owner.PolicyBaseline} {
		t.Run(string(policy), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 1, "e")
				f.policy = policy
				defer f.stop()
				a, b := f.start("a"), f.start("b")
				time.Sleep(startupTime)
				f.network.Cut([]string{a.address}, []string{b.address})
				for _, g := range f.gateways {
					grant, err := g.acquire("at "+g.name, 1, time.Second)
					is.NoErr(err)
					is.Equal(grant.Owner, g.name)
				}
			})
		})
	}
}

// Guards against engines that are polled by the gateway that discovers them in addition
// to the owner of their group.
func TestOnlyTheOwnerPollsKnownEngines(t *testing.T) {
	withFleet(t, 1, []string{"e1", "e2", "e3", "e4"}, func(is *is.I, f *fleet) {
		const seconds, ticksPerSecond = 10, 4
		before := f.engines.pollCount()
		time.Sleep(seconds * time.Second)
		polls := f.engines.pollCount() - before
		is.True(polls >= (seconds-1)*ticksPerSecond*4)
		is.True(polls <= (seconds*ticksPerSecond+1)*4)
	})
}

// Guards against requests that wait or are refused because a gateway that has just
// started owns a group before it knows and has polled the group's engines.
func TestStartedOwnerGrantsAtOnce(t *testing.T) {
	withFleet(t, 50, []string{"e"}, func(is *is.I, f *fleet) {
		g := f.byRank()
		caller, owner := g[1], g[0].name
		g[0].view.Leave(context.Background())
		g[0].stop()
		time.Sleep(10 * time.Second)
		f.start(owner)
		longest, last := time.Duration(0), ""
		for i := range 50 {
			begin := time.Now()
			grant, err := caller.acquire(fmt.Sprint("request", i), uint64(i+1), time.Second)
			is.NoErr(err)
			longest = max(longest, time.Since(begin))
			last = grant.Owner
			time.Sleep(50 * time.Millisecond)
		}
		is.Equal(last, owner)
		t.Log("longest wait", longest)
		is.True(longest < 100*time.Millisecond)
	})
}
