package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"
)

const (
	// loadPollInterval is the interval at which a stream checks for a new report.
	loadPollInterval = 25 * time.Millisecond
	// minLoadPeriod is the shortest period that a reader may request.
	minLoadPeriod = 50 * time.Millisecond
)

// streamLoad sends the load report as server-sent events, one per period. The first
// event contains all fields, later events only changed fields; an event is sent even
// if no field has changed.
func (e *Engine) streamLoad(w http.ResponseWriter, r *http.Request, period time.Duration) {
	cut := e.faults.cutSignal()
	poll := time.NewTicker(min(loadPollInterval, period))
	defer poll.Stop()
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
			next := jsonFields(report)
			event, err := json.Marshal(changedFields(last, next))
			if err != nil {
				abort()
			}
			// A report that appears up to 20% before the period has passed is sent
			// at once, instead of a whole period later.
			sinceSent := time.Since(sentAt)
			if sinceSent >= period || (len(event) > len("{}") && sinceSent >= period*4/5) {
				last, sentAt = next, time.Now()
				_, err = w.Write(append(append([]byte("data:"), event...), "\n\n"...))
				if err != nil || http.NewResponseController(w).Flush() != nil || report.Draining {
					return // a draining engine waits until its connections have ended
				}
			}
		}
		select {
		case <-poll.C:
		case <-cut:
			abort()
		case <-e.stopped.Done():
			abort()
		case <-r.Context().Done():
			return
		}
	}
}

// jsonFields returns the JSON encoding of each field of v by its JSON name.
func jsonFields(v any) map[string]json.RawMessage {
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

// changedFields returns the fields of next that differ from those of last.
func changedFields(last, next map[string]json.RawMessage) map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	for k, v := range next {
		if !bytes.Equal(last[k], v) {
			out[k] = v
		}
	}
	return out
}
