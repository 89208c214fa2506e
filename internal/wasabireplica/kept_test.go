package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

// withStores gives the rig several stores of kept cache, all of which answer.
func (g *rig) withStores(addresses ...string) {
	var stores []wasabiridge.KeptCache
	for _, a := range addresses {
		stores = append(stores, wasabiridge.KeptCache{ID: wasabiridge.PoolID(a), Address: a, Zone: "z", CacheTokens: 100000, LinkMegabits: 54000})
	}
	g.tell(wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 2, Pools: []wasabiridge.Pool{g.pool}, KeptCaches: stores}})
	for _, a := range addresses {
		g.tell(wasabiridge.KeptCacheSeen{Address: a, Up: true})
	}
}

// savedTo has prompts of many parts computed, and returns where each was saved.
func (g *rig) savedTo(parts int) map[uint64]string {
	saved := map[uint64]string{}
	for part := range uint64(parts) {
		pl, id := g.place(long(part))
		g.now += 150
		g.answer(id)
		saved[part] = pl.SaveTo
	}
	return saved
}

var _ = Describe("Several stores of kept cache", func() {
	addresses := []string{"kv:1", "kv:2", "kv:3"}

	// Story: a large customer runs three stores. All prompts are saved in the
	// first, which holds a third of what is asked for. Parts yield there within
	// seconds, and engines compute them again, while two stores stay empty.
	It("hold more prompts together than one of them", func() {
		g := newRig(4)
		g.withStores(addresses...)
		saved := g.savedTo(18)
		// New engines come: only the stores hold anything.
		g.pool.Backends = newRig(8).pool.Backends[4:]
		g.withStores(addresses...)
		for _, b := range g.pool.Backends {
			g.tell(wasabiridge.WeightsReported{Backend: b.ID, Model: model, Weights: 1})
		}
		kept := 0
		for part, address := range saved {
			Expect(address).NotTo(BeEmpty())
			if pl, _ := g.place(long(part)); pl.Why == "kept" {
				Expect(pl.FetchFrom).To(Equal(address))
				kept++
			}
		}
		Expect(kept).To(BeNumerically(">", 7), "one store has room for seven")
	})

	It("are chosen alike by all instances, in whatever order they hear of them", func() {
		one, other := newRig(4), newRig(4)
		one.withStores("kv:1", "kv:2", "kv:3")
		other.withStores("kv:3", "kv:1", "kv:2")
		Expect(one.savedTo(40)).To(Equal(other.savedTo(40)))
	})

	// Story: one of three stores goes down. Its prompts are saved in the other two,
	// and those of the other two stay where they are.
	It("take over from one that cannot be reached, and keep their own", func() {
		g := newRig(4)
		g.withStores(addresses...)
		before := g.savedTo(40)
		again := newRig(4)
		again.withStores(addresses...)
		again.tell(wasabiridge.KeptCacheSeen{Address: "kv:2"})
		for part, address := range again.savedTo(40) {
			Expect(address).NotTo(Equal("kv:2"))
			if before[part] != "kv:2" {
				Expect(address).To(Equal(before[part]))
			}
		}
	})

	It("are believed to hold what they listed, each by itself", func() {
		g := newRig(4)
		g.withStores(addresses...)
		root := wasabiridge.CacheRoot{Model: model, Weights: 1}
		for _, a := range addresses {
			g.tell(wasabiridge.KeptCacheListed{Address: a, Parts: []wasabiridge.PartNews{
				{Key: wasabiprefix.PartKey(wasabiprefix.ShortSalt(root), 7), Tokens: 13000, Ready: true},
			}})
		}
		pl, _ := g.place(long(7))
		Expect(pl.Why).To(Equal("kept"))
		Expect(addresses).To(ContainElement(pl.FetchFrom))
	})

	It("are forgotten when the configuration names them no more", func() {
		g := newRig(4)
		g.withStores(addresses...)
		g.withStores("kv:2")
		for _, address := range g.savedTo(9) {
			Expect(address).To(Equal("kv:2"))
		}
		g.withStores()
		pl, _ := g.place(long(77))
		Expect(pl.SaveTo).To(BeEmpty())
		Expect(pl.FetchFrom).To(BeEmpty())
	})
})
