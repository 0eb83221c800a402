package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/request/pause"
)

const (
	stepClaim = "claim"
	peerTable = "table"
)

// maxKey bounds an idempotency key, in bytes.
const maxKey = 255

// noDeadline is how long a claim is dispatchable if the request has no deadline.
const noDeadline = 30 * time.Second

// Begin claims a call. Exactly one result is not nil: a Claim that the caller
// may dispatch, the recorded Answer of an earlier run, or a *fault.Error. An
// error with execution not_run says that the call did not run, neither in this
// attempt nor in an earlier one with the same key and body.
func (s *Store) Begin(ctx context.Context, k Key, bodyDigest string) (*Claim, *Answer, error) {
	if k.IdempotencyKey == "" || len(k.IdempotencyKey) > maxKey {
		return nil, nil, fault.New(fault.IdempotencyKeyNeeded, stepClaim, "", api.NotRun,
			"Idempotency-Key has %d bytes; allowed are 1 to %d", len(k.IdempotencyKey), maxKey)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(noDeadline)
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.ResolveTimeout)
	defer cancel()
	a := &attempt{
		store:   s,
		key:     k.row(),
		record:  record{Nonce: rand.Text(), State: stateClaimed, BodyDigest: bodyDigest},
		backoff: newBackOff(),
	}
	revision, answer, err := a.run(ctx)
	if err != nil || answer != nil {
		return nil, answer, err
	}
	c := &Claim{store: s, key: a.key, record: a.record, revision: revision, deadline: deadline, wallDeadline: deadline.Round(0)}
	return c, nil, nil
}

// attempt is one Begin. All its writes carry the same nonce, so repeating one
// whose outcome is unknown cannot claim twice.
type attempt struct {
	store      *Store
	key        string
	record     record
	ifRevision int64
	// unresolved tells that a write with ifRevision may have been applied or may
	// still be.
	unresolved bool
	// repeat tells that an earlier write of this attempt had no answer.
	repeat  bool
	backoff *backoff.ExponentialBackOff
}

// run returns the revision of the row that it claimed, or a recorded answer.
func (a *attempt) run(ctx context.Context) (int64, *Answer, error) {
	for {
		row, err := a.write(ctx)
		if err != nil {
			return 0, nil, a.abandon(err)
		}
		done, answer, err := a.judge(row)
		if done || answer != nil || err != nil {
			return row.Revision, answer, err
		}
	}
}

// write tries the conditional write once and returns the row after it. A lost
// answer is resolved by reading the row back.
func (a *attempt) write(ctx context.Context) (platform.Row, error) {
	op := platform.CondPut{Key: a.key, Value: a.record.encode(), IfRevision: a.ifRevision}
	put, err := a.store.put(ctx, op, a.repeat)
	switch {
	case err == nil:
		return put.Row, nil
	case errors.Is(err, platform.ErrNotApplied) && !a.unresolved:
		return platform.Row{}, err
	}
	a.unresolved = true
	a.repeat = true
	return a.readBack(ctx, err)
}

// readBack reads until the table answers or ctx ends. It returns cause if ctx
// ends first.
func (a *attempt) readBack(ctx context.Context, cause error) (platform.Row, error) {
	for {
		if pause.For(ctx, a.backoff.NextBackOff()) != nil {
			return platform.Row{}, cause
		}
		row, err := a.store.table.Get(ctx, a.key)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return row, nil
		}
	}
}

// judge decides by the row after a write. It returns false without an error if
// the write shall be tried again.
func (a *attempt) judge(row platform.Row) (claimed bool, answer *Answer, err error) {
	if row.Revision == a.ifRevision {
		// The write was not applied so far, but it may still arrive. A repeated
		// one settles it either way.
		return false, nil, nil
	}
	// A write on condition of an older revision can no longer be applied.
	a.unresolved = false
	if row.Revision == 0 {
		a.ifRevision = 0
		return false, nil, nil
	}
	stored, err := decode(row)
	switch {
	case err != nil:
		return false, nil, fault.Wrap(err, fault.Internal, stepClaim, peerTable, api.Unknown)
	case stored.heldBy(a.record.Nonce):
		return true, nil, nil
	case stored.BodyDigest != a.record.BodyDigest:
		return false, nil, fault.New(fault.IdempotencyMismatch, stepClaim, "", api.NotRun,
			"the idempotency key was used with another body")
	case stored.State == stateNotRun:
		a.ifRevision = row.Revision
		return false, nil, nil
	case stored.State == stateDone && stored.Answer != nil:
		return false, stored.Answer, nil
	default:
		return false, nil, fault.New(fault.CallInProgress, stepClaim, "", api.Unknown,
			"another attempt with this idempotency key is in progress or its outcome is unknown")
	}
}

// abandon refuses the call. Since its nonce may be or become the row's, the row
// is marked in the background, so that a later attempt can claim. This attempt
// is not dispatched, but the table could not tell whether an earlier one with
// the same key ran, so the call's execution is unknown.
func (a *attempt) abandon(cause error) error {
	if a.unresolved {
		a.store.later(settlement{key: a.key, nonce: a.record.Nonce, value: a.record.notRun(), ifRevision: a.ifRevision})
	}
	f := fault.Wrap(cause, fault.PlatformUnavailable, stepClaim, peerTable, api.Unknown)
	var e *platform.Error
	if errors.As(cause, &e) {
		return f.WithRetryAfter(e.RetryAfter)
	}
	return f
}

// notRun is the value of the row after this nonce was given up.
func (r record) notRun() []byte {
	r.State = stateNotRun
	return r.encode()
}
