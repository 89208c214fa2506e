package wasabicommand

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabioutcome"
	"github.com/wasabiridge/wasabiridge/internal/wasabireport"
)

func (a *app) outcomesCommand() *cobra.Command {
	var (
		quarter, account, html string
		check                  bool
	)
	c := &cobra.Command{
		Use:   "outcomes",
		Short: "Show a quarter's outcomes against its targets",
		Long: `Show a quarter's outcomes against its targets.

The figures are computed from the outcomes that all instances have written to
the platform's object store, and are up to five minutes old. Coverage lists what
is missing.`,
		Example: `  wasabictl outcomes
  wasabictl outcomes --quarter 2026Q4 --account liftwell --json
  wasabictl outcomes --quarter 2026Q4 --html report.html
  wasabictl outcomes --check   # exit code 9 when a target is not met`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			report, err := client.Outcomes(c.Context(), wasabiridge.OutcomeQuery{Quarter: quarter, Account: wasabiridge.ClientAccountID(account)})
			if err != nil {
				return err
			}
			if html != "" {
				err = a.writeHTML(html, report)
			} else {
				err = a.show(report, func() error { return a.showOutcomes(report) })
			}
			if err != nil || !check {
				return err
			}
			return checkTargets(report)
		},
	}
	c.Flags().StringVar(&quarter, "quarter", "", "quarter such as 2026Q4 (default: the current one)")
	c.Flags().StringVar(&account, "account", "", "only this client account")
	c.Flags().StringVar(&html, "html", "", "write a report with plots to this file")
	c.Flags().BoolVar(&check, "check", false, "exit with code 9 when a target is not met or has no data")
	return c
}

func (a *app) writeHTML(path string, report wasabiridge.OutcomeReport) error {
	var page bytes.Buffer
	if err := wasabireport.WriteHTML(&page, report); err != nil {
		return err
	}
	if err := os.WriteFile(path, page.Bytes(), pageMode); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "write the report")
	}
	a.warn("wrote %s", path)
	return nil
}

// checkTargets reports ErrNotReached if a target is not met or has no data.
func checkTargets(report wasabiridge.OutcomeReport) error {
	var missed []string
	for _, t := range report.Targets {
		if t.Verdict != wasabioutcome.VerdictMet {
			missed = append(missed, strings.TrimSpace(t.Target.Measure+" "+string(t.Target.Account)))
		}
	}
	if len(missed) == 0 {
		return nil
	}
	return ErrNotReached.New("not met or without data: %s", strings.Join(missed, ", "))
}

func (a *app) showOutcomes(r wasabiridge.OutcomeReport) error {
	fmt.Fprintf(a.Out, "Quarter %s, made %s\n\n", r.Quarter, formatTime(r.Made))
	targets := newTable("TARGET", "ACCOUNT", "BOUND", "FIGURE", "VERDICT")
	for _, t := range r.Targets {
		targets.add(t.Target.Measure, orDash(string(t.Target.Account)), wasabireport.BoundText(t.Target), wasabireport.FigureText(t), strings.ReplaceAll(t.Verdict, "_", " "))
	}
	if len(r.Targets) == 0 {
		targets.add("(the configuration has no targets)")
	}
	if err := a.print(targets); err != nil {
		return err
	}
	fmt.Fprintln(a.Out)
	figures := newTable("ACCOUNT", "RULE", "MODEL", "REQUESTS", "TTFT P50", "P95", "P99", "HIT RATE", "WASTED", "REFUSED", "CUT", "DOUBLED")
	for _, s := range r.Series {
		addFigures(figures, string(s.Account), string(s.Rule), string(s.Model), s.Figures)
	}
	addFigures(figures, "all", "", "", r.Total)
	if err := a.print(figures); err != nil {
		return err
	}
	fmt.Fprintln(a.Out)
	for _, line := range wasabireport.CoverageLines(r.Coverage) {
		fmt.Fprintln(a.Out, line)
	}
	return nil
}

func addFigures(t *table, account, rule, model string, f wasabiridge.OutcomeFigures) {
	t.add(orDash(account), orDash(rule), orDash(model), f.Requests,
		millisOrDash(f.TTFTP50Millis, f.TTFTMeasured), millisOrDash(f.TTFTP95Millis, f.TTFTMeasured), millisOrDash(f.TTFTP99Millis, f.TTFTMeasured),
		percentOrDash(f.HitRate, f.PromptTokens), percentOrDash(f.Recomputed, f.PromptTokens), percentOrDash(f.RefusedShare, f.Requests), f.Cut, f.Doubled)
}

// millisOrDash formats a duration, or returns a dash if nothing was measured.
func millisOrDash(value int64, measured uint64) string {
	if measured == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", value)
}

// percentOrDash formats a share as a percentage, or returns a dash if the total
// that it refers to is zero.
func percentOrDash(share float64, total uint64) string {
	if total == 0 {
		return "-"
	}
	return percent(share)
}
