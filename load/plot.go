package load

import (
	"sort"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14
)

// Plot draws three quantiles of the callers' latencies into a PNG file.
func Plot(r Report, file string) error {
	p := plot.New()
	p.Title.Text = "Time of callers' requests"
	p.Y.Label.Text = "seconds"
	names := make([]string, 0, len(r.Callers))
	for name := range r.Callers {
		names = append(names, name)
	}
	sort.Strings(names)
	for i, quantile := range []string{"p50", "p99", "p999"} {
		var values plotter.Values
		for _, name := range names {
			values = append(values, r.Callers[name].Latencies[quantile])
		}
		if len(values) == 0 {
			continue
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "create bar chart")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(float64(i-1) * barWidth)
		p.Add(bars)
		p.Legend.Add(quantile, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
