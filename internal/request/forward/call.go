package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/crashguard"
	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/random"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/routing"
)

const (
	// maxBufferedAnswer is the size in bytes up to which an answer is read completely
	// before it is forwarded, so that a retry can replace a truncated answer.
	maxBufferedAnswer = 64 << 10
	// attemptTimeoutFactor, multiplied by the route's latency target, is the time after
	// which an idempotent request is retried on another server. The slowest normal
	// answers take 1.5 times the target.
	attemptTimeoutFactor = 2
	// minAttemptTimeout is the minimum timeout of an attempt.
	minAttemptTimeout = 200 * time.Millisecond
)

// call forwards a request whose answer is not a stream, and retries it where
// the route allows that.
func (f *Forwarder) call(ctx context.Context, q *Request, w Caller) *fault.Error {
	var tried []string
	var last, failed *fault.Error
	runs := 0
	for sends := 0; sends < maxSends; sends++ {
		admitted, err := f.admitCall(ctx, q, sends, runs > 0)
		if err != nil {
			if last != nil {
				return last
			}
			return err
		}
		if sends > 0 && !f.allowRetry(q, failed, 0) {
			admitted.end(crashguard.CallOutcome{})
			return last
		}
		server, err := f.chooseServer(q, tried)
		if err != nil {
			admitted.end(crashguard.CallOutcome{})
			if paused := f.pausedError(q); paused != nil && (last == nil || last.Execution == api.NotRun) {
				return paused
			}
			if last != nil {
				return last
			}
			return err
		}
		retryable := sends+1 < maxSends && q.mayRepeat(runs+1)
		final, err := f.callOnce(ctx, q, w, server, admitted, retryable)
		admitted.end(crashguard.CallOutcome{})
		if final {
			return err
		}
		failed = err
		tried = append(tried, server.name)
		if last == nil || err.Execution != api.NotRun {
			last = err
		}
		if err.Execution != api.NotRun {
			runs++
		}
		if ctx.Err() != nil || !q.mayRepeat(runs) {
			return last
		}
	}
	return last
}

// noServerError is the error for a call that no server accepts. If all of them are cold and have got as many
// requests as they may, it tells when the first may get another, at different times for different callers.
func (f *Forwarder) noServerError(q *Request) *fault.Error {
	if wait, cold := f.o.Servers.ColdWait(time.Now(), q.Service); cold {
		return fault.New(fault.NoBackend, stepPlace, "", api.NotRun, "all servers of service %s are cold", q.Service).WithRetryAfter(wait + time.Duration(random.Shared.Int64N(int64(pauseSpread))))
	}
	return fault.New(fault.NoBackend, stepPlace, "", api.NotRun, "no server of service %s accepts work", q.Service).WithRetryAfter(defaultRetryAfter)
}

// attemptTimeout returns the time after which an idempotent request of a route with a
// latency target is retried on another server.
func attemptTimeout(r *routing.Route) time.Duration {
	return max(minAttemptTimeout, attemptTimeoutFactor*r.Target)
}

// admittedCall is one send of a call that the crash guard has admitted.
type admittedCall struct {
	crashguard.Call
	guard CrashGuard
	trial []uint64
	ended bool
}

// end records the outcome. Only the first one counts.
func (c *admittedCall) end(o crashguard.CallOutcome) {
	if !c.ended {
		c.ended = true
		c.guard.EndCall(c.Call, c.trial, o)
	}
}

// giveUp records that the call has no answer although the server has not ended yet.
func (c *admittedCall) giveUp(broken bool, server crashguard.Loss, ended func(context.Context) bool) {
	if !c.ended {
		c.ended = true
		c.guard.GiveUpCall(c.Call, c.trial, broken, server, ended)
	}
}

// maxTrialWait is the maximum time that a call waits while an equal one, or another suspect call of
// its service, is tried. Most answers come within 0.3 s.
const maxTrialWait = time.Second

// admitCall waits until the crash guard admits a send, and checks again that the call may be sent.
// started states that a server has run the call or may have run it.
func (f *Forwarder) admitCall(ctx context.Context, q *Request, try int, started bool) (*admittedCall, *fault.Error) {
	c := &admittedCall{Call: crashguard.Call{ID: q.ID + "-" + strconv.Itoa(try), Service: q.Service, Part: callPart(q)}, guard: f.o.CrashGuard}
	bounded, cancel := context.WithTimeout(ctx, maxTrialWait)
	defer cancel()
	if !started {
		var cancel context.CancelFunc
		bounded, cancel = f.o.Grace.BoundStart(bounded, q.LatestSend)
		defer cancel()
	}
	// What can't be sent need not wait.
	if err := f.checkSend(q, started); err != nil {
		return nil, err
	}
	var err error
	c.trial, err = f.o.CrashGuard.AdmitCall(bounded, c.Call)
	switch {
	case err == nil:
		failed := f.checkSend(q, started)
		if failed != nil {
			c.end(crashguard.CallOutcome{})
		}
		return c, failed
	case errors.Is(context.Cause(bounded), daemon.ErrStopping):
		return nil, f.stoppingError(stepPlace, "", api.NotRun)
	case ctx.Err() != nil:
		return nil, fault.Wrap(ctx.Err(), linkErrorCode(ctx), stepPlace, "", api.NotRun)
	case bounded.Err() != nil:
		return nil, fault.New(fault.NoCapacity, stepPlace, "", api.NotRun, "an equal call has crashed a server and is being tried").WithRetryAfter(defaultRetryAfter)
	}
	return nil, acquireError(err)
}

// Reasons why a call has no answer while its server may still be running it.
const (
	givenUpDeadline = "deadline"
	givenUpAttempt  = "attempt_timeout"
	givenUpCaller   = "caller_left"
	givenUpStop     = "shutting_down"
	givenUpBroken   = "connection_broken"
)

// endUnanswered records that a server gave the call no answer, and whether it has ended with it. request
// is the context of the call, and attempt that of the send. A server that was about to end proves nothing.
func (f *Forwarder) endUnanswered(request, attempt context.Context, q *Request, c *admittedCall, s registry.Server) {
	if f.o.Servers.Blocked(time.Now(), s.Name) {
		c.end(crashguard.CallOutcome{})
		return
	}
	server := incarnation(s)
	reason := givenUpReason(request, attempt)
	if reason == givenUpBroken && f.hasEnded(attempt, s, true) {
		c.end(crashguard.CallOutcome{Lost: true, Loss: server})
		return
	}
	_ = level.Info(f.logger(q)).Log("msg", "no answer from a server that may be running the call", "backend", s.Name, "incarnation", s.StartedMS,
		"part", strconv.FormatUint(c.Part, 16), "reason", reason, "sent_ms", time.Since(q.Sent).Milliseconds())
	f.o.Metrics.Counter("calls_given_up", q.Service, reason).Inc(1)
	c.giveUp(reason == givenUpBroken, server, f.endedUnannounced(s))
}

// endedUnannounced returns a function that reports whether a server has ended without having
// announced that it leaves. The entry of a server that has ended may be gone, too: only what was known
// while the server could still be reached counts as an announcement.
func (f *Forwarder) endedUnannounced(s registry.Server) func(context.Context) bool {
	announced := f.o.Servers.Blocked(time.Now(), s.Name)
	return func(ctx context.Context) bool {
		if f.hasEnded(ctx, s, false) {
			return !announced
		}
		announced = announced || f.o.Servers.Blocked(time.Now(), s.Name)
		return false
	}
}

// incarnation returns the identity of a server's incarnation.
func incarnation(s registry.Server) crashguard.Loss {
	return crashguard.Loss{Engine: s.Name, Incarnation: strconv.FormatInt(s.StartedMS, 10)}
}

// givenUpReason returns why a send has no answer, from its context and that of the call.
func givenUpReason(request, attempt context.Context) string {
	switch {
	case attempt.Err() == nil:
		return givenUpBroken
	case request.Err() == nil:
		return givenUpAttempt
	case errors.Is(context.Cause(request), daemon.ErrStopping):
		return givenUpStop
	case errors.Is(request.Err(), context.DeadlineExceeded):
		return givenUpDeadline
	}
	return givenUpCaller
}

// hasEnded reports whether a server has certainly ended. broken states that it has just closed a connection.
func (f *Forwarder) hasEnded(ctx context.Context, s registry.Server, broken bool) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	now, _ := f.o.Servers.Get(s.Name)
	return now.StartedMS > s.StartedMS || f.o.Client.Ended(ctx, s, broken)
}

// callOnce sends a request to one server. final is true if the request must not be
// retried; retryable states that a failure after which the request may have run can
// still be retried.
func (f *Forwarder) callOnce(ctx context.Context, q *Request, w Caller, chosen *chosenServer, c *admittedCall, retryable bool) (final bool, failed *fault.Error) {
	name, result, took := chosen.name, health.Failure, time.Duration(0)
	defer func() { chosen.end(result, took) }()
	s, ok := f.o.Servers.Get(name)
	if !ok || f.o.Servers.Blocked(time.Now(), name) {
		result = health.Abandoned
		return false, fault.New(fault.BackendRefused, stepSend, name, api.NotRun, "server is leaving or paused")
	}
	request := ctx
	if retryable && q.Route.Target > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout(q.Route))
		defer cancel()
	}
	q.Sent = time.Now()
	answer, err := f.o.Client.Send(ctx, Attempt{Request: q, Server: s, Remaining: time.Until(q.Deadline), Resumes: q.Resumes, After: q.After})
	if err != nil {
		failed := f.noteSendError(ctx, s, fault.From(err))
		switch {
		case failed.Execution != api.NotRun:
			took = time.Since(q.Sent) // it would have taken longer
			f.endUnanswered(request, ctx, q, c, s)
		case errors.Is(err, syscall.ECONNREFUSED):
			c.end(crashguard.CallOutcome{NotListening: true, Loss: incarnation(s)})
		}
		return false, failed
	}
	defer answer.Close()
	if refused := f.refusalError(s, answer); refused != nil {
		if answer.Status == http.StatusServiceUnavailable {
			f.o.Metrics.Counter("choices_refused", q.Service).Inc(1)
		}
		return false, refused
	}
	body, whole, err := bufferBody(answer.Body)
	took = time.Since(q.Sent)
	if err != nil {
		f.endUnanswered(request, ctx, q, c, s)
		return false, fault.Wrap(err, linkErrorCode(ctx), stepAnswer, name, api.Ran)
	}
	c.end(crashguard.CallOutcome{Answered: true})
	if unusable(q, answer) {
		return false, fault.New(fault.BackendRefused, stepAnswer, name, api.Ran, "status %d without a seal, or a status that claims the request was not run", answer.Status)
	}
	if answer.Status >= http.StatusInternalServerError && retryable {
		result = health.Success
		return false, fault.New(fault.BackendRefused, stepAnswer, name, api.Ran, "status %d", answer.Status)
	}
	result = health.Success
	return true, f.deliver(q, w, s, answer, body, whole)
}

// noteSendError marks a server as unreachable if a send certainly did not reach it,
// and returns err.
func (f *Forwarder) noteSendError(ctx context.Context, s registry.Server, err *fault.Error) *fault.Error {
	if err.Code == fault.BackendLost && err.Execution == api.NotRun && ctx.Err() == nil {
		f.o.Servers.NoteUnreachable(time.Now(), s.Name)
	}
	return err
}

// refusalError returns an error if the answer states that the request was not run,
// or nil.
func (f *Forwarder) refusalError(s registry.Server, a *Answer) *fault.Error {
	if a.Replaced {
		f.o.Servers.NoteReplaced(s)
	}
	if a.NotRun || a.Replaced {
		return fault.New(fault.BackendRefused, stepSend, s.Name, api.NotRun, "status %d", a.Status).WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// unusable reports whether an answer must not be forwarded: a success status without
// the server's seal, or, for a request that must not run twice, a status from which
// the caller would conclude that the request was not run.
func unusable(q *Request, a *Answer) bool {
	if a.Status < http.StatusMultipleChoices && !a.Sealed {
		return true
	}
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !q.Route.Repeatable()
	}
	return false
}

// linkErrorCode returns the error code for a failed connection: DeadlineExceeded
// if ctx has passed its deadline, otherwise BackendLost.
func linkErrorCode(ctx context.Context) fault.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.BackendLost
}

// bufferBody reads up to maxBufferedAnswer bytes of a body. whole is false if the
// body may continue.
func bufferBody(r io.Reader) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, maxBufferedAnswer))
	if err != nil || len(body) < maxBufferedAnswer {
		return body, err == nil, err
	}
	return body, false, nil
}

// deliver forwards an answer to the caller. If the body was not buffered completely,
// the rest is forwarded as it arrives.
func (f *Forwarder) deliver(q *Request, w Caller, s registry.Server, a *Answer, body []byte, whole bool) *fault.Error {
	length := a.Length
	switch {
	case q.Method == http.MethodHead:
	case !a.Framed:
		// A length or chunks would state that the body is whole, which is not known.
		length = UntilClose
	case whole:
		length = int64(len(body))
	}
	if err := w.Begin(a.Status, a.Header, length); err != nil {
		return fault.Wrap(err, fault.Cancelled, stepAnswer, s.Name, api.Ran)
	}
	if err := w.Write(body); err != nil {
		return fault.Wrap(err, fault.Cancelled, stepAnswer, s.Name, api.Ran)
	}
	buffer := make([]byte, 16<<10)
	for !whole {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if werr := w.Write(buffer[:n]); werr != nil {
				return fault.Wrap(werr, fault.Cancelled, stepAnswer, s.Name, api.Ran)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fault.Wrap(err, fault.BackendLost, stepAnswer, s.Name, api.Ran)
		}
	}
	_ = log.With(level.Info(f.logger(q)), q.loadFields()...).Log("msg", "answered", "backend", s.Name, "status", a.Status, "took_ms", time.Since(q.Arrived).Milliseconds())
	f.o.Metrics.Counter("answers", q.Route.Name).Inc(1)
	return nil
}

// Begin implements Caller and records that the answer has begun.
func (c *trackingCaller) Begin(status int, header http.Header, length int64) error {
	c.begun = true
	return c.Caller.Begin(status, header, length)
}
