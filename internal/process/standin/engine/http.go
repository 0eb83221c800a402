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

// maxBodyBytes bounds request bodies.
const maxBodyBytes = 16 << 20

// step names the engine in its error bodies.
const step = "engine"

// refusal is an error answer.
type refusal struct {
	status int
	body   api.Error
}

func refuse(code, format string, args ...any) *refusal {
	e := api.Error{Code: code, Message: fmt.Sprintf(format, args...), Execution: api.NotRun, Step: step}
	return &refusal{status: http.StatusServiceUnavailable, body: e}
}

func badRequest(format string, args ...any) *refusal {
	r := refuse(string(fault.BadRequest), format, args...)
	r.status = http.StatusBadRequest
	return r
}

// Handler returns the engine protocol, /health and the control interface.
func (e *Engine) Handler() http.Handler {
	root := mux.NewRouter()
	control := root.PathPrefix("/control").Subrouter()
	control.HandleFunc("/faults", e.putFaults).Methods(http.MethodPut)
	control.HandleFunc("/counters", e.getCounters).Methods(http.MethodGet)
	control.HandleFunc("/runs", e.getRuns).Methods(http.MethodGet)
	protocol := root.NewRoute().Subrouter()
	protocol.Use(e.holdWhileFrozen)
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

// holdWhileFrozen delays requests until the freeze ends.
func (e *Engine) holdWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.faults.waitThaw(r.Context()) != nil {
			abort()
		}
		next.ServeHTTP(w, r)
	})
}

// abort breaks the connection, as a process that ends does.
func abort() { panic(http.ErrAbortHandler) }

// onLoop runs f on the loop goroutine and breaks the connection if the engine
// has stopped.
func (e *Engine) onLoop(r *http.Request, f func()) {
	if e.do(r.Context(), f) != nil {
		abort()
	}
}

func (e *Engine) create(w http.ResponseWriter, r *http.Request) {
	var req api.CreateRequest
	if !e.decode(w, r, &req) {
		return
	}
	var st *stream
	var no *refusal
	e.onLoop(r, func() { st, no = e.accept(&req) })
	if no != nil {
		e.fail(w, no)
		return
	}
	f, _ := e.faults.get()
	switch {
	case f.ErrorAfterAccept:
		w.WriteHeader(http.StatusInternalServerError)
	case req.Stream:
		e.serveStream(w, r, st, 0)
	default:
		e.serveWhole(w, r, st)
	}
}

// serveWhole answers with the Response object when the generation has ended.
func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, st *stream) {
	reader := st.join()
	defer st.leave(reader)
	select {
	case <-st.ended:
	case <-r.Context().Done():
		return
	case <-e.stopped.Done():
		abort()
	}
	if e.faults.waitThaw(r.Context()) == nil {
		e.reply(w, st.response())
	}
}

// find returns the stream of the request's id, or nil after an error answer.
func (e *Engine) find(w http.ResponseWriter, r *http.Request) *stream {
	st := e.streams.get(mux.Vars(r)["id"])
	if st == nil {
		e.fail(w, &refusal{status: http.StatusNotFound, body: api.Error{
			Code:      string(fault.UnknownResponse),
			Message:   "response is unknown or no longer kept",
			Execution: api.Unknown,
			Step:      step,
		}})
	}
	return st
}

func (e *Engine) get(w http.ResponseWriter, r *http.Request) {
	st := e.find(w, r)
	if st == nil {
		return
	}
	query := r.URL.Query()
	if query.Get("stream") != "true" {
		e.reply(w, st.response())
		return
	}
	after, err := numberOr(query.Get("starting_after"), -1)
	if err != nil || after < -1 || after > st.last() {
		e.fail(w, &refusal{status: http.StatusBadRequest, body: api.Error{
			Code:      string(fault.SequenceOutOfRange),
			Message:   "starting_after is not the number of an event that exists",
			Execution: api.Ran,
			Step:      step,
		}})
		return
	}
	e.serveStream(w, r, st, after+1)
}

// cancel answers without the output text, which can be megabytes long.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	st := e.find(w, r)
	if st == nil {
		return
	}
	e.onLoop(r, func() { e.batch.cancel(st.id(), api.ReasonCancelled) })
	summary, _ := st.summary()
	e.reply(w, summary)
}

func (e *Engine) getLoad(w http.ResponseWriter, r *http.Request) {
	f, _ := e.faults.get()
	report, ok := e.reports.latest(time.Now())
	if f.HideReports || !ok {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if every, err := time.ParseDuration(r.URL.Query().Get("every")); err == nil && !report.Draining {
		e.streamLoad(w, r, max(every, leastEvery))
		return
	}
	e.reply(w, report)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := numberOr(r.URL.Query().Get("after"), 0)
	if err != nil {
		e.fail(w, badRequest("after is not a number"))
		return
	}
	e.reply(w, e.cacheLog.after(after))
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order api.Order
	if !e.decode(w, r, &order) {
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
		no := refuse(api.CodeStaleFencing, "fencing number %d is below %d", order.Fencing, state.HighestFencing)
		no.status = http.StatusConflict
		e.fail(w, no)
		return
	}
	e.reply(w, state)
}

func (e *Engine) getOrder(w http.ResponseWriter, r *http.Request) {
	var state api.OrderState
	e.onLoop(r, func() { state = e.orders.state() })
	e.reply(w, state)
}

func (e *Engine) health(w http.ResponseWriter, r *http.Request) {
	draining := false
	e.onLoop(r, func() { draining = e.draining() })
	if draining {
		e.fail(w, refuse(api.CodeDraining, "engine is draining"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

// decode reads a JSON body and answers 400 if it is malformed.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		e.fail(w, badRequest("body is not valid: %v", err))
	}
	return err == nil
}

func (e *Engine) fail(w http.ResponseWriter, no *refusal) {
	no.body.Peer = e.settings.Name
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(no.status)
	e.encode(w, api.ErrorBody{Error: no.body})
}

func (e *Engine) reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e.encode(w, v)
}

func (e *Engine) encode(w http.ResponseWriter, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		level.Debug(e.logger).Log("msg", "answer was not written", "err", err)
	}
}

func numberOr(text string, missing int64) (int64, error) {
	if text == "" {
		return missing, nil
	}
	return strconv.ParseInt(text, 10, 64)
}
