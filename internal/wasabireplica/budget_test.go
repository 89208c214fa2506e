package wasabireplica_test

import (
	"math/rand/v2"
	"sort"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

const (
	retryRatio  = 0.2
	retrySlack  = 54.0
	retryWindow = 10 * wasabiridge.Second
	// fleetStep is the step of the simulated clock.
	fleetStep = 20 * wasabiridge.Millis(1)
	// membershipDelay is how long a fleet needs to notice that an instance joined or
	// left.
	membershipDelay = 2 * wasabiridge.Second
)

// retryInstance is one instance of a retryFleet.
type retryInstance struct {
	placer  *wasabireplica.Placer
	limiter *wasabireplica.Limiter
	// downUntil is when a killed process restarts. countedAt is when the instance last
	// received an instance count.
	downUntil, started, countedAt wasabiridge.Millis
	side                          int
}

// retryFleet simulates instances that share a retry budget and records the time of
// every request and retry at the pool.
type retryFleet struct {
	random        *rand.Rand
	now           wasabiridge.Millis
	pool          wasabiridge.Pool
	instances     []*retryInstance
	rate          float64
	partitionedAt wasabiridge.Millis
	// failing makes every request fail until the budget denies a retry.
	failing           bool
	requests, retries []wasabiridge.Millis
}

func newRetryFleet(seed uint64, instances int, rate float64) *retryFleet {
	f := &retryFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: 1e6, rate: rate,
		pool: wasabiridge.Pool{ID: "p", Backends: []wasabiridge.BackendServer{{ID: "s", URL: "http://s:1", Slots: 1 << 20}}},
	}
	for range instances {
		f.add()
	}
	return f
}

func (f *retryFleet) add() {
	r := &retryInstance{}
	f.start(r)
	f.instances = append(f.instances, r)
}

// start replaces the process of an instance by a new one without any state.
func (f *retryFleet) start(r *retryInstance) {
	r.placer = wasabireplica.New(wasabireplica.Options{Seed: 1, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow})
	r.limiter = wasabireplica.NewLimiter(r.placer)
	r.started, r.countedAt = f.now, f.now
	r.placer.Observe(f.now, wasabiridge.Ticked{})
	f.adopt(r, f.pool)
}

func (f *retryFleet) adopt(r *retryInstance, pools ...wasabiridge.Pool) {
	r.placer.Observe(f.now, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: pools}})
}

func (f *retryFleet) kill(r *retryInstance, down wasabiridge.Millis) {
	r.downUntil = f.now + down
}

// visible returns how many instances r sees, itself included.
func (f *retryFleet) visible(r *retryInstance) int {
	count := 0
	for _, other := range f.instances {
		known := other.downUntil == 0 && f.now >= other.started+membershipDelay || other == r
		if known && (other.side == r.side || f.now < f.partitionedAt+membershipDelay) {
			count++
		}
	}
	return count
}

// advance moves the simulated clock forward by span.
func (f *retryFleet) advance(span wasabiridge.Millis) {
	for until := f.now + span; f.now < until; f.now += fleetStep {
		var up []*retryInstance
		for _, r := range f.instances {
			if r.downUntil > f.now {
				continue
			}
			if r.downUntil > 0 {
				r.downUntil = 0
				f.start(r)
			}
			if f.now >= r.countedAt+wasabiridge.Second {
				r.countedAt = f.now
				r.placer.Observe(f.now, wasabiridge.InstancesCounted{Count: f.visible(r)})
			}
			r.placer.Observe(f.now, wasabiridge.Ticked{})
			up = append(up, r)
		}
		for want := f.rate * float64(fleetStep) / 1000; len(up) > 0 && f.random.Float64() < want; want-- {
			f.request(up[f.random.IntN(len(up))])
		}
	}
}

func (f *retryFleet) request(r *retryInstance) {
	q := wasabiridge.Request{ID: "r", Action: wasabiridge.Action{Pool: "p", Retry: true}}
	r.limiter.Offer(f.now, q)
	f.requests = append(f.requests, f.now)
	for range 3 {
		if !f.failing || !r.limiter.MayRetry(f.now, q) {
			return
		}
		f.retries = append(f.retries, f.now)
	}
}

// countWithin counts the times in [from, to).
func countWithin(times []wasabiridge.Millis, from, to wasabiridge.Millis) int {
	first := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return sort.Search(len(times), func(i int) bool { return times[i] >= to }) - first
}

// excess returns by how much the retries exceed the budget in the worst window. The
// budget of a window is the slack and a ratio of the requests of that window, of the
// window before it or of the one half a window earlier, whichever has most.
func (f *retryFleet) excess() float64 {
	worst := -retrySlack
	for _, from := range f.retries {
		most := 0
		for _, before := range [...]wasabiridge.Millis{0, retryWindow / 2, retryWindow} {
			most = max(most, countWithin(f.requests, from-before, from-before+retryWindow))
		}
		worst = max(worst, float64(countWithin(f.retries, from, from+retryWindow))-retryRatio*float64(most)-retrySlack)
	}
	return worst
}

// injectFaults applies random faults, several of which may overlap.
func (f *retryFleet) injectFaults() {
	baseRate := f.rate
	for range 4 + f.random.IntN(8) {
		r := f.instances[f.random.IntN(len(f.instances))]
		switch f.random.IntN(7) {
		case 0, 1:
			f.kill(r, 300+wasabiridge.Millis(f.random.IntN(700)))
		case 2:
			for _, each := range f.instances {
				f.kill(each, 300+wasabiridge.Millis(f.random.IntN(1000)))
			}
		case 3:
			for range 1 + f.random.IntN(len(f.instances)) {
				f.add()
			}
		case 4:
			f.partitionedAt = f.now
			sides := [...]int{1, 2, 2, len(f.instances)}[f.random.IntN(4)]
			for i, each := range f.instances {
				each.side = i % sides
			}
		case 5:
			f.rate = baseRate * [...]float64{0.1, 1, 3}[f.random.IntN(3)]
		case 6:
			f.adopt(r)
			f.adopt(r, f.pool)
		}
		f.advance(wasabiridge.Millis(100 + f.random.IntN(4000)))
	}
	f.advance(retryWindow)
}

var _ = Describe("Further attempts of all instances together", func() {
	faults := map[string]func(f *retryFleet){
		// Guards against credit for more requests than those of one window.
		"when nothing else happens": func(f *retryFleet) { f.advance(2 * retryWindow) },
		// Guards against a restarted process that assumes it is the only instance.
		"when one instance is killed again and again": func(f *retryFleet) {
			for range 5 {
				f.kill(f.instances[0], 500)
				f.advance(2 * wasabiridge.Second)
			}
		},
		// Guards against counters that start from zero in every new process.
		"when all instances are killed at once": func(f *retryFleet) {
			for _, r := range f.instances {
				f.kill(r, 500)
			}
			f.advance(retryWindow)
		},
		// Guards against shares that grow while instances do not see each other.
		"when the instances are partitioned into halves": func(f *retryFleet) {
			f.partitionedAt = f.now
			for i, r := range f.instances {
				r.side = i % 2
			}
			f.advance(3 * retryWindow)
		},
		// Guards against new instances that take shares in addition to the whole slack,
		// which the old ones already divide among themselves.
		"when twice as many instances are added": func(f *retryFleet) {
			for range 14 {
				f.add()
			}
			f.advance(retryWindow)
		},
		// Guards against a budget that is reset when its pool is removed and added
		// again.
		"when a configuration removes the pool and the next one adds it again": func(f *retryFleet) {
			for range 4 {
				for _, r := range f.instances {
					f.adopt(r)
					f.adopt(r, f.pool)
				}
				f.advance(wasabiridge.Second)
			}
		},
		// Guards against retries that are granted for requests of long ago.
		"when traffic falls to a tenth": func(f *retryFleet) {
			f.rate /= 10
			f.advance(2 * retryWindow)
		},
	}
	// Guards against partitioned groups whose instances have all restarted since the
	// partition, so that each divides the slack by the instances of its own group only.
	It("stay within the budget of every window when all instances start while they are cut into three groups", func() {
		f := newRetryFleet(1, 9, 20)
		f.advance(2 * retryWindow)
		f.partitionedAt = f.now
		for i, r := range f.instances {
			r.side = i % 3
			f.kill(r, 500)
		}
		f.advance(8 * retryWindow)
		f.failing = true
		f.advance(2 * retryWindow)
		Expect(f.excess()).To(BeNumerically("<=", 0))
	})

	// Guards against the same with four groups, as many as a user has availability zones.
	It("stay within the budget of every window when all instances start while they are cut into four groups", func() {
		f := newRetryFleet(1, 12, 20)
		f.advance(2 * retryWindow)
		f.partitionedAt = f.now
		for i, r := range f.instances {
			r.side = i % 4
			f.kill(r, 500)
		}
		f.advance(8 * retryWindow)
		f.failing = true
		f.advance(2 * retryWindow)
		Expect(f.excess()).To(BeNumerically("<=", 0))
	})

	// Guards against instances that forget those on the other sides while a cut lasts.
	It("stay within the budget of every window when they are cut into four groups for longer than a minute", func() {
		f := newRetryFleet(1, 12, 20)
		f.advance(2 * retryWindow)
		f.partitionedAt = f.now
		for i, r := range f.instances {
			r.side = i % 4
		}
		for range 4 {
			f.failing = false
			f.advance(8 * retryWindow)
			f.failing = true
			f.advance(2 * retryWindow)
		}
		Expect(f.excess()).To(BeNumerically("<=", 0))
	})

	for _, name := range wasabitest.SortedKeys(faults) {
		It("stay within the budget of every window "+name, func() {
			f := newRetryFleet(1, 7, 71)
			f.advance(2 * retryWindow)
			f.failing = true
			faults[name](f)
			Expect(f.excess()).To(BeNumerically("<=", 0))
		})
	}

	// Guards against credit that expires before it adds up to a whole retry.
	It("are granted when requests are rare", func() {
		f := newRetryFleet(1, 7, 7)
		f.advance(2 * retryWindow)
		f.failing = true
		f.advance(10 * retryWindow)
		Expect(len(f.retries)).To(BeNumerically(">", 250), "a fifth of 700, and the slack shares of ten windows")
		Expect(f.excess()).To(BeNumerically("<=", 0))
	})

	// Guards against requests to servers that the budget does not count.
	It("include streams that continue from migrated memory", func() {
		f := newRetryFleet(1, 1, 0)
		r := f.instances[0]
		f.advance(retryWindow)
		for range 100 {
			r.limiter.Offer(f.now, wasabiridge.Request{Action: wasabiridge.Action{Pool: "p"}})
		}
		moved := wasabiridge.Placement{Backend: f.pool.Backends[0], Why: wasabiridge.WhyMoved, CacheHandle: "s:1/1"}
		for id := range wasabiridge.AttemptID(16) {
			r.placer.Sent(f.now, wasabiridge.Request{Action: wasabiridge.Action{Pool: "p"}}, id+1, moved)
		}
		f.failing = true
		f.request(r)
		f.request(r)
		Expect(f.retries).To(HaveLen(5), "a fifth of 100 requests and the slack share of one instance, less the streams")
	})

	It("stay within the budget of every window under random faults", func() {
		for seed := range uint64(100) {
			f := newRetryFleet(seed, 3+int(seed%7), 30+float64(seed%5)*30)
			f.advance(retryWindow + wasabiridge.Millis(f.random.IntN(3000)))
			f.failing = true
			f.injectFaults()
			Expect(f.excess()).To(BeNumerically("<=", 0), "seed %d", seed)
		}
	})
})

// Guards against retries where the operators allow none: a budget of zero is no default.
var _ = It("A retry budget of zero allows no further attempts", func() {
	placer := wasabireplica.New(wasabireplica.Options{Seed: 1, RetryWindow: retryWindow})
	limiter := wasabireplica.NewLimiter(placer)
	placer.Observe(0, wasabiridge.Ticked{})
	r := short()
	placer.Observe(0, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: []wasabiridge.Pool{{ID: r.Action.Pool}}}})
	Expect(limiter.MayRetry(10*wasabiridge.Minute, r)).To(BeFalse())
})
