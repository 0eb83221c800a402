package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/health"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

const (
	// wholeLimit is the size in bytes up to which an answer is read completely
	// before it is passed on, so that a cut one can be replaced.
	wholeLimit = 64 << 10
	// tryTargets is the multiple of the route's target after which an idempotent
	// request is tried elsewhere. The longest usual answers take 1.5 times it.
	tryTargets = 2
	// minTry bounds that time from below.
	minTry = 200 * time.Millisecond
)

// call forwards a request that is answered at once, and repeats it where that is
// allowed.
func (f *Forwarder) call(ctx context.Context, q *Request, w Caller) *fault.Error {
	var tried []string
	var last, failed *fault.Error
	runs := 0
	for sends := 0; sends < maxSends; sends++ {
		if sends > 0 && !f.repeats(q, failed, 0) {
			return last
		}
		set := f.o.Health(q.Service)
		b, done, ok := set.Pick(time.Now(), f.o.Servers.Service(time.Now(), q.Service, f.o.DataCentre), tried)
		if !ok {
			if last != nil {
				return last
			}
			return fault.New(fault.NoBackend, stepPlace, "", api.NotRun, "service %s has no server that takes work", q.Service).WithRetryAfter(defaultRetryAfter)
		}
		more := sends+1 < maxSends && q.mayRepeat(runs+1)
		final, err := f.callOnce(ctx, q, w, b.Name, done, more)
		if final {
			return err
		}
		failed = err
		tried = append(tried, b.Name)
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

// callOnce sends a request to one server. Final is set when the request has ended;
// more says that a failure that may have run can be repeated.
func (f *Forwarder) callOnce(ctx context.Context, q *Request, w Caller, name string, done func(time.Time, health.Result), more bool) (final bool, failed *fault.Error) {
	result := health.Failure
	defer func() { done(time.Now(), result) }()
	s, ok := f.o.Servers.Get(name)
	if !ok || f.o.Servers.Leaving(name) {
		result = health.Abandoned
		return false, fault.New(fault.BackendRefused, stepSend, name, api.NotRun, "server has begun to leave")
	}
	if err := f.checkSend(q); err != nil {
		result = health.Abandoned
		return true, err
	}
	if more && q.Route.Target > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(minTry, tryTargets*q.Route.Target))
		defer cancel()
	}
	answer, err := f.o.Client.Send(ctx, Attempt{Request: q, Server: s, Remaining: time.Until(q.Deadline), Resumes: q.Resumes, After: q.After})
	if err != nil {
		return false, f.sendFailed(ctx, s, fault.From(err))
	}
	defer answer.Close()
	if refused := f.refused(s, answer); refused != nil {
		return false, refused
	}
	body, whole, err := readWhole(answer.Body)
	if err != nil {
		return false, fault.Wrap(err, lossCode(ctx), stepAnswer, name, api.Ran)
	}
	if unusable(q, answer) {
		return false, fault.New(fault.BackendRefused, stepAnswer, name, api.Ran, "status %d without a seal or with a promise that is not the server's to make", answer.Status)
	}
	if answer.Status >= http.StatusInternalServerError && more {
		result = health.Success
		return false, fault.New(fault.BackendRefused, stepAnswer, name, api.Ran, "status %d", answer.Status)
	}
	result = health.Success
	return true, f.deliver(q, w, s, answer, body, whole)
}

// sendFailed notes what a failed send tells about the server.
func (f *Forwarder) sendFailed(ctx context.Context, s registry.Server, err *fault.Error) *fault.Error {
	if err.Execution == api.NotRun && ctx.Err() == nil {
		f.o.Servers.NoteUnreachable(time.Now(), s.Name)
	}
	return err
}

// refused returns the error of an answer that says that the request was not run.
func (f *Forwarder) refused(s registry.Server, a *Answer) *fault.Error {
	if a.Replaced {
		f.o.Servers.NoteReplaced(s.Name)
	}
	if a.NotRun || a.Replaced {
		return fault.New(fault.BackendRefused, stepSend, s.Name, api.NotRun, "status %d", a.Status).WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// unusable reports whether an answer cannot be passed on: a success without a
// seal, or a status that promises the caller that the request was not run.
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

// lossCode is the code of a link that failed, unless the time was up.
func lossCode(ctx context.Context) fault.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.DeadlineExceeded
	}
	return fault.BackendLost
}

// readWhole reads a body of up to wholeLimit bytes. Whole is false for a longer one.
func readWhole(r io.Reader) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r, wholeLimit))
	if err != nil || len(body) < wholeLimit {
		return body, err == nil, err
	}
	return body, false, nil
}

// deliver passes an answer on. A body that was not read completely follows as it
// arrives.
func (f *Forwarder) deliver(q *Request, w Caller, s registry.Server, a *Answer, body []byte, whole bool) *fault.Error {
	length := a.Length
	if whole && q.Method != http.MethodHead {
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
	_ = level.Info(f.logger(q)).Log("msg", "answered", "backend", s.Name, "status", a.Status, "took_ms", time.Since(q.Arrived).Milliseconds())
	f.o.Metrics.Counter("answers", q.Route.Name).Inc(1)
	return nil
}

// Begin implements Caller.
func (c *countingCaller) Begin(status int, header http.Header, length int64) error {
	c.begun = true
	return c.Caller.Begin(status, header, length)
}
