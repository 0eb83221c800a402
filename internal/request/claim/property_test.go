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

// fate is what happens to a call after its claim.
type fate int

const (
	ran      fate = iota // the call ran and its answer came back
	refused              // the server provably did not run it
	lost                 // the call ran and its answer was lost
	vanished             // the gateway was killed before the dispatch
	fates
)

// send is one attempt of a caller at one gateway.
type send struct {
	Gateway, Key   int
	At, Limit      time.Duration
	Frozen         time.Duration
	Fate           fate
	FinishPatience time.Duration
}

const gateways, keys = 3, 2

func drawSend(t *rapid.T) send {
	ms := func(most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(1, most).Draw(t, label)) * time.Millisecond
	}
	s := send{
		Gateway:        rapid.IntRange(0, gateways-1).Draw(t, "gateway"),
		Key:            rapid.IntRange(0, keys-1).Draw(t, "key"),
		At:             ms(300, "at"),
		Limit:          ms(3000, "limit"),
		Fate:           fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")),
		FinishPatience: ms(200, "patience"),
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

// world records what the application servers saw.
type world struct {
	mu       sync.Mutex
	runs     [keys]int
	answer   [keys]int // status of the run whose answer came back
	stuck    [keys]bool
	nonces   map[string]bool
	problems []string
}

func (w *world) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

func (w *world) dispatch(s send, nonce string, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nonces[nonce] {
		w.problems = append(w.problems, "nonce dispatched twice")
	}
	w.nonces[nonce] = true
	if s.Fate == refused {
		return
	}
	w.runs[s.Key]++
	if w.runs[s.Key] > 1 {
		w.problems = append(w.problems, "key "+strconv.Itoa(s.Key)+" ran twice")
	}
	w.stuck[s.Key] = s.Fate == lost
	w.answer[s.Key] = status
}

func keyOf(k int) Key { return Key{Workspace: "w", Entry: "e", IdempotencyKey: strconv.Itoa(k)} }

// attempt plays the gateway's part for one send.
func (w *world) attempt(store *Store, s send, status int) {
	time.Sleep(s.At)
	ctx, cancel := within(s.Limit)
	defer cancel()
	c, recorded, err := store.Begin(ctx, keyOf(s.Key), "digest")
	w.checkResult(s, c, recorded, err)
	if c == nil {
		return
	}
	time.Sleep(s.Frozen)
	patience, done := within(s.FinishPatience)
	defer done()
	switch {
	case !c.Dispatchable(time.Now()):
		_ = c.ReleaseNotRun(patience)
	case s.Fate == vanished:
		w.mu.Lock()
		w.stuck[s.Key] = true
		w.mu.Unlock()
	default:
		if _, ok := ctx.Deadline(); ok && ctx.Err() != nil {
			w.problem("dispatch after the deadline")
		}
		w.dispatch(s, c.Nonce(), status)
		w.settle(patience, c, s.Fate, status)
	}
}

func (w *world) settle(ctx context.Context, c *Claim, f fate, status int) {
	switch f {
	case ran:
		_ = c.Finish(ctx, Answer{Status: status})
	case refused:
		_ = c.ReleaseNotRun(ctx)
	}
}

func (w *world) checkResult(s send, c *Claim, recorded *Answer, err error) {
	switch {
	case err != nil && (c != nil || recorded != nil):
		w.problem("an error came with a claim or an answer")
	case err != nil && fault.From(err).Execution == api.Ran:
		w.problem("refused attempt is said to have run: %v", err)
	case err != nil && fault.From(err).Execution == api.NotRun && w.hasRun(s.Key):
		w.problem("key %d ran, but is said not to have run: %v", s.Key, err)
	case recorded != nil:
		w.mu.Lock()
		want := w.answer[s.Key]
		w.mu.Unlock()
		if recorded.Status != want {
			w.problem("recorded answer %d, want %d", recorded.Status, want)
		}
	}
}

func (w *world) hasRun(key int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key] > 0
}

// checkEnd sends each key once more after all faults are over.
func (w *world) checkEnd(store *Store) {
	for k := range keys {
		ctx, cancel := within(time.Second)
		c, recorded, err := store.Begin(ctx, keyOf(k), "digest")
		cancel()
		switch {
		case w.stuck[k] && fault.From(err).Code != fault.CallInProgress:
			w.problem("key %d: outcome unknown, but claim %v, answer %v, err %v", k, c != nil, recorded, err)
		case !w.stuck[k] && w.runs[k] == 1 && (recorded == nil || recorded.Status != w.answer[k]):
			w.problem("key %d: the recorded answer is lost: %v", k, err)
		case !w.stuck[k] && w.runs[k] == 0 && c == nil:
			w.problem("key %d: never ran, but cannot be claimed: %v", k, err)
		}
	}
}

// play runs the sends in virtual time and returns the problems seen. With a
// network the gateways write through collectors.
func play(sends []send, plans []platformtest.Plan, n *network) []string {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	faults := &faultQueue{plans: plans}
	table := &platformtest.Table{Next: faults.next}
	var stores [gateways]*Store
	for i := range stores {
		stores[i] = n.startStore(ctx, table, i)
	}
	w := &world{nonces: map[string]bool{}}
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

// Guards against a call that runs twice, a dispatch after the deadline, a
// wrong recorded answer, and a key that is blocked for ever although it never
// ran. Gateways race, freeze and die while the table loses, delays and refuses
// writes.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sends := rapid.SliceOfN(rapid.Custom(drawSend), 1, 8).Draw(rt, "sends")
		plans := rapid.SliceOfN(rapid.Custom(drawPlan), 0, 24).Draw(rt, "plans")
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = play(sends, plans, nil) })
		if len(problems) > 0 {
			rt.Fatalf("%d problems: %q", len(problems), problems)
		}
	})
}
