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

// Report is what one run measured.
type Report struct {
	Workload  string  `json:"workload"`
	Policy    string  `json:"policy"`
	Instances int     `json:"instances"`
	Load      float64 `json:"load"`
	Seed      uint64  `json:"seed"`
	Faults    []Fault `json:"faults"`
	Figures
	// Goodput is good answers per second.
	Goodput  float64                          `json:"goodput_per_second"`
	Reasons  map[wasabiridge.RefuseReason]int `json:"refusals_by_reason"`
	Streams  []Named                          `json:"streams"`
	Accounts []Named                          `json:"accounts"`
	// Breaches counts broken promises; Violations spells the first out.
	Breaches   int      `json:"breaches"`
	Violations []string `json:"violations"`
	// Cost50 and Cost99 are the wall time of a decision on an arrived
	// request. They depend on the machine, so they are not part of the output
	// that must repeat.
	Cost50 time.Duration `json:"-"`
	Cost99 time.Duration `json:"-"`
}

func (w *world) report() Report {
	w.tally.all.settle()
	measured := w.o.Workload.Duration - w.o.Workload.WarmUp
	r := Report{
		Workload: w.o.Workload.Name, Policy: w.o.Policy, Instances: w.o.Instances,
		Load: w.o.Load, Seed: w.o.Seed, Faults: append([]Fault{}, w.o.Faults...),
		Figures:  w.tally.all,
		Goodput:  share(w.tally.all.Good*int(wasabiridge.Second), int(measured)),
		Reasons:  w.tally.reasons,
		Streams:  named(w.tally.streams),
		Accounts: named(w.tally.accounts),
		Breaches: w.checker.count, Violations: append([]string{}, w.checker.violations...),
	}
	if costs := w.tally.costs; len(costs) > 0 {
		slices.Sort(costs)
		r.Cost50, r.Cost99 = costs[len(costs)/2], costs[len(costs)*99/100]
	}
	return r
}

// WriteJSON writes reports as JSON.
func WriteJSON(out io.Writer, reports []Report) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(reports)
}

// WriteTable writes reports as a table for people.
func WriteTable(out io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "workload\tpolicy\tseed\tfaults\trequests\thit rate\tp50 ms\tp95 ms\tp99 ms\twasted tokens\trefused\tcut\tretries\thedges\tgoodput/s\tbreaches")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%s\t%d\t%v\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\n",
			r.Workload, r.Policy, r.Seed, r.Faults, r.Requests, r.HitRate, r.TTFT50, r.TTFT95, r.TTFT99,
			r.WastedTokens, r.Refused, r.Cut, r.Retries, r.Hedges, r.Goodput, r.Breaches)
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

// WriteCosts writes the cost of decisions, which no seed repeats.
func WriteCosts(out io.Writer, reports []Report) error {
	for _, r := range reports {
		if _, err := fmt.Fprintf(out, "cost of a decision, %s on %s: p50 %v, p99 %v\n", r.Policy, r.Workload, r.Cost50, r.Cost99); err != nil {
			return err
		}
	}
	return nil
}
