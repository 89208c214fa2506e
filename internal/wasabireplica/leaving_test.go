package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

var _ = Describe("A server that has announced that it is leaving", func() {
	left := func() *rig {
		g := newRig(2)
		g.setIncarnations(10, 10)
		g.observe(wasabiridge.BackendLeaving{Backend: "e0", Incarnation: 10})
		return g
	}
	used := func(g *rig) bool {
		pl, _ := g.place(short(), "e1")
		return pl.Backend.ID == "e0"
	}
	cases := map[string]struct {
		then func(g *rig)
		used bool
	}{
		"gets nothing": {func(*rig) {}, false},
		"gets nothing when the list names it again": {func(g *rig) { g.adopt() }, false},
		"gets nothing when the list has lost and regained it": {func(g *rig) {
			all := g.pool.Backends
			g.pool.Backends = all[1:]
			g.adopt()
			g.pool.Backends = all
			g.adopt()
			g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1, Incarnation: 10})
		}, false},
		"gets nothing when it serves new weights": {func(g *rig) {
			g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 2, Incarnation: 10})
		}, false},
		"gets nothing when a backoff ends": {func(g *rig) {
			g.observe(wasabiridge.BackendInBackoff{Backend: "e0"})
		}, false},
		"is used again in a new incarnation": {func(g *rig) {
			g.setIncarnations(20, 10)
			g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1, Incarnation: 20})
		}, true},
		"is used in a new incarnation when the old one announces it late": {func(g *rig) {
			g.setIncarnations(20, 10)
			g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1, Incarnation: 20})
			g.observe(wasabiridge.BackendLeaving{Backend: "e0", Incarnation: 10})
		}, true},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		It(name, func() {
			g := left()
			cases[name].then(g)
			Expect(used(g)).To(Equal(cases[name].used))
		})
	}

	// Guards against a server that is lost to an unusable announcement.
	It("is used when the announcement is unusable", func() {
		g := newRig(1)
		g.observe(wasabiridge.BackendLeaving{Backend: "e0", Fault: "no truth value"})
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
	})

	// Guards against a refusal that names busy servers as its reason when none is left.
	It("leaves callers with a refusal when it was the last one", func() {
		g := newRig(2)
		for _, b := range g.pool.Backends {
			g.observe(wasabiridge.BackendLeaving{Backend: b.ID})
		}
		a := g.limiter.Offer(g.now, short())
		Expect(a).To(Equal(wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedNoBackend, RetryAfter: wasabiridge.Second}))
	})

	// Guards against fetches from a server that has ended unnoticed: since it receives no
	// requests, none of them fails.
	It("is a source of cached segments only as long as it surely runs", func() {
		g := newRig(2)
		first, id := g.place(long(7), "e1")
		g.now += 150
		g.answer(id)
		g.observe(wasabiridge.BackendLeaving{Backend: first.Backend.ID})
		g.now += 1900
		pl, id := g.place(long(7))
		Expect(pl.Why).To(Equal("fetched"))
		g.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCancelled})
		g.now += 200
		pl, _ = g.place(long(7))
		Expect(pl.Why).To(Equal("computed"))
	})

	It("receives no migrated answers", func() {
		g := left()
		g.pool.MigratesRequests = true
		g.adopt()
		to, ok := g.placer.MigrationTarget(g.now, short(), wasabiridge.BackendServer{}, 1, nil)
		Expect(ok).To(BeTrue())
		Expect(to.ID).To(BeEquivalentTo("e1"))
		_, ok = g.placer.MigrationTarget(g.now, short(), wasabiridge.BackendServer{ID: "e1"}, 1, nil)
		Expect(ok).To(BeFalse())
	})
})
