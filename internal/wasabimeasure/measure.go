// Package wasabimeasure measures decisions: it drives a few real Deciders
// against model engines from wasabifake, in virtual time.
//
// It has no model of networks, links between zones, machines or the
// platform. Callers reach a random instance or follow address answers; events reach each instance after
// a fixed delay. Every run checks the promises that hold whatever fails and
// reports each breach as a violation.
//
// # Usage
//
//	var w wasabimeasure.Workload
//	var err error
//	if w, err = wasabimeasure.Load("liftwell"); err != nil {
//		return err
//	}
//	report := wasabimeasure.Run(wasabimeasure.Options{
//		Workload: w, Policy: "oracle", Instances: 9, Load: 0.7, Seed: 1,
//	})
//	fmt.Println(report.HitRate, report.TTFT99, report.Violations)
//
// The same options give the same report.
package wasabimeasure

import (
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// Options says what to measure. It is an immutable value.
type Options struct {
	Workload  Workload
	Policy    string
	Instances int
	// Load is the rate of arrivals as a part of the workload's capacity.
	Load   float64
	Seed   uint64
	Faults []Fault
	// Callers is how callers choose an instance. Empty means CallersRandom.
	Callers string
	// Stopwatch times decisions. Nil leaves their cost out, so that the
	// report depends on nothing but the other options.
	Stopwatch func() time.Duration
	// wrap puts something between the run and a Decider, for tests.
	wrap func(wasabiridge.Decider) wasabiridge.Decider
}

// WithPolicy returns the same options for another policy.
func (o Options) WithPolicy(name string) Options {
	o.Policy = name
	return o
}

// WithSeed returns the same options for another seed.
func (o Options) WithSeed(seed uint64) Options {
	o.Seed = seed
	return o
}

// WithFaults returns the same options with other faults.
func (o Options) WithFaults(faults ...Fault) Options {
	o.Faults = append([]Fault(nil), faults...)
	return o
}

// WithDecider returns the same options with something put around every
// Decider.
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

// Run measures. Breaches of promises are in the report, not in the error.
func Run(o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	w := newWorld(o)
	w.run()
	return w.report(), nil
}
