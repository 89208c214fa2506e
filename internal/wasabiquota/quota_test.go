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

// fault is what happens to a fleet beside a load of one account.
type fault struct {
	instances int
	// active is to how many of them callers are sent. Zero means all.
	active int
	// load is what the account sends, as a part of its limit.
	load float64
	do   func(f *fleet, begun wasabiridge.Millis)
	// bound is the limit to hold, from so long after the begin on. Nil means the first
	// one from the begin on.
	bound *wasabiridge.AccountLimit
	from  wasabiridge.Millis
}

const (
	large = 901_099.0
	small = 47_000.0
	// rate is the limit beside faults. The slack of the users is as large beside it as
	// beside a large account.
	rate = large / 8
)

func half(n int) func(a, b int) bool {
	return func(a, b int) bool { return (a < n/2) != (b < n/2) }
}

var faults = map[string]fault{
	"nothing else": {instances: 15, load: 4.2},
	"half cut off for 9 s": {instances: 15, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		f.at(begun+3000, func() { f.cut = half(15) })
		f.at(begun+12_000, func() { f.cut = func(int, int) bool { return false } })
	}},
	"all killed and started again": {instances: 15, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		f.at(begun+4000, func() {
			for i := range f.nodes {
				f.kill(i)
			}
		})
		for i := range f.nodes {
			f.at(begun+4500+wasabiridge.Millis(f.random.IntN(600)), func() { f.start(i) })
		}
	}},
	"half isolated for 9 s, with callers": {instances: 40, active: 12, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		apart := func(a, b int) bool { return a%2 == 0 || b%2 == 0 }
		f.at(begun+3000, func() { f.cut, f.callers = apart, 40 })
		f.at(begun+12_000, func() { f.cut = func(int, int) bool { return false } })
	}},
	"all killed, and it is kept who owned a part": {instances: 88, active: 8, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		f.at(begun+4000, func() {
			f.lists, f.callers, f.owners = 300, 88, names[:8]
			for i := range f.nodes {
				f.kill(i)
				f.at(f.now+500+wasabiridge.Millis(f.random.IntN(300)), func() { f.start(i) })
			}
		})
		f.at(begun+7000, func() { f.callers = 8 })
	}},
	"callers are sent to others": {instances: 40, active: 8, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		f.at(begun+4000, func() {
			f.active = 30
			f.callers = 30
		})
	}},
	"all killed, and callers come to many that know nobody": {instances: 88, active: 8, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		f.at(begun+4000, func() {
			f.lists, f.callers = 300, 88
			for i := range f.nodes {
				f.kill(i)
				f.at(f.now+500+wasabiridge.Millis(f.random.IntN(300)), func() { f.start(i) })
			}
		})
		f.at(begun+7000, func() { f.callers = 8 })
	}},
	"one frozen for 5 s": {instances: 15, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		f.at(begun+4000, func() { f.nodes[0].frozen = f.now + 5000 })
	}},
	"all frozen one after the other": {instances: 6, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		for i := range f.nodes {
			f.at(begun+3000+1500*wasabiridge.Millis(i), func() { f.nodes[i].frozen = f.now + 2000 })
		}
	}},
	"three times as many": {instances: 5, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		for i := range 10 {
			f.at(begun+2000+300*wasabiridge.Millis(i), f.add)
		}
	}},
	"lowered far": {instances: 15, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		f.at(begun+4000, func() { f.adopt([]wasabiridge.ClientAccount{limited("a", rate/4)}, 3000) })
	}, bound: limited("a", rate/4).Limit, from: 7000},
	"lowered, raised, lowered": {instances: 15, load: 4.2, do: func(f *fleet, begun wasabiridge.Millis) {
		for i, rate := range []float64{rate / 4, rate, rate / 4} {
			f.at(begun+4000+1500*wasabiridge.Millis(i), func() { f.adopt([]wasabiridge.ClientAccount{limited("a", rate)}, 500) })
		}
	}, bound: limited("a", rate/4).Limit, from: 7500},
	"clocks 6 s apart": {instances: 15, load: 4.2, do: func(f *fleet, _ wasabiridge.Millis) {
		for i := range f.nodes {
			f.kill(i)
			f.nodes[i].skew = wasabiridge.Millis(400 * i)
			f.start(i)
		}
	}},
	"a tenth lost, doubled, late": {instances: 15, load: 4.2, do: func(f *fleet, _ wasabiridge.Millis) { f.loss, f.late = 0.1, 500 }},
}

// playFault plays a fault beside a load of an account with a limit.
func playFault(seed uint64, tc fault, rate float64, build func(f *fleet, i int) way) *fleet {
	f := newFleet(seed, tc.instances, []wasabiridge.ClientAccount{limited("a", rate)}, build)
	if tc.active > 0 {
		f.active, f.callers = tc.active, tc.active
	}
	f.play(f.now + 3000)
	begun := f.now
	if tc.do != nil {
		tc.do(f, begun)
	}
	f.load("a", tc.load*rate, begun+20_000, func() int { return f.random.IntN(min(len(f.nodes), f.callers)) })
	f.play(begun + 20_000)
	return f
}

var _ = Describe("An account that sends far more than its limit", func() {
	for name, tc := range faults {
		It("stays within it: "+name, func() {
			for seed := range uint64(2) {
				f := playFault(seed, tc, rate, newTold)
				limit, from := limited("a", rate).Limit, wasabiridge.Millis(1_003_000)
				if tc.bound != nil {
					limit, from = tc.bound, from+tc.from
				}
				share, beyond := f.most("a", *limit, from)
				beyond += slack - slack/8
				fmt.Fprintf(GinkgoWriter, "%s seed %d: %.3f of the limit, %.0f beyond, ran %.3f\n", name, seed, share, beyond,
					f.ranIn("a", from, f.now)/float64(f.now-from)*1000/limit.Rate)
				Expect(beyond).To(BeNumerically("<=", 0), "seed %d", seed)
			}
		})
	}
})
