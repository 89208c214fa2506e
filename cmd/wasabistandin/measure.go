package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabimeasure"
)

type measureFlags struct {
	workload  string
	policy    string
	instances int
	load      float64
	seed      uint64
	faults    []string
	out       string
	plot      string
	callers   string
}

// newMeasureCommand returns the command that measures routing decisions in virtual time.
// It fails if a run violated a guarantee.
func newMeasureCommand() *cobra.Command {
	var f measureFlags
	c := &cobra.Command{
		Use:           "measure",
		Short:         "Measure decisions against modelled engines in virtual time",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	c.Flags().StringVar(&f.workload, "workload", "liftwell", "liftwell, selam, or a file of JSON with comments")
	c.Flags().StringVar(&f.policy, "policy", "all", fmt.Sprintf("all, or one of %v", wasabimeasure.Policies()))
	c.Flags().IntVar(&f.instances, "instances", 9, "number of instances")
	c.Flags().Float64Var(&f.load, "load", 0.7, "arrival rate as a fraction of the workload's capacity")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the random generators")
	c.Flags().StringArrayVar(&f.faults, "fault", nil, fmt.Sprintf("a fault, may be repeated: %v", wasabimeasure.Faults()))
	c.Flags().StringVar(&f.callers, "callers", wasabimeasure.CallersRandom, "random, or steered to follow address responses")
	c.Flags().StringVar(&f.out, "out", "table", "table or json")
	c.Flags().StringVar(&f.plot, "plot", "", "write a plot of the time to first token into this file")
	return c
}

func (f measureFlags) options() (wasabimeasure.Options, error) {
	var w wasabimeasure.Workload
	var err error
	if w, err = wasabimeasure.Load(f.workload); err != nil {
		return wasabimeasure.Options{}, err
	}
	var faults []wasabimeasure.Fault
	for _, name := range f.faults {
		faults = append(faults, wasabimeasure.Fault(name))
	}
	started := time.Now()
	return wasabimeasure.Options{
		Workload: w, Policy: f.policy, Instances: f.instances, Load: f.load, Seed: f.seed, Faults: faults, Callers: f.callers,
		Stopwatch: func() time.Duration { return time.Since(started) },
	}, nil
}

func (f measureFlags) run(c *cobra.Command) error {
	if f.out != "table" && f.out != "json" {
		return wasabiridge.ErrInvalid.New("measure: --out must be table or json, not %q", f.out)
	}
	var o wasabimeasure.Options
	var err error
	if o, err = f.options(); err != nil {
		return err
	}
	policies := []string{f.policy}
	if f.policy == "all" {
		policies = wasabimeasure.Policies()
	}
	var reports []wasabimeasure.Report
	for _, name := range policies {
		var r wasabimeasure.Report
		if r, err = wasabimeasure.Run(o.WithPolicy(name)); err != nil {
			return err
		}
		reports = append(reports, r)
	}
	if err = f.write(c, reports); err != nil {
		return err
	}
	return violationError(reports)
}

// write writes the reproducible results to standard output, and the cost of decisions,
// which varies between runs, to standard error.
func (f measureFlags) write(c *cobra.Command, reports []wasabimeasure.Report) error {
	write := wasabimeasure.WriteTable
	if f.out == "json" {
		write = wasabimeasure.WriteJSON
	}
	if err := write(c.OutOrStdout(), reports); err != nil {
		return err
	}
	if err := wasabimeasure.WriteDecisionTimes(c.ErrOrStderr(), reports); err != nil {
		return err
	}
	if f.plot == "" {
		return nil
	}
	return wasabimeasure.WritePlot(f.plot, reports)
}

// violationError returns an error if any report has violations of guarantees.
func violationError(reports []wasabimeasure.Report) error {
	count := 0
	for _, r := range reports {
		count += r.Breaches
	}
	if count > 0 {
		return wasabiridge.ErrInvalid.New("measure: %d violations of guarantees", count)
	}
	return nil
}
