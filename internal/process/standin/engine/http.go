package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/request/fault"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// errorStep is the value of the field step in the engine's error bodies.
const errorStep = "engine"

// errorResponse is the status code and the body of an error response.
type errorResponse struct {
	status int
	body   api.Error
}

func unavailable(code, format string, args ...any) *errorResponse {
	e := api.Error{Code: code, Message: fmt.Sprintf(format, args...), Execution: api.NotRun, Step: errorStep}
	return &errorResponse{status: http.StatusServiceUnavailable, body: e}
}

func badRequest(format string, args ...any) *errorResponse {
	r := unavailable(string(fault.BadRequest), format, args...)
	r.status = http.StatusBadRequest
	return r
}

// Handler returns the handler of the engine protocol, of /health and of the
// control interface under /control.
func (e *Engine) Handler() http.Handler {
	root := mux.NewRouter()
	control := root.PathPrefix("/control").Subrouter()
	control.HandleFunc("/faults", e.putFaults).Methods(http.MethodPut)
	control.HandleFunc("/counters", e.getCounters).Methods(http.MethodGet)
	control.HandleFunc("/runs", e.getRuns).Methods(http.MethodGet)
	protocol := root.NewRoute().Subrouter()
	protocol.Use(e.blockWhileFrozen)
	protocol.HandleFunc("/v1/responses", e.create).Methods(http.MethodPost)
	protocol.HandleFunc("/v1/responses/{id}", e.get).Methods(http.MethodGet)
	protocol.HandleFunc("/v1/responses/{id}/cancel", e.cancel).Methods(http.MethodPost)
	protocol.HandleFunc("/v1/load", e.getLoad).Methods(http.MethodGet)
	protocol.HandleFunc("/v1/cache_events", e.getCacheEvents).Methods(http.MethodGet)
	protocol.HandleFunc("/v1/orders", e.postOrder).Methods(http.MethodPost)
	protocol.HandleFunc("/v1/orders", e.getOrder).Methods(http.MethodGet)
	protocol.HandleFunc("/health", e.health).Methods(http.MethodGet)
	return root
}

// blockWhileFrozen delays requests until the engine is no longer frozen.
func (e *Engine) blockWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.faults.waitUntilThawed(r.Context()) != nil {
			abort()
		}
		w.Header().Set(api.HeaderServerCold, strconv.FormatInt(e.faults.coldLeft(), 10))
		next.ServeHTTP(w, r)
	})
}

// abort closes the connection without a complete response, as a process that
// crashes does.
func abort() { panic(http.ErrAbortHandler) }

// onLoop runs f on the loop goroutine. If the engine has stopped or the request
// is cancelled, it aborts the connection.
func (e *Engine) onLoop(r *http.Request, f func()) {
	if e.do(r.Context(), f) != nil {
		abort()
	}
}

func (e *Engine) create(w http.ResponseWriter, r *http.Request) {
	var req api.CreateRequest
	if !e.readJSON(w, r, &req) {
		return
	}
	var st *stream
	var failure *errorResponse
	e.onLoop(r, func() { st, failure = e.accept(&req) })
	if failure != nil {
		failure.body.RequestID = req.Metadata[api.MetadataAttempt]
		e.writeError(w, failure)
		return
	}
	f, _ := e.faults.get()
	switch {
	case f.ErrorAfterAccept:
		w.WriteHeader(http.StatusInternalServerError)
	case req.Stream:
		e.serveStream(w, r, st, 0)
	default:
		e.serveResponse(w, r, st)
	}
}

// serveResponse sends the complete Response object once the generation has
// ended.
func (e *Engine) serveResponse(w http.ResponseWriter, r *http.Request, st *stream) {
	reader := st.register()
	defer st.unregister(reader)
	select {
	case <-st.ended:
	case <-r.Context().Done():
		return
	case <-e.stopped.Done():
		abort()
	}
	if e.faults.waitUntilThawed(r.Context()) == nil {
		e.writeJSON(w, st.response())
	}
}

// findStream returns the stream whose id is in the request's path. If there is
// no such stream, it writes an error response and returns nil.
func (e *Engine) findStream(w http.ResponseWriter, r *http.Request) *stream {
	st := e.streams.get(mux.Vars(r)["id"])
	if st == nil {
		e.writeError(w, &errorResponse{status: http.StatusNotFound, body: api.Error{
			Code:      string(fault.UnknownResponse),
			Message:   "response is unknown or no longer kept",
			Execution: api.Unknown,
			Step:      errorStep,
		}})
	}
	return st
}

func (e *Engine) get(w http.ResponseWriter, r *http.Request) {
	st := e.findStream(w, r)
	if st == nil {
		return
	}
	query := r.URL.Query()
	if query.Get("stream") != "true" {
		e.writeJSON(w, st.response())
		return
	}
	after, err := parseIntOr(query.Get("starting_after"), -1)
	if err != nil || after < -1 || after > st.lastNumber() {
		e.writeError(w, &errorResponse{status: http.StatusBadRequest, body: api.Error{
			Code:      string(fault.SequenceOutOfRange),
			Message:   "starting_after is not the number of an event that exists",
			Execution: api.Ran,
			Step:      errorStep,
		}})
		return
	}
	e.serveStream(w, r, st, after+1)
}

// cancel cancels a generation. Its response omits the output text, which can be
// megabytes long.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	st := e.findStream(w, r)
	if st == nil {
		return
	}
	e.onLoop(r, func() { e.batch.cancel(st.id(), api.ReasonCancelled) })
	summary, _ := st.summary()
	e.writeJSON(w, summary)
}

func (e *Engine) getLoad(w http.ResponseWriter, r *http.Request) {
	f, _ := e.faults.get()
	report, ok := e.reports.latest(time.Now())
	if f.HideReports || !ok {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if every, err := time.ParseDuration(r.URL.Query().Get("every")); err == nil && !report.Draining {
		e.streamLoad(w, r, max(every, minLoadPeriod))
		return
	}
	e.writeJSON(w, report)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := parseIntOr(r.URL.Query().Get("after"), 0)
	if err != nil {
		e.writeError(w, badRequest("after is not a number"))
		return
	}
	e.writeJSON(w, e.cacheLog.after(after))
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order api.Order
	if !e.readJSON(w, r, &order) {
		return
	}
	var state api.OrderState
	var ok bool
	e.onLoop(r, func() {
		var load []string
		load, ok = e.orders.apply(order)
		for _, m := range load {
			e.background.Go(func() { e.load(m) })
		}
		state = e.orders.state()
	})
	if !ok {
		conflict := unavailable(api.CodeStaleFencing, "fencing number %d is below %d", order.Fencing, state.HighestFencing)
		conflict.status = http.StatusConflict
		e.writeError(w, conflict)
		return
	}
	e.writeJSON(w, state)
}

func (e *Engine) getOrder(w http.ResponseWriter, r *http.Request) {
	var state api.OrderState
	e.onLoop(r, func() { state = e.orders.state() })
	e.writeJSON(w, state)
}

func (e *Engine) health(w http.ResponseWriter, r *http.Request) {
	draining := false
	e.onLoop(r, func() { draining = e.draining() })
	if draining {
		e.writeError(w, unavailable(api.CodeDraining, "engine is draining"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readJSON decodes the request's body into v. If the body is malformed, it
// responds with status 400 and returns false.
func (e *Engine) readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		e.writeError(w, badRequest("body is not valid: %v", err))
	}
	return err == nil
}

func (e *Engine) writeError(w http.ResponseWriter, resp *errorResponse) {
	resp.body.Peer = e.settings.Name
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(resp.status)
	e.encode(w, api.ErrorBody{Error: resp.body})
}

func (e *Engine) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e.encode(w, v)
}

func (e *Engine) encode(w http.ResponseWriter, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		level.Debug(e.logger).Log("msg", "failed to write response", "err", err)
	}
}

func parseIntOr(text string, fallback int64) (int64, error) {
	if text == "" {
		return fallback, nil
	}
	return strconv.ParseInt(text, 10, 64)
}
