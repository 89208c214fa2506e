package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabistream"
)

// Guards against streams that begin at a version which other instances have not seen yet.
// Once this instance is killed, another one would continue them at the only version it knows.
var _ = Describe("A software version that is new in a pool", func() {
	add := func(g *rig, software wasabiridge.SoftwareVersion) {
		g.pool.Backends = append(g.pool.Backends, wasabiridge.BackendServer{
			ID: "new", Kind: wasabiridge.BackendEngine, URL: "http://new:1", Slots: 8, Zone: "z", Software: software, SoftwareRegistered: true,
		})
		g.adopt()
		g.observe(wasabiridge.WeightsReported{Backend: "new", Model: model, Weights: 1})
	}
	// begun returns the servers at which a number of streams would begin.
	begun := func(g *rig) map[wasabiridge.BackendServerID]int {
		out := map[wasabiridge.BackendServerID]int{}
		for i := range 20 {
			r := long(uint64(i))
			r.Action.Resume = true
			pl, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: r, Pool: g.pool})
			Expect(ok).To(BeTrue())
			out[pl.Backend.ID]++
		}
		return out
	}

	registeredRig := func() *rig {
		g := newRig(1)
		g.pool.Backends[0].SoftwareRegistered = true
		g.adopt()
		return g
	}

	It("is used for streams only after some time, while others are listed", func() {
		g := registeredRig()
		add(g, "v2")
		Expect(begun(g)).NotTo(HaveKey(wasabiridge.BackendServerID("new")))
		g.now += wasabistream.SettleTime
		Expect(begun(g)).To(HaveKey(wasabiridge.BackendServerID("new")))
	})

	It("is not used for streams while it is not registered and others are", func() {
		g := registeredRig()
		add(g, "v2")
		g.pool.Backends[1].SoftwareRegistered = false
		g.adopt()
		g.now += wasabistream.SettleTime
		Expect(begun(g)).NotTo(HaveKey(wasabiridge.BackendServerID("new")))
		g.pool.Backends[1].SoftwareRegistered = true
		g.adopt()
		Expect(begun(g)).To(HaveKey(wasabiridge.BackendServerID("new")))
	})

	It("is used at once if no other server is usable", func() {
		g := registeredRig()
		add(g, "v2")
		g.observe(wasabiridge.BackendInBackoff{Backend: "e0", Until: g.now + 1000})
		Expect(begun(g)).To(HaveLen(1))
	})

	It("is used at once by an instance that has just started, and for servers of a known version", func() {
		g := registeredRig()
		add(g, "")
		Expect(begun(g)).To(HaveKey(wasabiridge.BackendServerID("new")))
		started := newRigOf("other", 0)
		started.pool = g.pool
		started.pool.Backends[0].Software = "v9"
		started.adopt()
		started.observe(wasabiridge.WeightsReported{Backend: "new", Model: model, Weights: 1})
		started.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1})
		Expect(begun(started)).To(HaveLen(2))
	})
})
