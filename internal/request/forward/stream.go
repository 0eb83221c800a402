package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/registry"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/eventstream"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

const (
	// silenceLimit is the longest pause in a stream after which its link counts as
	// lost. It is far above the pause of a preempted generation.
	silenceLimit = 6 * time.Second
	// aliveTimeout bounds the question whether an engine still runs.
	aliveTimeout = 300 * time.Millisecond
	// progressEvery is the number of events between notes to the scheduler.
	progressEvery = 8
)

// run is one streamed request on its way through engines.
type run struct {
	f *Forwarder
	q *Request
	w Caller

	grant  schedule.Grant
	server registry.Server
	// last is the newest event that the caller has got, if hasLast is set.
	last    int64
	hasLast bool
	// events counts the events passed on.
	events int
	// runs counts the engines that may have run the request.
	runs  int
	begun bool

	// noticed is closed when the current server begins to leave.
	noticed    chan struct{}
	noticeOnce *sync.Once
	// moving is the move in progress, or nil.
	moving *move

	lastEventAt time.Time
	// stalled sums up the pauses beyond the route's target.
	stalled time.Duration
}

// notice says that the run's server has begun to leave.
func (r *run) notice() { r.noticeOnce.Do(func() { close(r.noticed) }) }

// stream forwards a request that is answered with events.
func (f *Forwarder) stream(ctx context.Context, q *Request, w Caller) *fault.Error {
	r := &run{f: f, q: q, w: w, last: q.After, hasLast: q.Resumes}
	request := f.schedulingRequest(q)
	var last, failed *fault.Error
	for sends := 0; sends < maxSends; sends++ {
		if sends > 0 && !f.repeats(q, failed, r.events) {
			return last
		}
		// The wait of an earlier attempt must not count: its engine may have been lost
		// after the patience for a place, but long before the request's deadline.
		request.Deadline = placeBy(q)
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
		request.Exclude = append(request.Exclude, r.grant.Backend)
		if last == nil || err.Execution != api.NotRun {
			last = err
		}
		if err.Execution != api.NotRun {
			r.runs++
		}
		if ctx.Err() != nil || !q.mayRepeat(r.runs) {
			return last
		}
		failed = err
	}
	return last
}

// placeBy returns the time until which a request that asks now waits for an engine.
func placeBy(q *Request) time.Time {
	deadline := time.Now().Add(schedule.Patience(q.Route.Target))
	if q.Deadline.Before(deadline) {
		return q.Deadline
	}
	return deadline
}

func (f *Forwarder) schedulingRequest(q *Request) schedule.Request {
	return schedule.Request{
		Workspace: q.Workspace, Weight: 1, Entry: q.Route.Name, Class: q.Class, Model: q.Service,
		PromptTokens: q.PromptTokens, MaxOutputTokens: q.MaxOutputTokens, ExpectedOutputTokens: q.HintTokens,
		TokenGap: q.Route.GapTarget, Fingerprint: fingerprint(q), PrefixHashes: q.PrefixHashes, Deadline: placeBy(q),
	}
}

// place waits for an engine that does not leave.
func (r *run) place(ctx context.Context, request schedule.Request) *fault.Error {
	started := time.Now()
	for try := 0; ; try++ {
		request.ID = attemptID(r.q.ID, r.runs, try)
		grant, err := r.f.o.Scheduler.Acquire(ctx, request)
		if err != nil {
			if ctx.Err() != nil {
				return fault.Wrap(ctx.Err(), lossCode(ctx), stepPlace, "", api.NotRun)
			}
			return refusal(err)
		}
		server, ok := r.f.o.Servers.Get(grant.Backend)
		if ok && !r.f.o.Servers.Leaving(grant.Backend) {
			r.grant, r.server = grant, server
			_ = level.Info(r.f.logger(r.q)).Log("msg", "placed", "backend", grant.Backend, "reason", grant.Reason, "waited_ms", time.Since(started).Milliseconds(), "workspace", r.q.Workspace, "class", r.q.Class, "version", r.q.Version)
			r.f.o.Metrics.Observe(telemetry.QueueTime, r.q.Workspace, string(r.q.Class), time.Since(started))
			return nil
		}
		r.f.o.Scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
		request.Exclude = append(request.Exclude, grant.Backend)
	}
}

// attempt runs the request at the granted engine until its stream has ended.
func (r *run) attempt(ctx context.Context) *fault.Error {
	outcome := schedule.Outcome{NotRun: true}
	defer func() { r.f.o.Scheduler.Release(r.grant.ID, outcome) }()
	if err := r.f.checkSend(r.q); err != nil {
		return err
	}
	src, err := r.open(ctx, r.server, nil, r.last, r.hasLast, 0)
	if err != nil {
		outcome = schedule.Outcome{NotRun: err.Execution == api.NotRun, Refused: err.Code == fault.BackendRefused}
		if err.Execution != api.NotRun {
			outcome.EngineLost = r.engineLost(ctx)
		}
		if err.Code == fault.BackendLost && err.Execution == api.Unknown && ctx.Err() == nil && !r.f.o.Servers.Leaving(r.server.Name) {
			r.f.o.Servers.NoteBroken(time.Now(), r.server.Name)
			_ = level.Info(r.f.logger(r.q)).Log("msg", "engine gets no new work for a while", "backend", r.server.Name, "err", err)
		}
		return err
	}
	r.f.o.Servers.NoteAnswered(r.server.Name)
	err = r.relay(ctx, src)
	outcome = schedule.Outcome{Generated: r.tokens(), Completed: err == nil}
	if err != nil && err.Code == fault.BackendLost {
		outcome.EngineLost = r.engineLost(ctx)
	}
	return err
}

// engineLost reports whether the engine of a broken stream has ended without
// notice, so that the request may have crashed it.
func (r *run) engineLost(ctx context.Context) bool {
	if ctx.Err() != nil || r.f.o.Servers.Leaving(r.server.Name) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	return !r.f.o.Client.Alive(ctx, r.server)
}

func (r *run) tokens() int {
	stride := 1
	if r.q.Engine != nil {
		stride = max(1, r.q.Engine.Stride)
	}
	return r.events * stride
}

// source is the stream of one engine.
type source struct {
	answer *Answer
	events chan eventstream.Event
	// ended is set before events is closed: nil after a whole stream.
	ended error
	stop  context.CancelFunc
}

// close ends the link to the engine, which drops the generation if it still runs.
func (s *source) close() {
	s.stop()
	for range s.events {
	}
	s.answer.Close()
}

// open sends the request and starts to read its stream. Memory is that of a moved
// generation, or nil. The answer must begin within a time, if it is not 0.
func (r *run) open(ctx context.Context, server registry.Server, memory *Memory, after int64, resumes bool, within time.Duration) (*source, *fault.Error) {
	ctx, stop := context.WithCancel(ctx)
	a := Attempt{Request: r.q, Server: server, Remaining: time.Until(r.q.Deadline), After: after, Resumes: resumes, Memory: memory}
	if within > 0 {
		late := time.AfterFunc(within, stop)
		defer late.Stop()
	}
	answer, err := r.f.o.Client.Send(ctx, a)
	if err != nil {
		failed := r.f.sendFailed(ctx, server, fault.From(err))
		stop()
		return nil, failed
	}
	if refused := r.f.refused(server, answer); refused != nil {
		answer.Close()
		stop()
		return nil, refused
	}
	if answer.Status != http.StatusOK || !answer.Sealed {
		defer stop()
		if memory != nil {
			// The source may still be passing events on.
			answer.Close()
			return nil, fault.New(fault.BackendRefused, stepMove, server.Name, api.Ran, "status %d instead of a stream", answer.Status)
		}
		return nil, r.notStream(ctx, server, answer)
	}
	s := &source{answer: answer, events: make(chan eventstream.Event), stop: stop}
	go s.read(ctx)
	return s, nil
}

// notStream passes on an engine's answer that is not a stream, if it can be.
func (r *run) notStream(ctx context.Context, server registry.Server, a *Answer) *fault.Error {
	defer a.Close()
	body, whole, err := readWhole(a.Body)
	if err != nil {
		return fault.Wrap(err, lossCode(ctx), stepAnswer, server.Name, api.Ran)
	}
	if r.begun || unusable(r.q, a) || a.Status < http.StatusMultipleChoices {
		return fault.New(fault.BackendRefused, stepAnswer, server.Name, api.Ran, "status %d instead of a stream", a.Status)
	}
	if a.Status >= http.StatusInternalServerError && r.q.mayRepeat(r.runs+1) {
		return fault.New(fault.BackendRefused, stepAnswer, server.Name, api.Ran, "status %d", a.Status)
	}
	r.begun = true
	if failed := r.f.deliver(r.q, r.w, server, a, body, whole); failed != nil {
		return failed
	}
	// The answer is final although it is no stream.
	r.runs = maxSends
	return fault.New(answered, stepAnswer, server.Name, api.Ran, "status %d", a.Status)
}

// answered is the code of an error whose answer has already been delivered.
const answered fault.Code = "answered"

func (s *source) read(ctx context.Context) {
	defer close(s.events)
	reader := eventstream.NewReader(s.answer.Body)
	for {
		e, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			s.ended = err
			return
		}
		select {
		case s.events <- e:
		case <-ctx.Done():
			s.ended = context.Cause(ctx)
			return
		}
	}
}

// relay passes the events on until the stream has ended, moving the generation to
// another engine when its own leaves.
func (r *run) relay(ctx context.Context, src *source) *fault.Error {
	// src changes when the generation moves.
	defer func() { src.close() }()
	defer func() { r.moving.abandon() }()
	r.arm()
	defer func() { r.f.untrack(r.server.Name, r) }()
	r.f.track(r.server.Name, r)
	silence := time.NewTimer(silenceLimit)
	defer silence.Stop()
	notice := r.noticed
	for {
		var next *source
		var err *fault.Error
		select {
		case e, open := <-src.events:
			silence.Reset(silenceLimit)
			if open {
				err = r.pass(src, e)
				break
			}
			if src.ended == nil {
				return r.finish(src)
			}
			next, err = r.rescue(ctx, src)
		case <-notice:
			notice = nil
			if r.movable() {
				r.moving = r.startMove(ctx)
			}
		case <-r.moving.copiedC():
			r.copied(ctx)
		case o := <-r.moving.openedC():
			next = r.opened(o)
		case <-silence.C:
			err = fault.New(fault.BackendLost, stepStream, r.server.Name, api.Ran, "no event for %v", silenceLimit)
		case <-ctx.Done():
			err = fault.Wrap(ctx.Err(), lossCode(ctx), stepStream, r.server.Name, api.Ran)
		}
		if err != nil {
			return err
		}
		if next != nil {
			r.takeOver(r.moving)
			src.close()
			src, r.moving, notice = next, nil, r.noticed
		}
	}
}

// arm prepares for the notice of the current server.
func (r *run) arm() {
	r.noticed = make(chan struct{})
	r.noticeOnce = new(sync.Once)
}

// errOrder fails a stream whose events do not follow each other.
var errOrder = errors.New("event is not the next one")

// pass hands one event to the caller. Events that the caller has are left out.
func (r *run) pass(src *source, e eventstream.Event) *fault.Error {
	if e.HasID && r.hasLast {
		if e.ID <= r.last {
			return nil
		}
		if e.ID != r.last+1 {
			return fault.Wrap(errOrder, fault.BackendLost, stepStream, r.server.Name, api.Ran)
		}
	}
	if !r.begun {
		r.begun = true
		if err := r.w.Begin(src.answer.Status, src.answer.Header, -1); err != nil {
			return fault.Wrap(err, fault.Cancelled, stepStream, r.server.Name, api.Ran)
		}
		r.f.o.Metrics.Observe(telemetry.FirstToken, r.q.Workspace, string(r.q.Class), time.Since(r.q.Arrived))
	}
	if err := r.w.Write(e.Raw); err != nil {
		return fault.Wrap(err, fault.Cancelled, stepStream, r.server.Name, api.Ran)
	}
	r.note(e)
	return nil
}

// note counts an event that was passed on.
func (r *run) note(e eventstream.Event) {
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
		r.f.o.Scheduler.Progress(r.grant.ID, r.tokens())
	}
}

// finish ends a whole stream.
func (r *run) finish(src *source) *fault.Error {
	if !r.begun {
		r.begun = true
		if err := r.w.Begin(src.answer.Status, src.answer.Header, -1); err != nil {
			return fault.Wrap(err, fault.Cancelled, stepStream, r.server.Name, api.Ran)
		}
	}
	_ = level.Info(r.f.logger(r.q)).Log("msg", "answered", "backend", r.server.Name, "events", r.events, "stalled_ms", r.stalled.Milliseconds(), "took_ms", time.Since(r.q.Arrived).Milliseconds())
	r.f.o.Metrics.Observe(telemetry.StallTime, r.q.Workspace, string(r.q.Class), r.stalled)
	r.f.o.Metrics.Counter("answers", r.q.Route.Name).Inc(1)
	return nil
}

// movable reports whether the generation is worth a move: short work ends before
// its engine does, and a stream without events has no memory to copy yet.
func (r *run) movable() bool {
	return r.q.Engine != nil && r.q.Engine.Moves && r.q.Class != catalogue.Urgent
}
