// Package wasabimeasure measures the quality of routing decisions: a
// discrete-event simulation runs the production Deciders of several instances
// against the simulated engines of wasabifake, in virtual time.
//
// Networks, links between availability zones, machines and the platform are not
// modelled. Callers choose an instance at random or by the address list that
// instances return; events reach each instance after a fixed delay. Every run
// checks the invariants that must hold under every fault, and reports breaches
// as violations.
//
// # Usage
//
//	var w wasabimeasure.Workload
//	var err error
//	if w, err = wasabimeasure.Load("liftwell"); err != nil {
//		return err
//	}
//	var report wasabimeasure.Report
//	if report, err = wasabimeasure.Run(wasabimeasure.Options{
//		Workload: w, Policy: "oracle", Instances: 9, Load: 0.7, Seed: 1,
//	}); err != nil {
//		return err
//	}
//	fmt.Println(report.HitRate, report.TTFT99, report.Violations)
//
// The same options give the same report.
package wasabimeasure

import (
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// Options configure a run. They are an immutable value.
type Options struct {
	Workload  Workload
	Policy    string
	Instances int
	// Load is the arrival rate as a fraction of the capacity of the workload.
	Load   float64
	Seed   uint64
	Faults []Fault
	// Callers is CallersRandom or CallersSteered. Empty means CallersRandom.
	Callers string
	// Stopwatch returns a monotonic time, with which the wall time of decisions
	// is measured. If it is nil, decisions are not timed, and the report
	// depends only on the other options.
	Stopwatch func() time.Duration
	// wrap returns the Decider that the run uses in place of the original one.
	wrap func(wasabiridge.Decider) wasabiridge.Decider
}

// WithPolicy returns a copy of the options with the policy replaced.
func (o Options) WithPolicy(name string) Options {
	o.Policy = name
	return o
}

// WithSeed returns a copy of the options with the seed replaced.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// WithFaults returns a copy of the options with the faults replaced.
func (o Options) WithFaults(faults ...Fault) Options {
	o.Faults = append([]Fault(nil), faults...)
	return o
}

// WithDecider returns a copy of the options in which wrap replaces every Decider.
// Tests use it to inject wrong decisions.
func (o Options) WithDecider(wrap func(wasabiridge.Decider) wasabiridge.Decider) Options {
	o.wrap = wrap
	return o
}

func (o Options) check() error {
	if o.Instances < 1 || o.Load <= 0 {
		return wasabiridge.ErrInvalid.New("measure: instances and load must be above zero")
	}
	if o.Callers != "" && o.Callers != CallersRandom && o.Callers != CallersSteered {
		return wasabiridge.ErrInvalid.New("measure: callers are %q or %q, not %q", CallersRandom, CallersSteered, o.Callers)
	}
	for _, f := range o.Faults {
		if !f.known() {
			return wasabiridge.ErrInvalid.New("measure: unknown fault %q; known are %v", f, Faults())
		}
	}
	if _, ok := policies[o.Policy]; !ok {
		return wasabiridge.ErrInvalid.New("measure: unknown policy %q; known are %v", o.Policy, Policies())
	}
	return nil
}

// Run runs the simulation and returns its report. Violated invariants are in the
// report. The error is ErrInvalid if the options are invalid.
func Run(o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	sim := newSimulation(o)
	sim.run()
	return sim.report(), nil
}
