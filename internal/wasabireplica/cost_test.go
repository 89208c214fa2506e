package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// sized is a request whose prompt shares a part of some length with others.
func sized(part uint64, shared, own int) wasabiridge.Request {
	r := long(part)
	r.Chain.Lengths, r.Chain.Tokens = []int{shared, own}, shared+own
	return r
}

// serve lets one replica answer prompts that it computes at a speed, in tokens a
// millisecond.
func (g *rig) serve(n int, tokensPerMilli float64) {
	for i := range n {
		shared, own := 200+i%7*500, 300+i%5*400
		pl, id := g.place(sized(uint64(1000+i), shared, own))
		if pl.Backend.ID == "" {
			continue
		}
		g.now += 20 + wasabiridge.Millis(float64(shared+own)/tokensPerMilli)
		g.answer(id)
	}
}

var _ = Describe("What engines take", func() {
	// Story: a new customer's engines compute five times as slowly as those that
	// were known. Prompts pile up at few of them, since their queues are taken for
	// short.
	It("is learned from some thirty answers, for slow engines and for fast ones", func() {
		for _, speed := range []float64{20, 66, 300} {
			g := newRig(1)
			g.serve(30, speed)
			pl, _ := g.place(sized(1, 0, 6000))
			Expect(pl.ExpectedWait).To(BeNumerically("~", 20+6000/speed, 0.35*6000/speed+20), "%f tokens a ms", speed)
		}
	})

	// Story: 568 shared tokens are computed in a millisecond or two by one
	// customer's engines, and in nine by another's, where sixty requests a second
	// have them. What is worth looking for follows from that.
	It("decides from which length shared parts are looked for", func() {
		for speed, why := range map[float64]string{300: "load", 40: "computed"} {
			g := newRig(1)
			g.serve(30, speed)
			pl, _ := g.place(sized(1, 568, 1800))
			Expect(pl.Why).To(Equal(why), "%f tokens a ms", speed)
		}
	})
})
