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

// sharedLeaseKey is the row of the one lease that versions before the division
// by data centre used. It is retired before a data centre's lease is taken.
const sharedLeaseKey = "controller/lease"

// leaseKey returns the row of a data centre's lease.
func leaseKey(dataCentre string) string { return sharedLeaseKey + "/" + dataCentre }

// Table is the transactional table service.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error)
}

// LeaseOptions are the settings of a lease. All controllers must use the same
// Duration and Flight.
type LeaseOptions struct {
	Holder string
	// Home is the data centre of this controller.
	Home string
	// DataCentre is the one whose engines the lease is for.
	DataCentre string
	// Duration is the time for which a renewal is valid, counted from before it
	// was sent.
	Duration time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Poll is the time between two reads of a controller that does not hold it.
	// It reads once more when the lease may have become free, so that a
	// take-over comes at most Duration, Flight and Poll after the last renewal.
	Poll time.Duration
	// ForeignPoll is Poll for the lease of another data centre.
	ForeignPoll time.Duration
	// ForeignWait is the time that the lease of another data centre must have
	// stayed free. It leaves the lease to that data centre's own controllers.
	ForeignWait time.Duration
	// Flight is the longest time that an order may be in flight.
	Flight time.Duration
	// CallTimeout bounds one call of the table.
	CallTimeout time.Duration
	Logger      log.Logger
}

// DefaultLeaseOptions returns the values of the design page. The data centre is
// the controller's own one.
func DefaultLeaseOptions(holder, home string) LeaseOptions {
	return LeaseOptions{
		Holder:      holder,
		Home:        home,
		DataCentre:  home,
		Duration:    10 * time.Second,
		Renew:       3 * time.Second,
		Poll:        2 * time.Second,
		ForeignPoll: 30 * time.Second,
		ForeignWait: 30 * time.Second,
		Flight:      3 * time.Second,
		CallTimeout: 2 * time.Second,
		Logger:      log.NewNopLogger(),
	}
}

// LeaseStatus describes a lease for operators.
type LeaseStatus struct {
	DataCentre string `json:"data_centre"`
	// Held tells whether orders may be sent now.
	Held bool `json:"active"`
	// Fencing and Holder are those of the row when it was last read or written.
	Fencing int64  `json:"fencing"`
	Holder  string `json:"holder"`
}

// Lease is one controller's side of the lease. All times are monotonic
// readings of time.Now, so that a jump of the wall clock has no effect.
type Lease struct {
	opt LeaseOptions
	row leaseRow
	// shared is the row of earlier versions.
	shared leaseRow
	// failing is set while the row cannot be read or written.
	failing bool

	mu sync.Mutex
	// fencing is 0 unless this controller holds the lease, and validFrom is the
	// time before its last successful write was sent.
	fencing   int64
	validFrom time.Time
	status    LeaseStatus
	// floor is the highest fencing number that an engine is known to have
	// accepted, from Raise.
	floor int64
}

// NewLease returns a lease that is not held. Run keeps it.
func NewLease(t Table, opt LeaseOptions) *Lease {
	row := leaseRow{table: t, key: leaseKey(opt.DataCentre), timeout: opt.CallTimeout, holder: opt.Holder, home: opt.Home}
	shared := row
	shared.key = sharedLeaseKey
	return &Lease{opt: opt, row: row, shared: shared}
}

// Raise makes the next renewal or take-over use a number above the given one.
// An engine that came from another data centre has accepted numbers of that
// data centre's lease, which may be higher.
func (l *Lease) Raise(accepted int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor = max(l.floor, accepted)
}

func (l *Lease) raisedFloor() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.floor
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
	s.Held, s.DataCentre = held, l.opt.DataCentre
	return s
}

// Run takes and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for {
		held, err := l.step(ctx)
		if ctx.Err() == nil {
			l.logOutage(err)
		}
		select {
		case <-time.After(l.pause(held, err)):
		case <-ctx.Done():
			return nil
		}
	}
}

// minPause keeps a controller that lost the race for a free lease from reading
// without a pause.
const minPause = 100 * time.Millisecond

// pause returns the time until the next step.
func (l *Lease) pause(held bool, err error) time.Duration {
	switch {
	case err != nil:
		return l.opt.Poll
	case held:
		return l.opt.Renew
	}
	poll := l.opt.Poll
	if !l.home() {
		poll = l.opt.ForeignPoll
	}
	until := time.Until(l.row.freeAt(l.opt.Duration+l.opt.Flight, l.extraWait()))
	if shared := &l.shared; until <= 0 && !shared.unknown() && !shared.value.retired {
		until = time.Until(l.shared.freeAt(l.opt.Duration+l.opt.Flight, 0))
	}
	if until <= 0 {
		return poll
	}
	return max(minPause, min(poll, until))
}

// home tells whether the lease is that of this controller's own data centre.
func (l *Lease) home() bool { return l.opt.Home == l.opt.DataCentre }

// extraWait is the time for which the lease is left to others once it is free.
func (l *Lease) extraWait() time.Duration {
	if l.home() {
		return 0
	}
	return l.opt.ForeignWait
}

// logOutage logs changes only, so that a long outage logs two lines.
func (l *Lease) logOutage(err error) {
	if failing := err != nil; failing != l.failing {
		l.failing = failing
		level.Warn(l.opt.Logger).Log("msg", "lease row changed reachability", "data_centre", l.opt.DataCentre, "reachable", !failing, "err", err)
	}
}

// step renews the lease if the row is this controller's, takes it over if its
// time has passed, claims it from a holder of another data centre, and else
// watches the row.
func (l *Lease) step(ctx context.Context) (held bool, err error) {
	if l.row.unknown() {
		if err := l.row.read(ctx); err != nil {
			return false, err
		}
	}
	if l.row.mine() {
		err := l.row.write(ctx, l.row.renewed(l.raisedFloor()))
		l.note()
		return l.row.mine(), err
	}
	if err := l.row.read(ctx); err != nil {
		return false, err
	}
	l.note()
	switch {
	case l.row.mine():
	case l.row.free(l.opt.Duration+l.opt.Flight, l.extraWait()):
		err = l.takeOver(ctx)
	case l.claims():
		err = l.row.write(ctx, l.row.claimed())
	}
	l.note()
	return l.row.mine(), err
}

func (l *Lease) takeOver(ctx context.Context) error {
	last, ok, err := l.retireShared(ctx)
	if err != nil || !ok {
		return err
	}
	return l.row.write(ctx, l.row.takenOver(max(l.raisedFloor(), last)))
}

// retireShared returns the last fencing number of the shared row once that row
// is out of use. It is called at each take-over, because a return to the former
// version puts the row back into use. It takes the row over by the rules of its former users and
// leaves a value that these can't decode, so none of them acts afterwards.
func (l *Lease) retireShared(ctx context.Context) (last int64, ok bool, err error) {
	if err := l.shared.read(ctx); err != nil {
		return 0, false, err
	}
	if !l.shared.value.retired && l.shared.free(l.opt.Duration+l.opt.Flight, 0) {
		if err := l.shared.write(ctx, leaseValue{Fencing: l.shared.value.Fencing, retired: true}); err != nil {
			return 0, false, err
		}
	}
	return l.shared.value.Fencing, l.shared.value.retired, nil
}

// claims tells whether to ask a holder of another data centre to stop. The write
// makes its next renewal fail, and the row is taken over when its time is over.
func (l *Lease) claims() bool {
	v := l.row.value
	return l.home() && v.Holder != "" && v.DataCentre != l.opt.Home && v.Claimant == ""
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
		level.Warn(l.opt.Logger).Log("msg", "lease was lost", "data_centre", l.opt.DataCentre, "fencing", before, "holder", l.status.Holder)
	case before == 0:
		level.Info(l.opt.Logger).Log("msg", "lease was taken", "data_centre", l.opt.DataCentre, "fencing", l.fencing)
	default:
		level.Info(l.opt.Logger).Log("msg", "fencing number was raised", "data_centre", l.opt.DataCentre, "fencing", l.fencing)
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
