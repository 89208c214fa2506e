package wasabireport

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/wasabiridge/wasabiridge"
)

// Sizes of a plot. lineWidth and dotRadius are in points.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 2.6 * vg.Inch
	lineWidth  = 1.5
	dotRadius  = 2
	dayLayout  = "2006-01-02"
)

// curve is one line of a chart, with a value for each day.
type curve struct {
	Name  string
	color color.RGBA
	value func(wasabiridge.OutcomeFigures) float64
}

var (
	blue   = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	orange = color.RGBA{R: 0xc8, G: 0x6a, B: 0x12, A: 0xff}
	red    = color.RGBA{R: 0xa8, G: 0x1f, B: 0x2f, A: 0xff}
	green  = color.RGBA{R: 0x2a, G: 0x7a, B: 0x3f, A: 0xff}
)

// chart is one plot of the report with its legend.
type chart struct {
	Title  string
	unit   string
	Curves []curve
	SVG    template.HTML
}

// charts returns the charts of a report, not yet drawn.
func charts() []chart {
	return []chart{
		{Title: "Time to first token by day", unit: "ms", Curves: []curve{
			{"p50", green, func(f wasabiridge.OutcomeFigures) float64 { return float64(f.TTFTP50Millis) }},
			{"p95", orange, func(f wasabiridge.OutcomeFigures) float64 { return float64(f.TTFTP95Millis) }},
			{"p99", red, func(f wasabiridge.OutcomeFigures) float64 { return float64(f.TTFTP99Millis) }},
		}},
		{Title: "Prefix hit rate by day", unit: "% of prompt tokens", Curves: []curve{
			{"hit rate", blue, func(f wasabiridge.OutcomeFigures) float64 { return 100 * f.HitRate }},
		}},
		{Title: "Wasted recomputation by day", unit: "% of prompt tokens", Curves: []curve{
			{"wasted", red, func(f wasabiridge.OutcomeFigures) float64 { return 100 * f.Recomputed }},
		}},
		{Title: "Requests by day", unit: "requests", Curves: []curve{
			{"all", blue, func(f wasabiridge.OutcomeFigures) float64 { return float64(f.Requests) }},
			{"refused", red, func(f wasabiridge.OutcomeFigures) float64 {
				return float64(f.RefusedNotRun + f.RefusedMaybe + f.RefusedAfter)
			}},
		}},
	}
}

// CSS returns the color of a curve for the legend, which is outside the plot. A
// legend inside the plot would cover parts of the curves.
func (c curve) CSS() template.CSS {
	return template.CSS(fmt.Sprintf("#%02x%02x%02x", c.color.R, c.color.G, c.color.B))
}

// draw returns a chart as an SVG element. Only the given days have points, so a
// day without data has none.
func (c chart) draw(days []wasabiridge.OutcomeDay) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = c.unit
	p.X.Tick.Marker = plot.TimeTicks{Format: "2 Jan"}
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for _, line := range c.Curves {
		points, err := pointsOf(days, line)
		if err != nil {
			return "", err
		}
		drawn, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", wasabiridge.ErrInvalid.Wrap(err, "report: plot %s", c.Title)
		}
		drawn.Color, drawn.Width = line.color, vg.Points(lineWidth)
		dots.Color, dots.Radius = line.color, vg.Points(dotRadius)
		p.Add(drawn, dots)
	}
	return render(p)
}

// pointsOf returns the points of a curve, with the time in seconds on the X axis.
func pointsOf(days []wasabiridge.OutcomeDay, line curve) (plotter.XYs, error) {
	points := make(plotter.XYs, 0, len(days))
	for _, d := range days {
		at, err := time.Parse(dayLayout, d.Day)
		if err != nil {
			return nil, wasabiridge.ErrInvalid.Wrap(err, "report: invalid day %q", d.Day)
		}
		points = append(points, plotter.XY{X: float64(at.Unix()), Y: line.value(d.Figures)})
	}
	return points, nil
}

// render returns the plot as an SVG element for use inside HTML. It removes the
// XML declaration, which is allowed at the start of a file only.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", wasabiridge.ErrInvalid.Wrap(err, "report: render plot")
	}
	text := buf.String()
	if start := strings.Index(text, "<svg"); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}
