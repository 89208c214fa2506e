package wasabireplica_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

var _ = Describe("A stream that broke", func() {
	resume := func(g *rig, w wasabiridge.WeightsVersion) (wasabiridge.Placement, bool) {
		return g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: long(1), Pool: g.pool, Weights: w})
	}

	// An engine crashes with a stream in flight, ten seconds after newer weights were
	// announced. A replica returns with the weights of the stream. The stream must not
	// continue there, because the weights are past their deadline.
	It("does not continue with weights that are past their deadline", func() {
		g := newRig(1)
		g.observe(wasabiridge.TargetWeightsSet{Model: model, Weights: 2, At: g.now})
		g.now += 9800
		_, ok := resume(g, 1)
		Expect(ok).To(BeTrue())
		g.now += 200
		pl, ok := resume(g, 1)
		Expect(ok).To(BeFalse())
		Expect(pl.Unplaceable).To(BeTrue())
	})

	// The last replica with the weights of a stream has loaded newer ones. The caller
	// must not wait for seconds on a stream that no replica can continue.
	It("fails at once when no replica has its weights, and waits for a replica in backoff", func() {
		g := newRig(2)
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 2})
		g.observe(wasabiridge.BackendInBackoff{Backend: "e1", Until: g.now + 100})
		pl, ok := resume(g, 1)
		Expect(ok).To(BeFalse())
		Expect(pl.Unplaceable).To(BeFalse())
		g.observe(wasabiridge.WeightsReported{Backend: "e1", Model: model, Weights: 2})
		pl, ok = resume(g, 1)
		Expect(ok).To(BeFalse())
		Expect(pl.Unplaceable).To(BeTrue())
	})
})

var _ = Describe("A stream that broke before replicas of two software versions", func() {
	resume := func(g *rig, pool wasabiridge.PoolID, software wasabiridge.SoftwareVersion) (wasabiridge.Placement, bool) {
		return g.placer.Place(g.now, wasabiridge.PlaceQuery{
			Request: long(1), Pool: g.pool, Weights: 1, Origin: &wasabiridge.StreamOrigin{Pool: pool, Software: software},
		})
	}
	newRigWithSoftware := func() *rig {
		g := newRig(2)
		g.pool.Backends[0].Software, g.pool.Backends[1].Software = "v1", "v2"
		g.adopt()
		return g
	}

	// Guards against a stream that continues at a replica whose output does not fit.
	It("continues at the version that began it, in the pool that began it", func() {
		g := newRigWithSoftware()
		for version, id := range map[wasabiridge.SoftwareVersion]wasabiridge.BackendServerID{"v1": "e0", "v2": "e1"} {
			pl, ok := resume(g, "p", version)
			Expect(ok).To(BeTrue())
			Expect(pl.Backend.ID).To(Equal(id))
		}
		_, ok := resume(g, "other", "v1")
		Expect(ok).To(BeFalse())
	})

	// Guards against callers that wait for seconds on a stream that no replica can continue.
	It("fails at once when no replica has its software, and waits for a replica in backoff", func() {
		g := newRigWithSoftware()
		g.observe(wasabiridge.BackendInBackoff{Backend: "e0", Until: g.now + 100})
		pl, ok := resume(g, "p", "v1")
		Expect(ok).To(BeFalse())
		Expect(pl.Unplaceable).To(BeFalse())
		for _, software := range []wasabiridge.SoftwareVersion{"v3", ""} {
			pl, ok = resume(g, "p", software)
			Expect(ok).To(BeFalse())
			Expect(pl.Unplaceable).To(BeTrue())
		}
	})
})

var _ = Describe("A request that would wait long at a replica with superseded weights", func() {
	// In an overload prompts wait for seconds inside the replicas. A prompt that is
	// sent just before the deadline of the old weights starts long after it.
	It("is sent there only if it starts before their deadline", func() {
		g := newRig(1)
		g.observe(wasabiridge.TargetWeightsSet{Model: model, Weights: 2, At: g.now})
		for i := range 20 {
			g.placer.Sent(g.now, long(uint64(i)), wasabiridge.AttemptID(1000+i), wasabiridge.Placement{Backend: g.pool.Backends[0], Weights: 1})
		}
		pl, id := g.place(long(99))
		Expect(id).NotTo(BeZero())
		Expect(pl.ExpectedWait).To(BeNumerically(">", 2000))
		g.now += 7000
		for i := range 30 {
			g.placer.Sent(g.now, long(uint64(i+40)), wasabiridge.AttemptID(2000+i), wasabiridge.Placement{Backend: g.pool.Backends[0], Weights: 1})
		}
		_, id = g.place(long(99))
		Expect(id).To(BeZero())
		By("accepting it at a replica with the new weights")
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 2})
		_, id = g.place(long(99))
		Expect(id).NotTo(BeZero())
	})

	// A request may wait inside an engine much longer than expected. Without a time-out
	// it started two seconds after the deadline of the engine's weights.
	It("times out there when it has not started by their deadline", func() {
		g := newRig(1)
		once := short()
		once.Action.NonIdempotent, once.Action.Retry = true, false
		g.observe(wasabiridge.TargetWeightsSet{Model: model, Weights: 2, At: g.now})
		g.now += 9000
		pl, _ := g.place(once)
		Expect(pl.FirstByte).To(BeEquivalentTo(1000))
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 2})
		pl, _ = g.place(once)
		Expect(pl.FirstByte).To(BeZero(), "no deadline for the newest weights")
	})
})

// Guards against a replica that is not used until it restarts because one of its responses
// named a wrong version of the weights.
var _ = Describe("A version of the weights that only a response names", func() {
	named := func(g *rig, version wasabiridge.WeightsVersion, sentAt wasabiridge.Millis) {
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: version, RequestSentAt: sentAt})
	}
	listed := func(g *rig, version wasabiridge.WeightsVersion) {
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: version})
	}
	serves := func(g *rig) wasabiridge.WeightsVersion {
		GinkgoHelper()
		g.now += wasabiridge.Second
		pl, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: short(), Pool: g.pool})
		Expect(ok).To(BeTrue())
		return pl.Weights
	}
	cases := map[string]struct {
		observe func(g *rig)
		want    wasabiridge.WeightsVersion
		refuted uint64
	}{
		"is believed at first":                               {func(g *rig) {}, 900, 0},
		"is given up once a later request is told another":   {func(g *rig) { named(g, 1, g.now+1) }, 1, 1},
		"outweighs the response to an earlier request":       {func(g *rig) { named(g, 1, g.now-6) }, 900, 0},
		"outweighs a list that may be older":                 {func(g *rig) { g.now += 4900; listed(g, 1) }, 900, 0},
		"is given up for a list that still names another":    {func(g *rig) { g.now += 5000; listed(g, 1) }, 1, 1},
		"stays once the list has it":                         {func(g *rig) { listed(g, 900); g.now += 9000; listed(g, 1); named(g, 1, g.now) }, 900, 0},
		"is not believed again":                              {func(g *rig) { named(g, 1, g.now+1); named(g, 900, g.now+2); named(g, 901, g.now+3) }, 1, 1},
		"is believed again once the list has it":             {func(g *rig) { named(g, 1, g.now+1); listed(g, 900) }, 900, 1},
		"does not keep the next one away when it is refuted": {func(g *rig) { named(g, 1, g.now+1); named(g, 2, g.now+2); listed(g, 3) }, 3, 1},
		"ends with the start of the replica": {func(g *rig) {
			g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1000, Incarnation: 6})
			named(g, 1001, g.now)
			g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 2, Incarnation: 7})
			named(g, 3, g.now)
		}, 3, 0},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			g := newRig(1)
			named(g, 900, g.now-10)
			g.now += 5
			cases[name].observe(g)
			Expect(serves(g)).To(Equal(cases[name].want))
			Expect(g.placer.RefutedClaims()).To(Equal(cases[name].refuted))
		})
	}
})

// Guards against a replica that is not used until it restarts because one of its reports named a
// wrong version of the weights. Requests for that version are refused.
var _ = Describe("A version of the weights that only a report names", func() {
	named := func(g *rig, version wasabiridge.WeightsVersion, sentAt wasabiridge.Millis) {
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: version, RequestSentAt: sentAt})
	}
	reported := func(g *rig, version wasabiridge.WeightsVersion) {
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: version, Unlisted: true})
	}
	listed := func(g *rig, version wasabiridge.WeightsVersion) {
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: version})
	}
	cases := map[string]struct {
		observe func(g *rig)
		want    wasabiridge.WeightsVersion
		refuted uint64
	}{
		"is believed": {func(g *rig) {}, 2, 0},
		"is given up once a later request is told another": {func(g *rig) { named(g, 1, g.now+1) }, 1, 1},
		"outweighs the response to an earlier request":     {func(g *rig) { named(g, 1, g.now-6) }, 2, 0},
		"outweighs a list, however old":                    {func(g *rig) { g.now += wasabiridge.Minute; listed(g, 1) }, 2, 0},
		"stays once the list has it":                       {func(g *rig) { listed(g, 2); named(g, 1, g.now+1) }, 2, 0},
		"is not believed again for a response":             {func(g *rig) { named(g, 1, g.now+1); named(g, 2, g.now+2) }, 1, 1},
		"is believed again for a report":                   {func(g *rig) { named(g, 1, g.now+1); reported(g, 2) }, 2, 1},
		"is believed again for the list":                   {func(g *rig) { named(g, 1, g.now+1); listed(g, 2) }, 2, 1},
		"confirms what a response has named": {func(g *rig) {
			named(g, 3, g.now)
			reported(g, 3)
			g.now += wasabiridge.Minute
			listed(g, 1)
		}, 3, 0},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			g := newRig(1)
			reported(g, 2)
			g.now += 5
			cases[name].observe(g)
			g.now += wasabiridge.Second
			pl, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: short(), Pool: g.pool})
			Expect(ok).To(BeTrue())
			Expect(pl.Weights).To(Equal(cases[name].want))
			Expect(g.placer.RefutedClaims()).To(Equal(cases[name].refuted))
		})
	}
})
