package daemon

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"persimmonwing/internal/process/admission"
	"persimmonwing/internal/process/telemetry"
)

// CallerReport writes what callers make a process hold to its metrics and its log.
type CallerReport struct {
	budget  *admission.Budget
	metrics *telemetry.Metrics
	logger  log.Logger
	last    admission.Usage
}

// NewCallerReport returns a report.
func NewCallerReport(b *admission.Budget, m *telemetry.Metrics, logger log.Logger) *CallerReport {
	return &CallerReport{budget: b, metrics: m, logger: logger}
}

// Update updates the metrics. It logs one line for each kind of connections that gave way and requests that were
// refused since the last call, however many there were.
func (r *CallerReport) Update() {
	u := r.budget.Usage()
	r.metrics.Gauge("callers_bytes").Update(u.Bytes)
	r.metrics.Gauge("callers_connections").Update(int64(u.Connections))
	for during, n := range u.Displaced {
		if more := n - r.last.Displaced[during]; more > 0 {
			r.metrics.Counter("callers_gave_way", during).Inc(more)
			_ = level.Warn(r.logger).Log("msg", "connections of callers gave way", "during", during, "count", more, "bytes", u.Bytes, "connections", u.Connections)
		}
	}
	if more := u.Refused - r.last.Refused; more > 0 {
		r.metrics.Counter("callers_without_room").Inc(more)
		_ = level.Warn(r.logger).Log("msg", "requests refused for lack of memory", "count", more, "bytes", u.Bytes, "connections", u.Connections)
	}
	r.last = u
}
