package revision

import (
	"context"
	"errors"
	"fmt"

	"persimmonwing/internal/connection/platform"
)

// maxHistory limits the length of a listing, which costs one read per revision.
const maxHistory = 1000

// History returns up to limit revisions, newest first. If the history row of the head
// is missing, it is written. Another missing row ends the listing with an error, which
// is returned together with the revisions listed so far.
func (e *Editor) History(ctx context.Context, limit int) ([]Revision, error) {
	head, _, err := e.currentHead(ctx)
	if err != nil || head.Number == 0 {
		return nil, err
	}
	list := []Revision{head}
	// An error here does not fail the listing, because the next edit writes the row.
	_ = e.putHistory(ctx, head)
	for n := head.Number - 1; n > 0 && len(list) < min(limit, maxHistory); n-- {
		r, err := retry(ctx, func() (Revision, error) { return e.history(ctx, n) })
		if err != nil {
			return list, err
		}
		list = append(list, r)
	}
	return list, nil
}

// Get returns a revision with its body; number 0 selects the current one. The error
// wraps platform.ErrNotFound if the revision does not exist.
func (e *Editor) Get(ctx context.Context, number int64) (Revision, []byte, error) {
	r, _, err := e.currentHead(ctx)
	if err != nil {
		return Revision{}, nil, err
	}
	if r.Number == 0 {
		return Revision{}, nil, fmt.Errorf("the catalogue has no revision yet: %w", platform.ErrNotFound)
	}
	if number != 0 && number != r.Number {
		r, err = retry(ctx, func() (Revision, error) { return e.history(ctx, number) })
		if errors.Is(err, platform.ErrNotFound) {
			return Revision{}, nil, fmt.Errorf("revision %d doesn't exist: %w", number, err)
		}
		if err != nil {
			return Revision{}, nil, err
		}
	}
	body, err := retry(ctx, func() ([]byte, error) { return e.Body(ctx, r.Digest) })
	return r, body, err
}

// Rollback makes the body of an older revision the next revision if base is the number
// of the current one.
func (e *Editor) Rollback(ctx context.Context, base, number int64, author, message string) (Accepted, error) {
	_, body, err := e.Get(ctx, number)
	if err != nil {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	if message == "" {
		message = fmt.Sprintf("rollback to revision %d", number)
	}
	return e.Apply(ctx, base, body, author, message)
}
