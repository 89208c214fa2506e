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
	// fleetStep is how far the time of a fleet goes at once.
	fleetStep = 20 * wasabiridge.Millis(1)
	// countDelay is how long a fleet needs to see that an instance came or went.
	countDelay = 2 * wasabiridge.Second
)

// retrier is one instance.
type retrier struct {
	placer  *wasabireplica.Placer
	limiter *wasabireplica.Limiter
	// downUntil is when a killed process is back. heard is when it was last told how
	// many there are.
	downUntil, started, heard wasabiridge.Millis
	side                      int
}

// retryFleet is instances that share a budget, with every arrival at the pool.
type retryFleet struct {
	random    *rand.Rand
	now       wasabiridge.Millis
	pool      wasabiridge.Pool
	instances []*retrier
	rate      float64
	cutAt     wasabiridge.Millis
	// failing says that every request fails until no further attempt is allowed.
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
	r := &retrier{}
	f.start(r)
	f.instances = append(f.instances, r)
}

// start gives an instance a process that knows nothing.
func (f *retryFleet) start(r *retrier) {
	r.placer = wasabireplica.New(wasabireplica.Options{Seed: 1, RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: retryWindow})
	r.limiter = wasabireplica.NewLimiter(r.placer)
	r.started, r.heard = f.now, f.now
	r.placer.Observe(f.now, wasabiridge.Ticked{})
	f.adopt(r, f.pool)
}

func (f *retryFleet) adopt(r *retrier, pools ...wasabiridge.Pool) {
	r.placer.Observe(f.now, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: pools}})
}

func (f *retryFleet) kill(r *retrier, down wasabiridge.Millis) {
	r.downUntil = f.now + down
}

// visible counts the instances that one sees.
func (f *retryFleet) visible(r *retrier) int {
	count := 0
	for _, other := range f.instances {
		known := other.downUntil == 0 && f.now >= other.started+countDelay || other == r
		if known && (other.side == r.side || f.now < f.cutAt+countDelay) {
			count++
		}
	}
	return count
}

// pass lets time pass.
func (f *retryFleet) pass(span wasabiridge.Millis) {
	for until := f.now + span; f.now < until; f.now += fleetStep {
		var up []*retrier
		for _, r := range f.instances {
			if r.downUntil > f.now {
				continue
			}
			if r.downUntil > 0 {
				r.downUntil = 0
				f.start(r)
			}
			if f.now >= r.heard+wasabiridge.Second {
				r.heard = f.now
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

func (f *retryFleet) request(r *retrier) {
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

// within counts the times of a span, its end left out.
func within(times []wasabiridge.Millis, from, to wasabiridge.Millis) int {
	first := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return sort.Search(len(times), func(i int) bool { return times[i] >= to }) - first
}

// excess is by how much further attempts go beyond the budget in the worst window:
// a ratio of the requests of that window, the one before it or the one half a window
// before it, whichever has most, and the slack.
func (f *retryFleet) excess() float64 {
	worst := -retrySlack
	for _, from := range f.retries {
		most := 0
		for _, before := range [...]wasabiridge.Millis{0, retryWindow / 2, retryWindow} {
			most = max(most, within(f.requests, from-before, from-before+retryWindow))
		}
		worst = max(worst, float64(within(f.retries, from, from+retryWindow))-retryRatio*float64(most)-retrySlack)
	}
	return worst
}

// disrupt plays drawn faults of a short day, several of them at once.
func (f *retryFleet) disrupt() {
	usual := f.rate
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
			f.cutAt = f.now
			sides := [...]int{1, 2, 2, len(f.instances)}[f.random.IntN(4)]
			for i, each := range f.instances {
				each.side = i % sides
			}
		case 5:
			f.rate = usual * [...]float64{0.1, 1, 3}[f.random.IntN(3)]
		case 6:
			f.adopt(r)
			f.adopt(r, f.pool)
		}
		f.pass(wasabiridge.Millis(100 + f.random.IntN(4000)))
	}
	f.pass(retryWindow)
}

var _ = Describe("Further attempts of all instances together", func() {
	faults := map[string]func(f *retryFleet){
		// Guards against credit for more requests than those of one window.
		"when nothing else happens": func(f *retryFleet) { f.pass(2 * retryWindow) },
		// Guards against a started process that takes itself for the only one.
		"when one instance is killed again and again": func(f *retryFleet) {
			for range 5 {
				f.kill(f.instances[0], 500)
				f.pass(2 * wasabiridge.Second)
			}
		},
		// Guards against counters that begin anew in every process.
		"when all instances are killed at once": func(f *retryFleet) {
			for _, r := range f.instances {
				f.kill(r, 500)
			}
			f.pass(retryWindow)
		},
		// Guards against parts that grow while instances do not see each other.
		"when the instances are cut in halves": func(f *retryFleet) {
			f.cutAt = f.now
			for i, r := range f.instances {
				r.side = i % 2
			}
			f.pass(3 * retryWindow)
		},
		// Guards against parts of newcomers beside the whole that the others divide.
		"when twice as many instances are added": func(f *retryFleet) {
			for range 14 {
				f.add()
			}
			f.pass(retryWindow)
		},
		// Guards against a budget that is forgotten with its pool.
		"when a configuration leaves the pool out and the next one has it again": func(f *retryFleet) {
			for range 4 {
				for _, r := range f.instances {
					f.adopt(r)
					f.adopt(r, f.pool)
				}
				f.pass(wasabiridge.Second)
			}
		},
		// Guards against attempts that are allowed for requests of long ago.
		"when traffic falls to a tenth": func(f *retryFleet) {
			f.rate /= 10
			f.pass(2 * retryWindow)
		},
	}
	// Guards against groups of instances that are cut off from each other, have all started
	// since, and each divide the slack by what they see.
	It("stay within the budget of every window when all instances start while they are cut into three groups", func() {
		f := newRetryFleet(1, 9, 20)
		f.pass(2 * retryWindow)
		f.cutAt = f.now
		for i, r := range f.instances {
			r.side = i % 3
			f.kill(r, 500)
		}
		f.pass(8 * retryWindow)
		f.failing = true
		f.pass(2 * retryWindow)
		Expect(f.excess()).To(BeNumerically("<=", 0))
	})

	for _, name := range wasabitest.Names(faults) {
		It("stay within the budget of every window "+name, func() {
			f := newRetryFleet(1, 7, 71)
			f.pass(2 * retryWindow)
			f.failing = true
			faults[name](f)
			Expect(f.excess()).To(BeNumerically("<=", 0))
		})
	}

	// Guards against credit that lapses before it pays for a whole attempt.
	It("are allowed where requests are rare", func() {
		f := newRetryFleet(1, 7, 7)
		f.pass(2 * retryWindow)
		f.failing = true
		f.pass(10 * retryWindow)
		Expect(len(f.retries)).To(BeNumerically(">", 250), "a fifth of 700, and parts of ten windows")
		Expect(f.excess()).To(BeNumerically("<=", 0))
	})

	// Guards against arrivals at servers that the budget does not count.
	It("count streams that go on from moved memory", func() {
		f := newRetryFleet(1, 1, 0)
		r := f.instances[0]
		f.pass(retryWindow)
		for range 100 {
			r.limiter.Offer(f.now, wasabiridge.Request{Action: wasabiridge.Action{Pool: "p"}})
		}
		moved := wasabiridge.Placement{Backend: f.pool.Backends[0], Why: wasabiridge.WhyMoved, MemoryFrom: "s:1/1"}
		for id := range wasabiridge.AttemptID(16) {
			r.placer.Sent(f.now, wasabiridge.Request{Action: wasabiridge.Action{Pool: "p"}}, id+1, moved)
		}
		f.failing = true
		f.request(r)
		f.request(r)
		Expect(f.retries).To(HaveLen(5), "a fifth of 100 requests and the part of one, less the streams")
	})

	It("stay within the budget of every window in drawn histories", func() {
		for seed := range uint64(100) {
			f := newRetryFleet(seed, 3+int(seed%7), 30+float64(seed%5)*30)
			f.pass(retryWindow + wasabiridge.Millis(f.random.IntN(3000)))
			f.failing = true
			f.disrupt()
			Expect(f.excess()).To(BeNumerically("<=", 0), "seed %d", seed)
		}
	})
})
