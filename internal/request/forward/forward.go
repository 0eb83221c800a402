package forward

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/routing"
)

// Step names used in errors and log lines.
const (
	stepPlace  = "place"
	stepSend   = "send"
	stepAnswer = "answer"
	stepStream = "stream"
	stepMove   = "move"
)

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	o Options

	mu   sync.Mutex
	runs map[string]map[*run]struct{}
	// waits holds, by service, the functions that end waits for an engine.
	waits map[string]map[*wait]struct{}

	// movingSlow is set while the memory of a generation is copied off a slow engine.
	movingSlow atomic.Bool

	// background tracks work that outlives its request.
	background sync.WaitGroup
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{o: o, runs: map[string]map[*run]struct{}{}, waits: map[string]map[*wait]struct{}{}}
}

// Serve forwards a request and writes the answer to w. ctx ends when the caller leaves, and
// with the cause daemon.ErrStopping at the end of the grace period. begun reports whether any
// part of the answer was sent to the caller; an error after that leaves the answer
// incomplete.
func (f *Forwarder) Serve(ctx context.Context, q *Request, w Caller) (begun bool, err *fault.Error) {
	f.o.Budget.Request(time.Now(), q.Service)
	c := &trackingCaller{Caller: w}
	limited, cancel := context.WithDeadlineCause(ctx, q.Deadline, context.DeadlineExceeded)
	defer cancel()
	if q.Route.Kind == routing.Streaming {
		err = f.stream(limited, q, c)
	} else {
		err = f.call(limited, q, c)
	}
	if err != nil && err.Code == codeAnswered {
		err = nil
	}
	switch {
	case err == nil || ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), daemon.ErrStopping):
		err = f.stoppingError(err.Step, err.Peer, err.Execution)
	default:
		err = fault.Wrap(ctx.Err(), fault.Cancelled, err.Step, err.Peer, err.Execution)
	}
	return c.begun, err
}

// trackingCaller records whether the answer to the caller has begun.
type trackingCaller struct {
	Caller
	begun bool
}

// minRetryTime is the shortest time to the deadline that still allows a retry: a
// request and its answer take about 5 ms between data centres.
const minRetryTime = 5 * time.Millisecond

// allowRetry reports whether there is time and retry budget to send a request again
// after a failure. If so, it counts the retry in the budget and logs it. events is the
// number of events that the caller has received.
func (f *Forwarder) allowRetry(q *Request, failed *fault.Error, events int) bool {
	if time.Until(q.Deadline) < minRetryTime || !f.o.Budget.Allow(time.Now(), q.Service, retryReserve) {
		return false
	}
	_ = level.Info(f.logger(q)).Log("msg", "sent again", "backend", failed.Peer, "code", failed.Code, "execution", failed.Execution, "events", events, "err", failed)
	return true
}

func (f *Forwarder) logger(q *Request) log.Logger {
	return log.With(f.o.Logger, "id", q.ID, "route", q.Route.Name, "service", q.Service)
}

// checkSend returns an error if the request may no longer be sent. started states that a server
// has run it or may have run it, or that its answer has begun: such work goes on during a planned
// stop until its context ends, because no other gateway can take it over.
func (f *Forwarder) checkSend(q *Request, started bool) *fault.Error {
	if !started && !f.o.Grace.MayStart(q.LatestSend) {
		return f.stoppingError(stepSend, "", api.NotRun)
	}
	if f.o.MayRun(q) {
		return nil
	}
	return fault.New(fault.PlatformUnavailable, stepSend, "", api.NotRun, "the key could not be confirmed in time").WithRetryAfter(time.Second)
}

// stoppingError returns the error of a request that can't end before the process does.
func (f *Forwarder) stoppingError(step, peer string, x api.Execution) *fault.Error {
	return fault.Wrap(daemon.ErrStopping, fault.ShuttingDown, step, peer, x).WithRetryAfter(f.o.StopRetryAfter())
}

// fingerprint returns a hash of host, path, workspace and body. It is the same for
// every resend of a request.
func fingerprint(q *Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{q.Host, q.Target, q.Workspace} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.Body)
	return d.Sum64()
}

// callPart returns a hash that is equal for equal calls of a service. A call that crashes the servers
// of one service may be sound at another.
func callPart(q *Request) uint64 {
	return xxhash.Sum64String(q.Service + "\x00call\x00" + strconv.FormatUint(fingerprint(q), 16))
}

// partHashes returns a hash of the service and the id of each different part. A part that
// crashes the engines of one service may be sound at another.
func partHashes(service string, parts []PromptPart) []uint64 {
	var out []uint64
	for _, p := range parts {
		if h := xxhash.Sum64String(service + "\x00" + p.ID); !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// acquireError converts an error of Scheduler.Acquire to a fault.
func acquireError(err error) *fault.Error {
	var r *schedule.Refusal
	if !errors.As(err, &r) {
		return fault.Wrap(err, fault.DeadlineExceeded, stepPlace, "", api.NotRun)
	}
	code := fault.NoCapacity
	switch r.Reason {
	case schedule.ReasonCrashes:
		return fault.New(fault.RequestCrashes, stepPlace, "", api.NotRun, "the request or a part of its prompt has crashed backend servers")
	case schedule.ReasonQueueFull:
		code = fault.QueueFull
	case schedule.ReasonNoReplica:
		code = fault.NoBackend
	case schedule.ReasonStopping:
		code = fault.ShuttingDown
	}
	return fault.New(code, stepPlace, "", api.NotRun, "%s", r.Reason).WithRetryAfter(r.RetryAfter)
}

// defaultRetryAfter is the Retry-After of calls that no server can take now: servers end
// a call within about this time.
const defaultRetryAfter = time.Second

// maxSends is the maximum number of sends of one request, including sends that
// certainly did not run.
const maxSends = 4

// retryReserve is the fraction of the retry budget's slack that ordinary retries
// leave for moving generations, which cannot complete otherwise.
const retryReserve = 0.5

// ServerLeaving starts moving the generations that run on the named server to
// other servers. It does not block.
func (f *Forwarder) ServerLeaving(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for r := range f.runs[name] {
		r.notifyLeaving()
	}
}

func (f *Forwarder) track(name string, r *run) {
	f.mu.Lock()
	if f.runs[name] == nil {
		f.runs[name] = map[*run]struct{}{}
	}
	f.runs[name][r] = struct{}{}
	f.mu.Unlock()
	// ServerLeaving may have been called before the run was registered.
	if f.o.Servers.Leaving(name) {
		r.notifyLeaving()
	}
}

// RunningAt returns the number of streams that run on servers that selected chooses by name.
func (f *Forwarder) RunningAt(selected func(server string) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for server, runs := range f.runs {
		if selected(server) {
			n += len(runs)
		}
	}
	return n
}

func (f *Forwarder) untrack(name string, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.runs[name], r)
	if len(f.runs[name]) == 0 {
		delete(f.runs, name)
	}
}
