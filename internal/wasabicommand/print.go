package wasabicommand

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// table prints rows with aligned columns. The first row is the heading.
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

// show prints a value as JSON, or else calls people.
func (a *app) show(value any, people func() error) error {
	if !a.json {
		return people()
	}
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "print")
	}
	return nil
}

func (a *app) print(t *table) error {
	w := tabwriter.NewWriter(a.Out, 0, 0, 2, ' ', 0)
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "print")
	}
	return nil
}

// warn prints a line for people that is no part of the answer.
func (a *app) warn(format string, args ...any) {
	fmt.Fprintf(a.Err, "wasabictl: "+format+"\n", args...)
}

func moment(at wasabiridge.Millis) string {
	if at == 0 {
		return "-"
	}
	return at.Time().Format("2006-01-02 15:04:05Z")
}

func age(from, now wasabiridge.Millis) string {
	if from == 0 || now < from {
		return "-"
	}
	return (now - from).Duration().Round(time.Second).String()
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func dash(text string) string {
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
	return dash(strings.Join(texts, ","))
}
