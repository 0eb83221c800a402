// Package capacity measures how the resource cost of each role grows with the size
// of a fleet, and extrapolates it to the target sizes of the design page.
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
	targetGateways              = 400
	targetDataCentres           = 8
	targetGatewaysPerDataCentre = targetGateways / targetDataCentres
	targetReplicas              = 600
	targetModels                = 10
	targetWorkspaces            = 350
	targetEntries               = 700
	targetRequests              = 8.0 // per second and gateway
	targetGroupRequests         = targetRequests * targetGatewaysPerDataCentre / targetModels
	targetStreams               = 50 // in progress at a gateway
	targetTokens                = 1900.0
	targetTokensPerRequest      = 240
	targetEditsPerDay           = 1200
	secondsPerDay               = 86400.0
	nonIdempotentShare          = 0.1 // of all requests
)

// The budgets of the design page.
const (
	budgetBytes      = 17e3 // bytes/s of control traffic of a node, in and out
	budgetCPUPercent = 3.1  // percent of a core for control
	budgetMemory     = 64e6 // bytes
	budgetReads      = 2000 // reads/s of the platform
	// budgetWrites is the design page's "several hundred writes/s", taken as 500.
	budgetWrites    = 500
	budgetInForceMS = 5000 // ms from acceptance of an edit until all gateways apply it
)

// point is a value measured at one size.
type point struct{ size, value float64 }

// line is a cost measured at several sizes.
type line struct {
	name string
	// size is the label of the points' sizes, for example "gateways"; unit is the unit
	// of their values.
	size, unit string
	points     []point
	target     float64
	// budget is the maximum value at the target size. It is 0 for a line that has
	// no budget of its own because it is a term of a sum.
	budget float64
	note   string
}

// fitLine returns slope and offset of the least-squares line through the points.
func fitLine(points []point) (slope, offset float64) {
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

// atTarget returns the value at the target size: the measured one if there is one,
// otherwise the fitted one.
func (l line) atTarget() float64 {
	for _, p := range l.points {
		if p.size == l.target {
			return p.value
		}
	}
	slope, offset := fitLine(l.points)
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

// report writes lines and sums to out and collects the names of those over budget.
type report struct {
	out   io.Writer
	lines map[string]line
	over  []string
	// hostListReads is the number of reads of the host list per second by the active
	// controller.
	hostListReads float64
}

func (r *report) add(l line) {
	r.lines[l.name] = l
	slope, offset := fitLine(l.points)
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
	r.writeVerdict(l.name, at, l.budget)
	if l.note != "" {
		fmt.Fprintf(r.out, "  %s\n", l.note)
	}
}

func (r *report) writeVerdict(name string, value, budget float64) {
	v := verdict(value, budget)
	if budget > 0 {
		fmt.Fprintf(r.out, "; budget %.4g", budget)
	}
	fmt.Fprintf(r.out, "  %s\n", v)
	if v == "OVER" {
		r.over = append(r.over, name)
	}
}

// targetValue returns the value of a line at its target size. It panics if the line
// has not been added.
func (r *report) targetValue(name string) float64 {
	l, ok := r.lines[name]
	if !ok {
		panic("capacity: no line " + name)
	}
	return l.atTarget()
}

// term is a term of a sum.
type term struct {
	name  string
	value float64
}

// sum writes the terms of a cost and compares their total with the budget.
func (r *report) sum(name, unit string, budget float64, terms []term) {
	fmt.Fprintf(r.out, "SUM %s [%s]\n", name, unit)
	w := tabwriter.NewWriter(r.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	total := 0.0
	for _, p := range terms {
		total += p.value
		fmt.Fprintf(w, "  %.4g\t  %s\n", p.value, p.name)
	}
	_ = w.Flush()
	fmt.Fprintf(r.out, "  total %.4g %s", total, unit)
	r.writeVerdict(name, total, budget)
}

// section is a named group of measurements.
type section struct {
	name    string
	measure func(context.Context, *report) error
}

// allSections returns the sections in an order in which each runs after those whose
// lines it uses.
func allSections() []section {
	return []section{
		{"gossip", measureGossip}, {"decision", measureDecision}, {"polls", measurePolls}, {"claims", measureClaims},
		{"catalogue", measureCatalogue}, {"memory", measureMemory}, {"data", measureDataPath},
		{"controller", measureController}, {"platform", measurePlatformReads}, {"grants", measureGrants},
	}
}

// Sections returns the section names that Run accepts as its argument only.
func Sections() []string {
	var names []string
	for _, p := range allSections() {
		names = append(names, p.name)
	}
	return names
}

// selected reports whether a section runs. The section controller uses lines of the
// section polls.
func selected(section, only string) bool {
	return only == "" || section == only || section == "polls" && only == "controller"
}

// Run runs all measurements and writes the report to out. It returns the names of
// the lines and sums that are over their budget. If only is not empty, it runs just
// the section of that name and leaves out the sums for gateways.
func Run(ctx context.Context, out io.Writer, only string) (over []string, err error) {
	r := &report{out: out, lines: map[string]line{}}
	began := time.Now()
	fmt.Fprintf(out, "capacity on %s, GOMAXPROCS %d, %s\n", runtime.Version(), runtime.GOMAXPROCS(0), began.UTC().Format(time.RFC3339))
	fmt.Fprintf(out, "bytes: in plus out of a node, without TCP and IP headers; 1 KB = 1,000 bytes\n\n")
	for _, p := range allSections() {
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
		r.writeRoleSums()
	}
	fmt.Fprintf(out, "\nfinished in %v; over budget: %d\n", time.Since(began).Round(time.Second), len(r.over))
	for _, name := range r.over {
		fmt.Fprintf(out, "  OVER %s\n", name)
	}
	return r.over, nil
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes runs the garbage collector and returns the bytes of live heap objects
// and of goroutine stacks.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
