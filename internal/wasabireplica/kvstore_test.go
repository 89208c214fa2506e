package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

// withStores configures several KV cache stores, all of them reachable.
func (g *rig) withStores(addresses ...string) {
	var stores []wasabiridge.CacheStore
	for _, a := range addresses {
		stores = append(stores, wasabiridge.CacheStore{ID: wasabiridge.PoolID(a), Address: a, Zone: "z", CacheTokens: 100000, LinkMegabits: 54000})
	}
	g.observe(wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 2, Pools: []wasabiridge.Pool{g.pool}, CacheStores: stores}})
	for _, a := range addresses {
		g.observe(wasabiridge.CacheStoreChecked{Address: a, Up: true})
	}
}

// saveTargets computes prompts with the given number of different segments and returns
// the store that each was saved to.
func (g *rig) saveTargets(segments int) map[uint64]string {
	saved := map[uint64]string{}
	for segment := range uint64(segments) {
		pl, id := g.place(long(segment))
		g.now += 150
		g.answer(id)
		saved[segment] = pl.ExportTo
	}
	return saved
}

var _ = Describe("Several KV cache stores", func() {
	addresses := []string{"kv:1", "kv:2", "kv:3"}

	// Guards against saving all prompts to the first of several stores. It would hold
	// only a third of the requested segments and evict them within seconds, so that
	// engines compute them again while the other stores stay empty.
	It("hold more prompts together than one of them", func() {
		g := newRig(4)
		g.withStores(addresses...)
		saved := g.saveTargets(18)
		// With new engines only the stores hold any segment.
		g.pool.Backends = newRig(8).pool.Backends[4:]
		g.withStores(addresses...)
		for _, b := range g.pool.Backends {
			g.observe(wasabiridge.WeightsReported{Backend: b.ID, Model: model, Weights: 1})
		}
		fetched := 0
		for segment, address := range saved {
			Expect(address).NotTo(BeEmpty())
			if pl, _ := g.place(long(segment)); pl.Why == "kept" {
				Expect(pl.ImportFrom).To(Equal(address))
				fetched++
			}
		}
		Expect(fetched).To(BeNumerically(">", 7), "one store has room for seven segments")
	})

	It("are assigned the same prompts by all instances, whatever the order of their configuration", func() {
		one, other := newRig(4), newRig(4)
		one.withStores("kv:1", "kv:2", "kv:3")
		other.withStores("kv:3", "kv:1", "kv:2")
		Expect(one.saveTargets(40)).To(Equal(other.saveTargets(40)))
	})

	// When one of three stores fails, its prompts move to the other two, and the
	// prompts of those two stay where they are.
	It("take over the prompts of an unreachable store and keep their own", func() {
		g := newRig(4)
		g.withStores(addresses...)
		before := g.saveTargets(40)
		restarted := newRig(4)
		restarted.withStores(addresses...)
		restarted.observe(wasabiridge.CacheStoreChecked{Address: "kv:2"})
		for segment, address := range restarted.saveTargets(40) {
			Expect(address).NotTo(Equal("kv:2"))
			if before[segment] != "kv:2" {
				Expect(address).To(Equal(before[segment]))
			}
		}
	})

	It("are assumed to hold the segments that they listed, each store separately", func() {
		g := newRig(4)
		g.withStores(addresses...)
		root := wasabiridge.CacheRoot{Model: model, Weights: 1}
		for _, a := range addresses {
			g.observe(wasabiridge.CacheStoreListed{Address: a, Segments: []wasabiridge.SegmentUpdate{
				{Key: wasabiprefix.SegmentKey(wasabiprefix.ShortSalt(root), 7), Tokens: 13000, Ready: true},
			}})
		}
		pl, _ := g.place(long(7))
		Expect(pl.Why).To(Equal("kept"))
		Expect(addresses).To(ContainElement(pl.ImportFrom))
	})

	It("are not used after the configuration has removed them", func() {
		g := newRig(4)
		g.withStores(addresses...)
		g.withStores("kv:2")
		for _, address := range g.saveTargets(9) {
			Expect(address).To(Equal("kv:2"))
		}
		g.withStores()
		pl, _ := g.place(long(77))
		Expect(pl.ExportTo).To(BeEmpty())
		Expect(pl.ImportFrom).To(BeEmpty())
	})
})
