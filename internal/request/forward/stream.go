package forward

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/membership"
	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/eventstream"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

const (
	// minSilence is the shortest time without progress after which a stream counts as lost.
	// silenceTargets and silenceGaps, multiplied by the route's targets for the first token
	// and for the gap between tokens, are the longer times of slower routes. Callers wait as
	// long, and a preempted generation may pause for several seconds at peak load. A broken
	// connection is detected earlier, by TCP keep-alive.
	minSilence     = 2 * time.Second
	silenceTargets = 4
	silenceGaps    = 8
	// aliveTimeout bounds the check whether an engine is still running.
	aliveTimeout = 300 * time.Millisecond
	// progressEvery is the number of events between progress reports to the scheduler.
	progressEvery = 8
)

// run is the state of one streamed request across the engines that serve it.
type run struct {
	f *Forwarder
	q *Request
	w Caller

	grant  schedule.Grant
	server registry.Server
	// last is the id of the last event sent to the caller, if hasLast is set.
	last    int64
	hasLast bool
	// events is the number of events sent to the caller.
	events int
	// runs is the number of earlier attempts that ran or may have run the request. begun is
	// set once any part of the answer was sent to the caller.
	runs  int
	begun bool
	// version is the software version at which the stream has to go on, if bound is set.
	version string
	bound   bool
	// answered is set once an answer other than a stream was passed on, whole or in part.
	answered bool

	// leaving is closed when the current server begins to leave.
	leaving     chan struct{}
	leavingOnce *sync.Once
	// moving is the move in progress, or nil.
	moving *move
	// slow is what the pauses at the current server show of it.
	slow slowness
	// exclude lists the destinations of moves that were given up after they were asked to resume.
	exclude []string

	lastEventAt time.Time
	// firstEvent is the time from the arrival of the request to its first event.
	firstEvent time.Duration
	// stalled is the total time by which gaps between events exceeded the route's
	// target.
	stalled time.Duration
}

// notifyLeaving signals that the run's current server is leaving.
func (r *run) notifyLeaving() { r.leavingOnce.Do(func() { close(r.leaving) }) }

// stream forwards a request whose answer is an event stream.
func (f *Forwarder) stream(ctx context.Context, q *Request, w Caller) *fault.Error {
	if err := f.Resolve(ctx, q); err != nil {
		return err
	}
	r := &run{f: f, q: q, w: w, last: q.After, hasLast: q.Resumes}
	if q.origin != nil {
		r.bind(q.origin.Version)
	}
	request := f.schedulingRequest(q)
	var last, failed *fault.Error
	for sends := 0; sends < maxSends; sends++ {
		// place checks again, but the budget must not count what is certainly not sent.
		if sends > 0 && (f.checkSend(q, r.started()) != nil || !r.versionLeft(request.Exclude) || !f.allowRetry(q, failed, r.events)) {
			return last
		}
		if sends > 0 && failed.Execution != api.NotRun {
			f.halt(q, r.server, "", true)
		}
		// Each attempt gets a new scheduling deadline: an earlier engine may have been lost
		// after the previous scheduling deadline, but long before the request's deadline.
		request.Deadline = schedulingDeadline(q)
		if err := r.place(ctx, request); err != nil {
			if last != nil {
				return last
			}
			return err
		}
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		request.Exclude = append(append(request.Exclude, r.grant.Backend), r.exclude...)
		r.exclude = nil
		if last == nil || err.Execution != api.NotRun {
			last = err
		}
		if err.Execution != api.NotRun {
			r.runs++
		}
		if ctx.Err() != nil || r.answered || !q.mayRepeat(r.runs) {
			return last
		}
		failed = err
	}
	return last
}

// schedulingDeadline returns the time until which a request that joins the queue now
// may wait for an engine.
func schedulingDeadline(q *Request) time.Time {
	deadline := time.Now().Add(schedule.MaxQueueWait(q.Route.Target))
	if q.Deadline.Before(deadline) {
		return q.Deadline
	}
	return deadline
}

func (f *Forwarder) schedulingRequest(q *Request) schedule.Request {
	return schedule.Request{
		Workspace: q.Workspace, Weight: 1, Entry: q.Route.Name, Class: q.Class, Model: q.Service,
		PromptTokens: q.PromptTokens, MaxOutputTokens: q.MaxOutputTokens, ExpectedOutputTokens: q.HintTokens,
		TokenGap: q.Route.GapTarget / time.Duration(q.stride()), Fingerprint: fingerprint(q), PartHashes: partHashes(q.Service, q.PromptParts), PrefixHashes: q.PrefixHashes, Deadline: schedulingDeadline(q),
		FirstTokenBy: firstTokenBy(q), LeaveBy: q.Deadline,
	}
}

// firstTokenBy returns the time by which the first token of a request is on time, or the zero time if its
// route has no target or the caller has the first event.
func firstTokenBy(q *Request) time.Time {
	if q.Route.Target <= 0 || q.Resumes {
		return time.Time{}
	}
	return q.Arrived.Add(q.Route.Target)
}

// place acquires a grant for an engine that is not leaving, and stores it in the run. It returns
// an error if the request may not be sent, or no longer after its wait. In a planned stop, a request
// that has not started stops waiting when it can no longer end in time, because another gateway can
// still serve it.
func (r *run) place(ctx context.Context, request schedule.Request) *fault.Error {
	started := r.started()
	if err := r.f.checkSend(r.q, started); err != nil {
		return err
	}
	began := time.Now()
	if !started {
		var cancel context.CancelFunc
		ctx, cancel = r.f.o.Grace.BoundStart(ctx, r.q.LatestSend)
		defer cancel()
	}
	ctx, done := r.boundByServers(ctx, request.Exclude)
	defer done()
	request.Exclude = append(slices.Clone(request.Exclude), r.unfit()...)
	for try := 0; ; try++ {
		if paused := r.f.pausedError(r.q); paused != nil {
			return paused
		}
		if !r.versionLeft(request.Exclude) {
			return r.versionGoneError()
		}
		request.ID = attemptID(r.q.ID, r.runs, try)
		grant, err := r.f.o.Scheduler.Acquire(ctx, request)
		r.q.Account = grant.Account
		if r.q.Account.Waited() {
			r.f.o.Metrics.ObserveLack(r.q.Account.Lacked.String(), string(r.q.Class), time.Since(began), err == nil)
		}
		if err != nil {
			switch {
			case errors.Is(context.Cause(ctx), daemon.ErrStopping):
				return r.f.stoppingError(stepPlace, "", api.NotRun)
			case errors.Is(context.Cause(ctx), errPaused):
				if paused := r.f.pausedError(r.q); paused != nil {
					return paused
				}
				return allPausedError(r.q, 0) // the pause has just ended
			case errors.Is(context.Cause(ctx), errVersionGone):
				return r.versionGoneError()
			case ctx.Err() != nil:
				return fault.Wrap(ctx.Err(), linkErrorCode(ctx), stepPlace, "", api.NotRun)
			}
			if paused := r.f.pausedError(r.q); paused != nil {
				return paused
			}
			if r.waitsOn(&request) {
				continue
			}
			var refusal *schedule.Refusal
			if errors.As(err, &refusal) && refusal.Reason == schedule.ReasonNoRoomInTime {
				r.f.o.Metrics.Counter("refused_at_once", r.q.Route.Name).Inc(1)
			}
			return acquireError(err)
		}
		if err := r.f.checkSend(r.q, started); err != nil {
			r.f.o.Scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
			return err
		}
		server, ok := r.f.o.Servers.Get(grant.Backend)
		if ok && r.fits(server.Version) && !r.f.o.Servers.Blocked(time.Now(), grant.Backend) {
			r.grant, r.server = grant, server
			_ = log.With(level.Info(r.f.logger(r.q)), grant.Account.LogFields()...).Log("msg", "placed", "backend", grant.Backend, "reason", grant.Reason, "running", grant.Running, "unread_tokens", grant.Unread, "used_tokens", grant.Used, "step_us", grant.StepUS, "report_age_ms", grant.ReportAge.Milliseconds(), "prompt_tokens", r.q.PromptTokens, "waited_ms", time.Since(began).Milliseconds(), "workspace", r.q.Workspace, "class", r.q.Class, "version", r.q.Version)
			r.f.o.Metrics.Observe(telemetry.QueueTime, r.q.Workspace, string(r.q.Class), time.Since(began))
			if grant.ReportAge > 0 {
				r.f.o.Metrics.Observe(telemetry.LoadAge, r.q.Service, "generation", grant.ReportAge)
			}
			return nil
		}
		r.f.o.Scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
		request.Exclude = append(request.Exclude, grant.Backend)
	}
}

// waitsOn reports whether a refused request goes on waiting, and then sets its deadline. The caller of a stream that is taken up has the
// first event, so that the target for that is no reason to end the wait while engines that take work are full.
func (r *run) waitsOn(request *schedule.Request) bool {
	if !r.q.Resumes || request.Deadline.Equal(r.q.Deadline) || !r.q.Account.Lacked.Full() {
		return false
	}
	takesWork := func(b membership.Backend) bool { return b.Accepting && !slices.Contains(request.Exclude, b.Name) }
	if !slices.ContainsFunc(r.f.o.Servers.Service(time.Now(), r.q.Service, r.f.o.DataCentre), takesWork) {
		return false
	}
	request.Deadline = r.q.Deadline
	return true
}

// started reports whether an engine has run the request or may have run it, or whether its answer
// has begun.
func (r *run) started() bool { return r.runs > 0 || r.begun }

// attempt runs the request on the granted engine until its stream ends.
func (r *run) attempt(ctx context.Context) *fault.Error {
	outcome := schedule.Outcome{NotRun: true}
	defer func() { r.f.o.Scheduler.Release(r.grant.ID, outcome) }()
	r.q.Sent = time.Now()
	src, err := r.open(ctx, r.server, nil, r.last, r.hasLast, 0)
	if err != nil {
		outcome = schedule.Outcome{NotRun: err.Execution == api.NotRun, Refused: err.Code == fault.BackendRefused}
		if err.Execution != api.NotRun {
			outcome.EngineLost = r.engineLost(ctx)
			r.noteGivenUp(outcome, err)
		}
		if err.Code == fault.BackendLost && err.Execution == api.Unknown && ctx.Err() == nil && !r.f.o.Servers.Leaving(r.server.Name) {
			r.f.o.Servers.NoteBroken(time.Now(), r.server.Name)
			_ = level.Info(r.f.logger(r.q)).Log("msg", "no new work for engine for a while: connection broke before the answer", "backend", r.server.Name, "err", err)
		}
		return err
	}
	r.f.o.Servers.NoteAnswered(r.server.Name)
	err = r.relay(ctx, src)
	outcome = schedule.Outcome{Generated: r.generatedTokens(), Completed: err == nil}
	if err != nil && err.Code == fault.BackendLost {
		outcome.EngineLost = r.engineLost(ctx)
	}
	if err != nil {
		r.noteGivenUp(outcome, err)
	}
	return err
}

// noteGivenUp records that the stream ended although its engine has neither ended nor answered.
func (r *run) noteGivenUp(outcome schedule.Outcome, err *fault.Error) {
	if outcome.EngineLost || err.Code == fault.BackendRefused || err.Code == codeAnswered {
		return
	}
	r.f.o.CrashGuard.GiveUpGeneration(r.grant.ID, r.f.endedUnannounced(r.server))
}

// engineLost reports whether the engine of a broken stream stopped without having
// announced that it leaves or asked for a pause. In that case the request may have crashed it.
func (r *run) engineLost(ctx context.Context) bool {
	if ctx.Err() != nil || r.f.o.Servers.Blocked(time.Now(), r.server.Name) || r.alive(ctx) {
		return false
	}
	phase := "before_first_event"
	if r.events > 0 {
		phase = "after_first_event"
	}
	r.f.o.Metrics.Counter("engine_lost", r.q.Route.Name, phase).Inc(1)
	return true
}

// alive reports whether the engine still runs.
func (r *run) alive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	return r.f.o.Client.Alive(ctx, r.server)
}

func (r *run) generatedTokens() int { return r.events * r.q.stride() }

// engineStream is the event stream of one engine.
type engineStream struct {
	answer *Answer
	events chan eventstream.Event
	// readErr is set before events is closed; it is nil after a complete stream.
	readErr error
	stop    context.CancelFunc
	// continues is set until the first event of an answer that continues a stream.
	continues bool
}

// close closes the connection to the engine. The engine then cancels the generation
// if it is still running.
func (s *engineStream) close() {
	s.stop()
	for range s.events {
	}
	s.answer.Close()
}

// open sends the request and starts reading its stream. kvCopy is the KV cache copy
// of a moved generation, or nil. If answerTimeout is not 0, the answer must begin
// within that time.
func (r *run) open(ctx context.Context, server registry.Server, kvCopy *KVCopy, after int64, resumes bool, answerTimeout time.Duration) (*engineStream, *fault.Error) {
	ctx, stop := context.WithCancel(ctx)
	a := Attempt{Request: r.q, Server: server, Remaining: time.Until(r.q.Deadline), After: after, Resumes: resumes, KVCopy: kvCopy}
	if answerTimeout > 0 {
		late := time.AfterFunc(answerTimeout, stop)
		defer late.Stop()
	}
	answer, err := r.f.o.Client.Send(ctx, a)
	if err != nil {
		failed := r.f.noteSendError(ctx, server, fault.From(err))
		stop()
		return nil, failed
	}
	if refused := r.f.refusalError(server, answer); refused != nil {
		answer.Close()
		stop()
		return nil, refused
	}
	continues := kvCopy != nil || r.begun
	if answer.Status != http.StatusOK || !answer.Sealed || continues && !isEventStream(answer.Header) {
		defer stop()
		if kvCopy != nil {
			// The source engine's stream may still be active, so nothing is sent to the caller.
			answer.Close()
			return nil, fault.New(fault.BackendRefused, stepMove, server.Name, api.Ran, "status %d instead of a stream", answer.Status)
		}
		return nil, r.forwardNonStream(ctx, server, answer)
	}
	s := &engineStream{answer: answer, events: make(chan eventstream.Event), stop: stop, continues: continues}
	go s.read(ctx)
	return s, nil
}

// isEventStream reports whether an answer with this header is a stream of events.
func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// forwardNonStream forwards an engine's answer that is not a stream, unless it has
// to be replaced by a retry or must not be forwarded. It always returns an error;
// the code is codeAnswered if the answer was delivered.
func (r *run) forwardNonStream(ctx context.Context, server registry.Server, a *Answer) *fault.Error {
	defer a.Close()
	body, whole, err := bufferBody(a.Body)
	if err != nil {
		return fault.Wrap(err, linkErrorCode(ctx), stepAnswer, server.Name, api.Ran)
	}
	if r.begun || unusable(r.q, a) || a.Status < http.StatusMultipleChoices {
		return fault.New(fault.BackendRefused, stepAnswer, server.Name, api.Ran, "status %d instead of a stream", a.Status)
	}
	if a.Status >= http.StatusInternalServerError && r.q.mayRepeat(r.runs+1) {
		return fault.New(fault.BackendRefused, stepAnswer, server.Name, api.Ran, "status %d", a.Status)
	}
	r.begun = true
	r.answered = true
	if failed := r.f.deliver(r.q, r.w, server, a, body, whole); failed != nil {
		return failed
	}
	return fault.New(codeAnswered, stepAnswer, server.Name, api.Ran, "status %d", a.Status)
}

// codeAnswered is the code of an error returned after the engine's answer was
// delivered to the caller.
const codeAnswered fault.Code = "answered"

func (s *engineStream) read(ctx context.Context) {
	defer close(s.events)
	reader := eventstream.NewReader(s.answer.Body)
	empty := true
	for {
		e, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if empty && !s.answer.Framed {
				s.readErr = io.ErrUnexpectedEOF
			}
			return
		}
		if err != nil {
			s.readErr = err
			return
		}
		empty = empty && e.Comment
		select {
		case s.events <- e:
		case <-ctx.Done():
			s.readErr = context.Cause(ctx)
			return
		}
	}
}

// relay forwards events to the caller until the stream ends. It moves the
// generation to another engine when the current one leaves.
func (r *run) relay(ctx context.Context, src *engineStream) *fault.Error {
	// src changes when the generation moves.
	defer func() { src.close() }()
	defer func() {
		r.moving.abandon()
		r.moving = nil // a resumed stream may move again
	}()
	r.resetLeaving()
	defer func() { r.f.untrack(r.server.Name, r) }()
	r.f.track(r.server.Name, r)
	patience := maxSilence(r.q)
	silence := time.NewTimer(patience)
	defer silence.Stop()
	leavingC := r.leaving
	// mustMove is set from the notice that the server leaves until the move because of it begins, which is after the end
	// of one that is in progress.
	mustMove := false
	for {
		var next *engineStream
		var err *fault.Error
		select {
		case e, open := <-src.events:
			if open {
				waited := time.Since(r.lastEventAt)
				err = r.forwardEvent(ctx, src, e)
				if e.HasID && r.events > 1 && err == nil && r.leavesSlow(waited) {
					r.moving = r.startMove(ctx, src, moveSlow)
				}
				if e.Progress {
					// The caller may have taken long to receive the event.
					silence.Reset(patience)
				}
				break
			}
			if src.readErr == nil && !src.answer.Framed && !r.alive(ctx) {
				src.readErr = errEndedWithEngine
			}
			if src.readErr == nil {
				return r.finish(src)
			}
			next, err = r.awaitDestination(ctx, src)
		case <-leavingC:
			leavingC = nil
			mustMove = r.movable()
		case <-r.moving.copiedC():
			r.copied(ctx, src)
		case o := <-r.moving.openedC():
			next = r.opened(o)
		case <-silence.C:
			err = fault.New(fault.BackendLost, stepStream, r.server.Name, api.Ran, "no progress for %v", patience)
		case <-ctx.Done():
			err = fault.Wrap(ctx.Err(), linkErrorCode(ctx), stepStream, r.server.Name, api.Ran)
		}
		if err != nil {
			return err
		}
		if next != nil {
			silence.Reset(patience)
			r.switchTo(r.moving)
			src.close()
			src, r.moving, leavingC, mustMove = next, nil, r.leaving, false
		}
		if mustMove && r.moving == nil {
			mustMove = false
			r.moving = r.startMove(ctx, src, moveLeaving)
		}
	}
}

// maxSilence returns the time without progress after which the stream of a request counts
// as lost.
func maxSilence(q *Request) time.Duration {
	return max(minSilence, silenceTargets*q.Route.Target, silenceGaps*q.Route.GapTarget)
}

// resetLeaving creates the signal that the current server is leaving.
func (r *run) resetLeaving() {
	r.leaving = make(chan struct{})
	r.leavingOnce = new(sync.Once)
}

// errEndedWithEngine is the cause of the failure of a stream that ended with its connection and
// whose engine no longer runs: the system closes the connections of a process that crashes.
var errEndedWithEngine = errors.New("engine has ended with its stream")

// errNotContinued is the cause of the failure of a stream that another engine should have
// continued.
var errNotContinued = errors.New("answer does not continue the stream")

// errOutOfOrder is the cause of the failure of a stream with a gap in its event ids.
var errOutOfOrder = errors.New("event id does not follow the previous one")

// forwardEvent sends one event to the caller and skips events that the caller has
// already received.
func (r *run) forwardEvent(ctx context.Context, src *engineStream, e eventstream.Event) *fault.Error {
	if src.continues {
		if e.Comment {
			return nil
		}
		if !e.HasID {
			// An error in the form of an event has no id.
			return fault.Wrap(errNotContinued, fault.BackendLost, stepStream, r.server.Name, api.Ran)
		}
		src.continues = false
	}
	if e.HasID && r.hasLast {
		if e.ID <= r.last {
			return nil
		}
		if e.ID != r.last+1 {
			return fault.Wrap(errOutOfOrder, fault.BackendLost, stepStream, r.server.Name, api.Ran)
		}
	}
	if !r.begun {
		r.begun = true
		r.bind(r.server.Version)
		r.recordOrigin(ctx)
		if err := r.w.Begin(src.answer.Status, src.answer.Header, -1); err != nil {
			return fault.Wrap(err, fault.Cancelled, stepStream, r.server.Name, api.Ran)
		}
		r.firstEvent = time.Since(r.q.Arrived)
		r.f.o.Metrics.Observe(telemetry.FirstToken, r.q.Workspace, string(r.q.Class), r.firstEvent)
	}
	if err := r.w.Write(e.Raw); err != nil {
		return fault.Wrap(err, fault.Cancelled, stepStream, r.server.Name, api.Ran)
	}
	r.recordEvent(e)
	return nil
}

// recordEvent updates metrics and progress for an event that was sent to the caller.
func (r *run) recordEvent(e eventstream.Event) {
	now := time.Now()
	if !r.lastEventAt.IsZero() {
		gap := now.Sub(r.lastEventAt)
		r.f.o.Metrics.Observe(telemetry.TokenGap, r.q.Workspace, string(r.q.Class), gap)
		if over := gap - r.q.Route.GapTarget; r.q.Route.GapTarget > 0 && over > 0 {
			r.stalled += over
		}
	}
	r.lastEventAt = now
	r.events++
	if e.HasID {
		r.last, r.hasLast = e.ID, true
	}
	if r.events == 1 || r.events%progressEvery == 0 {
		r.f.o.Scheduler.Progress(r.grant.ID, r.generatedTokens())
	}
}

// finish logs and records the end of a complete stream.
func (r *run) finish(src *engineStream) *fault.Error {
	if !r.begun {
		r.begun = true
		if err := r.w.Begin(src.answer.Status, src.answer.Header, -1); err != nil {
			return fault.Wrap(err, fault.Cancelled, stepStream, r.server.Name, api.Ran)
		}
	}
	_ = level.Info(r.f.logger(r.q)).Log("msg", "answered", "backend", r.server.Name, "events", r.events, "first_ms", r.firstEvent.Milliseconds(), "stalled_ms", r.stalled.Milliseconds(), "took_ms", time.Since(r.q.Arrived).Milliseconds())
	r.f.o.Metrics.Observe(telemetry.StallTime, r.q.Workspace, string(r.q.Class), r.stalled)
	r.f.o.Metrics.Counter("answers", r.q.Route.Name).Inc(1)
	return nil
}

// movable reports whether the generation should move. Urgent generations are short and
// end before their engine does. A stream without events has no KV cache to copy yet,
// which is not checked here.
func (r *run) movable() bool {
	return r.q.Engine != nil && r.q.Engine.Moves && r.q.Class != catalogue.Urgent
}
