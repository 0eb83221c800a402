package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/connection/platform/platformtest"
)

// process is a controller that can be paused at each call and before each order.
type process struct {
	*Lease
	table *platformtest.Table
	stop  func()
	// lag is the time between the effect of a write and the handling of its answer.
	lag func() time.Duration

	mu    sync.Mutex
	until time.Time
	cut   time.Time
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

// cutOff keeps the process from the platform while it runs on.
func (p *process) cutOff(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = time.Now().Add(d)
}

func (p *process) reach() error {
	p.resume()
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.cut) {
		return platform.NewError("table", "test", platform.ErrNotApplied, errors.New("cut off"))
	}
	return nil
}

func (p *process) resume() {
	for {
		p.mu.Lock()
		d := time.Until(p.until)
		p.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

func (p *process) Get(ctx context.Context, key string) (platform.Row, error) {
	defer p.resume()
	if err := p.reach(); err != nil {
		return platform.Row{}, err
	}
	return p.table.Get(ctx, key)
}

func (p *process) Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error) {
	defer p.resume()
	if err := p.reach(); err != nil {
		return nil, err
	}
	results, err := p.table.Txn(ctx, ops)
	time.Sleep(p.lag())
	return results, err
}

// fleet runs several controllers on one table and checks their orders.
type fleet struct {
	table     platformtest.Table
	processes []*process
	faulty    bool

	mu      sync.Mutex
	rng     *rand.Rand
	outage  time.Time
	owners  map[int64]*process
	highest int64
	broken  error
}

func newFleet(n int, seed uint64, faulty bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), owners: map[int64]*process{}, processes: make([]*process, n), faulty: faulty}
	f.table.Next = f.next
	for i := range n {
		f.start(i)
	}
	return f
}

// next draws the fault of a call: one in four is lost, late or slow.
func (f *fleet) next(write bool) platformtest.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faulty {
		return platformtest.Plan{}
	}
	if time.Now().Before(f.outage) {
		return platformtest.Plan{Fault: platformtest.Refuse}
	}
	delay := time.Duration(f.rng.IntN(4000)) * time.Millisecond
	switch f.rng.IntN(16) {
	case 0:
		return platformtest.Plan{Fault: platformtest.LoseRequest}
	case 1:
		return platformtest.Plan{Fault: platformtest.LoseAnswer, Delay: delay}
	case 2:
		return platformtest.Plan{Fault: platformtest.LateEffect, Delay: delay * 5}
	case 3:
		return platformtest.Plan{Delay: delay}
	}
	return platformtest.Plan{}
}

func (f *fleet) lag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faulty || f.rng.IntN(4) > 0 {
		return 0
	}
	return time.Duration(f.rng.IntN(8000)) * time.Millisecond
}

func (f *fleet) start(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	p := &process{table: &f.table, stop: func() { cancel(); wait.Wait() }, lag: f.lag}
	p.Lease = NewLease(p, DefaultLeaseOptions(fmt.Sprint("c", i)))
	f.processes[i] = p
	wait.Go(func() { _ = p.Run(ctx) })
	wait.Go(func() { f.sendOrders(ctx, p) })
}

// sendOrders sends orders while allowed. An order is under way for 0 or just
// under twice the flight time: a pause between check and send, and the flight.
func (f *fleet) sendOrders(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		p.resume()
		if fencing, _, ok := p.Allow(); ok {
			f.mu.Lock()
			delay := time.Duration(0)
			if f.rng.IntN(2) == 0 {
				delay = 2*p.opt.Flight - 1
			}
			f.check(fencing, p)
			f.mu.Unlock()
			time.AfterFunc(delay, func() { f.arrive(fencing) })
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// check is called with the lock held.
func (f *fleet) check(fencing int64, p *process) {
	if owner, ok := f.owners[fencing]; ok && owner != p {
		f.broken = fmt.Errorf("fencing number %d was given twice", fencing)
	}
	f.owners[fencing] = p
	for _, other := range f.processes {
		if number, _, ok := other.Allow(); ok && other != p {
			f.broken = fmt.Errorf("holders %d and %d may act at once", fencing, number)
		}
	}
}

func (f *fleet) arrive(fencing int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fencing < f.highest {
		f.broken = fmt.Errorf("an order of holder %d arrived after one of holder %d", fencing, f.highest)
	}
	f.highest = max(f.highest, fencing)
}

// heal ends faults and pauses, so that somebody must get the lease.
func (f *fleet) heal() {
	f.mu.Lock()
	f.faulty = false
	f.mu.Unlock()
	for _, p := range f.processes {
		p.pause(0)
		p.cutOff(0)
	}
	time.Sleep(60 * time.Second)
	held := false
	for _, p := range f.processes {
		_, _, ok := p.Allow()
		held = held || ok
	}
	if !held && f.broken == nil {
		f.broken = fmt.Errorf("nobody holds the lease after the faults ended")
	}
}

type action struct {
	kind string
	// target is a controller, or all of them for the present holder.
	target int
	length time.Duration
	wait   time.Duration
}

// pick returns the controller that an action is aimed at.
func (f *fleet) pick(target int) int {
	if target < len(f.processes) {
		return target
	}
	return max(0, slices.IndexFunc(f.processes, func(p *process) bool { return p.Status().Held }))
}

// runScript returns the first broken property.
func runScript(t *testing.T, seed uint64, script []action) (err error) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3, seed, true)
		for _, a := range script {
			target := f.pick(a.target)
			switch a.kind {
			case "pause":
				f.processes[target].pause(a.length)
			case "cut":
				f.processes[target].cutOff(a.length)
			case "outage":
				f.mu.Lock()
				f.outage = time.Now().Add(a.length)
				f.mu.Unlock()
			case "restart":
				f.processes[target].stop()
				f.start(target)
			}
			time.Sleep(a.wait)
		}
		f.heal()
		for _, p := range f.processes {
			p.stop()
		}
		time.Sleep(time.Minute) // late effects and orders in flight
		err = f.broken
	})
	return err
}

// Guards against two holders that act at once, against fencing numbers that
// repeat, and against an order that arrives after one of the next holder,
// under pauses, restarts, outages and lost or late effects of writes.
func TestOneHolderAtATime(t *testing.T) {
	seconds := rapid.Map(rapid.SampledFrom([]int{1, 2, 4, 7, 9, 10, 11, 13, 14, 17, 30}),
		func(n int) time.Duration { return time.Duration(n)*time.Second - 50*time.Millisecond })
	actions := rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom([]string{"pause", "cut", "cut", "outage", "restart"}).Draw(t, "kind"),
			target: rapid.SampledFrom([]int{0, 1, 2, 3, 3, 3}).Draw(t, "target"),
			length: seconds.Draw(t, "length"),
			wait:   seconds.Draw(t, "wait"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(actions, 1, 12).Draw(rt, "script")
		if err := runScript(t, rapid.Uint64().Draw(rt, "seed"), script); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a holder that acts on through a long outage of the platform,
// and against a process that wakes from a pause and still sends.
func TestHolderStopsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 1, false)
		p := f.processes[0]
		time.Sleep(time.Second)
		_, until, ok := p.Allow()
		is.True(ok)                               // a fresh row is taken at once
		is.Equal(time.Until(until), p.opt.Flight) // an order ends within the flight time
		p.pause(8 * time.Second)                  // Run cannot renew
		time.Sleep(p.opt.Duration - p.opt.Flight - time.Second)
		_, _, ok = p.Allow()
		is.True(ok)
		time.Sleep(time.Second + 1)
		_, _, ok = p.Allow()
		is.True(!ok)
		p.stop()
	})
}

// Guards against a successor that waits for a lease that was given up.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 1, false)
		time.Sleep(time.Second)
		old := f.processes[0]
		old.stop()
		is.NoErr(old.Release(t.Context()))
		is.True(!old.Status().Held)
		f.start(0)
		time.Sleep(time.Millisecond)
		fencing, _, ok := f.processes[0].Allow()
		is.True(ok)
		is.Equal(fencing, int64(2))
		f.processes[0].stop()
	})
}
