package owner_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/schedule"
)

// Times of the simulated application servers.
const (
	callTime       = 60 * time.Millisecond
	serverDownTime = 3 * time.Second
	callWait       = time.Second
)

// callWorld sends calls from four gateways to application servers. A deadly call crashes each
// server that runs it, with all that runs there.
type callWorld struct {
	*taintedWorld
	random *rand.Rand

	mu sync.Mutex
	// up holds, for each server that is up, a channel that is closed when it ends, and starts
	// counts its incarnations.
	up     map[string]chan struct{}
	starts map[string]int
	// lastPick is the server to which the latest call was sent.
	lastPick string
	// lastEnd is the time of the latest end of a server.
	lastEnd time.Time
	// deadlyCalls holds the parts of calls that crash servers, crashDelay after they have begun.
	deadlyCalls map[uint64]bool
	crashDelay  time.Duration
	// patience is the time after which callers give calls up, and slow holds the parts of sound calls that
	// take longer.
	patience time.Duration
	slow     map[uint64]bool
	// crashes and arrivals hold the times at which a deadly call crashed and reached a server.
	crashes, arrivals map[uint64][]time.Time
	// results counts sound calls by their result.
	results map[string]int
	number  int
}

func withCallWorld(t *testing.T, test func(*callWorld)) {
	withTaintedWorld(t, func(tainted *taintedWorld) {
		w := &callWorld{
			taintedWorld: tainted, random: rand.New(rand.NewPCG(1, 2)), up: map[string]chan struct{}{}, starts: map[string]int{}, deadlyCalls: map[uint64]bool{},
			crashDelay: callTime / 4, patience: time.Hour, slow: map[uint64]bool{},
			crashes: map[uint64][]time.Time{}, arrivals: map[uint64][]time.Time{}, results: map[string]int{},
		}
		for i := range 4 {
			w.up[fmt.Sprint("s", i)] = make(chan struct{})
		}
		test(w)
	})
}

// end ends servers, which are back after a while.
func (w *callWorld) end(servers ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range servers {
		ended, ok := w.up[s]
		if !ok {
			continue
		}
		close(ended)
		delete(w.up, s)
		w.lastEnd = time.Now()
		w.work.Go(func() {
			time.Sleep(serverDownTime)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.starts[s]++
			w.up[s] = make(chan struct{})
		})
	}
}

// pick returns a random server that is up.
func (w *callWorld) pick(exclude []string) (server, incarnation string, ended chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for s := range w.up {
		if !slices.Contains(exclude, s) {
			names = append(names, s)
		}
	}
	if len(names) == 0 {
		return "", "", nil
	}
	slices.Sort(names)
	server = names[w.random.IntN(len(names))]
	w.lastPick = server
	return server, fmt.Sprint(w.starts[server]), w.up[server]
}

// pickDown returns, for some calls, a server that has ended and is still taken for one that listens.
func (w *callWorld) pickDown() (server, incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	server = fmt.Sprint("s", w.random.IntN(4))
	if w.up[server] != nil || w.random.IntN(4) > 0 {
		return "", ""
	}
	return server, fmt.Sprint(w.starts[server])
}

// call sends one call with at most two attempts and returns "", "lost", "no server", "given up" or the
// reason of its refusal. callOnce makes only one attempt.
func (w *callWorld) call(gateway string, part uint64) string { return w.send(gateway, part, 2) }

func (w *callWorld) callOnce(gateway string, part uint64) string { return w.send(gateway, part, 1) }

func (w *callWorld) send(gateway string, part uint64, attempts int) string {
	g := w.member(gateway)
	w.mu.Lock()
	w.number++
	id := fmt.Sprint(gateway, "-", w.number)
	deadly, slow, crashDelay, patience := w.deadlyCalls[part], w.slow[part], w.crashDelay, w.patience
	w.mu.Unlock()
	var tried []string
	for try := range attempts {
		c := crashguard.Call{ID: fmt.Sprint(id, "-", try), Service: "app", Part: part}
		ctx, cancel := context.WithTimeout(context.Background(), callWait)
		trial, err := g.AdmitCall(ctx, c)
		cancel()
		if err != nil {
			var refusal *schedule.Refusal
			if errors.As(err, &refusal) {
				return refusal.Reason
			}
			return err.Error()
		}
		if down, last := w.pickDown(); down != "" {
			g.EndCall(c, trial, crashguard.CallOutcome{NotListening: true, Loss: crashguard.Loss{Engine: down, Incarnation: last}})
			c.ID += "-again"
			ctx, cancel := context.WithTimeout(context.Background(), callWait)
			trial, err = g.AdmitCall(ctx, c)
			cancel()
			if err != nil {
				return err.Error()
			}
		}
		server, incarnation, ended := w.pick(tried)
		if server == "" {
			g.EndCall(c, trial, crashguard.CallOutcome{})
			return "no server"
		}
		runTime := callTime
		if slow {
			runTime = time.Hour
		}
		if deadly {
			runTime = time.Hour
			w.mu.Lock()
			w.arrivals[part] = append(w.arrivals[part], time.Now())
			w.mu.Unlock()
			w.work.Go(func() {
				time.Sleep(crashDelay)
				w.mu.Lock()
				first := w.up[server] == ended
				if first {
					w.crashes[part] = append(w.crashes[part], time.Now())
				}
				w.mu.Unlock()
				if first {
					w.end(server)
				}
			})
		}
		loss := crashguard.Loss{Engine: server, Incarnation: incarnation}
		select {
		case <-ended:
			time.Sleep(time.Millisecond)
			g.EndCall(c, trial, crashguard.CallOutcome{Lost: true, Loss: loss})
			tried = append(tried, server)
		case <-time.After(runTime):
			g.EndCall(c, trial, crashguard.CallOutcome{Answered: true})
			return ""
		case <-time.After(patience):
			g.GiveUpCall(c, trial, false, loss, func(context.Context) bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				return w.up[server] != ended
			})
			return "given up"
		}
	}
	return "lost"
}

// callTraffic sends calls from gateways in turn.
type callTraffic struct {
	part     func(i int) uint64
	interval time.Duration
	gateways []string
}

func (w *callWorld) sendCalls(d time.Duration, list ...callTraffic) {
	for _, t := range list {
		w.work.Go(func() {
			for i := range int(d / t.interval) {
				part, at := t.part(i), t.gateways[i%len(t.gateways)]
				w.work.Go(func() {
					result := w.call(at, part)
					w.mu.Lock()
					defer w.mu.Unlock()
					if !w.deadlyCalls[part] {
						w.results[result]++
					}
				})
				time.Sleep(t.interval)
			}
		})
	}
	time.Sleep(d)
	w.work.Wait()
}

// makeDeadly makes equal calls crash each server that runs them.
func (w *callWorld) makeDeadly(parts ...uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range parts {
		w.deadlyCalls[p] = true
	}
}

// checkDeadly fails the test if a deadly call crashed more servers than it may, or reached servers
// more than three times later than a while after the third crash.
func (w *callWorld) checkDeadly(part uint64, mostCrashes int) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	if c := w.crashes[part]; len(c) >= 3 {
		for _, a := range w.arrivals[part] {
			if a.After(c[2].Add(3 * time.Second)) {
				late++
			}
		}
	}
	w.t.Logf("call %d: %d crashes, %d sent late", part, len(w.crashes[part]), late)
	if len(w.crashes[part]) > mostCrashes || late > 3 {
		w.t.Errorf("call %d crashed servers %d times (at most %d), %d sends were late (at most 3)", part, len(w.crashes[part]), mostCrashes, late)
	}
}

// checkSound fails the test if a sound call was refused, or if hardly any was served.
func (w *callWorld) checkSound() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.t.Log("sound calls:", w.results)
	for result, n := range w.results {
		if result != "" && result != "lost" && result != "no server" && result != "given up" {
			w.t.Errorf("%d sound calls were refused: %s", n, result)
		}
	}
	if w.results[""] < 100 {
		w.t.Errorf("only %d sound calls were served", w.results[""])
	}
}
