package claim

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"persimmonwing/internal/connection/platform/platformtest"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// callOutcome is the simulated result of a call after its claim.
type callOutcome int

const (
	ran           callOutcome = iota // the call ran and its answer came back
	refused                          // the server provably did not run it
	lost                             // the call ran and its answer was lost
	gatewayKilled                    // the gateway was killed before the dispatch
	outcomeCount
)

// send is one attempt of a caller through one gateway.
type send struct {
	Gateway, Key  int
	At, Limit     time.Duration
	Frozen        time.Duration
	Outcome       callOutcome
	FinishTimeout time.Duration
}

const gateways, keys = 3, 2

func drawSend(t *rapid.T) send {
	ms := func(most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(1, most).Draw(t, label)) * time.Millisecond
	}
	s := send{
		Gateway:       rapid.IntRange(0, gateways-1).Draw(t, "gateway"),
		Key:           rapid.IntRange(0, keys-1).Draw(t, "key"),
		At:            ms(300, "at"),
		Limit:         ms(3000, "limit"),
		Outcome:       callOutcome(rapid.IntRange(0, int(outcomeCount)-1).Draw(t, "fate")),
		FinishTimeout: ms(200, "patience"),
	}
	if rapid.IntRange(0, 3).Draw(t, "freeze") == 0 {
		s.Frozen = ms(6000, "frozen")
	}
	return s
}

func drawPlan(t *rapid.T) platformtest.Plan {
	return platformtest.Plan{
		Fault: platformtest.Fault(rapid.IntRange(0, int(platformtest.LateEffect)).Draw(t, "fault")),
		Delay: time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond,
	}
}

// simulation records the calls that reached the application servers. stuck is set for
// keys whose row stays claimed because the outcome of the call is unknown.
type simulation struct {
	mu       sync.Mutex
	runs     [keys]int
	answer   [keys]int // status of the run whose answer was received
	stuck    [keys]bool
	nonces   map[string]bool
	problems []string
}

func (w *simulation) report(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *simulation) dispatch(s send, nonce string, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nonces[nonce] {
		w.problems = append(w.problems, "nonce dispatched twice")
	}
	w.nonces[nonce] = true
	if s.Outcome == refused {
		return
	}
	w.runs[s.Key]++
	if w.runs[s.Key] > 1 {
		w.problems = append(w.problems, "key "+strconv.Itoa(s.Key)+" ran twice")
	}
	w.stuck[s.Key] = s.Outcome == lost
	w.answer[s.Key] = status
}

func keyOf(k int) Key { return Key{Workspace: "w", Entry: "e", IdempotencyKey: strconv.Itoa(k)} }

// attempt does what the gateway does for one send.
func (w *simulation) attempt(store *Store, s send, status int) {
	time.Sleep(s.At)
	ctx, cancel := within(s.Limit)
	defer cancel()
	c, recorded, err := store.Begin(ctx, keyOf(s.Key), "digest")
	w.checkResult(s, c, recorded, err)
	if c == nil {
		return
	}
	time.Sleep(s.Frozen)
	finishCtx, done := within(s.FinishTimeout)
	defer done()
	switch {
	case !c.Dispatchable(time.Now()):
		_ = c.ReleaseNotRun(finishCtx)
	case s.Outcome == gatewayKilled:
		w.mu.Lock()
		w.stuck[s.Key] = true
		w.mu.Unlock()
	default:
		if _, ok := ctx.Deadline(); ok && ctx.Err() != nil {
			w.report("dispatch after the deadline")
		}
		w.dispatch(s, c.Nonce(), status)
		w.settle(finishCtx, c, s.Outcome, status)
	}
}

func (w *simulation) settle(ctx context.Context, c *Claim, f callOutcome, status int) {
	switch f {
	case ran:
		_ = c.Finish(ctx, Answer{Status: status})
	case refused:
		_ = c.ReleaseNotRun(ctx)
	}
}

func (w *simulation) checkResult(s send, c *Claim, recorded *Answer, err error) {
	switch {
	case err != nil && (c != nil || recorded != nil):
		w.report("an error came with a claim or an answer")
	case err != nil && fault.From(err).Execution == api.Ran:
		w.report("refused attempt is said to have run: %v", err)
	case err != nil && fault.From(err).Execution == api.NotRun && w.hasRun(s.Key):
		w.report("key %d ran, but is said not to have run: %v", s.Key, err)
	case recorded != nil:
		w.mu.Lock()
		want := w.answer[s.Key]
		w.mu.Unlock()
		if recorded.Status != want {
			w.report("recorded answer %d, want %d", recorded.Status, want)
		}
	}
}

func (w *simulation) hasRun(key int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key] > 0
}

// checkEnd sends each key once more after all faults have ended, and checks the result.
func (w *simulation) checkEnd(store *Store) {
	for k := range keys {
		ctx, cancel := within(time.Second)
		c, recorded, err := store.Begin(ctx, keyOf(k), "digest")
		cancel()
		switch {
		case w.stuck[k] && fault.From(err).Code != fault.CallInProgress:
			w.report("key %d: outcome unknown, but claim %v, answer %v, err %v", k, c != nil, recorded, err)
		case !w.stuck[k] && w.runs[k] == 1 && (recorded == nil || recorded.Status != w.answer[k]):
			w.report("key %d: the recorded answer is lost: %v", k, err)
		case !w.stuck[k] && w.runs[k] == 0 && c == nil:
			w.report("key %d: never ran, but cannot be claimed: %v", k, err)
		}
	}
}

// simulate runs the sends in virtual time and returns the problems found. If n is not
// nil, the gateways write through collectors.
func simulate(sends []send, plans []platformtest.Plan, n *network) []string {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	faults := &faultQueue{plans: plans}
	table := &platformtest.Table{Next: faults.next}
	var stores [gateways]*Store
	for i := range stores {
		stores[i] = n.startStore(ctx, table, i)
	}
	w := &simulation{nonces: map[string]bool{}}
	var callers sync.WaitGroup
	for i, s := range sends {
		callers.Go(func() { w.attempt(stores[s.Gateway], s, 200+i) })
	}
	callers.Wait()
	faults.clear()
	n.clear()
	time.Sleep(time.Minute)
	w.checkEnd(stores[0])
	return w.problems
}

// Guards against a call that runs twice, a dispatch after the deadline, a wrong recorded
// answer, and a key that is blocked forever although its call never ran. Gateways race,
// freeze and are killed while the table loses, delays and refuses writes.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sends := rapid.SliceOfN(rapid.Custom(drawSend), 1, 8).Draw(rt, "sends")
		plans := rapid.SliceOfN(rapid.Custom(drawPlan), 0, 24).Draw(rt, "plans")
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = simulate(sends, plans, nil) })
		if len(problems) > 0 {
			rt.Fatalf("%d problems: %q", len(problems), problems)
		}
	})
}
