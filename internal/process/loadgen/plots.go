package loadgen

import (
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// Registers the SVG format, which plot.Save uses.
	_ "gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot in the SVG file.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// Curve is one line of a plot.
type Curve struct {
	Name string
	hist *hdrhistogram.Histogram
}

// FirstTokenCurve returns the distribution of the group's first-token latencies.
func (g *Group) FirstTokenCurve(name string) Curve { return Curve{name, g.firstToken} }

// GapCurve returns the distribution of the group's token gaps.
func (g *Group) GapCurve(name string) Curve { return Curve{name, g.gaps} }

// WritePlots writes the cumulative distributions of first-token latencies and token
// gaps of each class in the first window as SVG files into dir. It creates dir if
// needed.
func (r *Result) WritePlots(dir string) error {
	var first, gaps []Curve
	for i := range r.Windows[0].Classes {
		g := &r.Windows[0].Classes[i]
		first = append(first, g.FirstTokenCurve(g.Name))
		gaps = append(gaps, g.GapCurve(g.Name))
	}
	if err := WriteCDF(dir, "first_token.svg", "First token", first); err != nil {
		return err
	}
	return WriteCDF(dir, "token_gap.svg", "Gap between tokens", gaps)
}

// WriteCDF writes one plot of cumulative distributions to file in dir and creates
// dir if needed. Curves without values are left out; without any values, no file
// is written.
func WriteCDF(dir, file, title string, curves []Curve) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "milliseconds"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "share of values up to x"
	p.Legend.Left = true
	p.Legend.Top = true
	drawn := 0
	for _, c := range curves {
		if c.hist == nil || c.hist.TotalCount() == 0 {
			continue
		}
		line, err := plotter.NewLine(cdf(c.hist))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(drawn)
		line.Dashes = plotutil.Dashes(drawn)
		p.Add(line)
		p.Legend.Add(c.Name, line)
		drawn++
	}
	if drawn == 0 {
		return nil
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, file))
}

func cdf(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	seen := int64(0)
	for _, bar := range h.Distribution() {
		if bar.Count == 0 {
			continue
		}
		seen += bar.Count
		ms := float64(bar.To) * float64(time.Microsecond) / float64(time.Millisecond)
		points = append(points, plotter.XY{X: ms, Y: float64(seen) / float64(h.TotalCount())})
	}
	if len(points) == 1 {
		// A line needs two points.
		points = append(plotter.XYs{{X: points[0].X / 2, Y: 0}}, points...)
	}
	return points
}
