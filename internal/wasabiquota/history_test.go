package wasabiquota_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// bug is a mistake that is planted to see whether histories show it.
type bug uint8

const (
	noBug bug = iota
	// spentTwice lets run once more, after the process stood still, what was left before.
	spentTwice
	// givenAway takes silent instances for ended.
	givenAway
	// forgotten starts with full buckets.
	forgotten
	// oldLimit goes on with a limit that was lowered.
	oldLimit
)

// faulty is told with a planted bug.
type faulty struct {
	*told
	bug bug
	// seen is when it last looked at its clock, twice what it spends once more.
	seen  wasabiridge.Millis
	twice float64
	limit float64
}

func withBug(b bug) func(*fleet, int) way {
	return func(f *fleet, i int) way {
		return &faulty{told: newTold(f, i).(*told), bug: b, seen: f.now + f.nodes[i].skew}
	}
}

// look is called before anything else that happens at the instance.
func (w *faulty) look(now wasabiridge.Millis) {
	stood := now-w.seen > 20*step
	w.seen = now
	if w.bug == spentTwice && stood {
		w.twice = w.limit
	}
}

func (w *faulty) limits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount) {
	w.look(now)
	if w.bug == forgotten {
		w.table.Observe(now, wasabiridge.ConfigAdopted{})
	}
	if w.bug == oldLimit && accounts[0].Limit.Rate < w.limit {
		return
	}
	w.limit = accounts[0].Limit.Rate
	w.told.limits(now, accounts)
}

func (w *faulty) offer(now wasabiridge.Millis, r wasabiridge.Request, done func(wasabiridge.Millis, bool)) {
	w.look(now)
	if cost := float64(r.Chain.Tokens); w.twice >= cost {
		w.twice -= cost
		done(now, true)
		return
	}
	w.told.offer(now, r, done)
}

func (w *faulty) tick(now wasabiridge.Millis) {
	w.look(now)
	if w.bug == givenAway {
		for _, id := range w.table.Silent(now) {
			w.table.Observe(now, wasabiridge.PeerEnded{ID: id})
		}
	}
	w.told.tick(now)
}

func (w *faulty) take(now wasabiridge.Millis, from int, message any) any {
	w.look(now)
	return w.told.take(now, from, message)
}

func (w *faulty) answer(now wasabiridge.Millis, from int, answer any) {
	w.look(now)
	w.told.answer(now, from, answer)
}

const (
	// drawnRate is the limit of a history, in requests of one unit, drawnSpan how long it
	// lasts.
	drawnRate = 40.0
	drawnSpan = 20 * wasabiridge.Second
	// drawnSlack is the slack of the users, as large beside the limit as theirs.
	drawnSlack = 0.21 * drawnRate
	// calmLoad is what the account sends before it sends too much, as a part of its limit.
	calmLoad = 0.3
)

// draw plays a history of faults that follow from the seed. It returns the largest excess
// over what may run in a window, with every limit that was in force.
func draw(seed uint64, b bug) (excess float64, story string) {
	f := newFleet(seed, 3, []wasabiridge.ClientAccount{limited("a", drawnRate)}, withBug(b))
	for range f.random.IntN(5) {
		f.add()
	}
	n := len(f.nodes)
	f.play(f.now + 2500)
	begun := f.now
	lowered := wasabiridge.Millis(0)
	for range 1 + f.random.IntN(3) {
		at, span := begun+wasabiridge.Millis(f.random.IntN(12_000)), 500+wasabiridge.Millis(f.random.IntN(8500))
		some := f.random.Perm(n)[:1+f.random.IntN(n)]
		switch kind := f.random.IntN(6); kind {
		case 0:
			apart := map[int]bool{}
			for _, i := range some {
				apart[i] = true
			}
			story += fmt.Sprintf("cut %v at %d for %d; ", some, at-begun, span)
			f.at(at, func() { f.cut = func(a, b int) bool { return apart[a] != apart[b] } })
			f.at(at+span, func() { f.cut = func(int, int) bool { return false } })
		case 1:
			story += fmt.Sprintf("kill %v at %d; ", some, at-begun)
			for _, i := range some {
				f.at(at, func() { f.kill(i) })
				f.at(at+200+wasabiridge.Millis(f.random.IntN(800)), func() {
					if !f.nodes[i].up {
						f.start(i)
					}
				})
			}
		case 2:
			story += fmt.Sprintf("freeze %v at %d for %d; ", some, at-begun, span)
			for _, i := range some {
				f.at(at, func() { f.nodes[i].frozen = at + span })
			}
		case 3:
			story += fmt.Sprintf("add at %d; ", at-begun)
			for j := range 2 * n {
				f.at(at+50*wasabiridge.Millis(j), f.add)
			}
		case 4:
			story += "lossy; "
			f.loss, f.late = 0.1, 400
		case 5:
			if lowered > 0 {
				continue
			}
			lowered = at
			story += fmt.Sprintf("lowered at %d; ", at-begun)
			f.at(at, func() { f.adopt([]wasabiridge.ClientAccount{limited("a", drawnRate/4)}, wasabiridge.Second) })
		}
	}
	load, hot := (1+6*f.random.Float64())*drawnRate, begun+wasabiridge.Millis(f.random.IntN(9000))
	story += fmt.Sprintf("%d instances, load %.0f from %d on", n, load, hot-begun)
	var next func()
	next = func() {
		if f.now >= begun+drawnSpan {
			return
		}
		f.ask(f.random.IntN(len(f.nodes)), "a", 1)
		now := load
		if f.now < hot {
			now = calmLoad * drawnRate
		}
		f.at(f.now+wasabiridge.Millis(f.random.ExpFloat64()*1000/now), next)
	}
	f.at(begun, next)
	f.play(begun + drawnSpan)
	excess = f.excess(drawnRate, begun)
	if lowered > 0 {
		// A lower limit binds what runs after it is in force everywhere.
		excess = max(excess, f.excess(drawnRate/4, lowered+wasabiridge.Second))
	}
	return excess, story
}

// excess is by how much what ran from a time on passes what may run in a window.
func (f *fleet) excess(rate float64, from wasabiridge.Millis) float64 {
	_, beyond := f.most("a", *limited("a", rate).Limit, from)
	return beyond + slack - drawnSlack
}

var _ = Describe("Drawn histories", func() {
	It("never let run more than the limit", func() {
		for seed := range uint64(60) {
			excess, story := draw(seed, noBug)
			Expect(excess).To(BeNumerically("<=", 0), "seed %d: %s", seed, story)
		}
	})

	// Guards against a burst that runs on both sides of a cut, before either sees it.
	It("do not let a burst run twice when a cut and a rush come together", func() {
		excess, story := draw(6978, noBug)
		Expect(excess).To(BeNumerically("<=", 0), story)
	})

	// Guards against newcomers that are cut off from the owners after they had heard them,
	// and divide the limit among themselves.
	It("do not let newcomers take a limit that has owners", func() {
		excess, story := draw(7724, noBug)
		Expect(excess).To(BeNumerically("<=", 0), story)
	})

	// Guards against more than the limit where instances are killed, cut off and added.
	It("hold where instances are killed, cut off and added", func() {
		excess, story := draw(8192, noBug)
		Expect(excess).To(BeNumerically("<=", 0), story)
	})

	bugs := map[string]bug{
		"a part that is spent twice after a freeze":        spentTwice,
		"a part that is given away while its owner lives":  givenAway,
		"a window that is forgotten in a restart":          forgotten,
		"a lowered limit that binds those that start only": oldLimit,
	}
	for name, b := range bugs {
		It("show "+name, func() {
			for seed := range uint64(300) {
				if excess, story := draw(seed, b); excess > 0 {
					fmt.Fprintf(GinkgoWriter, "seed %d: %s: %.0f beyond\n", seed, story, excess)
					return
				}
			}
			Fail("no history shows it")
		})
	}
})

var _ wasabiridge.Quota = (*wasabiquota.Table)(nil)
