// Package order decides which engines shall have which models loaded and
// orders them to do so. One controller at a time acts, under a lease with a
// fencing number.
package order

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/platform"
)

// LeaseKey is the row of the lease.
const LeaseKey = "controller/lease"

// Table is the transactional table service.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error)
}

// LeaseOptions are the settings of a lease. All controllers must use the same
// Duration and Flight.
type LeaseOptions struct {
	Holder string
	// Duration is the time for which a renewal is valid, counted from before it
	// was sent.
	Duration time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Poll is the time between two reads of a controller that does not hold it.
	Poll time.Duration
	// Flight is the longest time that an order may be in flight.
	Flight time.Duration
	// CallTimeout bounds one call of the table.
	CallTimeout time.Duration
	Logger      log.Logger
}

// DefaultLeaseOptions returns the values of the design page.
func DefaultLeaseOptions(holder string) LeaseOptions {
	return LeaseOptions{
		Holder:      holder,
		Duration:    10 * time.Second,
		Renew:       3 * time.Second,
		Poll:        time.Second,
		Flight:      3 * time.Second,
		CallTimeout: 2 * time.Second,
		Logger:      log.NewNopLogger(),
	}
}

// LeaseStatus describes a lease for operators.
type LeaseStatus struct {
	// Held tells whether orders may be sent now.
	Held bool
	// Fencing and Holder are those of the row when it was last read or written.
	Fencing int64
	Holder  string
}

// Lease is one controller's side of the lease. All times are monotonic
// readings of time.Now, so that a jump of the wall clock has no effect.
type Lease struct {
	opt LeaseOptions
	row leaseRow
	// failing is set while the row cannot be read or written.
	failing bool

	mu sync.Mutex
	// fencing is 0 unless this controller holds the lease, and validFrom is the
	// time before its last successful write was sent.
	fencing   int64
	validFrom time.Time
	status    LeaseStatus
}

// NewLease returns a lease that is not held. Run keeps it.
func NewLease(t Table, opt LeaseOptions) *Lease {
	return &Lease{opt: opt, row: leaseRow{table: t, timeout: opt.CallTimeout, holder: opt.Holder}}
}

// Allow returns the fencing number for an order and the time at which its call
// must have ended. It is called immediately before each order, because the
// process may have been paused since any earlier check. A pause longer than
// Flight between this check and the write of the order is not noticed; the
// engine's fencing or the next round of the new holder then undoes the order.
func (l *Lease) Allow() (fencing int64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.fencing == 0 || l.validFrom.Add(l.opt.Duration).Sub(now) < l.opt.Flight {
		return 0, time.Time{}, false
	}
	return l.fencing, now.Add(l.opt.Flight), true
}

// Status returns the present state.
func (l *Lease) Status() LeaseStatus {
	_, _, held := l.Allow()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.status
	s.Held = held
	return s
}

// Run takes and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for {
		held, err := l.step(ctx)
		if ctx.Err() == nil {
			l.logOutage(err)
		}
		pause := l.opt.Poll
		if held && err == nil {
			pause = l.opt.Renew
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
}

// logOutage logs changes only, so that a long outage logs two lines.
func (l *Lease) logOutage(err error) {
	if failing := err != nil; failing != l.failing {
		l.failing = failing
		level.Warn(l.opt.Logger).Log("msg", "lease row changed reachability", "reachable", !failing, "err", err)
	}
}

// step renews the lease if the row is this controller's, takes it over if its
// time has passed, and else watches the row.
func (l *Lease) step(ctx context.Context) (held bool, err error) {
	if l.row.unknown() {
		if err := l.row.read(ctx); err != nil {
			return false, err
		}
	}
	if l.row.mine() {
		err := l.row.write(ctx, l.row.renewed())
		l.note()
		return l.row.mine(), err
	}
	if err := l.row.read(ctx); err != nil {
		return false, err
	}
	l.note()
	if l.row.mine() || !l.row.free(l.opt.Duration+l.opt.Flight) {
		return l.row.mine(), nil
	}
	err = l.row.write(ctx, l.row.takenOver())
	l.note()
	return l.row.mine(), err
}

// note publishes what the row says to Allow and Status.
func (l *Lease) note() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status.Fencing, l.status.Holder = l.row.value.Fencing, l.row.value.Holder
	before := l.fencing
	l.fencing = 0
	if l.row.mine() {
		l.fencing, l.validFrom = l.row.value.Fencing, l.row.sentAt
	}
	switch {
	case l.fencing == before:
	case l.fencing == 0:
		level.Warn(l.opt.Logger).Log("msg", "lease was lost", "fencing", before, "holder", l.status.Holder)
	default:
		level.Info(l.opt.Logger).Log("msg", "lease was taken", "fencing", l.fencing)
	}
}

// Release clears the holder, so that a successor need not wait. It is called
// after Run has returned and the last order has ended.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	l.fencing = 0
	l.mu.Unlock()
	if !l.row.mine() {
		return nil
	}
	err := l.row.write(ctx, l.row.released())
	// A renewal whose answer was lost may have changed the revision since.
	if l.row.mine() {
		err = l.row.write(ctx, l.row.released())
	}
	return err
}
