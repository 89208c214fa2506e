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

// setIncarnations configures the incarnations that the engines report.
func (g *rig) setIncarnations(incarnations ...wasabiridge.Incarnation) {
	g.pool.Backends = slices.Clone(g.pool.Backends)
	for i, incarnation := range incarnations {
		g.pool.Backends[i].Incarnation = incarnation
	}
	g.adopt()
}

// run passes time with regular ticks.
func (g *rig) run(span wasabiridge.Millis) {
	const tick = 250 * wasabiridge.Millis(1)
	for end := g.now + span; g.now < end; {
		g.now = min(g.now+tick, end)
		g.observe(wasabiridge.Ticked{})
	}
}

// key returns the key of a segment of long prompts under version 1 of the weights.
func key(segment wasabiridge.BlockHash) uint64 {
	return wasabiprefix.SegmentKey(wasabiprefix.ShortSalt(wasabiridge.CacheRoot{Model: model, Weights: 1}), segment)
}

// An engine that holds segment 7 and has the newest weights restarts under the same
// name. It then holds no segments and may serve older weights.
var _ = Describe("An engine that restarts under the same name", func() {
	held := func() *rig {
		g := newRig(1)
		g.setIncarnations(10)
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 3, Incarnation: 10})
		_, id := g.place(long(7))
		g.now += 150
		g.answer(id)
		return g
	}
	reported := func(incarnation wasabiridge.Incarnation, w wasabiridge.WeightsVersion) wasabiridge.Event {
		return wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: w, Incarnation: incarnation}
	}
	cases := map[string]struct {
		then    func(g *rig)
		why     string
		weights wasabiridge.WeightsVersion
	}{
		"stays in use while nothing reports the restart": {func(*rig) {}, "held", 3},
		"holds nothing when the configuration arrives before the report": {func(g *rig) {
			g.setIncarnations(20)
			g.observe(reported(20, 2))
		}, "computed", 2},
		"holds nothing when the report arrives before the configuration": {func(g *rig) {
			g.observe(reported(20, 2))
			g.setIncarnations(20)
		}, "computed", 2},
		"holds nothing when an outdated configuration and report arrive late": {func(g *rig) {
			g.observe(reported(20, 2))
			g.setIncarnations(10)
			g.observe(reported(10, 3))
		}, "computed", 2},
		"holds nothing that peers report of its previous incarnation": {func(g *rig) {
			g.setIncarnations(20)
			g.observe(reported(20, 1))
			g.observe(wasabiridge.PeerPlaced{From: "i2", Segments: []wasabiridge.SegmentUpdate{{Backend: "e0", Key: key(7), Tokens: 13000, Ready: true, Incarnation: 10}}})
		}, "computed", 1},
		"holds what peers report of its new incarnation": {func(g *rig) {
			g.observe(reported(20, 1))
			g.observe(wasabiridge.PeerPlaced{From: "i2", Segments: []wasabiridge.SegmentUpdate{{Backend: "e0", Key: key(7), Tokens: 13000, Ready: true, Incarnation: 20}}})
		}, "held", 1},
		"leaves backoff, and its failures are cleared": {func(g *rig) {
			g.observe(wasabiridge.BackendInBackoff{Backend: "e0", Until: g.now + 9000})
			g.observe(wasabiridge.BackendLost{Backend: "e0"})
			g.setIncarnations(20)
			g.observe(reported(20, 2))
		}, "computed", 2},
		"holds nothing when it restarts with its clock set back": {func(g *rig) {
			g.setIncarnations(5)
			g.observe(reported(5, 2))
			g.run(wasabilife.RollbackDelay)
		}, "computed", 2},
		"stays in use when its instance is frozen after an outdated report": {func(g *rig) {
			g.observe(reported(5, 2))
			g.now += wasabilife.RollbackDelay
			g.observe(wasabiridge.Ticked{})
			g.observe(reported(5, 2))
		}, "held", 3},
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

	It("is no longer a source for fetches", func() {
		g := newRig(2)
		g.setIncarnations(10, 10)
		_, id := g.place(long(7), "e1")
		g.now += 150
		g.answer(id)
		pl, _ := g.place(long(7), "e0")
		Expect(pl.Why).To(Equal("fetched"))
		g.setIncarnations(20, 10)
		pl, _ = g.place(long(9), "e0")
		Expect(pl.Why).To(Equal("computed"))
	})
})

// TestNoCacheOfEarlierIncarnation applies restarts, requests and late updates in random
// order. A segment that was only sent to an earlier incarnation must never count as
// held.
func TestNoCacheOfEarlierIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newRig(1)
		incarnation := wasabiridge.Incarnation(10)
		g.setIncarnations(incarnation)
		sentIn := map[uint64]wasabiridge.Incarnation{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			segment := uint64(rapid.IntRange(1, 4).Draw(t, "part"))
			g.now += wasabiridge.Millis(rapid.IntRange(0, 500).Draw(t, "wait"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				incarnation++
				g.setIncarnations(incarnation)
				g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1, Incarnation: incarnation})
			case 1:
				old := wasabiridge.Incarnation(rapid.IntRange(10, int(incarnation)).Draw(t, "old"))
				g.observe(wasabiridge.PeerPlaced{From: "i2", Segments: []wasabiridge.SegmentUpdate{{Backend: "e0", Key: key(wasabiridge.BlockHash(segment)), Tokens: 13000, Ready: true, Incarnation: old}}})
				if old == incarnation {
					sentIn[segment] = incarnation
				}
			default:
				pl, id := g.place(long(segment))
				if id == 0 {
					continue
				}
				if (pl.Why == "held" || pl.Why == "being_read") && sentIn[segment] != incarnation {
					t.Fatalf("segment %d is %s in incarnation %d, but was last sent in incarnation %d", segment, pl.Why, incarnation, sentIn[segment])
				}
				sentIn[segment] = incarnation
				g.now += 160
				g.answer(id)
			}
		}
	})
}
