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

	"persimmonwing/internal/process/limits"
	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/explain"
	"persimmonwing/internal/request/fault"
	"persimmonwing/internal/version/catalogue"
)

// Header names of the callers' interface.
const (
	headerRequestID      = "X-Request-Id"
	headerRequestTimeout = "X-Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
)

// minRetryAfter is the least advice in a Retry-After header, which has whole seconds.
const minRetryAfter = time.Second

// call is the state of one request of a caller.
type call struct {
	id        string
	arrived   time.Time
	snapshot  *catalogue.Snapshot
	workspace *catalogue.Workspace
	entry     *catalogue.Entry
	record    *explain.Record
	logger    log.Logger
	// known is the least that is known of the execution before any work of this
	// call. A call about an earlier generation must never be told not_run.
	known api.Execution
}

// handler serves an authenticated call. It returns the error to answer with,
// or nil when it has answered itself.
type handler func(w http.ResponseWriter, r *http.Request, c *call) *fault.Error

// authenticated wraps a handler with request id, record, log line and the
// workspace of the caller; known is the initial call.known.
func (g *Gateway) authenticated(known api.Execution, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := g.newCall(known)
		w.Header().Set(headerRequestID, c.id)
		err := g.authenticate(c, r)
		if err == nil {
			err = h(w, r, c)
		}
		if err != nil {
			g.fail(w, c, err)
			return
		}
		c.record.Finish("answered")
		_ = level.Debug(c.logger).Log("msg", "request answered", "took", time.Since(c.arrived))
	}
}

// unrouted refuses a request for a path or method that no handler serves.
func (g *Gateway) unrouted(code fault.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := g.newCall(api.NotRun)
		w.Header().Set(headerRequestID, c.id)
		g.fail(w, c, fault.New(code, "route", "", api.NotRun, "the callers' interface has no such path and method"))
	})
}

func (g *Gateway) newCall(known api.Execution) *call {
	id := "req_" + strings.ToLower(ulid.Make().String())
	return &call{
		id:      id,
		arrived: time.Now(),
		record:  g.explain.Start(id),
		logger:  log.With(g.logger, "request", id),
		known:   known,
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

// useEntry sets the entry of the call after checking that the workspace may use
// it. Like all errors, its errors are logged and so repeat nothing that a caller
// sent: a field may hold prompt text by mistake.
func (c *call) useEntry(name string, kind catalogue.Kind) *fault.Error {
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

// deadline is the earlier of the entry's and the caller's own timeout.
func (c *call) deadline(r *http.Request) (time.Time, *fault.Error) {
	timeout := c.entry.Timeout
	if text := r.Header.Get(headerRequestTimeout); text != "" {
		own, err := time.ParseDuration(text)
		if err != nil || own <= 0 {
			return time.Time{}, fault.New(fault.BadRequest, "deadline", "", api.NotRun, "%s: only a positive duration such as 30s is allowed", headerRequestTimeout)
		}
		timeout = min(timeout, own)
	}
	return c.arrived.Add(timeout), nil
}

// admit returns the call's deadline and its use of the limits, which the caller
// of admit must release.
func (g *Gateway) admit(r *http.Request, c *call) (time.Time, *limits.Lease, *fault.Error) {
	deadline, err := c.deadline(r)
	if err != nil {
		return deadline, nil, err
	}
	lease, err := g.limits.Acquire(time.Now(), c.workspace, c.entry)
	return deadline, lease, err
}

// statuses maps error codes to HTTP statuses; the default is 502.
var statuses = map[fault.Code]int{
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
	fault.Cancelled:            499, // the caller has left; no standard status fits
	fault.RequestCrashes:       http.StatusUnprocessableEntity,
	fault.NoBackend:            http.StatusServiceUnavailable,
	fault.IdempotencyKeyNeeded: http.StatusBadRequest,
	fault.IdempotencyMismatch:  http.StatusUnprocessableEntity,
	fault.CallInProgress:       http.StatusConflict,
	fault.PlatformUnavailable:  http.StatusServiceUnavailable,
	fault.Internal:             http.StatusInternalServerError,
}

// status returns the HTTP status of an error code.
func status(code fault.Code) int {
	if s, ok := statuses[code]; ok {
		return s
	}
	return http.StatusBadGateway
}

// fail answers with a typed error body and records it.
func (g *Gateway) fail(w http.ResponseWriter, c *call, e *fault.Error) {
	e.Execution = strongest(c.known, e.Execution)
	code := status(e.Code)
	if e.RetryAfter == 0 && (code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable) {
		e.RetryAfter = minRetryAfter
	}
	g.count(c, e)
	// Before it sends the answer, net/http reads the rest of the body, which a
	// slow client may never end.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	g.boundWrite(w)
	if e.RetryAfter > 0 {
		seconds := int64((max(e.RetryAfter, minRetryAfter) + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, code, e.Body(c.id))
}

// discardTimeout bounds the wait for the rest of the body of a refused request.
const discardTimeout = 500 * time.Millisecond

// boundWrite bounds the write of an answer, so that a reader that takes nothing
// holds neither its slot nor a graceful stop.
func (g *Gateway) boundWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.opts.HTTP.WriteTimeout))
}

// count records an error in log, metrics and the request's record.
func (g *Gateway) count(c *call, e *fault.Error) {
	c.record.Finish(string(e.Code) + " (" + string(e.Execution) + ") at " + e.Step)
	g.metrics.Counter("errors", string(e.Code)).Inc(1)
	logger := level.Info(c.logger)
	if e.Code == fault.Internal {
		logger = level.Error(c.logger)
	}
	_ = logger.Log("msg", "request failed", "code", e.Code, "execution", e.Execution, "step", e.Step, "peer", e.Peer, "err", e)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
