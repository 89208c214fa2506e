package wasabirate_test

import (
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirate"
)

const (
	// historyInstances is the number of instances of a history, of which up to historyServing
	// serve callers.
	historyInstances = 30
	historyServing   = 12
	// viewLag is the longest time until an instance sees a change, and settleTime the time
	// after the last change from which nothing may exceed the amount.
	viewLag    = 1500 * wasabiridge.Millis(1)
	settleTime = 7 * wasabiridge.Second
	step       = 100 * wasabiridge.Millis(1)
)

// history is a group of instances whose views of each other lag behind.
type history struct {
	random  *rand.Rand
	now     wasabiridge.Millis
	serving []wasabiridge.InstanceID
	groups  map[wasabiridge.InstanceID]*wasabirate.Group
	// views are the times at which instances will see what has changed.
	views []pendingView
	// joins are the times at which an instance joined.
	joins     []wasabiridge.Millis
	changedAt wasabiridge.Millis
}

type pendingView struct {
	at       wasabiridge.Millis
	instance wasabiridge.InstanceID
}

func newHistory(seed uint64) *history {
	h := &history{random: rand.New(rand.NewPCG(seed, 7)), now: 1000, groups: map[wasabiridge.InstanceID]*wasabirate.Group{}}
	h.serving = names(historyServing)
	for _, id := range names(historyInstances) {
		h.restart(id)
	}
	return h
}

// restart replaces an instance by one that knows nobody yet.
func (h *history) restart(id wasabiridge.InstanceID) {
	h.groups[id] = wasabirate.NewGroup(id)
	h.groups[id].SetInstances(h.now, []wasabiridge.InstanceID{id})
	h.views = slices.DeleteFunc(h.views, func(v pendingView) bool { return v.instance == id })
	h.show(id)
	h.joins, h.changedAt = append(h.joins, h.now), h.now
}

// show lets an instance see the instances that serve after a while.
func (h *history) show(id wasabiridge.InstanceID) {
	h.views = append(h.views, pendingView{h.now + wasabiridge.Millis(h.random.Int64N(int64(viewLag))), id})
}

// change makes an instance serve, cease to serve, or start again.
func (h *history) change() {
	id := names(historyInstances)[h.random.IntN(historyInstances)]
	at := slices.Index(h.serving, id)
	switch {
	case h.random.IntN(4) == 0:
		h.restart(id)
		return
	case at >= 0 && len(h.serving) > 3:
		h.serving = slices.Delete(slices.Clone(h.serving), at, at+1)
	case at < 0 && len(h.serving) < historyServing+3:
		h.serving = append(slices.Clone(h.serving), id)
		h.joins = append(h.joins, h.now)
	}
	h.changedAt = h.now
	for _, other := range names(historyInstances) {
		h.show(other)
	}
}

// advance passes a step, in which instances see what is due.
func (h *history) advance() {
	h.now += step
	slices.SortStableFunc(h.views, func(a, b pendingView) int { return int(a.at - b.at) })
	for len(h.views) > 0 && h.views[0].at <= h.now {
		v := h.views[0]
		h.views = h.views[1:]
		h.groups[v.instance].SetInstances(h.now, h.serving)
	}
	for _, g := range h.groups {
		g.Expire(h.now)
	}
}

// taken returns the sum of the parts of all instances.
func (h *history) taken(server wasabiridge.BackendServerID, amount int) int {
	sum := 0
	for _, g := range h.groups {
		part, _ := g.Part(server, amount)
		sum += part
	}
	return sum
}

// newcomers returns the number of instances that the others may not know yet.
func (h *history) newcomers() int {
	h.joins = slices.DeleteFunc(h.joins, func(at wasabiridge.Millis) bool { return h.now-at > settleTime })
	return len(h.joins)
}

var _ = Describe("The parts of instances whose views lag behind each other", func() {
	// Guards against parts that add up to more than the amount, other than by one for each
	// instance that the others do not know yet, and against parts that nobody uses.
	It("add up to no more than the whole in any history", func() {
		for seed := range uint64(60) {
			h := newHistory(seed)
			for range 600 {
				if h.random.IntN(25) == 0 {
					h.change()
				}
				h.advance()
				for _, amount := range []int{1, 6, 32} {
					allowed := amount + h.newcomers()
					Expect(h.taken(server, amount)).To(BeNumerically("<=", allowed), "seed %d, at %d, amount %d", seed, h.now, amount)
				}
			}
			for range 700 {
				h.advance()
				if h.now-h.changedAt > settleTime {
					Expect(h.taken(server, 6)).To(BeNumerically("<=", 6), "seed %d, at %d", seed, h.now)
				}
			}
			Expect(h.taken(server, 6)).To(Equal(6), "seed %d", seed)
		}
	})
})
