package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/request/relay"
	"persimmonwing/internal/request/responseid"
)

// progressEvery is the number of tokens between progress notes to the scheduler.
const progressEvery = 16

// generation is one create request on its way through attempts at engines.
type generation struct {
	g        *Gateway
	call     *call
	body     api.CreateRequest
	deadline time.Time
	request  schedule.Request
	lease    *limits.Lease
	// execution is the strongest that is known of all attempts.
	execution api.Execution
	stalled   time.Duration
	// charged counts the tokens of this attempt charged to the rate limits.
	charged int
}

// attemptResult is the end of one attempt that did not reach a terminal event.
type attemptResult struct {
	fault *fault.Error
	// retry is set when another replica may be tried.
	retry bool
}

// stream answers with server-sent events.
func (n *generation) stream(w http.ResponseWriter, r *http.Request) *fault.Error {
	sink := newStreamSink(r, w, n.g.opts.HTTP.WriteTimeout, n.call.entry.Name)
	// A reader that leaves may resume, so its leaving does not end the relay.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), n.deadline)
	defer cancel()
	_, err := n.run(r.Context(), ctx, func() relay.Sink { return sink }, sink)
	if err == nil || !sink.started {
		return err
	}
	n.g.count(n.call, err)
	sink.fail(err, n.call.id)
	return nil
}

// whole answers with one Response object.
func (n *generation) whole(w http.ResponseWriter, r *http.Request) *fault.Error {
	ctx, cancel := context.WithDeadline(r.Context(), n.deadline)
	defer cancel()
	var sink *wholeSink
	ids := &streamSink{model: n.call.entry.Name}
	terminal, err := n.run(ctx, ctx, func() relay.Sink {
		sink = &wholeSink{ctx: r.Context()}
		return sink
	}, ids)
	if err != nil {
		return err
	}
	answer := ids.outward(terminal.Response)
	answer.OutputText = sink.text.String()
	n.g.boundWrite(w)
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// run makes attempts until one reaches its terminal event or no further one is
// allowed. Each attempt relays into the sink that newSink returns; a sink that has
// been used for a stream allows no further attempt.
func (n *generation) run(queueCtx, relayCtx context.Context, newSink func() relay.Sink, ids *streamSink) (*api.Event, *fault.Error) {
	n.execution = api.NotRun
	for attempt := 1; ; attempt++ {
		grant, err := n.acquire(queueCtx)
		if err != nil {
			return nil, err
		}
		sink := newSink()
		terminal, failed := n.attempt(relayCtx, grant, sink, ids)
		if failed.fault == nil {
			return terminal, nil
		}
		n.request.Exclude = append(n.request.Exclude, grant.Backend)
		if !failed.retry || !n.mayRetry(attempt, grant.Backend) {
			failed.fault.Execution = n.execution
			return nil, failed.fault
		}
		n.call.record.Step("retry", grant.Backend, string(failed.fault.Code))
		n.g.metrics.Counter("retries", n.request.Entry).Inc(1)
	}
}

func (n *generation) mayRetry(attempt int, backend string) bool {
	return attempt < n.g.opts.MaxAttempts &&
		!n.g.opts.disabled("retries") &&
		time.Now().Before(n.deadline) &&
		n.g.retryBudget.Allow(backend)
}

// attempt runs the generation at the granted replica.
func (n *generation) attempt(ctx context.Context, grant schedule.Grant, sink relay.Sink, ids *streamSink) (*api.Event, attemptResult) {
	body := n.body
	body.Model = n.request.Model
	body.Stream = true
	body.Priority = enginePriority(n.request.Class, grant.Yields)
	body.Metadata = withAttempt(n.body.Metadata, grant.ID)
	src, err := n.g.engines.Create(ctx, grant.Backend, grant.Address, body)
	if err != nil {
		return nil, n.createFailed(ctx, grant, fault.From(err))
	}
	result, err := relay.New(grant.Backend, grant.ID, sink, n.resume(grant), relay.Options(n.g.opts.Relay), n.hooks(grant, ids)).Run(ctx, src)
	n.g.metrics.Observe(telemetry.StallTime, n.request.Workspace, string(n.request.Class), n.stalled)
	n.charge(result.Tokens)
	if err != nil {
		return nil, n.relayFailed(ctx, grant, result, fault.From(err))
	}
	n.execution = api.Ran
	n.finished(grant, result)
	return result.Terminal, attemptResult{}
}

func withAttempt(m map[string]string, attempt string) map[string]string {
	out := make(map[string]string, len(m)+1)
	for k, v := range m {
		out[k] = v
	}
	out[api.MetadataAttempt] = attempt
	return out
}

// charge brings the tokens charged to the rate limits up to count.
func (n *generation) charge(count int) {
	n.lease.Tokens(time.Now(), count-n.charged)
	n.charged = count
}

// finished returns the grant after a terminal event.
func (n *generation) finished(grant schedule.Grant, result relay.Result) {
	n.g.scheduler.Release(grant.ID, schedule.Outcome{Generated: result.Tokens, Completed: result.Terminal.Type == api.EventCompleted})
	n.g.retryBudget.Success(grant.Backend)
	n.call.record.Step("finished", grant.Backend, fmt.Sprintf("%s after %d tokens", result.Terminal.Type, result.Tokens))
}

// createFailed decides after an engine did not accept the request.
func (n *generation) createFailed(ctx context.Context, grant schedule.Grant, err *fault.Error) attemptResult {
	n.learn(err.Execution)
	lost := err.Code == fault.EngineLost && ctx.Err() == nil
	ran := err.Execution != api.NotRun
	refused := err.Code == fault.EngineRefused && !ran
	n.g.scheduler.Release(grant.ID, schedule.Outcome{NotRun: !ran, Refused: refused, EngineLost: lost && ran})
	if lost {
		n.noteLost(grant)
	}
	if lost && !ran {
		// The engine died before it got this request, which is no suspect.
		n.g.scheduler.ReportLost(grant.Backend)
	}
	// Every engine answers a bad request alike.
	return attemptResult{fault: err, retry: ctx.Err() == nil && err.Code != fault.BadRequest}
}

// relayFailed decides after a stream ended without its terminal event.
func (n *generation) relayFailed(ctx context.Context, grant schedule.Grant, result relay.Result, err *fault.Error) attemptResult {
	n.learn(err.Execution)
	lost := err.Code == fault.EngineLost
	n.g.scheduler.Release(grant.ID, schedule.Outcome{Generated: result.Tokens, EngineLost: lost})
	if lost {
		n.noteLost(grant)
	} else if !result.ReaderGone || !n.body.Stream {
		n.g.cancelAtEngine(grant, result.EngineID)
	}
	nothingSent := !result.Forwarded || !n.body.Stream
	return attemptResult{fault: err, retry: lost && nothingSent && ctx.Err() == nil}
}

// learn keeps the strongest execution state of all attempts.
func (n *generation) learn(x api.Execution) { n.execution = strongest(n.execution, x) }

// noteLost records the loss of an engine. Releasing the grant has told the other
// gateways before the caller hears of it.
func (n *generation) noteLost(grant schedule.Grant) {
	_ = level.Warn(n.call.logger).Log("msg", "engine lost", "backend", grant.Backend)
	n.call.record.Step("engine lost", grant.Backend, "")
	n.g.metrics.Counter("engines_lost").Inc(1)
}

func (n *generation) resume(grant schedule.Grant) relay.Resume {
	return func(ctx context.Context, engineID string, after int64) (relay.Source, error) {
		return n.g.engines.Resume(ctx, grant.Backend, grant.Address, engineID, after)
	}
}

// hooks observes the relay of one attempt.
func (n *generation) hooks(grant schedule.Grant, ids *streamSink) relay.Hooks {
	n.charged = 0
	h := n.g.observer(n.call, &n.stalled)
	observeToken := h.Token
	h.Token = func(count int, gap time.Duration) {
		observeToken(count, gap)
		if count%progressEvery == 0 {
			n.g.scheduler.Progress(grant.ID, count)
			n.charge(count)
		}
	}
	h.Created = func(engineID string) {
		id, err := n.g.ids.Encode(responseid.Ref{
			DataCentre: grant.Group.DataCentre,
			Backend:    grant.Backend,
			Address:    grant.Address,
			EngineID:   engineID,
			Workspace:  n.request.Workspace,
			Entry:      n.request.Entry,
			RequestID:  n.call.id,
			Expires:    time.Now().Add(n.g.opts.ResponseTTL),
		})
		if err != nil {
			_ = level.Error(n.call.logger).Log("msg", "response id not made", "err", err)
			return
		}
		ids.responseID = id
	}
	return h
}
