package diagnosis

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 25 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// legendSpace is the height of the chart in heights of its largest bar, so
	// that the legend fits above the bars.
	legendSpace = 1.6
)

// SavePlot writes a chart of the losses over time, stacked by cause. The format
// follows from the extension of the file: svg, png or pdf.
func (r *Report) SavePlot(path string) error {
	p := plot.New()
	p.Title.Text = "Not answered in time, by cause"
	p.X.Label.Text = "moment of " + r.Config.Interval.String()
	p.Y.Label.Text = "worth lost"
	p.Legend.Top = true
	colors := slices.Concat(plotutil.DarkColors, plotutil.SoftColors)
	moments := 1
	for _, l := range r.Losses {
		moments = max(moments, r.moment(l.At)+1)
	}
	var below *plotter.BarChart
	for i, cause := range mostFirst(r.Sum(func(l Loss) string { return string(l.Cause) })) {
		values := make(plotter.Values, moments)
		for _, l := range r.Losses {
			if string(l.Cause) == cause {
				values[r.moment(l.At)] += l.Worth
			}
		}
		bars, err := plotter.NewBarChart(values, plotWidth/vg.Length(2*moments))
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		bars.Color, bars.LineStyle.Width = colors[i%len(colors)], 0
		if below != nil {
			bars.StackOn(below)
		}
		p.Add(bars)
		p.Legend.Add(cause, bars)
		below = bars
	}
	p.Y.Max *= legendSpace
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %s", path)
}

// moment returns the number of the moment of a time; times before the start
// count to the first one.
func (r *Report) moment(at time.Duration) int { return max(int(at/r.Config.Interval), 0) }
