package platform

import (
	"errors"
	"fmt"
	"time"
)

// ErrNotApplied is wrapped by the error of a call that certainly had no effect, because the
// connection was refused or the platform rejected the call.
var ErrNotApplied = errors.New("platform: call not applied")

// ErrUnknownOutcome is wrapped by the error of a write that may have taken effect or may still take
// effect later.
var ErrUnknownOutcome = errors.New("platform: outcome of the write is unknown")

// ErrDuplicateKey is returned for a transaction with two operations on the same key.
var ErrDuplicateKey = errors.New("platform: transaction writes a key twice")

// Error is the error of a failed call. It wraps ErrNotApplied or, for writes only,
// ErrUnknownOutcome.
type Error struct {
	// Step is the name of the call, such as "table.txn".
	Step string
	// Peer is the base URL of the service.
	Peer string
	// RetryAfter is the delay that the platform's Retry-After header requests, or 0.
	RetryAfter time.Duration
	outcome    error
	cause      error
}

// NewError returns an Error; outcome is ErrNotApplied or ErrUnknownOutcome.
func NewError(step, peer string, outcome, cause error) *Error {
	return &Error{Step: step, Peer: peer, outcome: outcome, cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (peer %s): %v: %v", e.Step, e.Peer, e.outcome, e.cause)
}

// PublicMessage implements fault.PublicError. The text omits the base URL and the
// platform's response.
func (e *Error) PublicMessage() string { return fmt.Sprintf("%s: %v", e.Step, e.outcome) }

// Unwrap returns the outcome and the cause.
func (e *Error) Unwrap() []error { return []error{e.outcome, e.cause} }
