package wasabimeasure

import (
	"sort"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibaseline"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabilimit"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
)

// policies holds the constructor of the Placer of each policy. "ours" is the
// policy that routers use; the others are baselines.
var policies = map[string]func(seed uint64, sim *simulation) wasabiridge.Placer{
	"ours": func(seed uint64, _ *simulation) wasabiridge.Placer {
		return wasabiplace.New(wasabiplace.Options{Seed: seed})
	},
	"round_robin":       func(seed uint64, _ *simulation) wasabiridge.Placer { return wasabibaseline.NewRoundRobin(seed) },
	"least_loaded":      func(seed uint64, _ *simulation) wasabiridge.Placer { return wasabibaseline.NewLeastLoaded(seed) },
	"rendezvous_prompt": func(seed uint64, _ *simulation) wasabiridge.Placer { return wasabibaseline.NewRendezvousPrompt(seed) },
	"rendezvous_first":  func(seed uint64, _ *simulation) wasabiridge.Placer { return wasabibaseline.NewRendezvousFirst(seed) },
	"oracle":            func(seed uint64, sim *simulation) wasabiridge.Placer { return wasabibaseline.NewOracle(seed, sim) },
}

// Policies lists the names of all policies.
func Policies() []string {
	var names []string
	for name := range policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// attemptBits is the number of low bits of an attempt ID that count the attempts
// of one incarnation of an instance. The high bits number the incarnation, so
// that IDs stay unique below 2^32 attempts.
const attemptBits = 32

// newDecider returns the Decider of one incarnation of an instance, with its own
// seed and its own range of attempt IDs.
func (sim *simulation) newDecider(instance, incarnation int) wasabiridge.Decider {
	number := incarnation*sim.o.Instances + instance
	seed := sim.o.Seed*1000 + uint64(number)
	var d wasabiridge.Decider = wasabicore.New(wasabicore.Options{
		Placer:       policies[sim.o.Policy](seed, sim),
		Limiter:      wasabilimit.New(wasabilimit.Options{Instances: sim.o.Instances}),
		FirstAttempt: wasabiridge.AttemptID(number) << attemptBits,
	})
	if sim.o.wrap != nil {
		d = sim.o.wrap(d)
	}
	d.Handle(sim.now, wasabiridge.ConfigAdopted{Config: sim.config})
	return d
}
