package engine

import (
	"encoding/json"
	"net/http"
)

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		e.writeError(w, badRequest("faults are not valid: %v", err))
		return
	}
	e.SetFaults(f)
	e.writeJSON(w, f)
}

func (e *Engine) getCounters(w http.ResponseWriter, r *http.Request) {
	c, err := e.Counters(r.Context())
	if err != nil {
		abort()
	}
	e.writeJSON(w, c)
}

func (e *Engine) getRuns(w http.ResponseWriter, r *http.Request) {
	runs, err := e.Runs(r.Context())
	if err != nil {
		abort()
	}
	e.writeJSON(w, runs)
}

// logValue returns the faults as JSON, for use as a log value.
func logValue(f Faults) string {
	b, err := json.Marshal(f)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
