// Package wasabiridge is the root package of a router for language-model
// traffic whose prompts share long, nested prefixes.
//
// The package holds the value types of the domain and the interfaces that the
// components implement. Implementations live in internal packages, one for each
// concept of the domain, named with the prefix wasabi.
//
// # Decisions and I/O
//
// All decisions are made by deterministic state machines, the deciders. A decider
// receives a time and a typed event and returns typed effects. It starts no
// goroutine, takes no lock, and reads neither the wall clock nor a global source of
// random numbers. The daemon drives deciders with real I/O; tests drive the same
// code with a virtual clock.
//
// # Values
//
// All value types are immutable by convention: a method whose name starts
// with With returns a changed copy and does not modify its receiver. Slices and
// maps inside a value must not be modified once the value has been passed on.
//
// # Usage
//
// A configuration is parsed and checked as a whole, then passed to a decider:
//
//	var (
//		cfg wasabiridge.Config
//		err error
//	)
//	if cfg, err = wasabirule.Parse(text); err != nil {
//		return err
//	}
//	core := wasabicore.New(wasabicore.Options{Placer: placer, Limiter: limiter})
//	carryOut(core.Handle(clock.Now(), wasabiridge.ConfigAdopted{Config: cfg}))
//	carryOut(core.Handle(clock.Now(), wasabiridge.RequestArrived{Request: req}))
//
// The caller carries out the returned effects.
package wasabiridge
