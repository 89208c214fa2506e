package wasabiquota_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// bug is a fault that is planted to check that the random histories detect it.
type bug uint8

const (
	noBug bug = iota
	// respendAfterPause spends a full limit once more after the process was paused.
	respendAfterPause
	// silentAsEnded treats silent instances as ended.
	silentAsEnded
	// fullAtStart starts with full buckets.
	fullAtStart
	// ignoreLoweredLimit keeps using a limit that was lowered.
	ignoreLoweredLimit
)

// buggy is the design in use with a planted bug.
type buggy struct {
	*runningTotals
	bug bug
	// lastEvent is when anything last happened at the instance, respendable what
	// respendAfterPause spends once more.
	lastEvent   wasabiridge.Millis
	respendable float64
	limit       float64
}

func withBug(b bug) func(*fleet, int) limiter {
	return func(f *fleet, i int) limiter {
		return &buggy{runningTotals: newRunningTotals(f, i).(*runningTotals), bug: b, lastEvent: f.now + f.instances[i].clockSkew}
	}
}

// detectPause must be called before anything else that happens at the instance.
func (w *buggy) detectPause(now wasabiridge.Millis) {
	paused := now-w.lastEvent > 20*step
	w.lastEvent = now
	if w.bug == respendAfterPause && paused {
		w.respendable = w.limit
	}
}

func (w *buggy) setLimits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount) {
	w.detectPause(now)
	if w.bug == fullAtStart {
		w.table.Observe(now, wasabiridge.ConfigAdopted{})
	}
	if w.bug == ignoreLoweredLimit && accounts[0].Limit.Rate < w.limit {
		return
	}
	w.limit = accounts[0].Limit.Rate
	w.runningTotals.setLimits(now, accounts)
}

func (w *buggy) decide(now wasabiridge.Millis, r wasabiridge.Request, done func(wasabiridge.Millis, bool)) {
	w.detectPause(now)
	if cost := float64(r.Chain.Tokens); w.respendable >= cost {
		w.respendable -= cost
		done(now, true)
		return
	}
	w.runningTotals.decide(now, r, done)
}

func (w *buggy) tick(now wasabiridge.Millis) {
	w.detectPause(now)
	if w.bug == silentAsEnded {
		for _, id := range w.table.Unresponsive(now) {
			w.table.Observe(now, wasabiridge.PeerEnded{ID: id})
		}
	}
	w.runningTotals.tick(now)
}

func (w *buggy) receive(now wasabiridge.Millis, from int, message any) any {
	w.detectPause(now)
	return w.runningTotals.receive(now, from, message)
}

func (w *buggy) receiveAnswer(now wasabiridge.Millis, from int, answer any) {
	w.detectPause(now)
	w.runningTotals.receiveAnswer(now, from, answer)
}

const (
	// historyRate is the limit of a history, in requests of one unit per second,
	// historySpan its length.
	historyRate = 40.0
	historySpan = 20 * wasabiridge.Second
	// historySlack is the allowed excess. Its ratio to the limit is that of slack to
	// largeRate.
	historySlack = 0.21 * historyRate
	// baseLoad is what the account sends before it exceeds its limit, as a part of the
	// limit.
	baseLoad = 0.3
)

// randomHistory plays the random faults that follow from a seed. It returns the largest
// number of units beyond what may run in a window, under every limit that was in force.
func randomHistory(seed uint64, b bug) (excess float64, description string) {
	f := newFleet(seed, 3, []wasabiridge.ClientAccount{limitedAccount("a", historyRate)}, withBug(b))
	for range f.random.IntN(5) {
		f.add()
	}
	n := len(f.instances)
	f.runUntil(f.now + 2500)
	startedAt := f.now
	lowered := wasabiridge.Millis(0)
	for range 1 + f.random.IntN(3) {
		at, span := startedAt+wasabiridge.Millis(f.random.IntN(12_000)), 500+wasabiridge.Millis(f.random.IntN(8500))
		chosen := f.random.Perm(n)[:1+f.random.IntN(n)]
		switch kind := f.random.IntN(6); kind {
		case 0:
			apart := map[int]bool{}
			for _, i := range chosen {
				apart[i] = true
			}
			description += fmt.Sprintf("partition %v at %d for %d; ", chosen, at-startedAt, span)
			f.schedule(at, func() { f.partitioned = func(a, b int) bool { return apart[a] != apart[b] } })
			f.schedule(at+span, func() { f.partitioned = func(int, int) bool { return false } })
		case 1:
			description += fmt.Sprintf("kill %v at %d; ", chosen, at-startedAt)
			for _, i := range chosen {
				f.schedule(at, func() { f.kill(i) })
				f.schedule(at+200+wasabiridge.Millis(f.random.IntN(800)), func() {
					if !f.instances[i].up {
						f.start(i)
					}
				})
			}
		case 2:
			description += fmt.Sprintf("pause %v at %d for %d; ", chosen, at-startedAt, span)
			for _, i := range chosen {
				f.schedule(at, func() { f.instances[i].pausedUntil = at + span })
			}
		case 3:
			description += fmt.Sprintf("add at %d; ", at-startedAt)
			for j := range 2 * n {
				f.schedule(at+50*wasabiridge.Millis(j), f.add)
			}
		case 4:
			description += "lossy; "
			f.lossRate, f.maxExtraDelay = 0.1, 400
		case 5:
			if lowered > 0 {
				continue
			}
			lowered = at
			description += fmt.Sprintf("lowered at %d; ", at-startedAt)
			f.schedule(at, func() { f.adopt([]wasabiridge.ClientAccount{limitedAccount("a", historyRate/4)}, wasabiridge.Second) })
		}
	}
	load, hot := (1+6*f.random.Float64())*historyRate, startedAt+wasabiridge.Millis(f.random.IntN(9000))
	description += fmt.Sprintf("%d instances, load %.0f from %d on", n, load, hot-startedAt)
	var next func()
	next = func() {
		if f.now >= startedAt+historySpan {
			return
		}
		f.request(f.random.IntN(len(f.instances)), "a", 1)
		now := load
		if f.now < hot {
			now = baseLoad * historyRate
		}
		f.schedule(f.now+wasabiridge.Millis(f.random.ExpFloat64()*1000/now), next)
	}
	f.schedule(startedAt, next)
	f.runUntil(startedAt + historySpan)
	excess = f.excess(historyRate, startedAt)
	if lowered > 0 {
		// The lower limit holds for what runs once it is in force at all instances.
		excess = max(excess, f.excess(historyRate/4, lowered+wasabiridge.Second))
	}
	return excess, description
}

// excess returns by how many units the busiest window from a time on exceeds what is
// allowed.
func (f *fleet) excess(rate float64, from wasabiridge.Millis) float64 {
	_, beyond := f.maxWindow("a", *limitedAccount("a", rate).Limit, from)
	return beyond + slack - historySlack
}

var _ = Describe("Random histories of faults", func() {
	It("never exceed the limit", func() {
		for seed := range uint64(60) {
			excess, description := randomHistory(seed, noBug)
			Expect(excess).To(BeNumerically("<=", 0), "seed %d: %s", seed, description)
		}
	})

	// Guards against a burst that both sides of a partition admit before either has
	// detected the partition.
	It("do not admit a burst twice when a partition and a burst coincide", func() {
		excess, description := randomHistory(6978, noBug)
		Expect(excess).To(BeNumerically("<=", 0), description)
	})

	// Guards against new instances that are partitioned from the owners after they had
	// reached them, and that divide the limit among themselves.
	It("do not let new instances use a limit that has owners", func() {
		excess, description := randomHistory(7724, noBug)
		Expect(excess).To(BeNumerically("<=", 0), description)
	})

	// Guards against an exceeded limit when instances are killed, partitioned and added at
	// about the same time.
	It("do not exceed the limit when instances are killed, partitioned and added", func() {
		excess, description := randomHistory(8192, noBug)
		Expect(excess).To(BeNumerically("<=", 0), description)
	})

	bugs := map[string]bug{
		"a share that is spent twice after a pause":             respendAfterPause,
		"a share that is reassigned while its owner is running": silentAsEnded,
		"previous use that is forgotten in a restart":           fullAtStart,
		"a lowered limit that only restarted instances apply":   ignoreLoweredLimit,
	}
	for name, b := range bugs {
		It("detect "+name, func() {
			for seed := range uint64(300) {
				if excess, description := randomHistory(seed, b); excess > 0 {
					fmt.Fprintf(GinkgoWriter, "seed %d: %s: %.0f over the limit\n", seed, description, excess)
					return
				}
			}
			Fail("no history detects the bug")
		})
	}
})

var _ wasabiridge.Quota = (*wasabiquota.Table)(nil)
