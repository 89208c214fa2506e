package wasabireplica_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// An answer leaves engine e0, which is about to load weights, and looks for another
// one of two.
var _ = Describe("A place for an answer that leaves its replica", func() {
	cases := map[string]struct {
		change func(g *rig)
		to     wasabiridge.BackendServerID
	}{
		"is a replica with the same weights": {func(*rig) {}, "e1"},
		"is none with other weights": {func(g *rig) {
			g.tell(wasabiridge.WeightsReported{Backend: "e1", Model: model, Weights: 2})
		}, "e2"},
		"is none that rests": {func(g *rig) {
			g.tell(wasabiridge.BackendResting{Backend: "e1", Until: g.now + 100})
		}, "e2"},
		"is one that eases, if need be": {func(g *rig) {
			g.tell(wasabiridge.BackendEasing{Backend: "e1", Until: g.now + 100})
			g.tell(wasabiridge.BackendLost{Backend: "e2"})
		}, "e1"},
		"is rather one that does not ease": {func(g *rig) {
			g.tell(wasabiridge.BackendEasing{Backend: "e1", Until: g.now + 100})
		}, "e2"},
		"is none that fails": {func(g *rig) {
			g.tell(wasabiridge.BackendLost{Backend: "e1"})
		}, "e2"},
		"is none that failed a moment ago and was not tried since": {func(g *rig) {
			g.tell(wasabiridge.BackendLost{Backend: "e1"})
			g.now += 5000
		}, "e2"},
		"is none without memory": {func(g *rig) {
			g.tell(wasabiridge.PeerPlaced{From: "i2", Loads: []wasabiridge.LoadNews{{Backend: "e1", Inside: 1, Tokens: 180000}}})
		}, "e2"},
		"is none without a slot": {func(g *rig) {
			g.tell(wasabiridge.PeerPlaced{From: "i2", Loads: []wasabiridge.LoadNews{{Backend: "e1", Inside: 8}}})
		}, "e2"},
		"is nowhere where engines do not move answers": {func(g *rig) {
			g.pool.MovesRuns = false
			g.adopt()
		}, ""},
		"is nowhere when all have loaded": {func(g *rig) {
			g.tell(wasabiridge.WeightsReported{Backend: "e1", Model: model, Weights: 2})
			g.tell(wasabiridge.WeightsReported{Backend: "e2", Model: model, Weights: 2})
		}, ""},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			g := newRig(3)
			g.pool.MovesRuns = true
			g.adopt()
			cases[name].change(g)
			to, ok := g.placer.Refuge(g.now, long(1), 1, []wasabiridge.BackendServerID{"e0"})
			Expect(to.ID).To(Equal(cases[name].to))
			Expect(ok).To(Equal(cases[name].to != ""))
		})
	}
})
