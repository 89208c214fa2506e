package wasabireplica_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// serveDuring places short requests, one every 50 ms, for a time. It returns how many replica e0 got.
// Trouble tells how it serves one: whether it fails, and the time to its first token.
func (g *rig) serveDuring(span wasabiridge.Millis, trouble func() (fails bool, firstToken wasabiridge.Millis)) int {
	const usual = 20
	placed := 0
	for end := g.now + span; g.now < end; {
		pl, id := g.place(short())
		took, fails := wasabiridge.Millis(usual), false
		if pl.Backend.ID == "e0" {
			placed++
			fails, took = trouble()
		}
		g.now += took
		if fails {
			g.observe(wasabiridge.AttemptFirstToken{Attempt: id})
			g.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken})
		} else {
			g.answer(id)
		}
		g.now += 50
		g.observe(wasabiridge.Ticked{})
	}
	return placed
}

var _ = Describe("A replica that was in trouble", func() {
	sound := func() (bool, wasabiridge.Millis) { return false, 20 }
	// Guards against a replica that is avoided for good although its trouble is over, because nothing
	// is sent to it that could show it.
	troubles := map[string]func() (bool, wasabiridge.Millis){
		"failed requests": func() (bool, wasabiridge.Millis) { return true, 20 },
		"was slow":        func() (bool, wasabiridge.Millis) { return false, 1500 },
	}
	for _, name := range slices.Sorted(maps.Keys(troubles)) {
		It("gets requests again: it "+name, func() {
			g := newRig(3)
			before := g.serveDuring(20*wasabiridge.Second, sound)
			Expect(before).To(BeNumerically(">", 20))
			g.serveDuring(60*wasabiridge.Second, troubles[name])
			avoided := g.serveDuring(10*wasabiridge.Second, troubles[name])
			Expect(avoided).To(BeNumerically("<", before/4))
			g.serveDuring(2*wasabiridge.Minute, sound)
			Expect(g.serveDuring(20*wasabiridge.Second, sound)).To(BeNumerically(">=", before/2))
		})
	}
})

var _ = Describe("A replica of which a stream was doubted", func() {
	// Guards against streams that are cut for good because all of them go to the replica that has their
	// prompts cached, and nothing shows whether others number events alike.
	It("gets no further ones for a while if another one has room", func() {
		g := newRig(3)
		var served []wasabiridge.BackendServerID
		serve := func() wasabiridge.BackendServerID {
			pl, id := g.place(long(7))
			g.now += 20
			g.answer(id)
			g.now += 300
			g.observe(wasabiridge.Ticked{})
			return pl.Backend.ID
		}
		first := serve()
		for range 5 {
			Expect(serve()).To(Equal(first))
		}
		for range 3 {
			id := serve()
			Expect(served).NotTo(ContainElement(id))
			served = append(served, id)
			g.observe(wasabiridge.StreamDoubted{Backend: id})
		}
		Expect(served).To(HaveLen(3))
	})

	It("is used if there is no other one", func() {
		g := newRig(1)
		g.observe(wasabiridge.StreamDoubted{Backend: "e0"})
		pl, _ := g.place(short())
		Expect(pl.Backend.ID).To(BeEquivalentTo("e0"))
	})
})
