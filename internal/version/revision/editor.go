package revision

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/catalogue"
)

// historyTimeout limits the write of the history row after an edit was accepted. If the
// row is not written, the next edit writes it.
const historyTimeout = time.Second

// Editor applies the edits of operators. It is safe for concurrent use.
type Editor struct {
	Store
	// Now returns the wall-clock time that is shown to operators; nil means time.Now.
	Now func() time.Time
}

// NewEditor returns an editor that uses the given platform services.
func NewEditor(t Table, o Objects) *Editor {
	return &Editor{Store: Store{Table: t, Objects: o}}
}

// Accepted is the result of an accepted edit.
type Accepted struct {
	Revision Revision
	// HistoryErr is set if the history row could not be written yet.
	HistoryErr error
}

// Apply makes body the next revision if base is the number of the current one. The
// first edit has base 0. Steps are retried until ctx ends.
//
// Errors: *catalogue.InvalidError, *ConflictError and *NotAcceptedError mean that the
// edit was not accepted and cannot be accepted later. *UnresolvedError means that it
// may have been accepted.
func (e *Editor) Apply(ctx context.Context, base int64, body []byte, author, message string) (Accepted, error) {
	if _, err := catalogue.Parse("catalogue", body); err != nil {
		return Accepted{}, err
	}
	if strings.TrimSpace(author) == "" || strings.TrimSpace(message) == "" {
		return Accepted{}, &NotAcceptedError{Cause: errors.New("author and message must not be empty")}
	}
	current, row, err := e.currentHead(ctx)
	if err != nil {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	if current.Number != base {
		return Accepted{}, e.conflict(ctx, base, current)
	}
	next := Revision{
		Number:  base + 1,
		Digest:  catalogue.Digest(body),
		Author:  author,
		Message: message,
		Nonce:   ulid.Make().String(),
		At:      e.now().UTC(),
	}
	if err := e.prepare(ctx, current, next, body); err != nil {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	return e.commit(ctx, row, next)
}

// Resume continues an edit whose outcome is unknown. The edit keeps its nonce, so it is
// accepted at most once. The errors are those of Apply.
func (e *Editor) Resume(ctx context.Context, u *UnresolvedError) (Accepted, error) {
	return e.commit(ctx, u.row, u.Revision)
}

func (e *Editor) commit(ctx context.Context, row platform.Row, next Revision) (Accepted, error) {
	if err := e.writeHead(ctx, row, next); err != nil {
		return Accepted{}, err
	}
	return Accepted{Revision: next, HistoryErr: e.recordHistory(ctx, next)}, nil
}

func (e *Editor) now() time.Time {
	if e.Now == nil {
		return time.Now()
	}
	return e.Now()
}

// currentHead returns the current revision and its row. Both are zero before the first
// edit.
func (e *Editor) currentHead(ctx context.Context) (Revision, platform.Row, error) {
	type pair struct {
		head Revision
		row  platform.Row
	}
	p, err := retry(ctx, func() (pair, error) {
		head, row, err := e.headRow(ctx)
		return pair{head, row}, err
	})
	if errors.Is(err, platform.ErrNotFound) {
		return Revision{}, platform.Row{}, nil
	}
	return p.head, p.row, err
}

// prepare stores the body and ensures that the current revision has a history row. That
// row must exist before the head is replaced, because an editor that lost the response
// to its edit looks for its nonce there.
func (e *Editor) prepare(ctx context.Context, current, next Revision, body []byte) error {
	if err := retryErr(ctx, func() error { return e.putBody(ctx, next.Digest, body) }); err != nil {
		return err
	}
	if current.Number == 0 {
		return nil
	}
	return retryErr(ctx, func() error { return e.putHistory(ctx, current) })
}

// recordHistory writes the history row of an accepted edit.
func (e *Editor) recordHistory(ctx context.Context, accepted Revision) error {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	return retryErr(ctx, func() error { return e.putHistory(ctx, accepted) })
}

// conflict returns the error of an edit that was not accepted because the head had
// changed. It includes the changes since base if the bodies can be read.
func (e *Editor) conflict(ctx context.Context, base int64, current Revision) *ConflictError {
	c := &ConflictError{Base: base, Current: current}
	after, err := e.parseRevision(ctx, current)
	if err != nil {
		c.DiffErr = err
		return c
	}
	var before *catalogue.Catalogue
	if base > 0 {
		old, err := retry(ctx, func() (Revision, error) { return e.history(ctx, base) })
		if err == nil {
			before, err = e.parseRevision(ctx, old)
		}
		if err != nil {
			c.DiffErr = err
			return c
		}
	}
	c.Changes = catalogue.Diff(before, after)
	return c
}

func (e *Editor) parseRevision(ctx context.Context, r Revision) (*catalogue.Catalogue, error) {
	if r.Number == 0 {
		return nil, nil
	}
	body, err := retry(ctx, func() ([]byte, error) { return e.Body(ctx, r.Digest) })
	if err != nil {
		return nil, err
	}
	return catalogue.Parse(fmt.Sprintf("revision-%d", r.Number), body)
}
