package wasabimeasure

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// Report is the result of one run.
type Report struct {
	Workload  string  `json:"workload"`
	Policy    string  `json:"policy"`
	Instances int     `json:"instances"`
	Load      float64 `json:"load"`
	Seed      uint64  `json:"seed"`
	Faults    []Fault `json:"faults"`
	Figures
	// Goodput is the number of good answers per second of measured time.
	Goodput  float64                          `json:"goodput_per_second"`
	Reasons  map[wasabiridge.RefuseReason]int `json:"refusals_by_reason"`
	Streams  []NamedFigures                   `json:"streams"`
	Accounts []NamedFigures                   `json:"accounts"`
	// Breaches counts all violations of invariants; Violations describes the
	// first maxViolations of them.
	Breaches   int      `json:"breaches"`
	Violations []string `json:"violations"`
	// DecisionP50 and DecisionP99 are the median and the 99th percentile of the wall time
	// of placing an arrived request. They depend on the machine and are left out
	// of the JSON, which must be the same for the same options.
	DecisionP50 time.Duration `json:"-"`
	DecisionP99 time.Duration `json:"-"`
}

func (sim *simulation) report() Report {
	sim.tally.all.summarize()
	measured := sim.o.Workload.Duration - sim.o.Workload.WarmUp
	r := Report{
		Workload: sim.o.Workload.Name, Policy: sim.o.Policy, Instances: sim.o.Instances,
		Load: sim.o.Load, Seed: sim.o.Seed, Faults: append([]Fault{}, sim.o.Faults...),
		Figures:  sim.tally.all,
		Goodput:  share(sim.tally.all.Good*int(wasabiridge.Second), int(measured)),
		Reasons:  sim.tally.reasons,
		Streams:  named(sim.tally.streams),
		Accounts: named(sim.tally.accounts),
		Breaches: sim.checker.count, Violations: append([]string{}, sim.checker.violations...),
	}
	if decisionTimes := sim.tally.decisionTimes; len(decisionTimes) > 0 {
		slices.Sort(decisionTimes)
		r.DecisionP50, r.DecisionP99 = decisionTimes[len(decisionTimes)/2], decisionTimes[len(decisionTimes)*99/100]
	}
	return r
}

// WriteJSON writes reports as an indented JSON array.
func WriteJSON(out io.Writer, reports []Report) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(reports)
}

// WriteTable writes reports as a text table, followed by their violations.
func WriteTable(out io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "workload\tpolicy\tseed\tfaults\trequests\thit rate\tp50 ms\tp95 ms\tp99 ms\twasted tokens\trefused\tcut\tretries\thedges\tgoodput/s\tbreaches")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%s\t%d\t%v\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\n",
			r.Workload, r.Policy, r.Seed, r.Faults, r.Requests, r.HitRate, r.TTFT50, r.TTFT95, r.TTFT99,
			r.WastedTokens, r.Refused, r.Interrupted, r.Retries, r.Hedges, r.Goodput, r.Breaches)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		for _, v := range r.Violations {
			fmt.Fprintf(out, "violation (%s, %s, seed %d): %s\n", r.Workload, r.Policy, r.Seed, v)
		}
	}
	return nil
}

// WriteDecisionTimes writes the wall time of decisions, which differs between runs with
// the same seed.
func WriteDecisionTimes(out io.Writer, reports []Report) error {
	for _, r := range reports {
		if _, err := fmt.Fprintf(out, "cost of a decision, %s on %s: p50 %v, p99 %v\n", r.Policy, r.Workload, r.DecisionP50, r.DecisionP99); err != nil {
			return err
		}
	}
	return nil
}
