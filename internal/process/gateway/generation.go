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

// progressInterval is the number of tokens between progress reports to the scheduler.
const progressInterval = 16

// generation is the state of one create request across its attempts at engines.
// stalled is the total time by which token gaps exceeded the entry's target.
type generation struct {
	g        *Gateway
	call     *call
	body     api.CreateRequest
	deadline time.Time
	request  schedule.Request
	lease    *limits.Lease
	// execution is the strongest execution state of all attempts so far.
	execution api.Execution
	stalled   time.Duration
	// charged is the number of tokens of the current attempt that have been charged
	// to the rate limits.
	charged int
}

// attemptResult describes an attempt that failed before its terminal event. The zero
// value means that the attempt succeeded.
type attemptResult struct {
	fault *fault.Error
	// retry is set if another replica may be tried.
	retry bool
	// cold is set if the request was not sent, because the engine is cold and gets as many as it may.
	cold bool
}

// stream runs the generation and responds with server-sent events.
func (n *generation) stream(w http.ResponseWriter, r *http.Request) *fault.Error {
	sink := newStreamSink(r, w, n.g.opts.HTTP.WriteTimeout, n.call.entry.Name)
	// A reader that disconnects may resume, so a disconnect does not end the relay.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), n.deadline)
	defer cancel()
	_, err := n.run(r.Context(), ctx, func() relay.Sink { return sink }, sink)
	if err == nil || !sink.started {
		return err
	}
	n.g.recordError(n.call, err)
	sink.fail(err, n.call.id)
	return nil
}

// respond runs the generation and responds with one Response object.
func (n *generation) respond(w http.ResponseWriter, r *http.Request) *fault.Error {
	ctx, cancel := context.WithDeadline(r.Context(), n.deadline)
	defer cancel()
	var sink *textSink
	ids := &streamSink{model: n.call.entry.Name}
	terminal, err := n.run(ctx, ctx, func() relay.Sink {
		sink = &textSink{ctx: r.Context()}
		return sink
	}, ids)
	if err != nil {
		return err
	}
	response := ids.publicResponse(terminal.Response)
	response.OutputText = sink.text.String()
	n.g.setWriteDeadline(w)
	writeJSON(w, http.StatusOK, response)
	return nil
}

// run makes attempts until one reaches its terminal event or no further attempt is
// allowed. Each attempt relays into the sink that newSink returns; once events have
// been sent to a stream, no further attempt is made. ids receives the response id.
func (n *generation) run(queueCtx, relayCtx context.Context, newSink func() relay.Sink, ids *streamSink) (*api.Event, *fault.Error) {
	n.execution = api.NotRun
	var denied *fault.Error
	denials := 0
	for attempt := 1; ; attempt++ {
		grant, err := n.acquire(queueCtx)
		if err != nil {
			if denied != nil && err.Code == fault.NoCapacity {
				err = err.WithRetryAfter(denied.RetryAfter)
			}
			return nil, err
		}
		sink := newSink()
		terminal, failed := n.attempt(relayCtx, grant, sink, ids)
		if failed.fault == nil {
			return terminal, nil
		}
		n.request.Exclude = append(n.request.Exclude, grant.Backend)
		if failed.cold {
			denied = failed.fault
			n.call.record.Step("not sent", grant.Backend, "cold")
			if denials++; denials < maxColdDenials && relayCtx.Err() == nil {
				attempt--
				continue
			}
		}
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

// attempt runs the generation on the granted replica and releases the grant.
func (n *generation) attempt(ctx context.Context, grant schedule.Grant, sink relay.Sink, ids *streamSink) (*api.Event, attemptResult) {
	body := n.body
	body.Model = n.request.Model
	body.Stream = true
	body.Priority = enginePriority(n.request.Class, grant.Yields)
	body.Metadata = withAttempt(n.body.Metadata, grant.ID)
	var src relay.Source
	done, denied, err := n.g.sendCold(ctx, "", grant.Backend, func(ctx context.Context) (err error) {
		src, err = n.g.engines.Create(ctx, grant.Backend, grant.Address, body)
		return err
	})
	defer done()
	if denied != nil {
		n.g.scheduler.Release(grant.ID, schedule.Outcome{NotRun: true})
		return nil, attemptResult{fault: denied, cold: true}
	}
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

// charge charges tokens to the rate limits until count tokens of the attempt have
// been charged.
func (n *generation) charge(count int) {
	n.lease.Tokens(time.Now(), count-n.charged)
	n.charged = count
}

// finished releases the grant after a terminal event.
func (n *generation) finished(grant schedule.Grant, result relay.Result) {
	n.g.scheduler.Release(grant.ID, schedule.Outcome{Generated: result.Tokens, Completed: result.Terminal.Type == api.EventCompleted})
	n.g.retryBudget.Success(grant.Backend)
	n.call.record.Step("finished", grant.Backend, fmt.Sprintf("%s after %d tokens", result.Terminal.Type, result.Tokens))
}

// createFailed releases the grant of an attempt whose create request failed, and
// decides whether to retry.
func (n *generation) createFailed(ctx context.Context, grant schedule.Grant, err *fault.Error) attemptResult {
	n.mergeExecution(err.Execution)
	lost := err.Code == fault.EngineLost && ctx.Err() == nil
	ran := err.Execution != api.NotRun
	refused := err.Code == fault.EngineRefused && !ran
	if ran && !lost && err.Code != fault.EngineRefused && err.Code != fault.BadRequest {
		n.giveUp(grant)
	}
	n.g.scheduler.Release(grant.ID, schedule.Outcome{NotRun: !ran, Refused: refused, EngineLost: lost && ran})
	if lost {
		n.recordEngineLost(grant)
	}
	if lost && !ran {
		// The engine died before it received this request, so the request is not
		// suspected of having crashed it.
		n.g.scheduler.ReportLost(grant.Backend)
	}
	// A bad request fails in the same way on every engine.
	return attemptResult{fault: err, retry: ctx.Err() == nil && err.Code != fault.BadRequest}
}

// relayFailed releases the grant of an attempt whose stream ended without its terminal
// event, and decides whether to retry.
func (n *generation) relayFailed(ctx context.Context, grant schedule.Grant, result relay.Result, err *fault.Error) attemptResult {
	n.mergeExecution(err.Execution)
	lost := err.Code == fault.EngineLost
	if !lost {
		n.giveUp(grant)
	}
	n.g.scheduler.Release(grant.ID, schedule.Outcome{Generated: result.Tokens, EngineLost: lost})
	if lost {
		n.recordEngineLost(grant)
	}
	// An engine that could not be reached for a while may work on, although the generation is
	// tried at another one.
	if lost || !result.ReaderGone || !n.body.Stream {
		n.g.cancelAtEngine(grant, result.EngineID)
	}
	nothingSent := !result.Forwarded || !n.body.Stream
	return attemptResult{fault: err, retry: lost && nothingSent && ctx.Err() == nil}
}

// giveUp records that the generation ended although its engine has neither ended nor finished it.
func (n *generation) giveUp(grant schedule.Grant) {
	n.g.scheduler.GiveUpGeneration(grant.ID, func(ctx context.Context) bool { return n.g.services.Ended(ctx, grant.Address) })
}

// mergeExecution updates n.execution to the stronger of itself and x.
func (n *generation) mergeExecution(x api.Execution) { n.execution = strongest(n.execution, x) }

// recordEngineLost records the loss of an engine in the log, the explain record and
// the metrics. The caller learns of the loss only after the other gateways, which were
// notified when the grant was released.
func (n *generation) recordEngineLost(grant schedule.Grant) {
	_ = level.Warn(n.call.logger).Log("msg", "engine lost", "backend", grant.Backend)
	n.call.record.Step("engine lost", grant.Backend, "")
	n.g.metrics.Counter("engines_lost").Inc(1)
}

func (n *generation) resume(grant schedule.Grant) relay.Resume {
	return func(ctx context.Context, engineID string, after int64) (relay.Source, error) {
		return n.g.engines.Resume(ctx, grant.Backend, grant.Address, engineID, after)
	}
}

// hooks returns the relay hooks of one attempt: they update the metrics, report
// progress to the scheduler, charge tokens and set the response id of ids.
func (n *generation) hooks(grant schedule.Grant, ids *streamSink) relay.Hooks {
	n.charged = 0
	h := n.g.observer(n.call, &n.stalled)
	observeToken := h.Token
	h.Token = func(count int, gap time.Duration) {
		observeToken(count, gap)
		if count%progressInterval == 0 {
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
			_ = level.Error(n.call.logger).Log("msg", "cannot encode response id", "err", err)
			return
		}
		ids.responseID = id
	}
	return h
}
