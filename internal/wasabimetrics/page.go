package wasabimetrics

import (
	"fmt"
	"strings"
)

// pageHead is the text above the table of docs/METRICS.md.
const pageHead = `# Metrics

` + "`GET /metrics`" + ` on the operators' listener answers one JSON object keyed by the
names below; ` + "`wasabictl metrics`" + ` prints it. Counters start at zero with the
process. A gauge that no part of the instance sets is left out. A histogram gives count, min, max, mean and percentiles of a sample of
the last minutes; figures over longer spans come from the outcomes
(` + "`wasabictl outcomes`" + `). This page is made from the table in
internal/wasabimetrics, and a test compares both.

| name | kind | unit | meaning |
| --- | --- | --- | --- |
`

// Page returns the required content of docs/METRICS.md.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, d := range Definitions() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.Name, d.Kind, d.Unit, d.Help)
	}
	return b.String()
}
