package wasabiquota_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestQuota(t *testing.T) {
	wasabitest.Run(t, "quota")
}

// fault is a fault in a fleet while one account sends a load.
type fault struct {
	instances int
	// active is the number of instances that callers are routed to. Zero means all.
	active int
	// load is what the account sends, as a part of its limit.
	load float64
	do   func(f *fleet, startedAt wasabiridge.Millis)
	// bound is the limit that must hold, from a time after the start on. Nil means that the
	// first limit must hold all the time.
	bound *wasabiridge.AccountLimit
	from  wasabiridge.Millis
}

const (
	largeRate = 901_099.0
	smallRate = 47_000.0
	// faultRate is the limit in the tests of faults. The allowed slack is divided by the
	// same factor.
	faultRate = largeRate / 8
)

func halves(n int) func(a, b int) bool {
	return func(a, b int) bool { return (a < n/2) != (b < n/2) }
}

var faults = map[string]fault{
	"no fault": {instances: 15, load: 4.2},
	"half partitioned off for 9 s": {instances: 15, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		f.schedule(startedAt+3000, func() { f.partitioned = halves(15) })
		f.schedule(startedAt+12_000, func() { f.partitioned = func(int, int) bool { return false } })
	}},
	"all killed and restarted": {instances: 15, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		f.schedule(startedAt+4000, func() {
			for i := range f.instances {
				f.kill(i)
			}
		})
		for i := range f.instances {
			f.schedule(startedAt+4500+wasabiridge.Millis(f.random.IntN(600)), func() { f.start(i) })
		}
	}},
	"half isolated for 9 s, while callers reach them": {instances: 40, active: 12, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		apart := func(a, b int) bool { return a%2 == 0 || b%2 == 0 }
		f.schedule(startedAt+3000, func() { f.partitioned, f.callers = apart, 40 })
		f.schedule(startedAt+12_000, func() { f.partitioned = func(int, int) bool { return false } })
	}},
	"all killed, and the owners are stored": {instances: 88, active: 8, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		f.schedule(startedAt+4000, func() {
			f.discoveryDelay, f.callers, f.storedOwners = 300, 88, instanceIDs[:8]
			for i := range f.instances {
				f.kill(i)
				f.schedule(f.now+500+wasabiridge.Millis(f.random.IntN(300)), func() { f.start(i) })
			}
		})
		f.schedule(startedAt+7000, func() { f.callers = 8 })
	}},
	"callers are routed to more instances": {instances: 40, active: 8, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		f.schedule(startedAt+4000, func() {
			f.active = 30
			f.callers = 30
		})
	}},
	"all killed, and callers reach many that know of no others": {instances: 88, active: 8, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		f.schedule(startedAt+4000, func() {
			f.discoveryDelay, f.callers = 300, 88
			for i := range f.instances {
				f.kill(i)
				f.schedule(f.now+500+wasabiridge.Millis(f.random.IntN(300)), func() { f.start(i) })
			}
		})
		f.schedule(startedAt+7000, func() { f.callers = 8 })
	}},
	"one paused for 5 s": {instances: 15, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		f.schedule(startedAt+4000, func() { f.instances[0].pausedUntil = f.now + 5000 })
	}},
	"all paused one after the other": {instances: 6, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		for i := range f.instances {
			f.schedule(startedAt+3000+1500*wasabiridge.Millis(i), func() { f.instances[i].pausedUntil = f.now + 2000 })
		}
	}},
	"three times as many instances": {instances: 5, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		for i := range 10 {
			f.schedule(startedAt+2000+300*wasabiridge.Millis(i), f.add)
		}
	}},
	"limit lowered to a quarter": {instances: 15, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		f.schedule(startedAt+4000, func() { f.adopt([]wasabiridge.ClientAccount{limitedAccount("a", faultRate/4)}, 3000) })
	}, bound: limitedAccount("a", faultRate/4).Limit, from: 7000},
	"limit lowered, raised and lowered": {instances: 15, load: 4.2, do: func(f *fleet, startedAt wasabiridge.Millis) {
		for i, rate := range []float64{faultRate / 4, faultRate, faultRate / 4} {
			f.schedule(startedAt+4000+1500*wasabiridge.Millis(i), func() { f.adopt([]wasabiridge.ClientAccount{limitedAccount("a", rate)}, 500) })
		}
	}, bound: limitedAccount("a", faultRate/4).Limit, from: 7500},
	"clocks 6 s apart": {instances: 15, load: 4.2, do: func(f *fleet, _ wasabiridge.Millis) {
		for i := range f.instances {
			f.kill(i)
			f.instances[i].clockSkew = wasabiridge.Millis(400 * i)
			f.start(i)
		}
	}},
	"a tenth of the messages lost, duplicated or late": {instances: 15, load: 4.2, do: func(f *fleet, _ wasabiridge.Millis) { f.lossRate, f.maxExtraDelay = 0.1, 500 }},
}

// runFault runs a fault while an account with a limit sends its load.
func runFault(seed uint64, tc fault, rate float64, build func(f *fleet, i int) limiter) *fleet {
	f := newFleet(seed, tc.instances, []wasabiridge.ClientAccount{limitedAccount("a", rate)}, build)
	if tc.active > 0 {
		f.active, f.callers = tc.active, tc.active
	}
	f.runUntil(f.now + 3000)
	startedAt := f.now
	if tc.do != nil {
		tc.do(f, startedAt)
	}
	f.load("a", tc.load*rate, startedAt+20_000, func() int { return f.random.IntN(min(len(f.instances), f.callers)) })
	f.runUntil(startedAt + 20_000)
	return f
}

var _ = Describe("An account that sends far more than its limit", func() {
	for name, tc := range faults {
		It("stays within its limit: "+name, func() {
			for seed := range uint64(2) {
				f := runFault(seed, tc, faultRate, newRunningTotals)
				limit, from := limitedAccount("a", faultRate).Limit, wasabiridge.Millis(1_003_000)
				if tc.bound != nil {
					limit, from = tc.bound, from+tc.from
				}
				share, beyond := f.maxWindow("a", *limit, from)
				beyond += slack - slack/8
				fmt.Fprintf(GinkgoWriter, "%s seed %d: %.3f of the limit in the busiest window, %.0f units over what is allowed, %.3f of the rate admitted\n", name, seed, share, beyond,
					f.unitsRunIn("a", from, f.now)/float64(f.now-from)*1000/limit.Rate)
				Expect(beyond).To(BeNumerically("<=", 0), "seed %d", seed)
			}
		})
	}
})
