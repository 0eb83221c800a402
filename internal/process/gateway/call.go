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
	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

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
}

// handler serves an authenticated call. It returns the error to answer with,
// or nil when it has answered itself.
type handler func(w http.ResponseWriter, r *http.Request, c *call) *fault.Error

// authenticated wraps a handler with request id, record, log line and the
// workspace of the caller.
func (g *Gateway) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := g.newCall()
		w.Header().Set(headerRequestID, c.id)
		err := g.authenticate(c, r)
		if err == nil {
			err = h(w, r, c)
		}
		if err != nil && mux.Vars(r)["id"] != "" {
			err = aboutAccepted(err)
		}
		if err != nil {
			g.fail(w, c, err)
			return
		}
		c.record.Finish("answered")
	}
}

// aboutAccepted corrects an error of a call about a response id. The refusal of
// such a call says nothing about the generation, which was accepted before.
func aboutAccepted(err *fault.Error) *fault.Error {
	if err.Execution != api.NotRun {
		return err
	}
	corrected := *err
	corrected.Execution = api.Unknown
	return &corrected
}

func (g *Gateway) newCall() *call {
	id := "req_" + strings.ToLower(ulid.Make().String())
	return &call{
		id:      id,
		arrived: time.Now(),
		record:  g.explain.Start(id),
		logger:  log.With(g.logger, "request", id),
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

// useEntry sets the entry of the call after checking that the workspace may use it.
func (c *call) useEntry(name string, kind catalogue.Kind) *fault.Error {
	e := c.snapshot.Entry(name)
	if e == nil || !mayUse(e, c.workspace.Name) {
		return fault.New(fault.UnknownEntry, "entry", "", api.NotRun, "the catalogue has no entry %.64q for this workspace", name)
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
			return time.Time{}, fault.New(fault.BadRequest, "deadline", "", api.NotRun, "%s: %.32q is not a positive duration such as 30s", headerRequestTimeout, text)
		}
		timeout = min(timeout, own)
	}
	return c.arrived.Add(timeout), nil
}

// statuses maps error codes to HTTP statuses; the default is 502.
var statuses = map[fault.Code]int{
	fault.BadRequest:           http.StatusBadRequest,
	fault.BodyTooLarge:         http.StatusRequestEntityTooLarge,
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
	g.count(c, e)
	if e.RetryAfter > 0 {
		seconds := int64((max(e.RetryAfter, minRetryAfter) + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, status(e.Code), e.Body(c.id))
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
