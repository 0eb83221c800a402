package claim

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrSettled is returned for a second Finish or ReleaseNotRun.
var ErrSettled = errors.New("claim: already settled")

// Claim is the right to dispatch one call once. It ends with one Finish or one
// ReleaseNotRun. If the outcome of the dispatch is unknown, neither is called
// and the row stays claimed, so that no later attempt runs the call again.
type Claim struct {
	store    *Store
	key      string
	record   record
	revision int64
	deadline time.Time
	// wallDeadline is deadline without its monotonic reading. The monotonic clock
	// stops while a host is suspended, which may last longer than the row is kept.
	wallDeadline time.Time
	settled      atomic.Bool
}

// Nonce identifies this attempt; it differs for each claim.
func (c *Claim) Nonce() string { return c.record.Nonce }

// Dispatchable reports whether the call may be dispatched now. A process that
// was paused past the request's deadline shall release the claim instead.
func (c *Claim) Dispatchable(now time.Time) bool {
	return !c.settled.Load() && now.Before(c.deadline) && now.Round(0).Before(c.wallDeadline)
}

// Finish records the answer of a call that ran. If that fails within ctx, it is
// tried again in the background and the error is returned.
func (c *Claim) Finish(ctx context.Context, a Answer) error {
	done := c.record
	done.State = stateDone
	done.Answer = a.replayable()
	return c.settle(ctx, done.encode())
}

// ReleaseNotRun records that the call provably did not run, so that a later
// attempt may claim it. Errors are as with Finish.
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
		c.store.later(t)
	}
	return err
}
