package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

var _ = Describe("A server that is silent for a second", func() {
	// Guards against a server that is out of use for seconds, or counts as one without
	// cached prompts, because of a pause that harms nobody.
	It("is used again as soon as it answers, and for what it holds", func() {
		g := newRigOf("i0", 2)
		pl, id := g.place(long(1))
		g.now += 100
		g.answer(id)
		g.now++
		var open []wasabiridge.AttemptID
		for range 4 {
			var same wasabiridge.Placement
			same, id = g.place(long(1))
			Expect(same.Backend.ID).To(Equal(pl.Backend.ID))
			open = append(open, id)
		}
		for range 11 {
			g.now += 100
			g.observe(wasabiridge.Ticked{})
		}
		during, id := g.place(long(1))
		Expect(during.Backend.ID).NotTo(Equal(pl.Backend.ID), "while it is silent the other one serves")
		g.now += 100
		g.answer(id)
		for _, id := range open {
			g.answer(id)
		}
		again, _ := g.place(long(1), during.Backend.ID)
		Expect(again.Backend.ID).To(Equal(pl.Backend.ID))
		Expect(again.Why).To(Equal("held"))
	})
})
