package owner_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
)

// Times of the simulated engines.
const (
	// readTime is the time from the send of a request to its first event.
	readTime = 550 * time.Millisecond
	// writeTime is the time from the first event to the last.
	writeTime = time.Second
	// engineDownTime is how long a crashed engine is away.
	engineDownTime = 3200 * time.Millisecond
	// lossNoticeTime is the time after which a gateway notices a broken stream.
	lossNoticeTime = 5 * time.Millisecond
	// soundWait is how long a caller waits for a grant.
	soundWait = 2 * time.Second
)

// taintedWorld runs requests on the engines of a fleet under the shared policy. An engine
// that begins an answer on a deadly part crashes, with all that runs on it.
type taintedWorld struct {
	*fleet
	engineNames []string
	members     map[string]*gateway
	work        sync.WaitGroup

	mu     sync.Mutex
	deadly map[uint64]bool
	// crashed holds, for each engine that is up, a channel that is closed when it crashes.
	crashed map[string]chan struct{}
	next    uint64
	// losses and sends hold the times at which engines were lost to a part, and at which
	// requests with the part reached an engine.
	losses, sends map[uint64][]time.Time
	// unsound counts sound requests by the reason for which they were not granted.
	unsound map[string]int
	sound   int
	// patience is the time after which callers give requests up that have no event, if it is not 0. Engines
	// work on.
	patience time.Duration
}

// withTaintedWorld runs a test on four gateways and twelve engines of four slots.
func withTaintedWorld(t *testing.T, test func(*taintedWorld)) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 12 {
			names = append(names, fmt.Sprint("e", i))
		}
		w := &taintedWorld{
			fleet: newFleet(t, 4), engineNames: names, members: map[string]*gateway{}, deadly: map[uint64]bool{},
			crashed: map[string]chan struct{}{}, losses: map[uint64][]time.Time{}, sends: map[uint64][]time.Time{}, unsound: map[string]int{},
		}
		w.slowStart = time.Millisecond
		for _, n := range names {
			w.crashed[n] = make(chan struct{})
		}
		defer func() {
			w.work.Wait()
			w.stop()
		}()
		w.startAll()
		test(w)
	})
}

// startAll starts all gateways and sends a request from each. A gateway fetches suspects
// before its first request: others that wait for its lock would stop the clock of the test
// while a peer doesn't answer.
func (w *taintedWorld) startAll() {
	names := []string{"a", "b", "c", "d"}
	for _, n := range names {
		w.startMember(n)
	}
	time.Sleep(15 * time.Second)
	for i, n := range names {
		w.checkRun("", n, uint64(i))
	}
}

func (w *taintedWorld) startMember(name string) {
	g, reg := w.startShared(name)
	reg.Sync(time.Now(), w.serverList())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members[name] = g
}

func (w *taintedWorld) serverList() []registry.Server { return engineList(w.engineNames...) }

func (w *taintedWorld) member(name string) *gateway {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.members[name]
}

// crash ends an engine and reports whether it was up. It is back after engineDownTime in a
// new incarnation.
func (w *taintedWorld) crash(engine string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, up := w.crashed[engine]
	if !up {
		return false
	}
	close(c)
	delete(w.crashed, engine)
	w.engines.crash(engine, false)
	w.work.Go(func() {
		time.Sleep(engineDownTime)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.crashed[engine] = make(chan struct{})
		w.engines.setSilent(engine, false)
	})
	return true
}

// reach returns the channel that is closed when the engine crashes, and false if the engine
// is down.
func (w *taintedWorld) reach(engine string, parts []uint64) (chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, up := w.crashed[engine]
	for _, p := range parts {
		if up && w.deadly[p] {
			w.sends[p] = append(w.sends[p], time.Now())
		}
	}
	return c, up
}

// deadlyPart returns the part of a request that crashes engines.
func (w *taintedWorld) deadlyPart(parts []uint64) (uint64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range parts {
		if w.deadly[p] {
			return p, true
		}
	}
	return 0, false
}

// wholeRequest is the fingerprint of requests without parts.
const wholeRequest uint64 = 1005

// run sends one request from a gateway. No other request equals it, unless it has no parts. It returns the reason of
// a refusal, "lost" for a request whose engine was lost, or "".
func (w *taintedWorld) run(gateway string, parts ...uint64) string {
	w.mu.Lock()
	w.next++
	n := w.next
	g := w.members[gateway]
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), soundWait)
	defer cancel()
	request := schedule.Request{
		Workspace: "w", Weight: 1, Entry: "plan", Model: "m", PromptTokens: 10, MaxOutputTokens: 10,
		Fingerprint: n<<32 + 1, PartHashes: parts, Deadline: time.Now().Add(soundWait),
	}
	if len(parts) == 0 {
		request.Fingerprint, parts = wholeRequest, []uint64{wholeRequest}
	}
	for try := range 6 {
		request.ID = fmt.Sprintf("%s-%d-%d", gateway, n, try)
		grant, err := g.Acquire(ctx, request)
		if err != nil {
			var refusal *schedule.Refusal
			if errors.As(err, &refusal) {
				return refusal.Reason
			}
			return err.Error()
		}
		crashed, up := w.reach(grant.Backend, parts)
		if up {
			return w.serve(g, grant, crashed, parts)
		}
		g.Release(grant.ID, schedule.Outcome{NotRun: true})
		request.Exclude = append(request.Exclude, grant.Backend)
	}
	return "engines down"
}

// serve runs a granted request on its engine.
func (w *taintedWorld) serve(g *gateway, grant schedule.Grant, crashed chan struct{}, parts []uint64) string {
	lost := func(generated int) string {
		time.Sleep(lossNoticeTime)
		g.Release(grant.ID, schedule.Outcome{EngineLost: true, Generated: generated})
		return "lost"
	}
	if w.patience > 0 && w.patience < readTime {
		return w.giveUp(g, grant, crashed, parts)
	}
	select {
	case <-crashed:
		return lost(0)
	case <-time.After(readTime):
	}
	if p, deadly := w.deadlyPart(parts); deadly {
		if w.crash(grant.Backend) {
			w.mu.Lock()
			w.losses[p] = append(w.losses[p], time.Now())
			w.mu.Unlock()
		}
		return lost(0)
	}
	g.Progress(grant.ID, 1)
	select {
	case <-crashed:
		return lost(1)
	case <-time.After(writeTime):
	}
	g.Release(grant.ID, schedule.Outcome{Completed: true, Generated: 10})
	return ""
}

// giveUp gives a granted request up before its engine has read the prompt.
func (w *taintedWorld) giveUp(g *gateway, grant schedule.Grant, crashed chan struct{}, parts []uint64) string {
	time.Sleep(w.patience)
	g.GiveUpGeneration(grant.ID, func(context.Context) bool {
		select {
		case <-crashed:
			return true
		default:
			return false
		}
	})
	g.Release(grant.ID, schedule.Outcome{})
	if p, deadly := w.deadlyPart(parts); deadly {
		w.work.Go(func() {
			time.Sleep(readTime - w.patience)
			select {
			case <-crashed: // the engine that ran it is lost already
				return
			default:
			}
			if w.crash(grant.Backend) {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.losses[p] = append(w.losses[p], time.Now())
			}
		})
	}
	return "given up"
}

// checkRun fails the test if a request that is sent from a gateway ends otherwise.
func (w *taintedWorld) checkRun(want, gateway string, parts ...uint64) {
	w.t.Helper()
	if got := w.run(gateway, parts...); got != want {
		w.t.Errorf("request with parts %v at %s: %q, want %q", parts, gateway, got, want)
	}
}

// traffic describes requests that come at intervals at all gateways in turn.
type traffic struct {
	// parts returns the parts of the i-th request.
	parts    func(i int) []uint64
	interval time.Duration
	gateways []string
}

// send starts requests for a time. Results of sound requests that arrive after settled are
// counted.
func (w *taintedWorld) send(d time.Duration, settled time.Time, list ...traffic) {
	for _, t := range list {
		w.work.Go(func() {
			for i := range int(d / t.interval) {
				at := t.gateways[i%len(t.gateways)]
				w.work.Go(func() { w.note(time.Now(), settled, t.parts(i), at) })
				time.Sleep(t.interval)
			}
		})
	}
	time.Sleep(d + readTime + writeTime)
	w.work.Wait()
}

func (w *taintedWorld) note(arrived, settled time.Time, parts []uint64, gateway string) {
	_, deadly := w.deadlyPart(parts)
	result := w.run(gateway, parts...)
	if deadly || arrived.Before(settled) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sound++
	if result != "" {
		w.unsound[result]++
	}
}

// kill crashes several engines at the same time.
func (w *taintedWorld) kill(engines ...string) {
	for _, e := range engines {
		w.crash(e)
	}
}

// setDeadly makes parts crash engines.
func (w *taintedWorld) setDeadly(parts ...uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range parts {
		w.deadly[p] = true
	}
}

// counts returns the number of engines lost to a part, and the number of sends of it later
// than a while after the fifth loss, when gateways may no longer send it.
func (w *taintedWorld) counts(part uint64) (losses, late int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	times := slices.Clone(w.losses[part])
	slices.SortFunc(times, time.Time.Compare)
	if len(times) >= maxLosses {
		for _, s := range w.sends[part] {
			if s.After(times[maxLosses-1].Add(250 * time.Millisecond)) {
				late++
			}
		}
	}
	return len(times), late
}

// maxLosses and maxLateSends are the numbers of engines that a part may crash, and of sends
// after them.
const maxLosses, maxLateSends = 5, 3

// checkPart fails the test if a part crashed too many engines.
func (w *taintedWorld) checkPart(part uint64) {
	w.t.Helper()
	losses, late := w.counts(part)
	w.t.Logf("part %d: %d engines lost, %d requests sent after the fifth", part, losses, late)
	if losses > maxLosses || late > maxLateSends {
		w.t.Errorf("part %d: %d engines lost (at most %d), %d requests sent after the fifth (at most %d)", part, losses, maxLosses, late, maxLateSends)
	}
}

// checkSound fails the test if sound requests were not served.
func (w *taintedWorld) checkSound() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sound < 20 || len(w.unsound) > 0 {
		w.t.Errorf("of %d sound requests were not served: %v", w.sound, w.unsound)
	}
}
