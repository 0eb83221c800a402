package revision

import (
	"errors"
	"fmt"
	"strings"

	"persimmonwing/internal/connection/platform"
	"persimmonwing/internal/version/catalogue"
)

// ErrDigest is returned for a body that does not match the digest by which it is
// stored.
var ErrDigest = errors.New("body doesn't match its digest")

// NotAcceptedError reports that an edit failed before the head was written.
type NotAcceptedError struct{ Cause error }

// Error names the step that failed.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("the edit was not accepted: %v", e.Cause)
}

// Unwrap returns the failure of the step.
func (e *NotAcceptedError) Unwrap() error { return e.Cause }

// ConflictError reports that an edit was not accepted because its base is not the
// current revision.
type ConflictError struct {
	Base    int64
	Current Revision
	// Changes lists the differences between the base and the current revision.
	Changes []catalogue.Change
	// DiffErr is set if the bodies could not be compared.
	DiffErr error
}

// Error names the current revision and lists what changed since the base.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the edit was not accepted: it is based on revision %d, but the current one is %d", e.Base, e.Current.Number)
	if e.Current.Author != "" {
		fmt.Fprintf(&b, " by %s (%s)", e.Current.Author, e.Current.Message)
	}
	if e.DiffErr != nil {
		fmt.Fprintf(&b, "; the changes could not be read: %v", e.DiffErr)
		return b.String()
	}
	b.WriteString("; changes since the base:")
	if len(e.Changes) == 0 {
		b.WriteString(" none")
	}
	for _, c := range e.Changes {
		b.WriteString("\n  " + c.String())
	}
	return b.String()
}

// UnresolvedError reports that the response to an edit was lost and that the outcome
// could not be read from the platform before the context ended.
type UnresolvedError struct {
	// Revision is the revision that the edit creates if it was accepted.
	Revision Revision
	Cause    error
	// row is the head row that the edit replaces.
	row platform.Row
}

// Error names the command that shows whether the edit was accepted.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("the edit may have been accepted as revision %d, but its answer was lost (%v); "+
		"run \"persimmonctl catalogue history\": it was accepted if revision %d has nonce %s",
		e.Revision.Number, e.Cause, e.Revision.Number, e.Revision.Nonce)
}

// Unwrap returns the last failure.
func (e *UnresolvedError) Unwrap() error { return e.Cause }
