package wasabicommand

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// table is printed with aligned columns. The first row is the heading.
type table struct{ rows [][]string }

func newTable(heading ...string) *table {
	return &table{rows: [][]string{heading}}
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// show prints a value as JSON if --json is set, and calls printText otherwise.
func (a *app) show(value any, printText func() error) error {
	if !a.json {
		return printText()
	}
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "print JSON")
	}
	return nil
}

func (a *app) print(t *table) error {
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "print table")
	}
	return nil
}

// warn prints a line to the standard error.
func (a *app) warn(format string, args ...any) {
	fmt.Fprintf(a.Err, "wasabictl: "+format+"\n", args...)
}

// formatTime formats a point in time in UTC, zero as a dash.
func formatTime(at wasabiridge.Millis) string {
	if at == 0 {
		return "-"
	}
	return at.Time().Format("2006-01-02 15:04:05Z")
}

// age formats the time from from to now. It returns a dash if from is zero or
// later than now.
func age(from, now wasabiridge.Millis) string {
	if from == 0 || now < from {
		return "-"
	}
	return (now - from).Duration().Round(time.Second).String()
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func joinPools(pools []wasabiridge.PoolID) string {
	texts := make([]string, len(pools))
	for i, p := range pools {
		texts[i] = string(p)
	}
	return orDash(strings.Join(texts, ","))
}
