package report

import (
	"fmt"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	// barShare is the share of a step's width that its bar takes.
	barShare = 0.6
)

// Plot draws the parts of each step into a PNG file, one bar for each step.
func Plot(r *Report, file string) error {
	if len(r.Steps) == 0 {
		return errors.New("the logs hold no steps to plot")
	}
	p := plot.New()
	p.Title.Text = "Critical path of each step"
	p.Y.Label.Text = "seconds"
	var names []string
	for _, step := range r.Steps {
		names = append(names, fmt.Sprint(step.Step))
	}
	var below *plotter.BarChart
	for i, name := range PartNames {
		values := make(plotter.Values, len(r.Steps))
		for s, step := range r.Steps {
			values[s] = step.Parts.Values()[i]
		}
		bars, err := plotter.NewBarChart(values, barShare*plotWidth/vg.Length(len(r.Steps)+1))
		if err != nil {
			return errors.Wrap(err, "create bar chart")
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
