package claim

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrSettled is returned by a second call of Finish or ReleaseNotRun.
var ErrSettled = errors.New("claim: already settled")

// Claim is the exclusive right to dispatch one call once. The owner ends it with one
// call of Finish or ReleaseNotRun. If the outcome of the dispatch is unknown, the
// owner calls neither; the row then stays claimed, so that no later attempt runs the
// call again.
type Claim struct {
	store    *Store
	key      string
	record   record
	revision int64
	deadline time.Time
	// wallDeadline is deadline without its monotonic clock reading. The monotonic clock
	// stops while a host is suspended, which may last longer than the retention of the
	// row.
	wallDeadline time.Time
	settled      atomic.Bool
}

// Nonce returns the identifier of this attempt, which is unique to each claim.
func (c *Claim) Nonce() string { return c.record.Nonce }

// Dispatchable reports whether the call may be dispatched now. A process that was
// paused past the request's deadline must release the claim instead.
func (c *Claim) Dispatchable(now time.Time) bool {
	return !c.settled.Load() && now.Before(c.deadline) && now.Round(0).Before(c.wallDeadline)
}

// Finish records the answer of a call that ran. If that does not succeed before ctx
// ends, Finish returns an error and the write is retried in the background.
func (c *Claim) Finish(ctx context.Context, a Answer) error {
	done := c.record
	done.State = stateDone
	done.Answer = a.replayable()
	return c.settle(ctx, done.encode())
}

// ReleaseNotRun records that the call certainly did not run, so that a later attempt
// may claim it. Errors are handled as in Finish.
func (c *Claim) ReleaseNotRun(ctx context.Context) error {
	return c.settle(ctx, c.record.notRun())
}

func (c *Claim) settle(ctx context.Context, value []byte) error {
	if c.settled.Swap(true) {
		return ErrSettled
	}
	t := settlement{key: c.key, nonce: c.record.Nonce, value: value, ifRevision: c.revision}
	err := c.store.settle(ctx, t)
	if err != nil {
		c.store.settleLater(t)
	}
	return err
}
