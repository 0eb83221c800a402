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

// maxKey is the maximum length of an idempotency key in bytes.
const maxKey = 255

// noDeadline is the time for which a claim is dispatchable if the request has no
// deadline.
const noDeadline = 30 * time.Second

// Begin claims a call. Exactly one result is not nil: a Claim that permits the
// dispatch, the recorded Answer of an earlier run, or a *fault.Error. An error with
// execution not_run states that the call did not run, neither in this attempt nor in
// an earlier one with the same key and body.
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

// attempt is the state of one Begin. All its writes carry the same nonce, so that
// retrying a write with an unknown outcome cannot claim the call twice.
type attempt struct {
	store      *Store
	key        string
	record     record
	ifRevision int64
	// unresolved is set while a write on condition of ifRevision may have been applied or
	// may still be applied.
	unresolved bool
	// retry is set if an earlier write of this attempt had no answer.
	retry   bool
	backoff *backoff.ExponentialBackOff
}

// run returns the revision of the row that it claimed, or the recorded answer.
func (a *attempt) run(ctx context.Context) (int64, *Answer, error) {
	for {
		row, err := a.write(ctx)
		if err != nil {
			return 0, nil, a.abandon(err)
		}
		done, answer, err := a.evaluate(row)
		if done || answer != nil || err != nil {
			return row.Revision, answer, err
		}
	}
}

// write attempts the conditional write once and returns the row after it. If the
// answer is lost, it reads the row back.
func (a *attempt) write(ctx context.Context) (platform.Row, error) {
	op := platform.CondPut{Key: a.key, Value: a.record.encode(), IfRevision: a.ifRevision}
	put, err := a.store.put(ctx, op, a.retry)
	switch {
	case err == nil:
		return put.Row, nil
	case errors.Is(err, platform.ErrNotApplied) && !a.unresolved:
		return platform.Row{}, err
	}
	a.unresolved = true
	a.retry = true
	return a.readBack(ctx, err)
}

// readBack reads the row until the table answers. It returns cause if ctx ends first.
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

// evaluate determines the result of a write from the row after it. It returns no
// claim, answer or error if the write must be retried.
func (a *attempt) evaluate(row platform.Row) (claimed bool, answer *Answer, err error) {
	if row.Revision == a.ifRevision {
		// The write has not been applied yet, but it may still arrive. A retry resolves this
		// either way.
		return false, nil, nil
	}
	// The revision has changed, so that the earlier write can no longer be applied.
	a.unresolved = false
	if row.Revision == 0 {
		a.ifRevision = 0
		return false, nil, nil
	}
	stored, err := decode(row)
	switch {
	case err != nil:
		return false, nil, fault.Wrap(err, fault.Internal, stepClaim, peerTable, api.Unknown)
	case stored.claimedBy(a.record.Nonce):
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

// abandon returns the error of an attempt that could not be resolved. If one of its
// writes may be or may still become effective, the row is set to not_run in the
// background, so that a later attempt can claim it. This attempt is not dispatched,
// but without an answer from the table it is unknown whether an earlier attempt with
// the same key ran, so the execution is unknown.
func (a *attempt) abandon(cause error) error {
	if a.unresolved {
		a.store.settleLater(settlement{key: a.key, nonce: a.record.Nonce, value: a.record.notRun(), ifRevision: a.ifRevision})
	}
	f := fault.Wrap(cause, fault.PlatformUnavailable, stepClaim, peerTable, api.Unknown)
	var e *platform.Error
	if errors.As(cause, &e) {
		return f.WithRetryAfter(e.RetryAfter)
	}
	return f
}

// notRun returns the encoded row value that releases the claim of this nonce.
func (r record) notRun() []byte {
	r.State = stateNotRun
	return r.encode()
}
