package report

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

var (
	shade = color.NRGBA{R: 200, G: 120, B: 40, A: 40}
	lines = []color.Color{color.NRGBA{R: 20, G: 80, B: 160, A: 255}, color.NRGBA{R: 170, G: 50, B: 40, A: 255},
		color.NRGBA{R: 60, G: 130, B: 60, A: 255}, color.NRGBA{R: 130, G: 90, B: 150, A: 255}, color.NRGBA{R: 90, G: 90, B: 90, A: 255}}
)

// Plot writes an SVG of service, rejections and latency over time, for the node and the baselines, with faults shaded.
func (r *Report) Plot(path string) error {
	all := append([]Report{*r}, r.Baselines...)
	service, err := r.panel("service", all, func(p Point) float64 { return p.Service })
	if err != nil {
		return err
	}
	service.Title.Text = fmt.Sprintf("%s, seed %d: %d nodes, %d servers", r.Scenario, r.Seed, r.Nodes, r.Servers)
	service.Y.Min, service.Y.Max = 0, 1
	rejected, err := r.panel("rejected and failed, per 250 ms", all, func(p Point) float64 { return float64(p.Rejected + p.Failed) })
	if err != nil {
		return err
	}
	latency, err := r.panel("p99 latency, ms", all, func(p Point) float64 { return p.P99 })
	if err != nil {
		return err
	}
	latency.X.Label.Text = "s since the start"
	const width, height = 9 * vg.Inch, 9 * vg.Inch
	c := vgsvg.New(width, height)
	grid := [][]*plot.Plot{{service}, {rejected}, {latency}}
	tiles := draw.Tiles{Rows: 3, Cols: 1, PadY: vg.Points(8), PadTop: vg.Points(4), PadBottom: vg.Points(4), PadRight: vg.Points(8)}
	for i, row := range plot.Align(grid, tiles, draw.New(c)) {
		grid[i][0].Draw(row[0])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := c.WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// panel returns a plot of one figure of all reports over time.
func (r *Report) panel(name string, all []Report, of func(Point) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = name
	p.Legend.Top = true
	top := 1.0
	for i, x := range all {
		xy := make(plotter.XYs, len(x.Series))
		for k, pt := range x.Series {
			xy[k].X, xy[k].Y = pt.AtS, of(pt)
			top = max(top, xy[k].Y)
		}
		if len(xy) == 0 {
			continue
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return nil, err
		}
		l.Color = lines[i%len(lines)]
		if i > 0 {
			l.Width, l.Dashes = vg.Points(0.7), []vg.Length{vg.Points(3), vg.Points(2)}
		}
		p.Add(l)
		p.Legend.Add(x.Policy, l)
	}
	for _, f := range r.Faults {
		box, err := plotter.NewPolygon(plotter.XYs{{X: f.FromS, Y: 0}, {X: max(f.ToS, f.FromS+0.05), Y: 0},
			{X: max(f.ToS, f.FromS+0.05), Y: top}, {X: f.FromS, Y: top}})
		if err != nil {
			return nil, err
		}
		box.Color, box.LineStyle.Width = shade, 0
		p.Add(box)
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.FromS, Y: top * 0.02}}, Labels: []string{f.Kind}})
		if err != nil {
			return nil, err
		}
		p.Add(label)
	}
	return p, nil
}
