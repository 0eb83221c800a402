// Package telemetry keeps a process's metrics in a go-metrics registry: counters and
// gauges by name, and histograms for each workspace and class. Names of workspaces
// come from the catalogue only, so that callers can't make the registry grow.
package telemetry

import (
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of values in the reservoir of a histogram. For 350
// workspaces, 2 classes and 4 measures, 256 values of 8 bytes take 5.7 MB.
const sampleSize = 256

// sampleAlpha is the decay factor of the reservoir, which biases it to about the last
// five minutes.
const sampleAlpha = 0.015

// Measure is the name of a quantity that histograms record, in microseconds.
type Measure string

// The measures kept for each workspace and class.
const (
	FirstToken Measure = "first_token_us"
	TokenGap   Measure = "token_gap_us"
	StallTime  Measure = "stall_us"
	QueueTime  Measure = "queue_us"
	// LackTime is the part of QueueTime in which something was lacking, by what that was.
	LackTime Measure = "lack_us"
	// LoadAge is the age of what was known of a server's load when a call was sent to it.
	LoadAge Measure = "load_age_us"
)

// Metrics contains the metrics of one process.
type Metrics struct{ registry metrics.Registry }

// New returns an empty registry.
func New() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// Remove removes a counter or gauge, so that names of servers that have gone don't accumulate.
func (m *Metrics) Remove(parts ...string) { m.registry.Unregister(strings.Join(parts, ".")) }

// Counter returns the counter whose name consists of parts joined by dots. It is
// created on first use.
func (m *Metrics) Counter(parts ...string) metrics.Counter {
	return metrics.GetOrRegisterCounter(strings.Join(parts, "."), m.registry)
}

// Gauge returns the gauge whose name consists of parts joined by dots. It is created
// on first use.
func (m *Metrics) Gauge(parts ...string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(strings.Join(parts, "."), m.registry)
}

// Histogram returns the histogram of a measure for a workspace and class. It is
// created on first use.
func (m *Metrics) Histogram(measure Measure, workspace, class string) metrics.Histogram {
	name := strings.Join([]string{string(measure), workspace, class}, ".")
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// Observe adds a duration to the histogram of a measure for a workspace and class.
func (m *Metrics) Observe(measure Measure, workspace, class string, d time.Duration) {
	m.Histogram(measure, workspace, class).Update(d.Microseconds())
}

// ObserveLack records a wait for a replica that was granted or refused at last, by what the request lacked.
func (m *Metrics) ObserveLack(lack, class string, waited time.Duration, granted bool) {
	if !granted {
		m.Counter("refused_lacking", lack).Inc(1)
		return
	}
	m.Observe(LackTime, lack, class, waited)
}

// Handler serves the registry as JSON.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(m.registry, w)
	})
}
