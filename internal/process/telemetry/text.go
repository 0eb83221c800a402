package telemetry

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles of each histogram in the text format.
var quantiles = []float64{0.5, 0.95, 0.99}

// TextHandler serves the registry as text, with one line for each value. The first
// part of a metric's name is the name on the line; the parts after it become labels
// by position: part1, part2 and so on.
func (m *Metrics) TextHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		var lines []string
		m.registry.Each(func(name string, metric any) { lines = append(lines, textLines(name, metric)...) })
		sort.Strings(lines)
		for _, l := range lines {
			// A write fails if the client has closed the connection.
			if _, err := fmt.Fprintln(w, l); err != nil {
				return
			}
		}
	})
}

func textLines(name string, metric any) []string {
	parts := strings.Split(name, ".")
	labels := make([]string, 0, len(parts))
	for i, p := range parts[1:] {
		labels = append(labels, fmt.Sprintf("part%d=%q", i+1, p))
	}
	line := func(suffix string, value any, extra ...string) string {
		all := append(append([]string(nil), labels...), extra...)
		if len(all) == 0 {
			return fmt.Sprintf("%s%s %v", parts[0], suffix, value)
		}
		return fmt.Sprintf("%s%s{%s} %v", parts[0], suffix, strings.Join(all, ","), value)
	}
	switch v := metric.(type) {
	case metrics.Counter:
		return []string{line("_total", v.Count())}
	case metrics.Gauge:
		return []string{line("", v.Value())}
	case metrics.Histogram:
		s := v.Snapshot()
		out := []string{line("_count", s.Count())}
		for i, p := range s.Percentiles(quantiles) {
			out = append(out, line("", int64(p), fmt.Sprintf("quantile=%q", fmt.Sprint(quantiles[i]))))
		}
		return out
	}
	return nil
}
