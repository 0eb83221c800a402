package revision

import (
	"context"
	"errors"
	"fmt"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/pause"
)

// errOutcomeUnknown marks a write whose outcome is not known yet.
var errOutcomeUnknown = errors.New("outcome not known")

// writeHead replaces the head if its row has not changed since it was read, and
// determines the outcome of the write. It returns nil only if the edit was accepted.
//
// A write whose response is lost may still take effect later, so reading back the old
// head does not prove that it failed. The write is repeated with the same condition and
// nonce until the head has changed; from then on no copy of it can be applied.
func (e *Editor) writeHead(ctx context.Context, row platform.Row, next Revision) error {
	raw, err := next.encode()
	if err != nil {
		return &NotAcceptedError{Cause: err}
	}
	op := platform.CondPut{Key: HeadKey, Value: raw, IfRevision: row.Revision}
	pauses := newBackOff()
	for {
		outcome := e.attempt(ctx, op)
		if outcome.err == nil && outcome.moved {
			outcome.err = e.resolve(ctx, row, outcome.head, next)
		}
		if outcome.err == nil {
			return nil
		}
		if !errors.Is(outcome.err, errOutcomeUnknown) {
			return outcome.err
		}
		if pause.For(ctx, pauses.NextBackOff()) != nil {
			return &UnresolvedError{Revision: next, Cause: outcome.err, row: row}
		}
	}
}

// outcome is the result of one attempt. The write was applied if err is nil and moved
// is false.
type outcome struct {
	// moved is set if the head row is not the expected one; head is then its revision.
	moved bool
	head  Revision
	err   error
}

// attempt does one compare-and-set and reads the head back if the response is lost.
func (e *Editor) attempt(ctx context.Context, op platform.CondPut) outcome {
	results, err := e.Table.Txn(ctx, []platform.CondPut{op})
	if err == nil && len(results) == 1 {
		if results[0].Applied {
			return outcome{}
		}
		return movedTo(results[0].Row)
	}
	lost := fmt.Errorf("write row %s: %w: %w", HeadKey, errOutcomeUnknown, responseError(err, len(results)))
	row, err := e.Table.Get(ctx, HeadKey)
	if err != nil || row.Revision == op.IfRevision {
		return outcome{err: lost}
	}
	return movedTo(row)
}

func movedTo(row platform.Row) outcome {
	head, err := decode(HeadKey, row.Value)
	if err != nil {
		return outcome{err: fmt.Errorf("%w: %w", errOutcomeUnknown, err)}
	}
	return outcome{moved: true, head: head}
}

func responseError(err error, results int) error {
	if err != nil {
		return err
	}
	return fmt.Errorf("%d results for 1 operation", results)
}

// resolve determines the outcome of an edit after the head has changed. The edit was
// accepted if its nonce is in the head or in the history row with its revision number.
func (e *Editor) resolve(ctx context.Context, row platform.Row, head, next Revision) error {
	if head.Nonce == next.Nonce {
		return nil
	}
	if head.Number <= next.Number {
		return e.conflict(ctx, next.Number-1, head)
	}
	winner, err := retry(ctx, func() (Revision, error) { return e.history(ctx, next.Number) })
	if err != nil {
		return &UnresolvedError{Revision: next, Cause: err, row: row}
	}
	if winner.Nonce == next.Nonce {
		return nil
	}
	return e.conflict(ctx, next.Number-1, head)
}
