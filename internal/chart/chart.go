// Package chart plots experiments: the share of jobs on time under each policy
// against the hosts that it uses.
//
// # Usage
//
//	err := chart.Write("policies.svg", reports)
package chart

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/papayarudder/papayarudder/internal/model"
)

// Size of a chart in the file.
const (
	width  = 18 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Write plots the policies of some experiments into a file whose extension, .svg,
// .png or .pdf, selects the format. Each experiment is one series: the share of jobs
// on time over the mean number of hosts in pools. A dashed line marks the hosts that
// a plan needs that knows the load in advance.
func Write(path string, reports []model.Report) error {
	p := plot.New()
	p.Title.Text = "Jobs on time, and what they cost"
	p.X.Label.Text = "hosts in pools, mean"
	p.Y.Label.Text = "share of jobs on time"
	p.Legend.Left, p.Legend.Top = true, false
	for i, r := range reports {
		if err := addSeries(p, r, plotutil.Color(i), plotutil.Shape(i)); err != nil {
			return errors.Wrapf(err, "plot scenario %s", r.Scenario)
		}
	}
	return errors.Wrapf(p.Save(width, height, path), "save chart %s", path)
}

func addSeries(p *plot.Plot, r model.Report, seriesColor color.Color, shape draw.GlyphDrawer) error {
	points := make(plotter.XYs, len(r.Summaries))
	names := make([]string, len(r.Summaries))
	lowest := 1.0
	for i, s := range r.Summaries {
		points[i] = plotter.XY{X: s.Hosts, Y: s.OnTime}
		names[i] = " " + s.Policy
		lowest = min(lowest, s.OnTime)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.GlyphStyle = draw.GlyphStyle{Color: seriesColor, Radius: vg.Points(3), Shape: shape}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return err
	}
	needed := r.Bound.HostSeconds / r.Duration
	line, err := plotter.NewLine(plotter.XYs{{X: needed, Y: lowest}, {X: needed, Y: 1}})
	if err != nil {
		return err
	}
	line.LineStyle = draw.LineStyle{Color: seriesColor, Width: vg.Points(1), Dashes: []vg.Length{vg.Points(4), vg.Points(3)}}
	p.Add(scatter, labels, line)
	p.Legend.Add(r.Scenario+" (line: clairvoyant plan)", scatter)
	return nil
}
