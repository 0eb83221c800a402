// Package forward sends a caller's request to backend servers and returns the
// answer, both unchanged. It selects the server, decides which failures are retried,
// and moves a running generation to another engine when its own engine leaves.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/balance"
	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/origins"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/routing"
)

// Request is one request of a caller. Its body has been read completely.
type Request struct {
	// ID is the id that the caller gave this attempt.
	ID     string
	Method string
	// Target is the request target byte for byte.
	Target string
	Host   string
	// Header contains the headers that are sent to the backend server unchanged.
	Header http.Header
	Body   []byte

	Route     *routing.Route
	Service   string
	Engine    *routing.EngineSpec
	Workspace string
	// Key is the caller's API key. It is never sent to a backend server or logged.
	Key string
	// Priority is the urgency level; 0 is the most urgent.
	Priority int
	Class    catalogue.Class
	Version  int64

	Arrived time.Time
	// Sent is the time of the last send to a backend server, other than one that moves a
	// running generation. It is zero before the first send.
	Sent time.Time
	// Chosen is what was known of the server's load at the last send of a call.
	Chosen balance.Choice
	// Account is that of the last wait for an engine.
	Account schedule.Account
	// Deadline is the earlier of the caller's deadline and the route's.
	Deadline time.Time

	// The fields below apply to generations only.

	PromptTokens    int
	MaxOutputTokens int
	// HintTokens is the caller's estimate of the output length in tokens, or 0.
	HintTokens   int
	PrefixHashes []uint64
	// PromptParts lists the parts of the prompt that other requests may share, in order.
	PromptParts []PromptPart
	// After is the id of the last event that the caller received, if Resumes is set.
	After   int64
	Resumes bool
	// Origin is the id of the attempt that brought the first event of the stream, as the caller names it, or empty.
	Origin string
	// origin is where the stream began that the request takes up. It is nil until Resolve has found it.
	origin *origins.Origin
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	// ID is opaque. Parts with the same id have the same content.
	ID     string
	Tokens int
}

// mayRepeat reports whether the request may be sent to another server after runs
// servers have run it or may have run it.
func (q *Request) mayRepeat(runs int) bool {
	return runs == 0 || q.Route.Repeatable() && runs < q.Route.Attempts
}

// untargetedCallTime is the time that a call on a route without a latency target is expected to
// take. Its timeout would say that hardly any fits into a planned stop.
const untargetedCallTime = 2 * time.Second

// LatestSend returns the latest time at which a request can be sent to end by the time end if
// it is on time: a stream with all its tokens at the route's targets, or a whole answer that
// does not have to be requested again, or within untargetedCallTime if the route has no target. It is
// the zero time if nothing tells how long a stream takes, and its deadline is later than end.
func (q *Request) LatestSend(end time.Time) time.Time {
	switch {
	case !q.Deadline.After(end):
		return end
	case q.Route.Kind != routing.Streaming && q.Route.Target > 0:
		return end.Add(-attemptTimeout(q.Route))
	case q.Route.Kind != routing.Streaming:
		return end.Add(-untargetedCallTime)
	case q.Route.Kind == routing.Streaming && q.Route.GapTarget > 0 && q.MaxOutputTokens > 0:
		return end.Add(-q.Route.Target - time.Duration(q.MaxOutputTokens/q.stride())*q.Route.GapTarget)
	}
	return time.Time{}
}

// stride returns the number of tokens in an event of the request's stream.
func (q *Request) stride() int {
	if q.Engine == nil {
		return 1
	}
	return max(1, q.Engine.Stride)
}

// UntilClose is the length of a body that ends when its connection closes.
const UntilClose = -2

// Caller receives the answer to a request.
type Caller interface {
	// Begin sends status and header. length is the length of the body in bytes, -1
	// if it is unknown, or UntilClose.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the body immediately, without buffering.
	Write(b []byte) error
}

// Attempt is one send to one backend server.
type Attempt struct {
	Request *Request
	Server  registry.Server
	// Remaining is the time that the server has to answer.
	Remaining time.Duration
	// After is the id of the event after which the stream resumes, if Resumes is set.
	After   int64
	Resumes bool
	// KVCopy identifies the KV cache copy from which a moved generation continues. It
	// is nil for other requests.
	KVCopy *KVCopy
}

// KVCopy identifies a copy of a generation's KV cache.
type KVCopy struct {
	// Address is the address of the engine on which the generation ran.
	Address string
	Handle  string
}

// Answer is a backend server's answer. The body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Framed is false for a body that ends when its connection closes, so that a
	// complete body cannot be distinguished from a truncated one.
	Framed bool
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
	// Replaced is set when a different server now has this address.
	Replaced bool
	// Sealed is set when the answer carries the server's signature.
	Sealed bool
	Body   io.Reader
	Close  func()
}

// MoveOutcome is the result of copying a generation's KV cache.
type MoveOutcome int

// String returns the name of the outcome for log lines.
func (o MoveOutcome) String() string {
	return [...]string{"copied", "no_room", "no_run", "failed"}[o]
}

// The values of MoveOutcome.
const (
	// Copied means that the copy contains everything up to the time of the call.
	Copied MoveOutcome = iota
	// NoRoom means that the destination did not accept the copy.
	NoRoom
	// NoRun means that the source is not running this generation.
	NoRun
	// MoveFailed means that the copy failed for another or an unknown reason.
	MoveFailed
)

// Copy is the result of Client.Copy. If Outcome is Copied, Handle identifies the copy.
type Copy struct {
	Outcome MoveOutcome
	Handle  string
	// Err is the cause of an outcome other than Copied.
	Err error
}

// Client sends requests to backend servers. The error of Send is a *fault.Error whose
// Execution states whether the request may have run.
type Client interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
	// Copy copies the KV cache of the running generation with this request id from one
	// engine to another.
	Copy(ctx context.Context, from, to registry.Server, id string) Copy
	// Free releases the KV cache copy with this handle.
	Free(ctx context.Context, from registry.Server, handle string)
	// Stop ends the generation with this request id at an engine, releases its memory there, and
	// reports whether the engine was running it. receiver is another engine; the call may have to
	// name one for the generation's memory.
	Stop(ctx context.Context, at, receiver registry.Server, id string) (running bool, err error)
	// Alive reports whether the engine still runs in the same incarnation.
	Alive(ctx context.Context, s registry.Server) bool
	// Ended reports whether the server's process has certainly ended. broken states that it has just closed
	// a connection.
	Ended(ctx context.Context, s registry.Server, broken bool) bool
}

// Scheduler grants permission to run generations on engines.
type Scheduler interface {
	Acquire(ctx context.Context, r schedule.Request) (schedule.Grant, error)
	Progress(grantID string, generated int)
	Release(grantID string, o schedule.Outcome)
}

// CrashGuard refuses requests that crash the servers that run them. Generations are admitted by the
// Scheduler.
type CrashGuard interface {
	// AdmitCall returns when the call may be sent, and EndCall records its end.
	AdmitCall(ctx context.Context, c crashguard.Call) (trial []uint64, err error)
	EndCall(c crashguard.Call, trial []uint64, o crashguard.CallOutcome)
	// GiveUpCall ends a call without an answer that a server may still be running. broken states
	// that the server closed the connection, and ended reports whether it has ended since.
	GiveUpCall(c crashguard.Call, trial []uint64, broken bool, server crashguard.Loss, ended func(context.Context) bool)
	// GiveUpGeneration records, before its grant is released, that a generation was given up while the
	// engine may still be running it.
	GiveUpGeneration(grantID string, ended func(context.Context) bool)
}

// Servers is the registry of backend servers.
type Servers interface {
	Get(name string) (registry.Server, bool)
	Leaving(name string) bool
	// Blocked reports whether a server is evacuated, leaves or has asked for a pause, and AllPaused how
	// long all servers of a service that could serve a request want none.
	Blocked(now time.Time, name string) bool
	AllPaused(now time.Time, service string) (time.Duration, bool)
	// AllEvacuated reports whether all servers of a service are in evacuated data centres.
	AllEvacuated(service string) bool
	// ColdWait returns the time until the first server of a service may get a request, if all that could
	// serve one are cold and may get none now.
	ColdWait(now time.Time, service string) (time.Duration, bool)
	Service(now time.Time, service, dataCentre string) []membership.Backend
	NoteReplaced(s registry.Server)
	NoteUnreachable(now time.Time, name string)
	// NoteBroken records that a server closed a connection before its answer began;
	// NoteAnswered records that a server has begun an answer.
	NoteBroken(now time.Time, name string)
	NoteAnswered(name string)
}

// Origins knows where streams began that their callers may take up.
type Origins interface {
	// Begun records the beginning of a stream before its first event is passed on.
	Begun(ctx context.Context, s origins.Stream, o origins.Origin)
	// Find returns where a stream began, or an error if that is not known.
	Find(ctx context.Context, s origins.Stream) (origins.Origin, error)
}

// Budget limits retries. Request counts a first send; Allow reports whether a retry
// may be sent that leaves the fraction reserve (0 to 1) of the budget's slack unused,
// and counts it if so.
type Budget interface {
	Request(now time.Time, service string)
	Allow(now time.Time, service string, reserve float64) bool
}

// Grace is the grace period of a planned stop.
type Grace interface {
	// MayStart reports whether work can still be started. latest returns the latest time for
	// that, for work that must have ended by the time end.
	MayStart(latest func(end time.Time) time.Time) bool
	// BoundStart returns a copy of ctx that ends once a stop has begun and the work can no longer
	// be started.
	BoundStart(ctx context.Context, latest func(end time.Time) time.Time) (context.Context, context.CancelFunc)
}

// Options configures a Forwarder.
type Options struct {
	DataCentre string
	Client     Client
	Scheduler  Scheduler
	CrashGuard CrashGuard
	Servers    Servers
	Budget     Budget
	Origins    Origins
	// RouteServices returns the services to which a route has led within a time.
	RouteServices func(r *routing.Route, within time.Duration) []string
	Health        func(service string) *health.Set
	// Loads returns what is known of the loads of a service's servers, and Random a number in [0, 1).
	Loads   func(service string) *balance.Loads
	Random  func() float64
	Metrics *telemetry.Metrics
	Logger  log.Logger
	// Grace is the grace period of a planned stop of this process, and StopRetryAfter the
	// time after which a request that it refuses reaches another gateway.
	Grace          Grace
	StopRetryAfter func() time.Duration
	// MayRun is called before each send. If it returns false, the request is refused,
	// because its API key may have been revoked since the request arrived.
	MayRun func(q *Request) bool
}
