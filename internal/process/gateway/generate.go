package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwing/internal/process/admission"
	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

// maxPrefixBlocks bounds the prefix blocks that are hashed for one request. 64 blocks
// cover 16 KiB of prompt; 12 of their hashes are sent to the scheduler.
const maxPrefixBlocks = 64

// generationCopies is how often the body of a generation is held: as it was sent, its input, and the request to the
// engine while that is sent.
const generationCopies = 3

// Priorities of generations in requests to engines.
const (
	priorityUrgent     = 10
	priorityYielding   = 5
	priorityBackground = 0
)

// createResponse serves POST /v1/responses.
func (g *Gateway) createResponse(w http.ResponseWriter, r *http.Request, c *call) *fault.Error {
	body, ferr := g.readCreate(w, r)
	if ferr != nil {
		return ferr
	}
	if ferr = c.selectEntry(body.Model, catalogue.Generation); ferr != nil {
		return ferr
	}
	deadline, lease, ferr := g.admit(r, c)
	if ferr != nil {
		return ferr
	}
	defer lease.Release()
	gen := g.newGeneration(c, body, deadline)
	gen.lease = lease
	if body.Stream {
		return gen.stream(w, r)
	}
	return gen.respond(w, r)
}

// readCreate reads and validates the body of a create request.
func (g *Gateway) readCreate(w http.ResponseWriter, r *http.Request) (api.CreateRequest, *fault.Error) {
	var body api.CreateRequest
	raw, ferr := g.readBody(w, r, generationCopies)
	if ferr != nil {
		return body, ferr
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, fault.Wrap(err, fault.BadRequest, "read", "", api.NotRun)
	}
	switch {
	case body.Model == "":
		return body, fault.New(fault.BadRequest, "read", "", api.NotRun, "model: an entry name is needed")
	case body.Input == "":
		return body, fault.New(fault.BadRequest, "read", "", api.NotRun, "input: a text is needed")
	case body.MaxOutputTokens < 0:
		return body, fault.New(fault.BadRequest, "read", "", api.NotRun, "max_output_tokens: %d is negative", body.MaxOutputTokens)
	}
	return body, nil
}

// readBody reads a request body, bounded by HTTP.MaxBodyBytes and HTTP.BodyTimeout. copies is how often it is held
// in memory.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, copies int64) ([]byte, *fault.Error) {
	raw, err := daemon.ReadBody(context.Background(), w, r, daemon.BodyBounds{
		Bytes: g.opts.HTTP.MaxBodyBytes, Time: g.opts.HTTP.BodyTimeout, BytesPerSecond: g.opts.Callers.BodyBytesPerSecond, Copies: copies,
	})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return raw, nil
	case errors.As(err, &tooLarge):
		// http.MaxBytesReader does this itself only for the server's own writer.
		w.Header().Set("Connection", "close")
		return nil, fault.New(fault.BodyTooLarge, "read", "", api.NotRun, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, admission.ErrFull), errors.Is(err, admission.ErrDisplaced):
		w.Header().Set("Connection", "close")
		return nil, fault.Wrap(err, fault.NoCapacity, "read", "", api.NotRun).WithRetryAfter(minRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.New(fault.BodyTimeout, "read", "", api.NotRun, "the body did not end in time")
	}
	return nil, fault.Wrap(err, fault.BadRequest, "read", "", api.NotRun)
}

// newGeneration returns the generation of a create request, with its scheduling
// request filled in.
func (g *Gateway) newGeneration(c *call, body api.CreateRequest, deadline time.Time) *generation {
	maxTokens := c.entry.MaxOutputTokens
	if body.MaxOutputTokens > 0 && (maxTokens == 0 || body.MaxOutputTokens < maxTokens) {
		maxTokens = body.MaxOutputTokens
	}
	body.MaxOutputTokens = maxTokens
	return &generation{
		g:        g,
		call:     c,
		body:     body,
		deadline: deadline,
		request: schedule.Request{
			Gateway:              g.opts.Name,
			Workspace:            c.workspace.Name,
			Weight:               c.workspace.Weight,
			Entry:                c.entry.Name,
			Class:                c.entry.Class,
			Model:                c.entry.Model,
			PromptTokens:         api.EstimateTokens(body.Input),
			MaxOutputTokens:      maxTokens,
			ExpectedOutputTokens: c.entry.ExpectedOutputTokens,
			TokenGap:             c.entry.Targets.TokenGap,
			Fingerprint:          fingerprint(c.workspace.Name, c.entry.Name, body.Input),
			PrefixHashes:         api.SamplePrefixHashes(api.PrefixHashes(body.Input, maxPrefixBlocks)),
		},
	}
}

// fingerprint returns a hash by which a repeated request is recognized.
func fingerprint(workspace, entry, input string) uint64 {
	d := xxhash.New()
	for _, part := range []string{workspace, entry, input} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// queueDeadline returns the time until which a request may wait for a replica. A
// request that would miss its first token target is refused instead of served late:
// with a queue timeout of 5 s and urgent load at twice the capacity, only 7% of the
// urgent requests were on time, because each of them waited behind late ones.
func (g *Gateway) queueDeadline(e *catalogue.Entry, deadline time.Time) time.Time {
	maxWait := g.opts.Queue.BackgroundTimeout
	if e.Class == catalogue.Urgent {
		maxWait = g.opts.Queue.UrgentTimeout
	}
	if target := e.Targets.FirstToken; target > 0 && !g.opts.disabled("early_refusal") {
		maxWait = min(maxWait, schedule.MaxQueueWait(target))
	}
	if limit := time.Now().Add(maxWait); limit.Before(deadline) {
		return limit
	}
	return deadline
}

// enginePriority returns the priority of a granted generation. An engine that runs
// out of memory preempts the generation with the lowest priority first.
func enginePriority(class catalogue.Class, yields bool) int {
	switch {
	case class != catalogue.Urgent:
		return priorityBackground
	case yields:
		return priorityYielding
	}
	return priorityUrgent
}

// cancelTimeout bounds a cancel request to an engine.
const cancelTimeout = 2 * time.Second

// cancelAtEngine asynchronously cancels a generation whose result is no longer
// needed. Errors are ignored, as the engine ends a stream without a reader by itself.
func (g *Gateway) cancelAtEngine(grant schedule.Grant, engineID string) {
	if engineID == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = g.engines.Cancel(ctx, grant.Backend, grant.Address, engineID)
	}()
}
