package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"

	"persimmonwing/internal/process/daemon"
	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/process/schedule"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/explain"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

// Header names of the caller API.
const (
	headerRequestID      = "X-Request-Id"
	headerRequestTimeout = "X-Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
)

// minRetryAfter is the lower bound of a Retry-After header, which is in whole
// seconds.
const minRetryAfter = time.Second

// call is the state of one caller request.
type call struct {
	id        string
	arrived   time.Time
	snapshot  *catalogue.Snapshot
	workspace *catalogue.Workspace
	entry     *catalogue.Entry
	record    *explain.Record
	logger    log.Logger
	// account is that of the last wait for a replica.
	account schedule.Account
	// priorExecution is the execution state that is known before this call does any
	// work. A call that refers to an earlier generation, such as a resume, must never
	// report not_run.
	priorExecution api.Execution
}

// handler serves an authenticated call. It returns the error to respond with, or nil
// if it has written the response itself.
type handler func(w http.ResponseWriter, r *http.Request, c *call) *fault.Error

// authenticated wraps a handler: it assigns a request id, starts the explain record,
// authenticates the caller's workspace and logs the outcome. priorExecution is the
// initial value of call.priorExecution.
func (g *Gateway) authenticated(priorExecution api.Execution, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := g.newCall(priorExecution)
		w.Header().Set(headerRequestID, c.id)
		err := g.authenticate(c, r)
		if err == nil {
			err = h(w, r, c)
		}
		daemon.ConnectionOf(r.Context()).Held().ReleaseBody()
		if err != nil {
			g.writeError(w, c, err)
			return
		}
		c.record.Finish("answered")
		_ = level.Debug(c.logger).Log("msg", "request answered", "took", time.Since(c.arrived))
	}
}

// rejectUnrouted returns a handler that responds with code to requests whose path or
// method has no route.
func (g *Gateway) rejectUnrouted(code fault.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := g.newCall(api.NotRun)
		w.Header().Set(headerRequestID, c.id)
		g.writeError(w, c, fault.New(code, "route", "", api.NotRun, "the callers' interface has no such path and method"))
	})
}

func (g *Gateway) newCall(priorExecution api.Execution) *call {
	id := "req_" + strings.ToLower(ulid.Make().String())
	return &call{
		id:             id,
		arrived:        time.Now(),
		record:         g.explain.Start(id),
		logger:         log.With(g.logger, "request", id),
		priorExecution: priorExecution,
	}
}

func (g *Gateway) authenticate(c *call, r *http.Request) *fault.Error {
	c.snapshot = g.catalogue.Current()
	if c.snapshot == nil {
		return fault.New(fault.NotReady, "authenticate", "", api.NotRun, "no catalogue revision is known yet").WithRetryAfter(minRetryAfter)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return fault.New(fault.Unauthorized, "authenticate", "", api.NotRun, "the Authorization header must hold a Bearer key")
	}
	if c.workspace = c.snapshot.Authenticate(key); c.workspace == nil {
		return fault.New(fault.Unauthorized, "authenticate", "", api.NotRun, "the key belongs to no workspace")
	}
	return nil
}

// selectEntry sets the entry of the call after checking its kind and that the
// workspace may use it. Errors are logged, so they must not repeat text that the
// caller sent: a field may contain prompt text by mistake.
func (c *call) selectEntry(name string, kind catalogue.Kind) *fault.Error {
	e := c.snapshot.Entry(name)
	if e == nil || !mayUse(e, c.workspace.Name) {
		return fault.New(fault.UnknownEntry, "entry", "", api.NotRun, "the catalogue has no entry with this name for this workspace")
	}
	if e.Kind != kind {
		return fault.New(fault.WrongKind, "entry", "", api.NotRun, "entry %q is a %s, not a %s", name, e.Kind, kind)
	}
	c.entry = e
	c.record.Describe(c.workspace.Name, e.Name, string(e.Class))
	c.logger = log.With(c.logger, "workspace", c.workspace.Name, "entry", e.Name)
	return nil
}

func mayUse(e *catalogue.Entry, workspace string) bool {
	return len(e.Workspaces) == 0 || slices.Contains(e.Workspaces, workspace)
}

// deadline returns the time by which the call must end, from the shorter of the
// entry's timeout and the timeout requested by the caller.
func (c *call) deadline(r *http.Request) (time.Time, *fault.Error) {
	timeout := c.entry.Timeout
	if text := r.Header.Get(headerRequestTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return time.Time{}, fault.New(fault.BadRequest, "deadline", "", api.NotRun, "%s: only a positive duration such as 30s is allowed", headerRequestTimeout)
		}
		timeout = min(timeout, requested)
	}
	return c.arrived.Add(timeout), nil
}

// admit returns the call's deadline and its lease of the workspace's and entry's
// limits. The code that calls admit must release the lease.
func (g *Gateway) admit(r *http.Request, c *call) (time.Time, *limits.Lease, *fault.Error) {
	deadline, err := c.deadline(r)
	if err != nil {
		return deadline, nil, err
	}
	lease, err := g.limits.Acquire(time.Now(), c.workspace, c.entry)
	return deadline, lease, err
}

// httpStatuses maps error codes to HTTP statuses. Codes that are not listed map to
// 502.
var httpStatuses = map[fault.Code]int{
	fault.BadRequest:           http.StatusBadRequest,
	fault.BodyTooLarge:         http.StatusRequestEntityTooLarge,
	fault.BodyTimeout:          http.StatusRequestTimeout,
	fault.UnknownPath:          http.StatusNotFound,
	fault.MethodNotAllowed:     http.StatusMethodNotAllowed,
	fault.Unauthorized:         http.StatusUnauthorized,
	fault.UnknownEntry:         http.StatusNotFound,
	fault.UnknownResponse:      http.StatusNotFound,
	fault.WrongKind:            http.StatusBadRequest,
	fault.SequenceOutOfRange:   http.StatusRequestedRangeNotSatisfiable,
	fault.RateLimited:          http.StatusTooManyRequests,
	fault.ConcurrencyLimited:   http.StatusTooManyRequests,
	fault.QueueFull:            http.StatusServiceUnavailable,
	fault.NoCapacity:           http.StatusServiceUnavailable,
	fault.DeadlineExceeded:     http.StatusGatewayTimeout,
	fault.ShuttingDown:         http.StatusServiceUnavailable,
	fault.NotReady:             http.StatusServiceUnavailable,
	fault.Cancelled:            499, // the caller closed the connection; no standard status fits
	fault.RequestCrashes:       http.StatusUnprocessableEntity,
	fault.NoBackend:            http.StatusServiceUnavailable,
	fault.IdempotencyKeyNeeded: http.StatusBadRequest,
	fault.IdempotencyMismatch:  http.StatusUnprocessableEntity,
	fault.CallInProgress:       http.StatusConflict,
	fault.PlatformUnavailable:  http.StatusServiceUnavailable,
	fault.Internal:             http.StatusInternalServerError,
}

// httpStatus returns the HTTP status of an error code.
func httpStatus(code fault.Code) int {
	if s, ok := httpStatuses[code]; ok {
		return s
	}
	return http.StatusBadGateway
}

// writeError responds with a typed error body and records the error.
func (g *Gateway) writeError(w http.ResponseWriter, c *call, e *fault.Error) {
	e.Execution = strongest(c.priorExecution, e.Execution)
	code := httpStatus(e.Code)
	if e.RetryAfter == 0 && (code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable) {
		e.RetryAfter = minRetryAfter
	}
	g.recordError(c, e)
	// net/http reads the rest of the request body before it sends the response, and
	// a slow client may never send it.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	g.setWriteDeadline(w)
	if e.RetryAfter > 0 {
		seconds := int64((max(e.RetryAfter, minRetryAfter) + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, code, e.Body(c.id))
}

// discardTimeout bounds the time spent reading the rest of the body of a refused
// request.
const discardTimeout = 500 * time.Millisecond

// setWriteDeadline bounds the write of a response, so that a client that does not
// read can neither occupy its concurrency slot nor block a graceful shutdown.
func (g *Gateway) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.opts.HTTP.WriteTimeout))
}

// recordError writes an error to the log, the metrics and the explain record of the
// request.
func (g *Gateway) recordError(c *call, e *fault.Error) {
	c.record.Finish(string(e.Code) + " (" + string(e.Execution) + ") at " + e.Step)
	g.metrics.Counter("errors", string(e.Code)).Inc(1)
	line := log.With(c.logger, c.account.LogFields()...)
	logger := level.Info(line)
	if e.Code == fault.Internal {
		logger = level.Error(line)
	}
	_ = logger.Log("msg", "request failed", "code", e.Code, "execution", e.Execution, "step", e.Step, "peer", e.Peer, "err", e)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
