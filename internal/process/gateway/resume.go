package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"persimmonwing/internal/process/telemetry"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/request/relay"
	"persimmonwing/internal/request/responseid"
	"persimmonwing/internal/version/catalogue"
)

// resumeResponse serves GET /v1/responses/{id}?stream=true&starting_after=N.
func (g *Gateway) resumeResponse(w http.ResponseWriter, r *http.Request, c *call) *fault.Error {
	ref, ferr := g.resolveResponseID(r, c)
	if ferr != nil {
		return ferr
	}
	after, ferr := resumePosition(r)
	if ferr != nil {
		return ferr
	}
	deadline, lease, ferr := g.admit(r, c)
	if ferr != nil {
		return ferr
	}
	defer lease.Release()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	src, err := g.engines.Resume(ctx, ref.Backend, ref.Address, ref.EngineID, after)
	if err != nil {
		return resumeFault(fault.From(err))
	}
	sink := newStreamSink(r, w, g.opts.HTTP.WriteTimeout, c.entry.Name)
	sink.responseID = mux.Vars(r)["id"]
	sink.next = after + 1
	var stalled time.Duration
	reopen := func(ctx context.Context, id string, after int64) (relay.Source, error) {
		return g.engines.Resume(ctx, ref.Backend, ref.Address, id, after)
	}
	opts := relay.Options(g.opts.Relay)
	_, err = relay.NewResumed(ref.Backend, ref.EngineID, after, sink, reopen, opts, g.observer(c, &stalled)).Run(ctx, src)
	if err == nil || !sink.started {
		return asFault(err)
	}
	ferr = fault.From(err)
	ferr.Execution = strongest(c.priorExecution, ferr.Execution)
	g.recordError(c, ferr)
	sink.fail(ferr, c.id)
	return nil
}

// asFault returns nil for a nil error, which fault.From does not.
func asFault(err error) *fault.Error {
	if err == nil {
		return nil
	}
	return fault.From(err)
}

// resumeFault converts an engine's error on resume or cancel. An engine that does not
// know the generation has lost it. The generation was accepted earlier, so its
// execution state is ran.
func resumeFault(e *fault.Error) *fault.Error {
	if e.Code == fault.SequenceOutOfRange {
		return e
	}
	if e.Code == fault.UnknownResponse {
		return fault.Wrap(e, fault.EngineLost, "resume", e.Peer, api.Ran)
	}
	e.Execution = api.Ran
	return e
}

// resumePosition returns the sequence number after which to resume the stream, or -1
// to start from the beginning.
func resumePosition(r *http.Request) (int64, *fault.Error) {
	query := r.URL.Query()
	if query.Get("stream") != "true" {
		return 0, fault.New(fault.BadRequest, "resume", "", api.NotRun, "stream: only stream=true is supported")
	}
	text := query.Get("starting_after")
	if text == "" {
		return -1, nil
	}
	after, err := strconv.ParseInt(text, 10, 64)
	if err != nil || after < 0 {
		return 0, fault.New(fault.BadRequest, "resume", "", api.NotRun, "starting_after: only a sequence number is allowed")
	}
	return after, nil
}

// cancelResponse serves POST /v1/responses/{id}/cancel.
func (g *Gateway) cancelResponse(w http.ResponseWriter, r *http.Request, c *call) *fault.Error {
	ref, ferr := g.resolveResponseID(r, c)
	if ferr != nil {
		return ferr
	}
	ctx, cancel := context.WithTimeout(r.Context(), cancelTimeout)
	defer cancel()
	if err := g.engines.Cancel(ctx, ref.Backend, ref.Address, ref.EngineID); err != nil {
		return resumeFault(fault.From(err))
	}
	c.record.Step("cancelled", ref.Backend, "")
	g.setWriteDeadline(w)
	writeJSON(w, http.StatusOK, api.Response{ID: mux.Vars(r)["id"], Object: "response", Model: ref.Entry, Status: api.StatusCancelled})
	return nil
}

// resolveResponseID decodes the response id of the path and selects its entry. An id
// of another workspace gets the same error as one that does not exist.
func (g *Gateway) resolveResponseID(r *http.Request, c *call) (responseid.Ref, *fault.Error) {
	ref, err := g.ids.Decode(mux.Vars(r)["id"], time.Now())
	if err != nil {
		return ref, fault.Wrap(err, fault.UnknownResponse, "response id", "", api.Unknown)
	}
	if ref.Workspace != c.workspace.Name {
		return ref, fault.Wrap(responseid.ErrInvalid, fault.UnknownResponse, "response id", "", api.Unknown)
	}
	c.priorExecution = api.Ran
	c.record.Step("response id", ref.Backend, "of request "+ref.RequestID)
	return ref, c.selectEntry(ref.Entry, catalogue.Generation)
}

// observer returns hooks that update the histograms of the call's workspace and class
// and add to stalled the time by which token gaps exceed the entry's target.
func (g *Gateway) observer(c *call, stalled *time.Duration) relay.Hooks {
	class := string(c.entry.Class)
	gaps := g.metrics.Histogram(telemetry.TokenGap, c.workspace.Name, class)
	target := c.entry.Targets.TokenGap
	return relay.Hooks{
		Token: func(count int, gap time.Duration) {
			if count == 1 {
				g.metrics.Observe(telemetry.FirstToken, c.workspace.Name, class, time.Since(c.arrived))
				return
			}
			gaps.Update(gap.Microseconds())
			if target > 0 && gap > target {
				*stalled += gap - target
			}
		},
		Dropped: func(reason relay.DropReason) { g.metrics.Counter("events_dropped", string(reason)).Inc(1) },
		Resumed: func() { g.metrics.Counter("links_resumed").Inc(1) },
	}
}
