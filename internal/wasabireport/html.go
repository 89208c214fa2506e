package wasabireport

import (
	_ "embed" // The template is compiled into the program.
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

//go:embed report.html.tmpl
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"bound":    BoundText,
	"figure":   FigureText,
	"coverage": CoverageLines,
	"percent":  func(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) },
	"verdict":  func(text string) string { return strings.ReplaceAll(text, "_", " ") },
	"moment":   func(at wasabiridge.Millis) string { return at.Time().Format("2006-01-02 15:04 UTC") },
	"figures": func(label, rule, model string, f wasabiridge.OutcomeFigures) row {
		return row{label, rule, model, f}
	},
}).Parse(page))

// row is one line of the table of figures.
type row struct {
	Account, Rule, Model string
	Figures              wasabiridge.OutcomeFigures
}

// content is what the page shows.
type content struct {
	wasabiridge.OutcomeReport
	Charts []chart
	Met    int
}

// WriteHTML writes the report as one HTML file. It loads nothing from
// elsewhere.
func WriteHTML(w io.Writer, r wasabiridge.OutcomeReport) error {
	c := content{OutcomeReport: r}
	for _, t := range r.Targets {
		if t.Verdict == "met" {
			c.Met++
		}
	}
	if len(r.Days) > 0 {
		c.Charts = charts()
	}
	for i := range c.Charts {
		var err error
		if c.Charts[i].SVG, err = c.Charts[i].draw(r.Days); err != nil {
			return err
		}
	}
	if err := pageTemplate.Execute(w, c); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "report: write")
	}
	return nil
}
