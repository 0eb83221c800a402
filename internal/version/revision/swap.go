package revision

import (
	"context"
	"errors"
	"fmt"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/request/pause"
)

// errLost marks an outcome that is not known yet.
var errLost = errors.New("outcome not known")

// swap writes the head if its row is still the given one and finds out what
// became of the write. It returns nil only for an accepted edit.
//
// A write whose answer is lost may still take effect later, so reading the old
// head back proves nothing. The write is repeated with the same condition and
// the same nonce until the head has moved: from then on no copy of it can apply.
func (e *Editor) swap(ctx context.Context, row platform.Row, next Revision) error {
	raw, err := next.encode()
	if err != nil {
		return &NotAcceptedError{Cause: err}
	}
	op := platform.CondPut{Key: HeadKey, Value: raw, IfRevision: row.Revision}
	pauses := newBackOff()
	for {
		outcome := e.attempt(ctx, op)
		if outcome.err == nil && outcome.moved {
			outcome.err = e.settle(ctx, row, outcome.head, next)
		}
		if outcome.err == nil {
			return nil
		}
		if !errors.Is(outcome.err, errLost) {
			return outcome.err
		}
		if pause.For(ctx, pauses.NextBackOff()) != nil {
			return &UnresolvedError{Revision: next, Cause: outcome.err, row: row}
		}
	}
}

// outcome is what one attempt found: applied if neither err nor moved is set.
type outcome struct {
	// moved says that the head is another row than the expected one; head is it.
	moved bool
	head  Revision
	err   error
}

// attempt does one compare-and-set and reads the head back when its answer is lost.
func (e *Editor) attempt(ctx context.Context, op platform.CondPut) outcome {
	results, err := e.Table.Txn(ctx, []platform.CondPut{op})
	if err == nil && len(results) == 1 {
		if results[0].Applied {
			return outcome{}
		}
		return movedTo(results[0].Row)
	}
	lost := fmt.Errorf("write row %s: %w: %w", HeadKey, errLost, answerError(err, len(results)))
	row, err := e.Table.Get(ctx, HeadKey)
	if err != nil || row.Revision == op.IfRevision {
		return outcome{err: lost}
	}
	return movedTo(row)
}

func movedTo(row platform.Row) outcome {
	head, err := decode(HeadKey, row.Value)
	if err != nil {
		return outcome{err: fmt.Errorf("%w: %w", errLost, err)}
	}
	return outcome{moved: true, head: head}
}

func answerError(err error, results int) error {
	if err != nil {
		return err
	}
	return fmt.Errorf("%d results for 1 operation", results)
}

// settle decides an edit after the head has moved: it was accepted if its
// nonce is in the head or in the history row of its number.
func (e *Editor) settle(ctx context.Context, row platform.Row, head, next Revision) error {
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
