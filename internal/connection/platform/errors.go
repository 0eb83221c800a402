package platform

import (
	"errors"
	"fmt"
	"time"
)

// ErrNotApplied is in the chain of the error of a call that certainly had no
// effect: the connection was refused or the platform declined the call.
var ErrNotApplied = errors.New("platform: call not applied")

// ErrUnknownOutcome is in the chain of the error of a write that may have
// taken effect, or may still do so later.
var ErrUnknownOutcome = errors.New("platform: outcome of the write is unknown")

// ErrDuplicateKey is returned for a transaction with two writes of one key.
var ErrDuplicateKey = errors.New("platform: transaction writes a key twice")

// Error is a failed call. Its chain holds ErrNotApplied or, for writes only,
// ErrUnknownOutcome.
type Error struct {
	// Step names the call, such as "table.txn".
	Step string
	// Peer is the base URL of the service.
	Peer string
	// RetryAfter is the platform's advice, or 0.
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

// Outward implements fault.Outward: it leaves out the base URL and what the
// platform answered.
func (e *Error) Outward() string { return fmt.Sprintf("%s: %v", e.Step, e.outcome) }

// Unwrap returns the outcome and the cause.
func (e *Error) Unwrap() []error { return []error{e.outcome, e.cause} }
