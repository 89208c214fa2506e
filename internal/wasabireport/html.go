package wasabireport

import (
	_ "embed" // Embeds the page template.
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
	"figures": func(label, rule, model string, f wasabiridge.OutcomeFigures) figuresRow {
		return figuresRow{label, rule, model, f}
	},
}).Parse(page))

// figuresRow is one row of the table of figures.
type figuresRow struct {
	Account, Rule, Model string
	Figures              wasabiridge.OutcomeFigures
}

// pageData is the data of the page template.
type pageData struct {
	wasabiridge.OutcomeReport
	Charts []chart
	// Met is the number of targets that are met.
	Met int
}

// WriteHTML writes the report as one self-contained HTML file, which loads no
// scripts, styles or images.
func WriteHTML(w io.Writer, r wasabiridge.OutcomeReport) error {
	c := pageData{OutcomeReport: r}
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
		return wasabiridge.ErrUnavailable.Wrap(err, "report: write page")
	}
	return nil
}
