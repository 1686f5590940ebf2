// Package mtchart draws lines over time as a picture.
package mtchart

import (
	"image/color"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a picture.
const (
	width  = 20 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// colours tell the first lines apart, also in grey.
var colours = []color.Color{
	color.RGBA{R: 0x1f, G: 0x4e, B: 0x9c, A: 0xff}, color.RGBA{R: 0xe0, G: 0x7b, B: 0x00, A: 0xff},
	color.RGBA{R: 0x2b, G: 0x8a, B: 0x3e, A: 0xff}, color.RGBA{R: 0x8a, G: 0x2b, B: 0x6f, A: 0xff},
}

// Chart is one picture.
type Chart struct {
	plot  *plot.Plot
	lines int
}

// New returns an empty picture of a title and the names of its axes.
func New(title, across, up string) *Chart {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, across, up
	p.Add(plotter.NewGrid())
	return &Chart{plot: p}
}

// Line adds a line through some points; both lists are of one length.
func (c *Chart) Line(name string, xs, ys []float64) error {
	points := make(plotter.XYs, min(len(xs), len(ys)))
	for i := range points {
		points[i].X, points[i].Y = xs[i], ys[i]
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return trace.Wrap(err)
	}
	line.Color = colours[c.lines%len(colours)]
	c.lines++
	c.plot.Add(line)
	c.plot.Legend.Add(name, line)
	return nil
}

// Save writes the picture; the path's ending names its form, as in .svg and .png.
func (c *Chart) Save(path string) error { return trace.Wrap(c.plot.Save(width, height, path)) }
