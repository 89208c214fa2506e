package wasabimeasure

import (
	"sort"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibaseline"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabilimit"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
)

// policies makes the Placer of each policy.
var policies = map[string]func(seed uint64, w *world) wasabiridge.Placer{
	"ours": func(seed uint64, _ *world) wasabiridge.Placer {
		return wasabiplace.New(wasabiplace.Options{Seed: seed})
	},
	"round_robin":       func(seed uint64, _ *world) wasabiridge.Placer { return wasabibaseline.NewRoundRobin(seed) },
	"least_loaded":      func(seed uint64, _ *world) wasabiridge.Placer { return wasabibaseline.NewLeastLoaded(seed) },
	"rendezvous_prompt": func(seed uint64, _ *world) wasabiridge.Placer { return wasabibaseline.NewRendezvousPrompt(seed) },
	"rendezvous_first":  func(seed uint64, _ *world) wasabiridge.Placer { return wasabibaseline.NewRendezvousFirst(seed) },
	"oracle":            func(seed uint64, w *world) wasabiridge.Placer { return wasabibaseline.NewOracle(seed, w) },
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

// attemptBits is how many attempts one life of an instance may make before
// its identifiers reach those of another.
const attemptBits = 32

// newDecider starts an instance. Each life has its own seed and its own range
// of attempt identifiers.
func (w *world) newDecider(instance, life int) wasabiridge.Decider {
	number := life*w.o.Instances + instance
	seed := w.o.Seed*1000 + uint64(number)
	var d wasabiridge.Decider = wasabicore.New(wasabicore.Options{
		Placer:       policies[w.o.Policy](seed, w),
		Limiter:      wasabilimit.New(wasabilimit.Options{Instances: w.o.Instances}),
		FirstAttempt: wasabiridge.AttemptID(number) << attemptBits,
	})
	if w.o.wrap != nil {
		d = w.o.wrap(d)
	}
	d.Handle(w.now, wasabiridge.ConfigAdopted{Config: w.config})
	return d
}
