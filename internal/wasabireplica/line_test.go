package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// ranked returns a request with a priority.
func ranked(r wasabiridge.Request, p wasabiridge.Priority) wasabiridge.Request {
	r.Action.Priority = p
	return r
}

// waitOf is what a request is expected to wait for at the only replica.
func (g *rig) waitOf(r wasabiridge.Request) wasabiridge.Millis {
	pl, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: r, Pool: g.pool})
	Expect(ok).To(BeTrue())
	return pl.ExpectedWait
}

var _ = Describe("What waits at a replica", func() {
	// Story: urgent prompts overtake others inside an engine. The first token of
	// one was taken to show that all before it were done. The engine passed for
	// idle while prompts waited there for three seconds, and got more.
	It("is not done when a more urgent prompt has overtaken it", func() {
		g := newRig(1)
		for i := range 8 {
			g.place(ranked(long(uint64(i)), 1))
		}
		_, urgent := g.place(ranked(long(60), 8))
		g.now += 180
		g.answer(urgent)
		Expect(g.waitOf(ranked(long(50), 1))).To(BeNumerically(">", 1000))
	})

	// Story: an engine computes what it has admitted in the order in which it came.
	// An urgent prompt behind a long one waits for it, also when nothing else is
	// short. Taken to overtake, it went there although other engines were idle.
	It("delays what is more urgent too", func() {
		g := newRig(1)
		idle := g.waitOf(ranked(long(50), 8))
		for i := range 8 {
			g.place(ranked(long(uint64(i)), 1))
		}
		Expect(g.waitOf(ranked(long(50), 8))).To(BeNumerically(">", idle+500))
	})

	// An answer to a less urgent prompt that is overdue may only mean that more
	// urgent ones were admitted before it.
	It("is not taken for longer by what is urgent when less urgent answers are overdue", func() {
		g := newRig(1)
		_, late := g.place(ranked(long(1), 1))
		g.now += 2000
		Expect(g.waitOf(ranked(long(50), 8))).To(BeNumerically("<", 400))
		Expect(g.waitOf(ranked(long(50), 1))).To(BeNumerically(">", 1500))
		g.answer(late)
	})

	// Story: an engine's memory is full, or others have sent it more than is known
	// here. Its answers do not come, and it goes on passing for idle because its
	// work should be done by now.
	It("is longer than known when answers are overdue, and others take the work", func() {
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

	It("is refused while all replicas are overdue, and taken when one has answered", func() {
		g := newRig(1)
		_, late := g.place(long(1))
		g.now += 800
		Expect(g.limiter.Offer(g.now, long(2)).Verdict).To(Equal(wasabiridge.Rejected))
		g.answer(late)
		Expect(g.limiter.Offer(g.now, long(2)).Verdict).To(Equal(wasabiridge.Admitted))
	})
})

var _ = Describe("The memory of a replica", func() {
	// Story: answers of four hundred tokens hold the memory of their prompts for
	// seconds. With half of the engines away the others fill up long before their
	// slots do; prompts wait for memory, running answers are pushed out and read
	// again, and every first byte takes two seconds.
	It("counts as its slots do: heavy prompts come back later while it fills up", func() {
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
			g.tell(wasabiridge.AttemptFirstToken{Attempt: id})
		}
		Expect(admitted).To(Equal(5), "of 14,000 tokens each, in three quarters of 100,000")
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
	})

	It("counts what other instances have there, as long as they tell of it", func() {
		g := newRig(2)
		g.tell(wasabiridge.PeerPlaced{From: "i2", Loads: []wasabiridge.LoadNews{{Backend: "e0", Inside: 2, Tokens: 400000}}})
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

	It("is given back when answers end, whatever became of them", func() {
		g := newRig(1)
		for i := range 100 {
			_, id := g.place(long(uint64(i)))
			Expect(id).NotTo(BeZero())
			g.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptResult(i % 4)})
			g.now += 3000
		}
		_, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: long(1), Pool: g.pool})
		Expect(ok).To(BeTrue())
		loads, _ := g.placer.TakeNews(g.now)
		for _, l := range loads {
			Expect(l.Inside).To(BeZero())
			Expect(l.Tokens).To(BeZero())
		}
	})
})
