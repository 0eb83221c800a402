package owner_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/schedule"
)

// hookedCaller calls a hook instead of the calls of a method, until the hook is removed.
type hookedCaller struct {
	membership.Caller
	mu   sync.Mutex
	hook func(ctx context.Context, method string, pass func() error) error
}

func (c *hookedCaller) set(hook func(ctx context.Context, method string, pass func() error) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = hook
}

func (c *hookedCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	pass := func() error { return c.Caller.Call(ctx, address, method, args, reply) }
	c.mu.Lock()
	hook := c.hook
	c.mu.Unlock()
	if hook == nil {
		return pass()
	}
	return hook(ctx, method, pass)
}

// withHookedWorld runs a test with a hook on the calls of gateway a, which starts last.
func withHookedWorld(t *testing.T, test func(*taintedWorld, *hookedCaller)) {
	withTaintedWorld(t, func(w *taintedWorld) {
		w.member("a").stop()
		w.gateways = w.gateways[1:]
		c := &hookedCaller{}
		w.wrapCaller = func(next membership.Caller) membership.Caller {
			c.Caller = next
			return c
		}
		w.startMember("a")
		w.wrapCaller = nil
		time.Sleep(15 * time.Second)
		w.checkRun("", "a", ownPart(1))
		test(w, c)
	})
}

// suspect makes a part a suspect at all gateways.
func (w *taintedWorld) suspect(part uint64) {
	for _, g := range []string{"a", "b", "c", "d"} {
		report := crashguard.Report{Loss: crashguard.Loss{Engine: "gone", Incarnation: "1"}, Parts: []crashguard.PartLoss{{Part: part}}}
		if err := w.member(g).Suspects().Report(&report, nil); err != nil {
			w.t.Error(err)
		}
	}
}

// trialRequest returns a request that waits for the trial of a part.
func trialRequest(part uint64) schedule.Request {
	return schedule.Request{
		ID: fmt.Sprint("trial-", part), Workspace: "w", Weight: 1, Entry: "plan", Model: "m", PromptTokens: 10, MaxOutputTokens: 10,
		Fingerprint: part, PartHashes: []uint64{part}, Deadline: time.Now().Add(time.Second),
	}
}

// checkNextTrial fails the test if a request with the part doesn't get its trial at once.
func (w *taintedWorld) checkNextTrial(part uint64) {
	w.t.Helper()
	started := time.Now()
	w.checkRun("", "b", part, ownPart(2))
	if took := time.Since(started); took > readTime+writeTime+600*time.Millisecond {
		w.t.Errorf("a request with the part of an ended trial took %v", took)
	}
}

// Guards against a trial that lasts until its lease ends, because its caller left while the keeper
// was asked: sound requests with the part would wait.
func TestTrialEndsIfTheCallerLeavesMeanwhile(t *testing.T) {
	withHookedWorld(t, func(w *taintedWorld, c *hookedCaller) {
		for part := uint64(500); part < 508; part++ {
			w.suspect(part)
			ctx, cancel := context.WithCancel(context.Background())
			c.set(func(_ context.Context, method string, pass func() error) error {
				err := pass()
				if strings.HasSuffix(method, ".BeginTrial") {
					cancel()
					return context.Canceled
				}
				return err
			})
			r := trialRequest(part)
			if grant, err := w.member("a").Acquire(ctx, r); err == nil {
				// Gateway a keeps this part itself.
				w.member("a").Release(grant.ID, schedule.Outcome{NotRun: true})
			}
			cancel()
			c.set(nil)
			time.Sleep(50 * time.Millisecond)
			w.checkNextTrial(part)
		}
	})
}

// Guards against a trial that lasts until its lease ends, because the request got a new id when
// its first grant was given up, and ended without a second one.
func TestTrialEndsWithTheIDItBeganWith(t *testing.T) {
	withHookedWorld(t, func(w *taintedWorld, c *hookedCaller) {
		given := 0
		for part := uint64(600); part < 608; part++ {
			var confirmed atomic.Int64
			c.set(func(ctx context.Context, method string, pass func() error) error {
				if !strings.HasSuffix(method, ".Confirm") {
					return pass()
				}
				if confirmed.Add(1) == 1 {
					w.suspect(part)
					return pass()
				}
				<-ctx.Done()
				return ctx.Err()
			})
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			r := trialRequest(part)
			r.Exclude = w.engineNames[:part-600]
			grant, err := w.member("a").Acquire(ctx, r)
			cancel()
			c.set(nil)
			if err == nil {
				w.member("a").Release(grant.ID, schedule.Outcome{NotRun: true})
			} else if !errors.Is(err, context.DeadlineExceeded) {
				t.Error(err)
			}
			time.Sleep(50 * time.Millisecond)
			if confirmed.Load() > 1 {
				given++
				w.checkNextTrial(part)
			}
		}
		if given == 0 {
			t.Error("no request gave up its first grant")
		}
	})
}

// Guards against a trial that lasts until its lease ends at the gateway that was asked because the
// keeper does not answer.
func TestTrialEndsAtTheNextKeeper(t *testing.T) {
	withTaintedWorld(t, func(w *taintedWorld) {
		for part := uint64(700); part < 708; part++ {
			w.suspect(part)
		}
		w.network.Cut([]string{"address of d"}, []string{"address of a", "address of b", "address of c"})
		for part := uint64(700); part < 708; part++ {
			w.work.Go(func() {
				grant, err := w.member("a").Acquire(context.Background(), trialRequest(part))
				if err != nil {
					t.Error(err)
					return
				}
				w.member("a").Release(grant.ID, schedule.Outcome{NotRun: true})
				w.checkNextTrial(part)
			})
		}
		w.work.Wait()
		w.network.Heal([]string{"address of d"}, []string{"address of a", "address of b", "address of c"})
	})
}
