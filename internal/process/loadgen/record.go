package loadgen

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// Record describes one request; Config.Record receives it as a JSON line. Times are
// Unix times in milliseconds, so that they can be compared with other programs' logs.
type Record struct {
	ID   string         `json:"id"`
	Kind catalogue.Kind `json:"kind"`
	// AtMostOnce means that the request has an idempotency key and may run only once.
	AtMostOnce bool          `json:"once,omitempty"`
	ArrivedMS  int64         `json:"arrived_ms"`
	EndedMS    int64         `json:"ended_ms"`
	Code       string        `json:"code"`
	Execution  api.Execution `json:"execution,omitempty"`
	Tokens     int           `json:"tokens,omitempty"`
	// Accepted means that the caller received a response id.
	Accepted   bool              `json:"accepted,omitempty"`
	Violations map[Violation]int `json:"violations,omitempty"`
	Exchanges  []Exchange        `json:"links,omitempty"`
}

// Exchange describes one HTTP exchange of a request with one target.
type Exchange struct {
	Target string `json:"target"`
	FromMS int64  `json:"from_ms"`
	ToMS   int64  `json:"to_ms"`
	// Answered means that the target sent response headers.
	Answered bool `json:"answered,omitempty"`
	// Code is the outcome of this exchange alone.
	Code string `json:"code"`
}

// recordWriter writes records as JSON lines. A nil *recordWriter drops them.
type recordWriter struct {
	mu  sync.Mutex
	enc *json.Encoder
	err error
}

func newRecordWriter(w io.Writer) *recordWriter {
	if w == nil {
		return nil
	}
	return &recordWriter{enc: json.NewEncoder(w)}
}

func (w *recordWriter) write(r *Record) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.enc.Encode(r)
	}
}

// close returns the first write error. It does not close the underlying writer.
func (w *recordWriter) close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// toRecord converts the result of a request of a run that started at start.
func (rr *requestResult) toRecord(start time.Time, s *Stream) *Record {
	r := &Record{
		ID:         rr.id,
		Kind:       s.Kind,
		AtMostOnce: s.IdempotencyKey,
		ArrivedMS:  start.Add(rr.arrived).UnixMilli(),
		EndedMS:    start.Add(rr.ended).UnixMilli(),
		Code:       rr.code,
		Execution:  rr.execution,
		Accepted:   rr.accepted,
		Violations: rr.violations,
		Exchanges:  rr.exchanges,
	}
	for _, p := range rr.perWindow {
		r.Tokens += p.tokens
	}
	return r
}

// addExchange adds the exchange that began at from and has just ended.
func (rr *requestResult) addExchange(s *sender, from time.Time, answered bool, code string) {
	rr.exchanges = append(rr.exchanges, Exchange{
		Target:   s.target,
		FromMS:   from.UnixMilli(),
		ToMS:     time.Now().UnixMilli(),
		Answered: answered,
		Code:     code,
	})
}
