// Package order decides which models the engines should have loaded and sends them
// orders to load these. For each data centre, one controller at a time sends orders,
// under a lease with a fencing number.
package order

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/connection/platform"
)

// sharedLeaseKey is the row of the single lease that earlier versions used for all data
// centres. It is retired before the lease of a data centre is acquired.
const sharedLeaseKey = "controller/lease"

// leaseKey returns the key of the row of a data centre's lease.
func leaseKey(dataCentre string) string { return sharedLeaseKey + "/" + dataCentre }

// Table is the transactional table service.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	Txn(ctx context.Context, ops []platform.CondPut) ([]platform.PutResult, error)
}

// LeaseOptions holds the settings of a lease. All controllers must use the same
// Duration and OrderTimeout.
type LeaseOptions struct {
	Holder string
	// Home is the data centre of this controller.
	Home string
	// DataCentre is the data centre whose engines the lease covers.
	DataCentre string
	// Duration is the time for which a renewal is valid, counted from before it was
	// sent.
	Duration time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// Poll is the interval between reads by a controller that does not hold the lease.
	// The controller reads once more when the lease may have become free, so that a
	// takeover happens at most Duration, OrderTimeout and Poll after the last renewal.
	Poll time.Duration
	// ForeignPoll is Poll for the lease of another data centre.
	ForeignPoll time.Duration
	// ForeignWait is the time for which the lease of another data centre must have been
	// free before it is acquired. It gives precedence to the controllers of that data
	// centre.
	ForeignWait time.Duration
	// OrderTimeout is the maximum time for which an order may be in flight.
	OrderTimeout time.Duration
	// CallTimeout limits one call of the table.
	CallTimeout time.Duration
	Logger      log.Logger
}

// DefaultLeaseOptions returns the values of the design page for the lease of the
// controller's own data centre.
func DefaultLeaseOptions(holder, home string) LeaseOptions {
	return LeaseOptions{
		Holder:       holder,
		Home:         home,
		DataCentre:   home,
		Duration:     10 * time.Second,
		Renew:        3 * time.Second,
		Poll:         2 * time.Second,
		ForeignPoll:  30 * time.Second,
		ForeignWait:  30 * time.Second,
		OrderTimeout: 3 * time.Second,
		CallTimeout:  2 * time.Second,
		Logger:       log.NewNopLogger(),
	}
}

// LeaseStatus describes a lease for operators.
type LeaseStatus struct {
	DataCentre string `json:"data_centre"`
	// Held reports whether orders may be sent now.
	Held bool `json:"active"`
	// Fencing and Holder are the values in the row when it was last read or written.
	Fencing int64  `json:"fencing"`
	Holder  string `json:"holder"`
}

// Lease acquires and renews the lease of one data centre for a controller. All times
// are monotonic readings of time.Now, so that a change of the wall clock has no effect.
type Lease struct {
	opt LeaseOptions
	row leaseRow
	// shared is the row of the lease that earlier versions use for all data centres.
	shared leaseRow
	// failing is set while the row cannot be read or written.
	failing bool

	mu sync.Mutex
	// fencing is 0 unless this controller holds the lease. validFrom is the time before
	// its last successful write was sent.
	fencing   int64
	validFrom time.Time
	status    LeaseStatus
	// highestAccepted is the highest fencing number that an engine is known to have
	// accepted. Raise sets it.
	highestAccepted int64
}

// NewLease returns a lease that is not held. Run acquires and renews it.
func NewLease(t Table, opt LeaseOptions) *Lease {
	row := leaseRow{table: t, key: leaseKey(opt.DataCentre), timeout: opt.CallTimeout, holder: opt.Holder, home: opt.Home}
	shared := row
	shared.key = sharedLeaseKey
	return &Lease{opt: opt, row: row, shared: shared}
}

// Raise makes the next renewal or takeover use a fencing number above accepted. An
// engine that came from another data centre has accepted numbers of that data centre's
// lease, which may be higher.
func (l *Lease) Raise(accepted int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highestAccepted = max(l.highestAccepted, accepted)
}

func (l *Lease) highestAcceptedFencing() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highestAccepted
}

// Allow returns the fencing number for an order and the time by which its call must
// end, or false if no order may be sent. It must be called immediately before each
// order, because the process may have been paused since any earlier check. A pause
// longer than OrderTimeout between this check and the transmission of the order is not
// detected. Such an order is refused by the engine's fencing check or corrected in the
// next round of the new holder.
func (l *Lease) Allow() (fencing int64, until time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.fencing == 0 || l.validFrom.Add(l.opt.Duration).Sub(now) < l.opt.OrderTimeout {
		return 0, time.Time{}, false
	}
	return l.fencing, now.Add(l.opt.OrderTimeout), true
}

// Status returns the current state of the lease.
func (l *Lease) Status() LeaseStatus {
	_, _, held := l.Allow()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.status
	s.Held, s.DataCentre = held, l.opt.DataCentre
	return s
}

// Run acquires and renews the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for {
		held, err := l.step(ctx)
		if ctx.Err() == nil {
			l.logOutage(err)
		}
		select {
		case <-time.After(l.nextDelay(held, err)):
		case <-ctx.Done():
			return nil
		}
	}
}

// minDelay prevents a controller that lost the race for a free lease from reading again
// without a delay.
const minDelay = 100 * time.Millisecond

// nextDelay returns the time until the next step.
func (l *Lease) nextDelay(held bool, err error) time.Duration {
	switch {
	case err != nil:
		return l.opt.Poll
	case held:
		return l.opt.Renew
	}
	poll := l.opt.Poll
	if !l.isHome() {
		poll = l.opt.ForeignPoll
	}
	until := time.Until(l.row.freeAt(l.opt.Duration+l.opt.OrderTimeout, l.extraWait()))
	if shared := &l.shared; until <= 0 && !shared.unknown() && !shared.value.retired {
		until = time.Until(l.shared.freeAt(l.opt.Duration+l.opt.OrderTimeout, 0))
	}
	if until <= 0 {
		return poll
	}
	return max(minDelay, min(poll, until))
}

// isHome reports whether the lease is that of this controller's own data centre.
func (l *Lease) isHome() bool { return l.opt.Home == l.opt.DataCentre }

// extraWait returns the time for which a free lease is left to the controllers of its
// own data centre.
func (l *Lease) extraWait() time.Duration {
	if l.isHome() {
		return 0
	}
	return l.opt.ForeignWait
}

// logOutage logs changes of reachability only, so that a long outage logs two lines.
func (l *Lease) logOutage(err error) {
	if failing := err != nil; failing != l.failing {
		l.failing = failing
		level.Warn(l.opt.Logger).Log("msg", "lease row changed reachability", "data_centre", l.opt.DataCentre, "reachable", !failing, "err", err)
	}
}

// step renews the lease if this controller holds it, takes it over if it has expired,
// or claims it if the holder is in another data centre. Otherwise it only reads the
// row.
func (l *Lease) step(ctx context.Context) (held bool, err error) {
	if l.row.unknown() {
		if err := l.row.read(ctx); err != nil {
			return false, err
		}
	}
	if l.row.heldBySelf() {
		err := l.row.write(ctx, l.row.renewed(l.highestAcceptedFencing()))
		l.publish()
		return l.row.heldBySelf(), err
	}
	if err := l.row.read(ctx); err != nil {
		return false, err
	}
	l.publish()
	switch {
	case l.row.heldBySelf():
	case l.row.free(l.opt.Duration+l.opt.OrderTimeout, l.extraWait()):
		err = l.takeOver(ctx)
	case l.shouldClaim():
		err = l.row.write(ctx, l.row.claimed())
	}
	l.publish()
	return l.row.heldBySelf(), err
}

func (l *Lease) takeOver(ctx context.Context) error {
	last, ok, err := l.retireShared(ctx)
	if err != nil || !ok {
		return err
	}
	return l.row.write(ctx, l.row.takenOver(max(l.highestAcceptedFencing(), last)))
}

// retireShared retires the shared row and returns its last fencing number. It returns
// false while a controller of an earlier version may still hold that row. It is called
// at each takeover, because a downgrade puts the row back into use. It takes the row
// over by the rules of the earlier version and writes a value that the earlier version
// cannot decode, so that none of its controllers sends orders afterwards.
func (l *Lease) retireShared(ctx context.Context) (last int64, ok bool, err error) {
	if err := l.shared.read(ctx); err != nil {
		return 0, false, err
	}
	if !l.shared.value.retired && l.shared.free(l.opt.Duration+l.opt.OrderTimeout, 0) {
		if err := l.shared.write(ctx, leaseValue{Fencing: l.shared.value.Fencing, retired: true}); err != nil {
			return 0, false, err
		}
	}
	return l.shared.value.Fencing, l.shared.value.retired, nil
}

// shouldClaim reports whether to claim the lease from a holder of another data centre.
// The claim makes the next renewal of that holder fail, and the lease is taken over
// when it has expired.
func (l *Lease) shouldClaim() bool {
	v := l.row.value
	return l.isHome() && v.Holder != "" && v.DataCentre != l.opt.Home && v.Claimant == ""
}

// publish copies the state of the row to the fields that Allow and Status read.
func (l *Lease) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status.Fencing, l.status.Holder = l.row.value.Fencing, l.row.value.Holder
	before := l.fencing
	l.fencing = 0
	if l.row.heldBySelf() {
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

// Release clears the holder, so that a successor need not wait. It must be called after
// Run has returned and the last order has ended.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	l.fencing = 0
	l.mu.Unlock()
	if !l.row.heldBySelf() {
		return nil
	}
	err := l.row.write(ctx, l.row.released())
	// A renewal whose response was lost may have changed the revision since.
	if l.row.heldBySelf() {
		err = l.row.write(ctx, l.row.released())
	}
	return err
}
