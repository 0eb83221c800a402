package order

import (
	"context"
	"encoding/json"
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
)

// process is a controller that can be paused at each call and before each order.
type process struct {
	*Lease
	table *platformtest.Table
	stop  func()
	// shared makes the process behave like a version that uses the shared row.
	shared bool
	// lag returns the time between the effect of a write and the processing of its
	// response.
	lag   func() time.Duration
	reads atomic.Int64

	mu          sync.Mutex
	pausedUntil time.Time
	cutUntil    time.Time
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

// cutOff disconnects the process from the platform, but lets it run.
func (p *process) cutOff(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutUntil = time.Now().Add(d)
}

func (p *process) checkReachable() error {
	p.waitForPause()
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.cutUntil) {
		return platform.NewError("table", "test", platform.ErrNotApplied, errors.New("cut off"))
	}
	return nil
}

func (p *process) waitForPause() {
	for {
		p.mu.Lock()
		d := time.Until(p.pausedUntil)
		p.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

func (p *process) Get(ctx context.Context, key string) (platform.Row, error) {
	defer p.waitForPause()
	if err := p.checkReachable(); err != nil {
		return platform.Row{}, err
	}
	p.reads.Add(1)
	if p.shared && key == sharedLeaseKey {
		raw, err := encodeLease(leaseValue{retired: true})
		return platform.Row{Value: raw, Revision: 1}, err
	}
	row, err := p.table.Get(ctx, p.key(key))
	return p.asSeen(row), err
}

func (p *process) key(key string) string {
	if p.shared {
		return sharedLeaseKey
	}
	return key
}

// asSeen returns row as this process sees it: without its value if the process has the
// earlier version and that version cannot decode the value.
func (p *process) asSeen(row platform.Row) platform.Row {
	var former struct {
		Holder  string `json:"holder"`
		Fencing int64  `json:"fencing"`
	}
	if p.shared && row.Revision != 0 && json.Unmarshal(row.Value, &former) != nil {
		row.Value = nil
	}
	return row
}

func (p *process) Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error) {
	defer p.waitForPause()
	if err := p.checkReachable(); err != nil {
		return nil, err
	}
	ops[0].Key = p.key(ops[0].Key)
	results, err := p.table.Txn(ctx, ops)
	for i := range results {
		results[i].Row = p.asSeen(results[i].Row)
	}
	time.Sleep(p.lag())
	return results, err
}

// fleet runs several controllers on one table and verifies their orders.
type fleet struct {
	table     platformtest.Table
	processes []*process
	// homes are the data centres of the processes, or the constant former.
	homes  []string
	faulty bool

	mu          sync.Mutex
	rng         *rand.Rand
	outageUntil time.Time
	owners      map[int64]*process
	highest     int64
	broken      error
}

// former is the home of a process that uses the row shared by all data centres, like
// earlier versions.
const former = "former version"

func newFleet(seed uint64, faulty bool, homes ...string) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), owners: map[int64]*process{}, processes: make([]*process, len(homes)), homes: homes, faulty: faulty}
	f.table.Next = f.next
	for i := range homes {
		f.start(i)
	}
	return f
}

// next draws the fault of a call; one call in four is lost, late or slow.
func (f *fleet) next(write bool) platformtest.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.faulty {
		return platformtest.Plan{}
	}
	if time.Now().Before(f.outageUntil) {
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
	p := &process{table: &f.table, stop: func() { cancel(); wait.Wait() }, lag: f.lag, shared: f.homes[i] == former}
	opt := DefaultLeaseOptions(fmt.Sprint("c", i), f.homes[i])
	opt.DataCentre = "dc0"
	if p.shared {
		opt.Home = opt.DataCentre
	}
	p.Lease = NewLease(p, opt)
	f.processes[i] = p
	wait.Go(func() { _ = p.Run(ctx) })
	wait.Go(func() { f.sendOrders(ctx, p) })
}

// addProcess starts one more process.
func (f *fleet) addProcess(home string) {
	f.mu.Lock()
	f.homes, f.processes = append(f.homes, home), append(f.processes, f.processes[0])
	f.mu.Unlock()
	f.start(len(f.homes) - 1)
}

// sendOrders sends orders while the lease allows it. An order arrives at once or after
// just under twice OrderTimeout, which covers a pause between check and transmission
// and the flight.
func (f *fleet) sendOrders(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		p.waitForPause()
		if fencing, _, ok := p.Allow(); ok {
			f.mu.Lock()
			delay := time.Duration(0)
			if f.rng.IntN(2) == 0 {
				delay = 2*p.opt.OrderTimeout - 1
			}
			f.check(fencing, p)
			f.mu.Unlock()
			time.AfterFunc(delay, func() { f.arrive(fencing) })
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// check verifies that p is the only holder and that its fencing number is unique. The
// caller must hold f.mu.
func (f *fleet) check(fencing int64, p *process) {
	if owner, ok := f.owners[fencing]; ok && owner != p {
		f.broken = fmt.Errorf("fencing number %d was used by two processes", fencing)
	}
	f.owners[fencing] = p
	for _, other := range f.processes {
		if number, _, ok := other.Allow(); ok && other != p {
			f.broken = fmt.Errorf("holders %d and %d may both send orders", fencing, number)
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

// heal ends faults and pauses, so that one of the controllers must acquire the lease.
func (f *fleet) heal() {
	f.mu.Lock()
	f.faulty = false
	f.mu.Unlock()
	for _, p := range f.processes {
		p.pause(0)
		p.cutOff(0)
	}
	time.Sleep(60 * time.Second)
	if i := f.holder(); f.broken == nil && (i < 0 || f.homes[i] == "dc1") {
		f.broken = fmt.Errorf("no controller of dc0 holds the lease after the faults ended; holder %d", i)
	}
}

// holder returns the index of the process that may act, or -1.
func (f *fleet) holder() int {
	return slices.IndexFunc(f.processes, func(p *process) bool { return p.Status().Held })
}

type action struct {
	kind string
	// target is the index of a controller; len(processes) selects the current holder.
	target int
	length time.Duration
	wait   time.Duration
}

// pick returns the index of the controller that an action applies to.
func (f *fleet) pick(target int) int {
	if target < len(f.processes) {
		return target
	}
	return max(0, f.holder())
}

// runScript runs a script on a fleet and returns the last violation that was found.
func runScript(t *testing.T, seed uint64, homes []string, script []action) (err error) {
	synctest.Test(t, func(*testing.T) {
		f := newFleet(seed, true, homes...)
		for _, a := range script {
			target := f.pick(a.target)
			switch a.kind {
			case "pause":
				f.processes[target].pause(a.length)
			case "cut":
				f.processes[target].cutOff(a.length)
			case "outage":
				f.mu.Lock()
				f.outageUntil = time.Now().Add(a.length)
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

// Guards against two holders that send orders at the same time, against repeated
// fencing numbers, and against an order that arrives after one of the next holder. The
// script covers pauses, restarts, outages, and lost or late effects of writes, with
// controllers of another data centre and of the version with one shared row.
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
		homes := rapid.SampledFrom([][]string{{"dc0", "dc0", "dc0"}, {"dc0", "dc0", "dc1"}, {"dc1", "dc1", "dc0"},
			{former, "dc0", "dc1"}, {former, former, "dc0"}}).Draw(rt, "homes")
		script := rapid.SliceOfN(actions, 1, 12).Draw(rt, "script")
		if err := runScript(t, rapid.Uint64().Draw(rt, "seed"), homes, script); err != nil {
			rt.Fatal(err)
		}
	})
}

// Guards against a holder that keeps sending orders during a long outage of the
// platform, and against a process that still sends after a pause.
func TestHolderStopsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, false, "dc0")
		p := f.processes[0]
		time.Sleep(time.Second)
		_, until, ok := p.Allow()
		is.True(ok)                                     // a new row is acquired at once
		is.Equal(time.Until(until), p.opt.OrderTimeout) // an order ends within OrderTimeout
		p.pause(8 * time.Second)                        // Run cannot renew the lease
		time.Sleep(p.opt.Duration - p.opt.OrderTimeout - time.Second)
		_, _, ok = p.Allow()
		is.True(ok)
		time.Sleep(time.Second + 1)
		_, _, ok = p.Allow()
		is.True(!ok)
		p.stop()
	})
}

// Guards against a successor that waits for a lease that was released.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, false, "dc0")
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

// Guards against a data centre without controllers that no other controller serves,
// against a controller of another data centre that acquires the lease too early, and
// against one that keeps the lease after the controllers of the data centre are back.
func TestLeaseOfAnotherDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, false, "dc0", "dc1")
		time.Sleep(5 * time.Minute)
		is.Equal(f.holder(), 0)
		f.processes[0].stop()
		opt := f.processes[0].opt
		time.Sleep(opt.Duration + opt.ForeignWait)
		is.Equal(f.holder(), -1) // reserved for dc0's own controllers
		time.Sleep(opt.OrderTimeout + opt.ForeignPoll + time.Millisecond)
		is.Equal(f.holder(), 1)
		f.start(0)
		time.Sleep(opt.Duration + opt.OrderTimeout + opt.Poll + time.Millisecond)
		is.Equal(f.holder(), 0)
		is.Equal(f.processes[0].Status().Fencing, int64(3))
		time.Sleep(5 * time.Minute)
		is.Equal(f.holder(), 0)
		is.NoErr(f.broken)
		f.processes[0].stop()
		f.processes[1].stop()
	})
}

// Guards against a successor that takes longer than the limit on the design page, and
// against standby controllers that read the row every second.
func TestStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, false, "dc0", "dc0", "dc1")
		time.Sleep(time.Minute)
		reads := func(i int) int64 { return f.processes[i].reads.Load() }
		home, foreign := reads(1), reads(2)
		time.Sleep(10 * time.Minute)
		is.True(reads(1)-home <= 301)
		is.True(reads(2)-foreign <= 21)
		f.processes[0].stop()
		opt := f.processes[0].opt
		time.Sleep(opt.Duration + opt.OrderTimeout + opt.Poll + time.Millisecond)
		is.Equal(f.holder(), 1)
		f.processes[1].stop()
		f.processes[2].stop()
	})
}

// Guards against a new controller that sends orders at the same time as one of the
// version with the shared row. Also guards against fencing numbers that decrease at the
// upgrade or at an upgrade after a downgrade, and against a former version that
// acquires the retired row.
func TestUpgradeFromTheSharedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, false, former)
		time.Sleep(time.Second)
		f.processes[0].stop()
		f.start(0) // acquires the row again, with number 2
		time.Sleep(time.Minute)
		f.addProcess("dc0")
		time.Sleep(time.Minute)
		is.Equal(f.holder(), 0)
		f.processes[0].stop()
		time.Sleep(time.Minute)
		is.Equal(f.holder(), 1)
		is.Equal(f.processes[1].Status().Fencing, int64(3))
		f.start(0)
		time.Sleep(time.Minute)
		is.Equal(f.holder(), 1)
		f.processes[0].stop()
		f.processes[1].stop()

		time.Sleep(15 * time.Second) // documented wait for orders in flight before a downgrade
		row, err := f.table.Get(t.Context(), sharedLeaseKey)
		is.NoErr(err)
		_, err = f.table.Txn(t.Context(), []platform.CondPut{{Key: sharedLeaseKey, Value: []byte(`{"holder":"","fencing":10}`), IfRevision: row.Revision}})
		is.NoErr(err)
		f.start(0)
		time.Sleep(time.Second)
		f.start(1)
		time.Sleep(time.Minute)
		is.Equal(f.holder(), 0)
		f.processes[0].stop()
		time.Sleep(time.Minute)
		is.Equal(f.processes[1].Status().Fencing, int64(12))
		is.NoErr(f.broken)
		f.processes[1].stop()
	})
}
