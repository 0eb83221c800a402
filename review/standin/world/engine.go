package world

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The speed of an engine, from the site's sheet.
const (
	prefillPerMS = 14                    // prompt tokens
	eventGap     = 30 * time.Millisecond // 4 tokens of 7 ms and a little more
	tokensAnEvent,
	bytesAToken, linkMbps = 4, 163840, 24000
)

// Run is what an engine did for one request.
type Run struct {
	ID, Engine string
	Prompt     int  // tokens
	Resumed    bool // goes on from a copy or after an event
	Began      time.Time
	Ended      time.Time
	First      int // first and last event made
	Last       int
	End        string

	stop chan struct{}
}

// Engine is a model replica.
type Engine struct {
	ID, Zone, Address string

	w      *World
	born   int64
	server *http.Server
	mu     sync.Mutex
	seq    int
	// keepsRunning is set for an engine that works on when a request's connection closes.
	keepsRunning   bool
	prefill        chan struct{}
	draining, gone bool
	runs           []*Run
	active         map[string]*Run
	arrived        map[string]bool
	copies         map[string]bool // by source address and handle
	handles        int
	peers          map[string]*Engine // by address
}

// AddEngines starts engines, one for each zone given.
func (w *World) AddEngines(zones ...string) []*Engine {
	peers := map[string]*Engine{}
	var out []*Engine
	for i, zone := range zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			w.Fail("engine: %v", err)
		}
		e := &Engine{ID: fmt.Sprintf("i-7f3a91c%d", i), Zone: zone, Address: l.Addr().String(), w: w, born: time.Now().UnixMilli(), prefill: make(chan struct{}, 1), active: map[string]*Run{}, arrived: map[string]bool{}, copies: map[string]bool{}, peers: peers}
		peers[e.Address] = e
		e.server = &http.Server{Handler: e}
		go func() { _ = e.server.Serve(l) }()
		w.AtEnd(func() { _ = e.server.Close() })
		e.beat()
		go e.beats()
		out = append(out, e)
	}
	return out
}

// beat writes the engine's entry.
func (e *Engine) beat() time.Time {
	e.mu.Lock()
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	v := map[string]any{
		"service": ModelService, "addr": e.Address, "zone": e.Zone, "version": "v1", "slots": 24, "state": state, "cold_left_ms": 0,
		"stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": e.seq, "born": e.born,
	}
	gone := e.gone
	e.mu.Unlock()
	if gone {
		return time.Time{}
	}
	return e.w.Store.Put("servers", e.ID, v)
}

func (e *Engine) beats() {
	for {
		time.Sleep(BeatMS * time.Millisecond)
		if e.beat().IsZero() {
			return
		}
	}
}

// SetKeepsRunning selects whether the engine works on when a request's connection closes.
func (e *Engine) SetKeepsRunning(keeps bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keepsRunning = keeps
}

// Drain empties the engine and takes it away: it says that it drains, serves for linger longer
// than the store needs to tell, and ends.
func (e *Engine) Drain(linger time.Duration) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.w.Log("%s drains, acknowledged", e.ID)
	e.beat()
	go func() {
		time.Sleep(DrainMS*time.Millisecond + linger)
		e.mu.Lock()
		e.gone = true
		for _, r := range e.active {
			r.end("exit")
			close(r.stop)
		}
		e.active = map[string]*Run{}
		e.mu.Unlock()
		_ = e.server.Close()
		e.w.Store.Remove("servers", e.ID)
		e.w.Log("%s ends", e.ID)
	}()
}

func (r *Run) end(how string) {
	if r.Ended.IsZero() {
		r.Ended, r.End = time.Now(), how
	}
}

// Runs returns copies of all runs.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Run
	for _, r := range e.runs {
		out = append(out, *r)
	}
	return out
}

// ServeHTTP serves requests and control calls.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	e.mu.Lock()
	if e.draining {
		h.Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/report":
		e.report(w)
		return
	case r.URL.Path == "/v1/kv-move":
		e.move(w, body)
		return
	case strings.HasPrefix(r.URL.Path, "/v1/kv-handle/"):
		w.WriteHeader(200)
		return
	}
	id := r.Header.Get("X-Persimmonwing-Attempt-Id")
	h.Set("X-Persimmonwing-Attempt-Id", id)
	if r.Header.Get("X-Persimmonwing-Expect-Replica") != e.ID {
		h.Set("X-Persimmonwing-Replica-Id", e.ID)
		h.Set("X-Persimmonwing-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	e.mu.Lock()
	e.arrived[id] = true
	e.mu.Unlock()
	e.run(w, r, id, body)
}

// Arrived reports whether a request has reached the engine and was not refused.
func (e *Engine) Arrived(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrived[id]
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	runs, used := [][]any{}, 0
	for _, r := range e.active {
		runs = append(runs, []any{r.ID, r.Prompt, r.Last, 5})
		used += r.Prompt + tokensAnEvent*r.Last
	}
	v := map[string]any{
		"stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": e.seq, "born": e.born,
		"queued": 0, "running": len(runs), "kv_used": used, "kv_total": 34266, "handles": 0, "state": "ready", "runs": runs,
	}
	if e.draining {
		v["state"], v["leaves_ms"] = "draining", DrainMS
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// move copies the memory of a run to another engine. Without "last" the run goes on meanwhile;
// with it the run stops first and its stream is closed without its end.
func (e *Engine) move(w http.ResponseWriter, body []byte) {
	var in struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(400)
		return
	}
	e.mu.Lock()
	r, to := e.active[in.ID], e.peers[in.To]
	if r == nil {
		e.mu.Unlock()
		w.WriteHeader(404)
		return
	}
	if in.Last {
		r.end("moved")
		close(r.stop)
		delete(e.active, in.ID)
	}
	e.handles++
	handle := "h" + strconv.Itoa(e.handles)
	created, prompt := r.Last, r.Prompt
	e.mu.Unlock()
	if to == nil {
		w.WriteHeader(503)
		return
	}
	e.w.Log("%s copies %s to %s, last=%v, %d events made", e.ID, in.ID, to.ID, in.Last, created)
	time.Sleep(time.Duration((prompt + tokensAnEvent*created) * bytesAToken * 8 / linkMbps * 1000))
	to.mu.Lock()
	to.copies[e.Address+"/"+handle] = true
	to.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": created})
}

// promptTokens returns the number of tokens of a request's prompt.
func promptTokens(r *http.Request) int {
	prompt, _, _ := strings.Cut(r.Header.Get("X-Persimmonwing-Token-Usage"), ",")
	n, _ := strconv.Atoi(prompt)
	return n
}

// eventsField is the length of the part of a body that holds the number of events of its stream.
const eventsField = 8

// run serves a stream. The body begins with the number of events.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	h := w.Header()
	events, _ := strconv.Atoi(strings.TrimSpace(string(body[:min(len(body), eventsField)])))
	prompt := promptTokens(r)
	first, resumed, prefill := 1, false, time.Duration(prompt/prefillPerMS)*time.Millisecond
	if after := r.Header.Get("Last-Event-Id"); after != "" {
		n, _ := strconv.Atoi(after)
		first, resumed = n+1, true
	}
	if from := r.Header.Get("Kv-From"); from != "" {
		e.mu.Lock()
		known := e.copies[from]
		delete(e.copies, from)
		e.mu.Unlock()
		if !known {
			h.Set("X-Persimmonwing-Not-Executed", "1")
			w.WriteHeader(503)
			return
		}
		prefill = 5 * time.Millisecond
	}
	// Prompts are read one after the other.
	select {
	case e.prefill <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	read := sleep(r.Context(), prefill)
	<-e.prefill
	if !read {
		return
	}
	run := &Run{ID: id, Engine: e.ID, Prompt: prompt, Resumed: resumed, Began: time.Now(), First: first, Last: first - 1, stop: make(chan struct{})}
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return
	}
	e.runs = append(e.runs, run)
	e.active[id] = run
	e.mu.Unlock()
	e.w.Log("%s runs %s from event %d, resumed=%v, tenant=%s", e.ID, id, first, resumed, r.Header.Get("X-Persimmonwing-Tenant"))
	h.Set("X-Persimmonwing-Replica-Seal", "3e1b.07."+e.ID)
	h.Set("X-Persimmonwing-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	gone := r.Context().Done()
	for n := first; n <= events; n++ {
		if n > first {
			select {
			case <-time.After(eventGap):
			case <-run.stop:
				panic(http.ErrAbortHandler)
			case <-gone:
				e.w.Log("%s: connection of %s closed at event %d", e.ID, id, n-1)
				gone = nil
				e.mu.Lock()
				drops := !e.keepsRunning
				e.mu.Unlock()
				if drops {
					e.finish(run, "dropped")
					return
				}
			}
		}
		e.mu.Lock()
		run.Last = n
		e.mu.Unlock()
		fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, id, n)
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
	}
	e.finish(run, "complete")
}

func (e *Engine) finish(r *Run, how string) {
	e.mu.Lock()
	r.end(how)
	if e.active[r.ID] == r {
		delete(e.active, r.ID)
	}
	e.mu.Unlock()
	e.w.Log("%s ends %s: %s at event %d", e.ID, r.ID, r.End, r.Last)
}
