package wasabimeasure

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WritePlot writes a plot of the cumulative distribution of the time to first
// token, with a line for each report, to a file. The extension of the path
// selects the image format. A curve ends below 1 if requests were not answered.
func WritePlot(path string, reports []Report) error {
	p := plot.New()
	p.Title.Text = reports[0].Workload
	p.X.Label.Text = "time to first token (ms)"
	p.Y.Label.Text = "fraction of all requests"
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
