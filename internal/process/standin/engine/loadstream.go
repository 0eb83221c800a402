package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// loadLook is the time between two looks for a new report of a stream.
	loadLook = 25 * time.Millisecond
	// leastEvery bounds the period that a reader may ask for.
	leastEvery = 50 * time.Millisecond
)

// streamLoad sends the fields of the load report that have changed, at most
// once in about every and at least that often, the first time all of them.
func (e *Engine) streamLoad(w http.ResponseWriter, r *http.Request, every time.Duration) {
	cut := e.faults.cutSignal()
	look := time.NewTicker(min(loadLook, every))
	defer look.Stop()
	w.Header().Set("Content-Type", "text/event-stream")
	var last map[string]json.RawMessage
	sentAt := time.Time{}
	for {
		f, _ := e.faults.get()
		report, ok := e.reports.latest(time.Now())
		switch {
		case f.HideReports || !ok:
			return
		case f.Freeze || f.StallStreams:
		default:
			next := fields(report)
			event, err := json.Marshal(changes(last, next))
			if err != nil {
				abort()
			}
			// Reports that come a little early are not held for a whole period.
			since := time.Since(sentAt)
			if since >= every || (len(event) > len("{}") && since >= every*4/5) {
				last, sentAt = next, time.Now()
				_, err = w.Write(append(append([]byte("data:"), event...), "\n\n"...))
				if err != nil || http.NewResponseController(w).Flush() != nil || report.Draining {
					return // a draining engine waits for the end of its connections
				}
			}
		}
		select {
		case <-look.C:
		case <-cut:
			abort()
		case <-e.stopped.Done():
			abort()
		case <-r.Context().Done():
			return
		}
	}
}

// fields returns the JSON of each field of v.
func fields(v any) map[string]json.RawMessage {
	m := map[string]json.RawMessage{}
	text, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	if err != nil {
		abort()
	}
	return m
}

// changes returns the fields of next that differ from last.
func changes(last, next map[string]json.RawMessage) map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	for k, v := range next {
		if !bytes.Equal(last[k], v) {
			out[k] = v
		}
	}
	return out
}
