// Package fault defines the typed error of a request: an error code, the step and peer
// at which it occurred, and whether the request was executed.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"persimmonwing/internal/request/api"
)

// Code is a machine-readable error code.
type Code string

// The error codes that are returned to callers.
const (
	BadRequest           Code = "bad_request"
	BodyTooLarge         Code = "body_too_large"
	BodyTimeout          Code = "body_timeout"
	UnknownPath          Code = "unknown_path"
	MethodNotAllowed     Code = "method_not_allowed"
	Unauthorized         Code = "unauthorized"
	UnknownEntry         Code = "unknown_entry"
	UnknownResponse      Code = "unknown_response"
	WrongKind            Code = "wrong_entry_kind"
	SequenceOutOfRange   Code = "sequence_out_of_range"
	RateLimited          Code = "rate_limited"
	ConcurrencyLimited   Code = "concurrency_limited"
	QueueFull            Code = "queue_full"
	NoCapacity           Code = "no_capacity"
	DeadlineExceeded     Code = "deadline_exceeded"
	ShuttingDown         Code = "shutting_down"
	NotReady             Code = "not_ready"
	Cancelled            Code = "cancelled"
	EngineLost           Code = "engine_lost"
	EngineRefused        Code = "engine_refused"
	EngineProtocol       Code = "engine_protocol"
	RequestCrashes       Code = "request_crashes_servers"
	NoBackend            Code = "no_backend_server"
	VersionGone          Code = "software_version_gone"
	OriginUnknown        Code = "stream_origin_unknown"
	BackendLost          Code = "backend_lost"
	BackendRefused       Code = "backend_refused"
	IdempotencyKeyNeeded Code = "idempotency_key_needed"
	IdempotencyMismatch  Code = "idempotency_key_reused"
	CallInProgress       Code = "call_in_progress"
	PlatformUnavailable  Code = "platform_unavailable"
	Internal             Code = "internal"
)

// Error is the error of a request. Step and Peer name the step at which it occurred and
// the other party of that step, if any. Execution states whether the request was executed.
type Error struct {
	Code      Code
	Step      string
	Peer      string
	Execution api.Execution
	// RetryAfter is the recommended delay before a retry, or 0 if there is none.
	RetryAfter time.Duration
	cause      error
}

// New returns an Error whose cause has the formatted message.
func New(code Code, step, peer string, x api.Execution, format string, args ...any) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Execution: x, cause: eris.New(fmt.Sprintf(format, args...))}
}

// Wrap returns an Error that wraps cause.
func Wrap(cause error, code Code, step, peer string, x api.Execution) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Execution: x, cause: eris.Wrap(cause, step)}
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s at %s: %v", e.Code, e.Step, e.cause)
	}
	return fmt.Sprintf("%s at %s (peer %s): %v", e.Code, e.Step, e.Peer, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the first *Error in err's chain, or an Internal error with an unknown
// execution state that wraps err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "internal", "", api.Unknown)
}

// Body returns the wire form of e for the request with this id. Unlike the text of
// Error, its message contains no addresses.
func (e *Error) Body(requestID string) api.ErrorBody {
	return api.ErrorBody{Error: api.Error{
		Code:         string(e.Code),
		Message:      e.message(),
		Execution:    e.Execution,
		RequestID:    requestID,
		Step:         e.Step,
		Peer:         e.Peer,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}
