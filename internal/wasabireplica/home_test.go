package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

var _ = Describe("A prompt that nobody is known to have read", func() {
	// Story: all seven instances restart at once. For a second none knows what the
	// others send where. Each sends the first prompt of a bulletin to an idle
	// replica of its own choice, and the bulletin is read seven times.
	It("is computed at one replica by all instances, without news between them", func() {
		for part := range uint64(20) {
			used := map[wasabiridge.BackendServerID]bool{}
			for seed := range uint64(7) {
				pl, _ := newSeededRig(9, seed).place(long(part))
				used[pl.Backend.ID] = true
			}
			Expect(used).To(HaveLen(1), "part %d", part)
		}
	})

	It("is spread over the replicas, part by part", func() {
		used := map[wasabiridge.BackendServerID]int{}
		for part := range uint64(180) {
			pl, _ := newRig(9).place(long(part))
			used[pl.Backend.ID]++
		}
		Expect(used).To(HaveLen(9))
		for id, n := range used {
			Expect(n).To(BeNumerically("<", 40), "%s", id)
		}
	})

	It("goes elsewhere when much waits there", func() {
		g := newRig(9)
		home, _ := g.place(long(7))
		g = newRig(9)
		for range 12 {
			g.placer.Sent(g.now, long(8), 1000+g.next, wasabiridge.Placement{Backend: home.Backend, Weights: 1})
			g.next++
		}
		pl, _ := g.place(long(7))
		Expect(pl.Backend.ID).NotTo(Equal(home.Backend.ID))
	})

	It("keeps its replica when another one leaves", func() {
		moved := 0
		for part := range uint64(90) {
			g := newRig(9)
			before, _ := g.place(long(part))
			after := newRig(9)
			after.pool.Backends = after.pool.Backends[1:]
			after.adopt()
			pl, _ := after.place(long(part))
			if pl.Backend.ID != before.Backend.ID {
				moved++
				Expect(before.Backend.ID).To(Equal(g.pool.Backends[0].ID))
			}
		}
		Expect(moved).To(BeNumerically(">", 0))
	})
})
