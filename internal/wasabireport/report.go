// Package wasabireport formats the outcomes of a quarter for display: as one
// self-contained HTML file with plots, and as texts that the command line uses
// as well.
//
// It is separate from wasabioutcome so that the router does not link a plotting
// library.
//
// # Usage
//
//	if err := wasabireport.WriteHTML(file, report); err != nil {
//		return err
//	}
package wasabireport

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabioutcome"
)

// percentageMeasures are the measures that are printed as percentages.
var percentageMeasures = map[string]bool{
	wasabioutcome.MeasureHitRate:    true,
	wasabioutcome.MeasureRecomputed: true,
	wasabioutcome.MeasureRefused:    true,
}

// formatMeasure formats a figure with the unit of its measure.
func formatMeasure(measure string, figure float64) string {
	switch {
	case percentageMeasures[measure]:
		return fmt.Sprintf("%.2f%%", 100*figure)
	case strings.HasPrefix(measure, "ttft_"):
		return fmt.Sprintf("%.0f ms", figure)
	default:
		return strconv.FormatFloat(figure, 'f', -1, 64)
	}
}

// BoundText formats the bounds of a target, or returns a dash if it has none.
func BoundText(t wasabiridge.Target) string {
	var parts []string
	if t.AtLeast != nil {
		parts = append(parts, "at least "+formatMeasure(t.Measure, *t.AtLeast))
	}
	if t.AtMost != nil {
		parts = append(parts, "at most "+formatMeasure(t.Measure, *t.AtMost))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// FigureText formats the figure of a target, or returns a dash if nothing was
// measured.
func FigureText(t wasabiridge.TargetResult) string {
	if t.Figure == nil {
		return "-"
	}
	return formatMeasure(t.Target.Measure, *t.Figure)
}

// CoverageLines returns lines of text on the covered share of a quarter and on
// each kind of missing data.
func CoverageLines(c wasabiridge.OutcomeCoverage) []string {
	// Rounded down, so that 100% is printed only if nothing is missing.
	covered := math.Floor(10_000*c.Share) / 100
	lines := []string{fmt.Sprintf("Coverage: %.2f%% of the time of known instances, from %d objects.", covered, c.Objects)}
	add := func(n int, format string, args ...any) {
		if n > 0 {
			lines = append(lines, fmt.Sprintf(format, args...))
		}
	}
	add(c.GapCount, "Missing: spans in which an instance ended without its last write: %d; first: %s.", c.GapCount, gapText(c.Gaps))
	add(len(c.MissingDays), "Missing: days without any data: %d (%s).", len(c.MissingDays), daysText(c.MissingDays))
	add(len(c.MissingInstances), "Missing: instances that others saw and that left nothing: %d (%s).", len(c.MissingInstances), instancesText(c.MissingInstances))
	add(c.UnreadableObjects, "Missing: objects that could not be read: %d (%s).", c.UnreadableObjects, strings.Join(c.Unreadable, ", "))
	add(int(c.DroppedDays), "Missing: days that instances gave up while the store was away: %d.", c.DroppedDays)
	add(int(c.LostOutcomes), "Missing: requests that instances dropped without counting them: %d.", c.LostOutcomes)
	add(int(c.Folded), "Not separated: requests counted under the account %[2]s: %[1]d.", c.Folded, wasabioutcome.OtherAccount)
	return lines
}

// gapText formats the first gap.
func gapText(gaps []wasabiridge.OutcomeGap) string {
	if len(gaps) == 0 {
		return "-"
	}
	g := gaps[0]
	return fmt.Sprintf("%s from %s for %s", g.Instance, g.From.Time().Format("2006-01-02 15:04:05Z"), (g.To - g.From).Duration())
}

// daysText lists up to three days, or the first and the last day of more.
func daysText(days []string) string {
	if len(days) <= 3 {
		return strings.Join(days, ", ")
	}
	return days[0] + " … " + days[len(days)-1]
}

func instancesText(ids []wasabiridge.InstanceID) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return strings.Join(texts, ", ")
}
