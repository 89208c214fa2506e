package wasabireplica_test

import (
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilife"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

// lives lists the engines with the starts that they tell.
func (g *rig) lives(born ...wasabiridge.Incarnation) {
	g.pool.Backends = slices.Clone(g.pool.Backends)
	for i, life := range born {
		g.pool.Backends[i].Incarnation = life
	}
	g.adopt()
}

// key names a part of long prompts under version 1.
func key(part wasabiridge.BlockHash) uint64 {
	return wasabiprefix.PartKey(wasabiprefix.ShortSalt(wasabiridge.CacheRoot{Model: model, Weights: 1}), part)
}

// An engine that holds part 7 and has the newest weights starts again under its name. It
// holds nothing then, and has the weights that it had before.
var _ = Describe("An engine that starts again under its name", func() {
	held := func() *rig {
		g := newRig(1)
		g.lives(10)
		g.tell(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 3, Incarnation: 10})
		_, id := g.place(long(7))
		g.now += 150
		g.answer(id)
		return g
	}
	reported := func(life wasabiridge.Incarnation, w wasabiridge.WeightsVersion) wasabiridge.Event {
		return wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: w, Incarnation: life}
	}
	cases := map[string]struct {
		then    func(g *rig)
		why     string
		weights wasabiridge.WeightsVersion
	}{
		"is used on while nothing says so": {func(*rig) {}, "held", 3},
		"holds nothing, entry first": {func(g *rig) {
			g.lives(20)
			g.tell(reported(20, 2))
		}, "computed", 2},
		"holds nothing, report first": {func(g *rig) {
			g.tell(reported(20, 2))
			g.lives(20)
		}, "computed", 2},
		"holds nothing after a late old entry": {func(g *rig) {
			g.tell(reported(20, 2))
			g.lives(10)
			g.tell(reported(10, 3))
		}, "computed", 2},
		"holds nothing that others tell of its life before": {func(g *rig) {
			g.lives(20)
			g.tell(reported(20, 1))
			g.tell(wasabiridge.PeerPlaced{From: "i2", Parts: []wasabiridge.PartNews{{Backend: "e0", Key: key(7), Tokens: 13000, Ready: true, Incarnation: 10}}})
		}, "computed", 1},
		"holds what others tell of its new life": {func(g *rig) {
			g.tell(reported(20, 1))
			g.tell(wasabiridge.PeerPlaced{From: "i2", Parts: []wasabiridge.PartNews{{Backend: "e0", Key: key(7), Tokens: 13000, Ready: true, Incarnation: 20}}})
		}, "held", 1},
		"rests no more, and its failures are forgotten": {func(g *rig) {
			g.tell(wasabiridge.BackendResting{Backend: "e0", Until: g.now + 9000})
			g.tell(wasabiridge.BackendLost{Backend: "e0"})
			g.lives(20)
			g.tell(reported(20, 2))
		}, "computed", 2},
		"holds nothing when its clock was set back": {func(g *rig) {
			g.lives(5)
			g.tell(reported(5, 2))
			g.now += wasabilife.Doubt
			g.tell(wasabiridge.Ticked{})
		}, "computed", 2},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			g := held()
			cases[name].then(g)
			pl, id := g.place(long(7))
			Expect(id).NotTo(BeZero())
			Expect(pl.Why).To(Equal(cases[name].why))
			Expect(pl.Weights).To(Equal(cases[name].weights))
		})
	}

	It("is not fetched from any more", func() {
		g := newRig(2)
		g.lives(10, 10)
		_, id := g.place(long(7), "e1")
		g.now += 150
		g.answer(id)
		pl, _ := g.place(long(7), "e0")
		Expect(pl.Why).To(Equal("fetched"))
		g.lives(20, 10)
		pl, _ = g.place(long(9), "e0")
		Expect(pl.Why).To(Equal("computed"))
	})
})

// TestNoCacheOfAnEarlierLife draws restarts, requests and late news in any order: a part
// is never taken for held that was only sent in an earlier life.
func TestNoCacheOfAnEarlierLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRig(1)
		life := wasabiridge.Incarnation(10)
		g.lives(life)
		sentIn := map[uint64]wasabiridge.Incarnation{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			part := uint64(rapid.IntRange(1, 4).Draw(t, "part"))
			g.now += wasabiridge.Millis(rapid.IntRange(0, 500).Draw(t, "wait"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				life++
				g.lives(life)
				g.tell(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1, Incarnation: life})
			case 1:
				old := wasabiridge.Incarnation(rapid.IntRange(10, int(life)).Draw(t, "old"))
				g.tell(wasabiridge.PeerPlaced{From: "i2", Parts: []wasabiridge.PartNews{{Backend: "e0", Key: key(wasabiridge.BlockHash(part)), Tokens: 13000, Ready: true, Incarnation: old}}})
				if old == life {
					sentIn[part] = life
				}
			default:
				pl, id := g.place(long(part))
				if id == 0 {
					continue
				}
				if (pl.Why == "held" || pl.Why == "being_read") && sentIn[part] != life {
					t.Fatalf("part %d is %s in life %d, but was sent in %d", part, pl.Why, life, sentIn[part])
				}
				sentIn[part] = life
				g.now += 160
				g.answer(id)
			}
		}
	})
}
