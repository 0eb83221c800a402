// Package capacity measures how the cost of each role grows with the size of a
// fleet, and extrapolates it to the target sizes of the design page.
package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"
)

// The target sizes of the design page, section 1.6.
const (
	targetGateways      = 400
	targetCentres       = 8
	targetPerCentre     = targetGateways / targetCentres
	targetReplicas      = 600
	targetModels        = 10
	targetWorkspaces    = 350
	targetEntries       = 700
	targetRequests      = 8.0 // per second and gateway
	targetGroupRequests = targetRequests * targetPerCentre / targetModels
	targetStreams       = 50 // in progress at a gateway
	targetTokens        = 1900.0
	targetTokensRequest = 240
	targetEditsPerDay   = 1200
	secondsPerDay       = 86400.0
	nonIdempotentShare  = 0.1 // of all requests
)

// The budgets of the design page.
const (
	budgetBytes  = 17e3 // bytes/s of control traffic of a node, in and out
	budgetCore   = 3.1  // percent of a core for control
	budgetMemory = 64e6 // bytes
	budgetReads  = 2000 // reads/s of the platform
	// budgetWrites reads "several hundred writes/s" as 500.
	budgetWrites  = 500
	budgetInForce = 5000 // ms from acceptance of an edit to all gateways
)

// point is one measurement.
type point struct{ size, value float64 }

// line is a cost measured at several sizes.
type line struct {
	name string
	// size and unit name what the points are measured against and in.
	size, unit string
	points     []point
	target     float64
	// budget is 0 for a line that is a part of a sum with a budget.
	budget float64
	note   string
}

// fit returns the least squares line through the points.
func fit(points []point) (slope, offset float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, sy / n
	}
	slope = (n*sxy - sx*sy) / d
	return slope, (sy - slope*sx) / n
}

// atTarget returns the measured value at the target size, or the fitted one.
func (l line) atTarget() float64 {
	for _, p := range l.points {
		if p.size == l.target {
			return p.value
		}
	}
	slope, offset := fit(l.points)
	return slope*l.target + offset
}

// measured reports whether the target size itself was measured.
func (l line) measured() bool {
	for _, p := range l.points {
		if p.size == l.target {
			return true
		}
	}
	return false
}

func verdict(value, budget float64) string {
	switch {
	case budget == 0:
		return "part"
	case value > budget:
		return "OVER"
	}
	return "ok"
}

// report collects lines and sums.
type report struct {
	out   io.Writer
	lines map[string]line
	over  []string
	// listReads is the number of host lists that the active controller reads in
	// a second.
	listReads float64
}

func (r *report) add(l line) {
	r.lines[l.name] = l
	slope, offset := fit(l.points)
	at := l.atTarget()
	how := "fitted"
	if l.measured() {
		how = "measured"
	}
	fmt.Fprintf(r.out, "%s [%s against %s]\n ", l.name, l.unit, l.size)
	for _, p := range l.points {
		fmt.Fprintf(r.out, " %g: %.4g", p.size, p.value)
	}
	fmt.Fprintf(r.out, "\n  slope %.4g, offset %.4g; at %g (%s): %.4g %s", slope, offset, l.target, how, at, l.unit)
	r.judge(l.name, at, l.budget)
	if l.note != "" {
		fmt.Fprintf(r.out, "  %s\n", l.note)
	}
}

func (r *report) judge(name string, value, budget float64) {
	v := verdict(value, budget)
	if budget > 0 {
		fmt.Fprintf(r.out, "; budget %.4g", budget)
	}
	fmt.Fprintf(r.out, "  %s\n", v)
	if v == "OVER" {
		r.over = append(r.over, name)
	}
}

// at returns the value of a line at its target.
func (r *report) at(name string) float64 {
	l, ok := r.lines[name]
	if !ok {
		panic("capacity: no line " + name)
	}
	return l.atTarget()
}

// part is a term of a sum.
type part struct {
	name  string
	value float64
}

// sum prints the terms of a cost and judges the total.
func (r *report) sum(name, unit string, budget float64, parts []part) {
	fmt.Fprintf(r.out, "SUM %s [%s]\n", name, unit)
	w := tabwriter.NewWriter(r.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	total := 0.0
	for _, p := range parts {
		total += p.value
		fmt.Fprintf(w, "  %.4g\t  %s\n", p.value, p.name)
	}
	_ = w.Flush()
	fmt.Fprintf(r.out, "  total %.4g %s", total, unit)
	r.judge(name, total, budget)
}

// section is one part of the measurements.
type section struct {
	name    string
	measure func(context.Context, *report) error
}

// parts lists the sections in the order in which they need each other's lines.
func parts() []section {
	return []section{
		{"gossip", measureGossip}, {"decision", measureDecision}, {"polls", measurePolls}, {"claims", measureClaims},
		{"catalogue", measureCatalogue}, {"memory", measureMemory}, {"data", measureDataPath},
		{"controller", measureController}, {"platform", measurePlatformReads}, {"grants", measureGrants},
	}
}

// Sections returns the names that Run accepts as only.
func Sections() []string {
	var names []string
	for _, p := range parts() {
		names = append(names, p.name)
	}
	return names
}

// selected tells whether a section runs. The controller needs the lines of polls.
func selected(section, only string) bool {
	return only == "" || section == only || section == "polls" && only == "controller"
}

// Run measures everything and writes the report. It returns the names of the
// lines that are over their budget.
// With only, it runs the part of that name and makes no sums of gateways.
func Run(ctx context.Context, out io.Writer, only string) (over []string, err error) {
	r := &report{out: out, lines: map[string]line{}}
	began := time.Now()
	fmt.Fprintf(out, "capacity on %s, GOMAXPROCS %d, %s\n", runtime.Version(), runtime.GOMAXPROCS(0), began.UTC().Format(time.RFC3339))
	fmt.Fprintf(out, "bytes: in plus out of a node, without TCP and IP headers; 1 KB = 1,000 bytes\n\n")
	for _, p := range parts() {
		if !selected(p.name, only) {
			continue
		}
		if err := p.measure(ctx, r); err != nil {
			return nil, err
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		fmt.Fprintln(out)
	}
	if only == "" {
		r.roles()
	}
	fmt.Fprintf(out, "\nfinished in %v; over budget: %d\n", time.Since(began).Round(time.Second), len(r.over))
	for _, name := range r.over {
		fmt.Fprintf(out, "  OVER %s\n", name)
	}
	return r.over, nil
}

// cpu returns the user and system time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of live heap objects and of goroutine stacks.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
