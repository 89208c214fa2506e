package wasabireplica_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// An answer has to leave engine e0, which is about to load weights. The target is one
// of the two other engines.
var _ = Describe("The migration target of an answer", func() {
	cases := map[string]struct {
		change func(g *rig)
		to     wasabiridge.BackendServerID
	}{
		"is a replica with the same weights": {func(*rig) {}, "e1"},
		"is no replica with other weights": {func(g *rig) {
			g.observe(wasabiridge.WeightsReported{Backend: "e1", Model: model, Weights: 2})
		}, "e2"},
		"is no replica with other software": {func(g *rig) {
			g.pool.Backends[1].Software = "v2"
			g.adopt()
		}, "e2"},
		"is no replica in backoff": {func(g *rig) {
			g.observe(wasabiridge.BackendInBackoff{Backend: "e1", Until: g.now + 100})
		}, "e2"},
		"is a draining replica if there is no other": {func(g *rig) {
			g.observe(wasabiridge.BackendDraining{Backend: "e1", Until: g.now + 100})
			g.observe(wasabiridge.BackendLost{Backend: "e2"})
		}, "e1"},
		"is preferably a replica that is not draining": {func(g *rig) {
			g.observe(wasabiridge.BackendDraining{Backend: "e1", Until: g.now + 100})
		}, "e2"},
		"is no failing replica": {func(g *rig) {
			g.observe(wasabiridge.BackendLost{Backend: "e1"})
		}, "e2"},
		"is no replica that failed and was not probed since": {func(g *rig) {
			g.observe(wasabiridge.BackendLost{Backend: "e1"})
			g.now += 5000
		}, "e2"},
		"is no replica without free memory": {func(g *rig) {
			g.observe(wasabiridge.PeerPlaced{From: "i2", Loads: []wasabiridge.LoadUpdate{{Backend: "e1", InFlight: 1, Tokens: 180000}}})
		}, "e2"},
		"is no replica without a free slot": {func(g *rig) {
			g.observe(wasabiridge.PeerPlaced{From: "i2", Loads: []wasabiridge.LoadUpdate{{Backend: "e1", InFlight: 8}}})
		}, "e2"},
		"does not exist when the engines cannot migrate answers": {func(g *rig) {
			g.pool.MigratesRequests = false
			g.adopt()
		}, ""},
		"does not exist when all replicas have loaded other weights": {func(g *rig) {
			g.observe(wasabiridge.WeightsReported{Backend: "e1", Model: model, Weights: 2})
			g.observe(wasabiridge.WeightsReported{Backend: "e2", Model: model, Weights: 2})
		}, ""},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			g := newRig(3)
			g.pool.MigratesRequests = true
			g.adopt()
			cases[name].change(g)
			to, ok := g.placer.MigrationTarget(g.now, long(1), wasabiridge.BackendServer{ID: "e0"}, 1, nil)
			Expect(to.ID).To(Equal(cases[name].to))
			Expect(ok).To(Equal(cases[name].to != ""))
		})
	}
})
