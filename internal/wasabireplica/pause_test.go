package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

var _ = Describe("A server that has requested a pause", func() {
	paused := func(durations ...wasabiridge.Millis) *rig {
		g := newRig(1)
		g.setIncarnations(10)
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1, Incarnation: 10})
		for _, d := range durations {
			g.observe(wasabiridge.PauseRequested{Backend: "e0", Incarnation: 10, Duration: d})
		}
		return g
	}
	used := func(g *rig) bool { return g.limiter.Offer(g.now, short()).Verdict == wasabiridge.Admitted }
	// after returns a check after some time, which drives the clock of the rig.
	after := func(d wasabiridge.Millis, then func(g *rig)) func(g *rig) {
		return func(g *rig) { g.now += d; then(g) }
	}
	nothing := func(*rig) {}
	cases := map[string]struct {
		durations []wasabiridge.Millis
		then      func(g *rig)
		used      bool
	}{
		"gets nothing before its end":                    {[]wasabiridge.Millis{3000}, after(2999, nothing), false},
		"gets nothing for a fraction of a second":        {[]wasabiridge.Millis{500}, after(499, nothing), false},
		"is used within a quarter of the pause after it": {[]wasabiridge.Millis{400}, after(501, nothing), true},
		"is used within a second after it":               {[]wasabiridge.Millis{30000}, after(31001, nothing), true},
		"gets nothing after a shorter one":               {[]wasabiridge.Millis{3000, 100}, after(2999, nothing), false},
		"gets nothing after a longer one":                {[]wasabiridge.Millis{100, 3000}, after(2999, nothing), false},
		"is tried after a minute of an absurd one":       {[]wasabiridge.Millis{1e9}, after(61001, nothing), true},
		"is used after one of no length":                 {[]wasabiridge.Millis{0}, nothing, true},
		"is used in a new incarnation": {[]wasabiridge.Millis{3000}, func(g *rig) {
			g.setIncarnations(20)
			g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 1, Incarnation: 20})
		}, true},
		"gets nothing when it serves new weights": {[]wasabiridge.Millis{3000}, func(g *rig) {
			g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 2, Incarnation: 10})
		}, false},
		"gets nothing when a backoff ends":         {[]wasabiridge.Millis{3000}, func(g *rig) { g.observe(wasabiridge.BackendInBackoff{Backend: "e0"}) }, false},
		"gets nothing when it reports no load":     {[]wasabiridge.Millis{3000}, func(g *rig) { g.observe(wasabiridge.LoadReported{Report: wasabiridge.LoadReport{Backend: "e0"}}) }, false},
		"gets nothing when the list names it anew": {[]wasabiridge.Millis{3000}, func(g *rig) { g.adopt() }, false},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		It(name, func() {
			g := paused(cases[name].durations...)
			cases[name].then(g)
			Expect(used(g)).To(Equal(cases[name].used))
		})
	}

	// Guards against a server that is lost to an unusable Retry-After time.
	It("is used when the time is unusable", func() {
		g := newRig(1)
		g.observe(wasabiridge.PauseRequested{Backend: "e0", Fault: "no number"})
		Expect(used(g)).To(BeTrue())
	})

	// Guards against all requests that arrive at the end of a pause going to the server
	// before it shows that it takes any.
	It("gets a single request after it, and others when that is answered", func() {
		g := paused(400)
		g.now += 501
		_, id := g.place(short())
		Expect(id).NotTo(BeZero())
		Expect(used(g)).To(BeFalse())
		g.now += 50
		g.answer(id)
		Expect(used(g)).To(BeTrue())
		g.place(short())
		Expect(used(g)).To(BeTrue())
	})

	// Guards against a pause that ends with the answer to a request sent before it.
	It("gets nothing when an earlier request is answered", func() {
		g := newRig(1)
		_, id := g.place(short())
		g.observe(wasabiridge.PauseRequested{Backend: "e0", Duration: 3000})
		g.now += 50
		g.answer(id)
		Expect(used(g)).To(BeFalse())
	})

	// Guards against prompts that are computed again elsewhere because of a pause.
	It("still holds what was cached", func() {
		g := newRig(2)
		first, id := g.place(long(7))
		g.now += 150
		g.answer(id)
		g.observe(wasabiridge.PauseRequested{Backend: first.Backend.ID, Duration: 400})
		second, id := g.place(long(7))
		Expect(second.Backend.ID).NotTo(Equal(first.Backend.ID))
		Expect(second.Why).To(Equal("fetched"))
		g.now += 150
		g.answer(id)
		g.now += 501
		third, _ := g.place(long(7), second.Backend.ID)
		Expect(third.Why).To(Equal("held"))
	})

	// Guards against a Retry-After time that ends while all servers are still paused.
	It("leaves callers with the time of the first end when all are paused", func() {
		g := newRig(3)
		for i, b := range g.pool.Backends {
			g.observe(wasabiridge.PauseRequested{Backend: b.ID, Duration: wasabiridge.Millis(1000 * (i + 2))})
		}
		a := g.limiter.Offer(g.now, short())
		Expect(a.Reason).To(Equal(wasabiridge.RefusedServerPause))
		Expect(a.RetryAfter).To(BeNumerically("~", 2250, 250))
		_, id := g.place(short())
		Expect(id).To(BeZero())
	})

	// Guards against callers that wait for the end of a pause although a busy server has
	// room sooner.
	It("leaves callers with the time of a busy server if there is one", func() {
		g := newRig(2)
		for range 30 {
			g.place(short(), "e1")
		}
		g.observe(wasabiridge.PauseRequested{Backend: "e1", Duration: 3000})
		a := g.limiter.Offer(g.now, short())
		Expect(a.Reason).To(Equal(wasabiridge.RefusedOverload))
		Expect(a.RetryAfter).To(BeNumerically("<", 1000))
	})

	// Guards against all instances returning to a server at the same time.
	It("gets its first requests from several instances at different times", func() {
		ends := map[wasabiridge.Millis]bool{}
		g := newRig(40)
		for _, b := range g.pool.Backends {
			g.observe(wasabiridge.PauseRequested{Backend: b.ID, Duration: 3000})
		}
		begin := g.now
		for ; g.now < begin+4000; g.now++ {
			for _, b := range g.pool.Backends {
				var others []wasabiridge.BackendServerID
				for _, o := range g.pool.Backends {
					if o.ID != b.ID {
						others = append(others, o.ID)
					}
				}
				if _, id := g.place(short(), others...); id != 0 {
					Expect(g.now).To(BeNumerically(">=", begin+3000))
					ends[g.now] = true
				}
			}
		}
		Expect(len(ends)).To(BeNumerically(">", 20), "of 40 ends of pauses")
	})
})
