package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// linkFault is what happens to one call of a collector.
type linkFault int

const (
	reached     linkFault = iota
	unreachable           // refused at once
	requestLost           // no effect and no answer
	answerLost            // the collector writes, but its answer is lost
	frozen                // the collector handles the call when it wakes
	linkFaults
)

type linkPlan struct {
	Fault linkFault
	Delay time.Duration // of frozen
}

var errLink = errors.New("link fault of the test")

// network carries calls between the stores of one test.
type network struct {
	// ranks holds the order in which each gateway sees the collectors.
	ranks [gateways][]int

	mu     sync.Mutex
	plans  []linkPlan
	stores [gateways]*Store
	calls  int
}

// startStore runs the store of one gateway; without a network it has no collectors.
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
	n.calls++
	if len(n.plans) == 0 {
		return linkPlan{}
	}
	p := n.plans[0]
	n.plans = n.plans[1:]
	return p
}

func (n *network) asked() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

func (n *network) clear() {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.plans = nil
}

// Call implements Caller. The method runs in a goroutine of its own, as it does
// in another process, and goes on when the caller has given up.
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

// Guards against a call that runs twice, or a key that is blocked for ever,
// when claims go through collectors that are killed, frozen or cut off before
// and after they wrote, while gateways disagree on who collects.
func TestAtMostOnceThroughCollectors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sends := rapid.SliceOfN(rapid.Custom(drawSend), 1, 8).Draw(rt, "sends")
		plans := rapid.SliceOfN(rapid.Custom(drawPlan), 0, 16).Draw(rt, "plans")
		n := &network{plans: rapid.SliceOfN(rapid.Custom(drawLinkPlan), 0, 16).Draw(rt, "links")}
		for i := range n.ranks {
			n.ranks[i] = rapid.Custom(drawRank).Draw(rt, "rank")
		}
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = play(sends, plans, n) })
		if len(problems) > 0 {
			rt.Fatalf("%d problems: %q", len(problems), problems)
		}
	})
}

// oneCollector returns a network in which gateway 1 collects for all, and
// gateway 2 after it.
func oneCollector(plans ...linkPlan) *network {
	return &network{ranks: [gateways][]int{{1, 2, 0}, {1, 2, 0}, {1, 2, 0}}, plans: plans}
}

// Guards against a fault of the collector that refuses a call although the table
// works, that holds it up for longer than the collector's time and a read, or
// that leaves the row unlike what the caller was told.
func TestCollectorFaults(t *testing.T) {
	plan := func(f platformtest.Fault) []platformtest.Plan { return []platformtest.Plan{{Fault: f}} }
	slow := platformtest.Plan{Delay: 900 * time.Millisecond}
	cases := map[string]struct {
		links  []linkPlan
		plans  []platformtest.Plan
		within time.Duration
	}{
		"no fault":                          {nil, nil, 5 * time.Millisecond},
		"killed before the write":           {[]linkPlan{{Fault: unreachable}}, nil, 40 * time.Millisecond},
		"killed after the write":            {[]linkPlan{{Fault: answerLost}}, nil, 440 * time.Millisecond},
		"cut off":                           {[]linkPlan{{Fault: requestLost}}, nil, 440 * time.Millisecond},
		"frozen":                            {[]linkPlan{{Fault: frozen, Delay: 30 * time.Second}}, nil, 440 * time.Millisecond},
		"slow":                              {[]linkPlan{{Fault: frozen, Delay: 50 * time.Millisecond}}, nil, 60 * time.Millisecond},
		"collector gets no answer, applied": {nil, plan(platformtest.LoseAnswer), 40 * time.Millisecond},
		"collector gets no answer, not so":  {nil, plan(platformtest.LoseRequest), 50 * time.Millisecond},
		"table refuses the collector":       {nil, plan(platformtest.Refuse), 10 * time.Millisecond},
		"table is slow":                     {nil, []platformtest.Plan{slow, slow}, 1300 * time.Millisecond},
		"neither collector answers":         {slices.Repeat([]linkPlan{{Fault: requestLost}}, 2), nil, 440 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				faults := &faultQueue{plans: slices.Clone(c.plans)}
				table := &platformtest.Table{Next: faults.next}
				n := oneCollector(slices.Clone(c.links)...)
				var stores []*Store
				for i := range gateways {
					stores = append(stores, n.startStore(t.Context(), table, i))
				}
				start := time.Now()
				got, _, err := stores[0].Begin(t.Context(), testKey, "d")
				is.NoErr(err)
				if took := time.Since(start); took > c.within {
					t.Errorf("claimed after %v, want at most %v", took, c.within)
				}
				_, _, err = stores[2].Begin(t.Context(), testKey, "d") // two collectors at once
				is.Equal(fault.From(err).Code, fault.CallInProgress)
				is.NoErr(got.Finish(t.Context(), Answer{Status: 201}))
				time.Sleep(time.Minute) // late writes of a frozen collector arrive
				_, recorded, err := stores[1].Begin(t.Context(), testKey, "d")
				is.NoErr(err)
				is.Equal(recorded.Status, 201)
				is.True(n.asked() >= 2) // else this shows nothing of collectors
			})
		})
	}
}

// Guards against a collector that hides an outage of the table, a claim that is
// said not to have run when nobody knows, and one that a frozen collector writes
// after its sender gave up, which would block the key for ever.
func TestOutageThroughCollector(t *testing.T) {
	for name, links := range map[string][]linkPlan{
		"collector answers": nil,
		"collector frozen":  {{Fault: frozen, Delay: 3 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				faults := &faultQueue{plans: slices.Repeat([]platformtest.Plan{{Fault: platformtest.Refuse}}, 500)}
				table := &platformtest.Table{Next: faults.next}
				n := oneCollector(links...)
				for i := range gateways {
					n.startStore(t.Context(), table, i)
				}
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

// Guards against a collector that does not answer being asked again at every
// call, and one that is cut off from the table being asked for ever.
func TestFailedCollectorRests(t *testing.T) {
	for name, c := range map[string]struct {
		links []linkPlan
		plans []platformtest.Plan
	}{
		"no answer":          {[]linkPlan{{Fault: requestLost}}, nil},
		"cut off from table": {nil, []platformtest.Plan{{Fault: platformtest.Refuse}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				faults := &faultQueue{plans: c.plans}
				n := oneCollector(c.links...)
				table := &platformtest.Table{Next: faults.next}
				for i := range gateways {
					n.startStore(t.Context(), table, i)
				}
				first := func() string {
					c, _ := n.stores[0].router.pick(time.Now())
					return c.Address
				}
				_, _, err := n.stores[0].Begin(t.Context(), testKey, "d")
				is.NoErr(err)
				is.Equal(first(), "2")
				time.Sleep(DefaultOptions().CollectRest)
				is.Equal(first(), "1")
			})
		})
	}
}

// Guards against a collector whose transactions grow with the number of calls,
// and against a wait above 100 ms at p95 of a claim and its answer together.
func TestCollectorPace(t *testing.T) {
	const seconds, senders = 10, 50
	for _, perSecond := range []int{6, 40, 160} {
		synctest.Test(t, func(t *testing.T) {
			table := &platformtest.Table{Next: func(bool) platformtest.Plan { return platformtest.Plan{Delay: 2 * time.Millisecond} }}
			n := oneCollector()
			n.startStore(t.Context(), table, 1)
			var stores []*Store
			for range senders {
				stores = append(stores, n.startStore(t.Context(), table, 0))
			}
			random := rand.New(rand.NewPCG(1, 1))
			var mu sync.Mutex
			var waits []time.Duration
			var calls sync.WaitGroup
			for i := range perSecond * seconds {
				time.Sleep(time.Duration(random.ExpFloat64() / float64(perSecond) * float64(time.Second)))
				calls.Go(func() {
					start := time.Now()
					c, _, err := stores[i%senders].Begin(t.Context(), keyOf(i), "d")
					if err != nil {
						t.Error(err)
						return
					}
					time.Sleep(30 * time.Millisecond)
					_ = c.Finish(t.Context(), Answer{Status: 200})
					mu.Lock()
					defer mu.Unlock()
					waits = append(waits, time.Since(start)-30*time.Millisecond)
				})
			}
			calls.Wait()
			slices.Sort(waits)
			p95 := waits[len(waits)*95/100]
			txns, rows := table.Counts()
			t.Logf("%d calls/s: %d transactions/s, p95 wait %v", perSecond, txns/seconds, p95)
			if rows != 2*perSecond*seconds || txns > 26*seconds || p95 > 100*time.Millisecond {
				t.Errorf("%d rows in %d transactions, p95 wait %v", rows, txns, p95)
			}
		})
	}
}

// Guards against a collector that writes other rows of the table for a peer.
func TestCollectorWritesClaimsOnly(t *testing.T) {
	is := is.New(t)
	s := NewStore(&platformtest.Table{}, DefaultOptions())
	for _, op := range []platform.CondPut{{Key: "catalogue/head"}, {Key: rowPrefix + "a", Delete: true}} {
		is.True(s.Service().Write(&WriteArgs{Ops: []platform.CondPut{op}, Remaining: time.Second}, &WriteReply{}) != nil)
	}
}

// Guards against a transaction that writes a key twice, which the table refuses,
// and against rows that are lost between two batches.
func TestBatcherKeepsKeysApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &platformtest.Table{}
		b := &batcher{to: direct{table, new(atomic.Int64)}, rows: 2, pace: 40 * time.Millisecond, timeout: time.Second}
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
