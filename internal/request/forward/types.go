// Package forward carries one request of a caller to backend servers and the
// answer back, unchanged. It decides where a request goes, what is repeated, and
// when a running generation moves to another engine.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/version/catalogue"
	"persimmonwing/internal/version/routing"
)

// Request is one request of a caller, read completely.
type Request struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	// Target is the request target byte for byte.
	Target string
	Host   string
	// Header holds what goes to the backend server unchanged.
	Header http.Header
	Body   []byte

	Route     *routing.Route
	Service   string
	Engine    *routing.EngineSpec
	Workspace string
	// Key is the caller's key; it goes to no backend server and no log.
	Key string
	// Priority ranks the request; 0 is the most urgent.
	Priority int
	Class    catalogue.Class
	Version  int64

	Arrived time.Time
	// Deadline is the earlier of the caller's and the route's.
	Deadline time.Time

	// The rest describes generations.

	PromptTokens    int
	MaxOutputTokens int
	// HintTokens is the caller's estimate of the output, or 0.
	HintTokens   int
	PrefixHashes []uint64
	// After is the last event that the caller has, if Resumes is set.
	After   int64
	Resumes bool
}

// mayRepeat reports whether the request may be sent to another server after so
// many have run it or may have.
func (q *Request) mayRepeat(runs int) bool {
	return runs == 0 || q.Route.Repeatable() && runs < q.Route.Attempts
}

// Caller receives the answer.
type Caller interface {
	// Begin sends status and header; length is that of the body, or -1.
	Begin(status int, header http.Header, length int64) error
	// Write sends a part of the body at once.
	Write(b []byte) error
}

// Attempt is one send to one backend server.
type Attempt struct {
	Request *Request
	Server  registry.Server
	// Remaining is the time that the server may work.
	Remaining time.Duration
	// After makes a stream go on behind an event, if Resumes is set.
	After   int64
	Resumes bool
	// Memory names the KV memory from which a moved generation goes on.
	Memory *Memory
}

// Memory names a copy of a generation's KV memory.
type Memory struct {
	// Address is that of the engine on which the generation ran.
	Address string
	Handle  string
}

// Answer is a backend server's answer with its body to be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1.
	Length int64
	// Framed is false for a body that ends with its connection, so that its end
	// cannot be told from a break.
	Framed bool
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
	// Replaced is set when another server has the address.
	Replaced bool
	// Sealed is set when the answer carries the server's signature.
	Sealed bool
	Body   io.Reader
	Close  func()
}

// MoveOutcome is the result of copying a generation's memory.
type MoveOutcome int

// String names the outcome in log lines.
func (o MoveOutcome) String() string {
	return [...]string{"copied", "no_room", "no_run", "failed"}[o]
}

// The values of MoveOutcome.
const (
	// Copied means that the copy is complete as of the call.
	Copied MoveOutcome = iota
	// NoRoom means that the destination took no copy.
	NoRoom
	// NoRun means that no such generation runs.
	NoRun
	// MoveFailed means that nothing is known.
	MoveFailed
)

// Copy is the state of a copied generation.
type Copy struct {
	Outcome MoveOutcome
	Handle  string
	// Err is the cause of an outcome other than Copied.
	Err error
}

// Client talks to backend servers. The error of Send is a *fault.Error whose
// execution tells whether the request may have run.
type Client interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
	// Copy copies the memory of a running generation from one engine to another.
	Copy(ctx context.Context, from, to registry.Server, id string) Copy
	// Free gives up a copy.
	Free(ctx context.Context, from registry.Server, handle string)
	// Alive reports whether the server still runs in the same incarnation.
	Alive(ctx context.Context, s registry.Server) bool
}

// Scheduler hands out permission to run generations.
type Scheduler interface {
	Acquire(ctx context.Context, r schedule.Request) (schedule.Grant, error)
	Progress(grantID string, generated int)
	Release(grantID string, o schedule.Outcome)
}

// Servers knows the backend servers.
type Servers interface {
	Get(name string) (registry.Server, bool)
	Leaving(name string) bool
	Service(now time.Time, service, dataCentre string) []membership.Backend
	NoteReplaced(name string)
	NoteUnreachable(now time.Time, name string)
	// NoteBroken records that a server broke a link before its answer began, and
	// NoteAnswered that it has begun one.
	NoteBroken(now time.Time, name string)
	NoteAnswered(name string)
}

// Budget bounds repeated sends.
type Budget interface {
	Request(now time.Time, service string)
	Allow(now time.Time, service string, reserve float64) bool
}

// Options configure a Forwarder.
type Options struct {
	DataCentre string
	Client     Client
	Scheduler  Scheduler
	Servers    Servers
	Budget     Budget
	Health     func(service string) *health.Set
	Metrics    *telemetry.Metrics
	Logger     log.Logger
	// MayRun is asked before each send; false refuses the request, because its
	// key may have been taken away meanwhile.
	MayRun func(q *Request) bool
}
