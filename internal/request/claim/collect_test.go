package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/platform/platformtest"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// linkFault is the fault injected into one RPC to a collector.
type linkFault int

const (
	reached     linkFault = iota
	unreachable           // refused immediately
	requestLost           // no effect and no answer
	answerLost            // the collector writes, but its answer is lost
	frozen                // the collector handles the call after a pause
	linkFaults
)

type linkPlan struct {
	Fault linkFault
	Delay time.Duration // the pause of frozen
}

var errLink = errors.New("link fault of the test")

// network carries RPCs between the stores of one test.
type network struct {
	// ranks is the order of the collectors in the view of each gateway.
	ranks [gateways][]int

	mu     sync.Mutex
	plans  []linkPlan
	stores [gateways]*Store
}

// startStore starts the store of one gateway. A nil network has no collectors.
func (n *network) startStore(ctx context.Context, t Table, self int) *Store {
	if n == nil {
		return startStore(ctx, t)
	}
	o := DefaultOptions()
	o.Caller = n
	o.Collectors = func() []Collector {
		var out []Collector
		for _, g := range n.ranks[self] {
			out = append(out, Collector{Address: fmt.Sprint(g), Self: g == self})
		}
		return out
	}
	s := NewStore(t, o)
	n.stores[self] = s
	go func() { _ = s.Run(ctx) }()
	return s
}

func (n *network) next() linkPlan {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.plans) == 0 {
		return linkPlan{}
	}
	p := n.plans[0]
	n.plans = n.plans[1:]
	return p
}

func (n *network) clear() {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.plans = nil
}

// Call implements Caller. The method runs in its own goroutine, as it would in another
// process, and continues after the caller has timed out.
func (n *network) Call(ctx context.Context, address, _ string, args, reply any) error {
	p := n.next()
	if p.Fault == unreachable {
		return errLink
	}
	answered := make(chan error, 1)
	var own WriteReply
	if p.Fault != requestLost {
		go func() {
			time.Sleep(p.Delay)
			var g int
			_, _ = fmt.Sscan(address, &g)
			err := n.stores[g].Service().Write(args.(*WriteArgs), &own)
			if p.Fault != answerLost {
				answered <- err
			}
		}()
	}
	select {
	case err := <-answered:
		*reply.(*WriteReply) = own
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func drawLinkPlan(t *rapid.T) linkPlan {
	p := linkPlan{Fault: linkFault(rapid.IntRange(0, int(linkFaults)-1).Draw(t, "link"))}
	if p.Fault == frozen {
		p.Delay = time.Duration(rapid.IntRange(1, 4000).Draw(t, "asleep")) * time.Millisecond
	}
	return p
}

func drawRank(t *rapid.T) []int { return rapid.Permutation([]int{0, 1, 2}).Draw(t, "rank") }

// Guards against a call that runs twice and a key that is blocked forever when claims
// go through collectors that are killed, frozen or partitioned before or after their
// write, while gateways disagree on which of them is the collector.
func TestAtMostOnceThroughCollectors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sends := rapid.SliceOfN(rapid.Custom(drawSend), 1, 8).Draw(rt, "sends")
		plans := rapid.SliceOfN(rapid.Custom(drawPlan), 0, 16).Draw(rt, "plans")
		n := &network{plans: rapid.SliceOfN(rapid.Custom(drawLinkPlan), 0, 16).Draw(rt, "links")}
		for i := range n.ranks {
			n.ranks[i] = rapid.Custom(drawRank).Draw(rt, "rank")
		}
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = simulate(sends, plans, n) })
		if len(problems) > 0 {
			rt.Fatalf("%d problems: %q", len(problems), problems)
		}
	})
}

// oneCollector starts three gateways. All of them use gateway 1 as the collector and 2
// as the fallback.
func oneCollector(t *testing.T, faults *faultQueue, plans ...linkPlan) *network {
	n := &network{ranks: [gateways][]int{{1, 2, 0}, {1, 2, 0}, {1, 2, 0}}, plans: slices.Clone(plans)}
	table := &platformtest.Table{Next: faults.next}
	for i := range gateways {
		n.startStore(t.Context(), table, i)
	}
	return n
}

// Guards against a collector fault that refuses a call although the table works, that
// delays it for longer than the collector's timeout and one read, or that leaves the row
// in another state than was reported to the caller. A collector that does not answer or
// is cut off from the table must be avoided for a while, but not forever.
func TestCollectorFaults(t *testing.T) {
	link := func(f linkFault, d time.Duration) []linkPlan { return []linkPlan{{f, d}} }
	table := func(f platformtest.Fault) []platformtest.Plan { return []platformtest.Plan{{Fault: f}} }
	slow := platformtest.Plan{Delay: 900 * time.Millisecond}
	for name, c := range map[string]struct {
		links  []linkPlan
		plans  []platformtest.Plan
		within time.Duration
		next   string // the collector that is used next
	}{
		"no fault":                       {nil, nil, 5 * time.Millisecond, "1"},
		"killed before the write":        {link(unreachable, 0), nil, 40 * time.Millisecond, "2"},
		"killed after the write":         {link(answerLost, 0), nil, 440 * time.Millisecond, "2"},
		"cut off":                        {link(requestLost, 0), nil, 440 * time.Millisecond, "2"},
		"frozen":                         {link(frozen, 30*time.Second), nil, 440 * time.Millisecond, "2"},
		"slow":                           {link(frozen, 50*time.Millisecond), nil, 60 * time.Millisecond, "1"},
		"no answer of the table, done":   {nil, table(platformtest.LoseAnswer), 40 * time.Millisecond, "1"},
		"no answer of the table, undone": {nil, table(platformtest.LoseRequest), 50 * time.Millisecond, "2"},
		"cut off from the table":         {nil, table(platformtest.Refuse), 10 * time.Millisecond, "2"},
		"table is slow":                  {nil, []platformtest.Plan{slow, slow}, 1300 * time.Millisecond, "1"},
		"neither collector answers":      {slices.Repeat(link(requestLost, 0), 2), nil, 440 * time.Millisecond, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := oneCollector(t, &faultQueue{plans: slices.Clone(c.plans)}, c.links...)
				next := func() string {
					c, _ := n.stores[0].router.pick(time.Now())
					return c.Address
				}
				start := time.Now()
				got, _, err := n.stores[0].Begin(t.Context(), testKey, "d")
				is.NoErr(err)
				if took := time.Since(start); took > c.within {
					t.Errorf("claimed after %v, want at most %v", took, c.within)
				}
				is.Equal(next(), c.next)
				_, _, err = n.stores[2].Begin(t.Context(), testKey, "d") // may go through another collector
				is.Equal(fault.From(err).Code, fault.CallInProgress)
				is.NoErr(got.Finish(t.Context(), Answer{Status: 201}))
				time.Sleep(time.Minute) // delayed writes of a frozen collector arrive
				is.Equal(next(), "1")
				_, recorded, err := n.stores[1].Begin(t.Context(), testKey, "d")
				is.NoErr(err)
				is.Equal(recorded.Status, 201)
			})
		})
	}
}

// Guards against a collector that hides an outage of the table, against reporting
// not_run when the execution is unknown, and against a claim that a frozen collector
// writes after its sender has timed out, which would block the key forever.
func TestOutageThroughCollector(t *testing.T) {
	for name, links := range map[string][]linkPlan{
		"collector answers": nil,
		"collector frozen":  {{Fault: frozen, Delay: 3 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				faults := &faultQueue{plans: slices.Repeat([]platformtest.Plan{{Fault: platformtest.Refuse}}, 500)}
				n := oneCollector(t, faults, links...)
				_, _, err := n.stores[0].Begin(t.Context(), testKey, "d")
				is.Equal(fault.From(err).Code, fault.PlatformUnavailable)
				is.Equal(fault.From(err).Execution, api.Unknown)
				time.Sleep(2500 * time.Millisecond)
				faults.clear()
				time.Sleep(time.Minute)
				c, _, err := n.stores[0].Begin(t.Context(), testKey, "d")
				is.NoErr(err)
				is.True(c != nil)
			})
		})
	}
}

// Guards against a collector whose transaction rate grows with the number of calls, and
// against a wait above 100 ms at p95 for claim and settlement of a call together.
func TestCollectorPace(t *testing.T) {
	const seconds, senders = 10, 50
	for _, perSecond := range []int{6, 40, 160} {
		synctest.Test(t, func(t *testing.T) {
			table := &platformtest.Table{Next: func(bool) platformtest.Plan { return platformtest.Plan{Delay: 2 * time.Millisecond} }}
			n := &network{ranks: [gateways][]int{{1}, {1}}}
			n.startStore(t.Context(), table, 1)
			var stores []*Store
			for range senders {
				stores = append(stores, n.startStore(t.Context(), table, 0))
			}
			waits := makeCalls(t, perSecond, seconds, func(i int) *Store { return stores[i%senders] })
			p95 := waits[len(waits)*95/100]
			txns, rows := table.Counts()
			t.Logf("%d calls/s: %d transactions/s, p95 wait %v", perSecond, txns/seconds, p95)
			if rows != 2*perSecond*seconds || txns > 26*seconds || p95 > 100*time.Millisecond {
				t.Errorf("%d rows in %d transactions, p95 wait %v", rows, txns, p95)
			}
		})
	}
}

// Guards against a collector that writes rows other than claims for a peer.
func TestCollectorWritesClaimsOnly(t *testing.T) {
	is := is.New(t)
	s := NewStore(&platformtest.Table{}, DefaultOptions())
	for _, op := range []platform.CondPut{{Key: "catalogue/head"}, {Key: rowPrefix + "a", Delete: true}} {
		is.True(s.Service().Write(&WriteArgs{Ops: []platform.CondPut{op}, Remaining: time.Second}, &WriteReply{}) != nil)
	}
}

// Guards against a transaction that writes a key twice, which the table refuses, and
// against rows that are lost between two batches.
func TestBatcherKeepsKeysApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &platformtest.Table{}
		b := &batcher{to: direct{table, new(atomic.Int64)}, rows: 2, minInterval: 40 * time.Millisecond, timeout: time.Second}
		var ops []platform.CondPut
		for _, key := range []string{"a", "a", "b", "a", "c"} {
			ops = append(ops, platform.CondPut{Key: key})
		}
		applied := 0
		for _, r := range b.send(t.Context(), ops) {
			if r.err != nil {
				t.Error(r.err)
			}
			if r.put.Applied {
				applied++
			}
		}
		if applied != 3 {
			t.Errorf("%d of 3 keys were written", applied)
		}
	})
}
