package loadgen

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"persimmonwing/internal/request/api"
	"persimmonwing/internal/version/catalogue"
)

// Record is the line that Config.Record gets for each request. Times are Unix
// times in milliseconds, so that they can be compared with other programs' logs.
type Record struct {
	ID   string         `json:"id"`
	Kind catalogue.Kind `json:"kind"`
	// Once marks a call that may run only once.
	Once      bool          `json:"once,omitempty"`
	ArrivedMS int64         `json:"arrived_ms"`
	EndedMS   int64         `json:"ended_ms"`
	Code      string        `json:"code"`
	Execution api.Execution `json:"execution,omitempty"`
	Tokens    int           `json:"tokens,omitempty"`
	// Accepted means that the caller got a response id.
	Accepted   bool              `json:"accepted,omitempty"`
	Violations map[Violation]int `json:"violations,omitempty"`
	Links      []Link            `json:"links,omitempty"`
}

// Link is one exchange of a request with one target.
type Link struct {
	Target string `json:"target"`
	FromMS int64  `json:"from_ms"`
	ToMS   int64  `json:"to_ms"`
	// Answered means that the target sent the headers of an answer.
	Answered bool `json:"answered,omitempty"`
	// Code is the outcome of this exchange alone.
	Code string `json:"code"`
}

// recordWriter writes records as JSON lines. A nil writer drops them.
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

// close returns the first error of a write.
func (w *recordWriter) close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// record converts a finished request of a run that started at start.
func (f *finished) record(start time.Time, s *Stream) *Record {
	r := &Record{
		ID:         f.id,
		Kind:       s.Kind,
		Once:       s.IdempotencyKey,
		ArrivedMS:  start.Add(f.arrived).UnixMilli(),
		EndedMS:    start.Add(f.ended).UnixMilli(),
		Code:       f.code,
		Execution:  f.execution,
		Accepted:   f.accepted,
		Violations: f.violations,
		Links:      f.links,
	}
	for _, p := range f.parts {
		r.Tokens += p.tokens
	}
	return r
}

// link adds the exchange that began at from and has just ended.
func (f *finished) link(s *sender, from time.Time, answered bool, code string) {
	f.links = append(f.links, Link{
		Target:   s.target,
		FromMS:   from.UnixMilli(),
		ToMS:     time.Now().UnixMilli(),
		Answered: answered,
		Code:     code,
	})
}
