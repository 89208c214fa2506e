package wasabireplica_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// Guards against callers that are refused although a slot of a brittle server becomes free in
// time, and against callers that wait in vain.
var _ = Describe("A request that finds the slots of a brittle server taken", func() {
	var g *rig
	request := func(n int, priority wasabiridge.Priority) wasabiridge.Request {
		r := plain()
		r.ID, r.Action.Priority = wasabiridge.RequestID(fmt.Sprint("r", n)), priority
		return r
	}
	BeforeEach(func() {
		g = newRigOf("i0", 1)
		g.pool.Backends[0].Kind, g.pool.Backends[0].Slots = wasabiridge.BackendService, 2
		g.adopt()
		g.observe(wasabiridge.InstancesCounted{Count: 2, Serving: []wasabiridge.InstanceID{"i0", "i1"}})
		for range 50 {
			_, id := g.place(plain())
			g.now += 50
			g.answer(id)
			g.now += 60
		}
		g.observe(wasabiridge.Ticked{})
		g.observe(wasabiridge.BrittleAnnounced{Backend: "e0", Brittle: true, Refusals: 3, RequestSentAt: g.now - 10})
	})

	It("is placed when one becomes free", func() {
		_, running := g.place(plain())
		Expect(g.limiter.Offer(g.now, request(1, 0)).Verdict).To(Equal(wasabiridge.Queued))
		_, found := g.limiter.Next(g.now)
		Expect(found).To(BeFalse())
		g.now += 50
		g.answer(running)
		next, found := g.limiter.Next(g.now)
		Expect(found).To(BeTrue())
		Expect(next.ID).To(Equal(wasabiridge.RequestID("r1")))
		_, found = g.limiter.Next(g.now)
		Expect(found).To(BeFalse(), "the queue is empty")
	})

	It("is refused at once if it would wait for too long", func() {
		g.place(plain())
		Expect(g.limiter.Offer(g.now, request(1, 0)).Verdict).To(Equal(wasabiridge.Queued))
		Expect(g.limiter.Offer(g.now, request(2, 0)).Verdict).To(Equal(wasabiridge.Rejected))
	})

	It("is refused when it has waited for long", func() {
		g.place(plain())
		g.limiter.Offer(g.now, request(1, 0))
		g.now += 76
		r, expired := g.limiter.Expired(g.now)
		Expect(expired).To(BeTrue())
		refusal, known := g.limiter.Refusal(r.ID)
		Expect(known).To(BeTrue())
		Expect(refusal.Reason).To(Equal(wasabiridge.RefusedOverload))
		Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
	})

	It("is not placed after its caller has left", func() {
		_, running := g.place(plain())
		g.limiter.Offer(g.now, request(1, 0))
		g.limiter.Withdraw("r1")
		g.answer(running)
		_, found := g.limiter.Next(g.now)
		Expect(found).To(BeFalse())
	})

	It("waits only behind requests that are as urgent", func() {
		g.pool.Backends[0].Slots = 6
		g.adopt()
		var running []wasabiridge.AttemptID
		for range 3 {
			_, id := g.place(plain())
			running = append(running, id)
		}
		g.limiter.Offer(g.now, request(1, 0))
		g.limiter.Offer(g.now, request(2, 0))
		g.limiter.Offer(g.now, request(3, 5))
		g.answer(running[0])
		next, _ := g.limiter.Next(g.now)
		Expect(next.ID).To(Equal(wasabiridge.RequestID("r3")))
	})

	It("is refused at once where the servers are not brittle", func() {
		g.now += 100
		g.observe(wasabiridge.BrittleAnnounced{Backend: "e0", RequestSentAt: g.now - 10})
		for range 20 {
			g.place(plain())
		}
		Expect(g.limiter.Offer(g.now, request(1, 0)).Verdict).To(Equal(wasabiridge.Rejected))
	})
})
