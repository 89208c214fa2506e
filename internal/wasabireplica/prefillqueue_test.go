package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// withPriority returns a request with a priority.
func withPriority(r wasabiridge.Request, p wasabiridge.Priority) wasabiridge.Request {
	r.Action.Priority = p
	return r
}

// expectedWait returns how long a request is expected to wait at the only replica.
func (g *rig) expectedWait(r wasabiridge.Request) wasabiridge.Millis {
	pl, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: r, Pool: g.pool})
	Expect(ok).To(BeTrue())
	return pl.ExpectedWait
}

var _ = Describe("The prefill queue of a replica", func() {
	// Urgent prompts overtake others inside an engine, so the first token of an urgent
	// prompt does not show that all prompts before it are done. When it counted as
	// such, the engine looked idle and received more while prompts waited there for
	// three seconds.
	It("keeps prompts that a more urgent one has overtaken", func() {
		g := newRig(1)
		for i := range 8 {
			g.place(withPriority(long(uint64(i)), 1))
		}
		_, urgent := g.place(withPriority(long(60), 8))
		g.now += 180
		g.answer(urgent)
		Expect(g.expectedWait(withPriority(long(50), 1))).To(BeNumerically(">", 1000))
	})

	// An engine computes admitted prompts in the order of their arrival. An urgent
	// prompt waits behind a long one even when slots and memory are free. When it was
	// assumed to overtake, it was sent there although other engines were idle.
	It("delays more urgent prompts too", func() {
		g := newRig(1)
		idle := g.expectedWait(withPriority(long(50), 8))
		for i := range 8 {
			g.place(withPriority(long(uint64(i)), 1))
		}
		Expect(g.expectedWait(withPriority(long(50), 8))).To(BeNumerically(">", idle+500))
	})

	// An overdue answer to a less urgent prompt may only mean that more urgent ones
	// were admitted before it.
	It("does not look longer to urgent prompts when less urgent answers are overdue", func() {
		g := newRig(1)
		_, late := g.place(withPriority(long(1), 1))
		g.now += 2000
		Expect(g.expectedWait(withPriority(long(50), 8))).To(BeNumerically("<", 400))
		Expect(g.expectedWait(withPriority(long(50), 1))).To(BeNumerically(">", 1500))
		g.answer(late)
	})

	// An engine whose memory is full, or that other instances have sent more than is
	// known here, does not answer in the expected time. It must not look idle because
	// its estimated work should be done by now.
	It("is assumed to be longer when answers are overdue, so that other replicas receive the work", func() {
		g := newRig(2)
		_, late := g.place(long(1), "e1")
		g.now += 1500
		for i := range 4 {
			pl, id := g.place(long(uint64(10 + i)))
			Expect(pl.Backend.ID).To(BeEquivalentTo("e1"))
			g.now += 180
			g.answer(id)
		}
		g.answer(late)
		pl, _ := g.place(long(1))
		Expect(pl.Backend.ID).To(BeEquivalentTo("e0"))
	})

	It("causes refusals while all replicas are overdue, until one has answered", func() {
		g := newRig(1)
		_, late := g.place(long(1))
		g.now += 800
		Expect(g.limiter.Offer(g.now, long(2)).Verdict).To(Equal(wasabiridge.Rejected))
		g.answer(late)
		Expect(g.limiter.Offer(g.now, long(2)).Verdict).To(Equal(wasabiridge.Admitted))
	})
})

var _ = Describe("The memory of a replica", func() {
	// Answers of four hundred tokens hold the memory of their prompts for seconds. With
	// half of the engines away, the memory of the others is full long before their
	// slots are taken. Prompts then wait for memory, running answers are evicted and
	// computed again, and every first byte takes two seconds.
	It("limits admission as its slots do: heavy prompts are refused while it fills up", func() {
		g := newRig(1)
		g.pool.CacheTokens = 100000
		for i := range g.pool.Backends {
			g.pool.Backends[i].Slots = 64
		}
		g.adopt()
		for range 40 {
			_, id := g.place(short())
			g.now += 20
			g.answer(id)
		}
		admitted := 0
		for i := range 20 {
			if g.limiter.Offer(g.now, long(uint64(i))).Verdict != wasabiridge.Admitted {
				break
			}
			admitted++
			_, id := g.place(long(uint64(i)))
			g.now += 250
			g.observe(wasabiridge.AttemptFirstToken{Attempt: id})
		}
		Expect(admitted).To(Equal(5), "of 14,000 tokens each, in three quarters of 100,000")
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
	})

	It("includes the load of other instances, as long as they report it", func() {
		g := newRig(2)
		g.observe(wasabiridge.PeerPlaced{From: "i2", Loads: []wasabiridge.LoadUpdate{{Backend: "e0", InFlight: 2, Tokens: 400000}}})
		for i := range 6 {
			pl, id := g.place(long(uint64(i)))
			Expect(pl.Backend.ID).To(BeEquivalentTo("e1"))
			g.now += 200
			g.answer(id)
		}
		g.now += 2000
		pl, _ := g.place(long(50), "e1")
		Expect(pl.ExpectedWait).To(BeNumerically("<", 400))
	})

	It("is released when answers end, whatever their result", func() {
		g := newRig(1)
		for i := range 100 {
			_, id := g.place(long(uint64(i)))
			Expect(id).NotTo(BeZero())
			g.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptResult(i % 4)})
			g.now += 3000
		}
		_, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: long(1), Pool: g.pool})
		Expect(ok).To(BeTrue())
		loads, _ := g.placer.TakeUpdates(g.now)
		for _, l := range loads {
			Expect(l.InFlight).To(BeZero())
			Expect(l.Tokens).To(BeZero())
		}
	})
})
