package wasabimeasure

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WritePlot draws which part of all requests got their first token within
// which time, a line for each report, into a file.
func WritePlot(path string, reports []Report) error {
	p := plot.New()
	p.Title.Text = reports[0].Workload
	p.X.Label.Text = "time to first token (ms)"
	p.Y.Label.Text = "part of all requests"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Max = 1
	p.Legend.Left = true
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var lines []any
	for _, r := range reports {
		points := make(plotter.XYs, len(r.ttft))
		for i, t := range r.ttft {
			points[i] = plotter.XY{X: float64(max(1, t)), Y: float64(i+1) / float64(r.Requests)}
		}
		lines = append(lines, r.Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(20*vg.Centimeter, 13*vg.Centimeter, path)
}
