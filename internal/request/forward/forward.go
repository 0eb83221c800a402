package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/routing"
)

// The steps named in errors and log lines.
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
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{o: o, runs: map[string]map[*run]struct{}{}}
}

// Serve forwards a request. Begun reports whether the caller has got a part of
// the answer; an error after that leaves the answer incomplete.
func (f *Forwarder) Serve(ctx context.Context, q *Request, w Caller) (begun bool, err *fault.Error) {
	f.o.Budget.Request(time.Now(), q.Service)
	c := &countingCaller{Caller: w}
	limited, cancel := context.WithDeadlineCause(ctx, q.Deadline, context.DeadlineExceeded)
	defer cancel()
	if q.Route.Kind == routing.Streaming {
		err = f.stream(limited, q, c)
	} else {
		err = f.call(limited, q, c)
	}
	if err != nil && err.Code == answered {
		err = nil
	}
	if err != nil && ctx.Err() != nil {
		err = fault.Wrap(ctx.Err(), fault.Cancelled, err.Step, err.Peer, err.Execution)
	}
	return c.begun, err
}

// countingCaller notes whether the answer has begun.
type countingCaller struct {
	Caller
	begun bool
}

// leastTime is the time before the deadline in which a request is not sent again: a
// send and its answer take some 5 ms between data centres.
const leastTime = 5 * time.Millisecond

// repeats reports whether a request is sent again after a failure. Events counts
// those that the caller has got.
func (f *Forwarder) repeats(q *Request, failed *fault.Error, events int) bool {
	if time.Until(q.Deadline) < leastTime || !f.o.Budget.Allow(time.Now(), q.Service, retryReserve) {
		return false
	}
	_ = level.Info(f.logger(q)).Log("msg", "sent again", "backend", failed.Peer, "code", failed.Code, "execution", failed.Execution, "events", events, "err", failed)
	return true
}

func (f *Forwarder) logger(q *Request) log.Logger {
	return log.With(f.o.Logger, "id", q.ID, "route", q.Route.Name, "service", q.Service)
}

// checkSend returns an error if the request must not be sent any more.
func (f *Forwarder) checkSend(q *Request) *fault.Error {
	if f.o.MayRun(q) {
		return nil
	}
	return fault.New(fault.PlatformUnavailable, stepSend, "", api.NotRun, "the key could not be confirmed in time").WithRetryAfter(time.Second)
}

// fingerprint identifies a request that is sent again: path, caller and body.
func fingerprint(q *Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{q.Host, q.Target, q.Workspace} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.Body)
	return d.Sum64()
}

// refusal turns the end of a wait for an engine into an error.
func refusal(err error) *fault.Error {
	var r *schedule.Refusal
	if !errors.As(err, &r) {
		return fault.Wrap(err, fault.DeadlineExceeded, stepPlace, "", api.NotRun)
	}
	code := fault.NoCapacity
	switch r.Reason {
	case schedule.ReasonCrashes:
		return fault.New(fault.RequestCrashes, stepPlace, "", api.NotRun, "the request has crashed backend servers")
	case schedule.ReasonQueueFull:
		code = fault.QueueFull
	case schedule.ReasonNoReplica:
		code = fault.NoBackend
	case schedule.ReasonStopping:
		code = fault.ShuttingDown
	}
	wait := r.RetryAfter
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	return fault.New(code, stepPlace, "", api.NotRun, "%s", r.Reason).WithRetryAfter(wait)
}

// defaultRetryAfter is the wait told where no better estimate is known: engines
// end a short generation and admit the next one within about this time.
const defaultRetryAfter = time.Second

// maxSends bounds the sends of one request, those that certainly did not run
// included.
const maxSends = 4

// retryReserve is the part of the budget that ordinary repeats leave for moved
// generations, which have no other way to end well.
const retryReserve = 0.5

// ServerLeaving moves the generations that run on a server elsewhere. It does not
// block.
func (f *Forwarder) ServerLeaving(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for r := range f.runs[name] {
		r.notice()
	}
}

func (f *Forwarder) track(name string, r *run) {
	f.mu.Lock()
	if f.runs[name] == nil {
		f.runs[name] = map[*run]struct{}{}
	}
	f.runs[name][r] = struct{}{}
	f.mu.Unlock()
	// The notice may have come before the run was known here.
	if f.o.Servers.Leaving(name) {
		r.notice()
	}
}

func (f *Forwarder) untrack(name string, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.runs[name], r)
	if len(f.runs[name]) == 0 {
		delete(f.runs, name)
	}
}
