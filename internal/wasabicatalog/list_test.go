package wasabicatalog_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
)

// listed returns an entry of the list of backend servers.
func listed(i, weights int) wasabiridge.BackendEntry {
	return wasabiridge.BackendEntry{
		Server: wasabiridge.BackendServer{
			ID: wasabiridge.BackendServerID(fmt.Sprintf("i-%08x", uint32(i)*2654435761)), Kind: wasabiridge.BackendEngine, URL: fmt.Sprintf("http://10.%d.%d.%d:8000", i%6, i/250, i%250),
			Zone: wasabiridge.AvailabilityZone(fmt.Sprint("zone-", i%6)), Slots: 6, ChecksFencing: true, Incarnation: wasabiridge.Incarnation(1.7e12 + i), Software: "v1",
			SoftwareRegistered: true,
		},
		Pool: "engines", Weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{"m": wasabiridge.WeightsVersion(weights)},
	}
}

func lists(n int) map[int]wasabiridge.BackendEntry {
	out := map[int]wasabiridge.BackendEntry{}
	for i := range n {
		out[i] = listed(i, 1)
	}
	return out
}

// chain is a reader of the platform and instances that query each other.
type chain struct {
	now      wasabiridge.Millis
	revision uint64
	entries  map[int]wasabiridge.BackendEntry
	machines []*wasabicatalog.Machine
	// bytes are those of the contents that the last query was answered with.
	bytes int
}

func newChain(n int, entries map[int]wasabiridge.BackendEntry) *chain {
	c := &chain{now: 1000, entries: entries}
	for i := range n {
		c.machines = append(c.machines, wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: wasabiridge.InstanceID(fmt.Sprint("i", i))}))
	}
	return c
}

// read has an instance read the list from the platform.
func (c *chain) read(i int) {
	c.now += 100
	c.revision++
	c.machines[i].Handle(c.now, wasabicatalog.BackendsRead{Sent: c.now, Snapshot: wasabiridge.BackendSnapshot{Revision: c.revision, Entries: slices.Collect(maps.Values(c.entries))}})
}

// query has an instance query another one. A lost message is not answered.
func (c *chain) query(from, to int) {
	c.now += 10
	answer := c.machines[to].Answer(c.now, wasabiridge.CatalogQuery{BackendDigest: c.machines[from].BackendDigest()})
	c.bytes = len(answer.Backends.Content)
	c.machines[from].Handle(c.now, wasabicatalog.PeerResponded{Sent: c.now, Peer: "other", Answer: answer})
}

func (c *chain) expect(i int) {
	GinkgoHelper()
	want := slices.SortedFunc(maps.Values(c.entries), func(a, b wasabiridge.BackendEntry) int {
		if a.Server.ID < b.Server.ID {
			return -1
		}
		return 1
	})
	Expect(c.machines[i].Backends().Entries).To(Equal(want))
}

var _ = Describe("The list of backend servers between instances", func() {
	// Guards against the complete list for every instance at every change.
	It("is sent as what has changed, also over several changes", func() {
		c := newChain(2, lists(10000))
		c.read(0)
		c.query(1, 0)
		c.expect(1)
		Expect(c.bytes).To(BeNumerically("<", 500<<10))
		for i := range 10 {
			c.entries[i*13] = listed(i*13, 2)
			delete(c.entries, 5000+i)
			c.entries[20000+i] = listed(20000+i, 1)
			c.read(0)
		}
		c.query(1, 0)
		c.expect(1)
		Expect(c.bytes).To(BeNumerically("<", 2<<10))
		c.query(1, 0)
		Expect(c.bytes).To(BeZero())
	})

	It("is sent complete to an instance whose list is older than the remembered changes", func() {
		c := newChain(2, lists(50))
		c.read(0)
		c.query(1, 0)
		for i := range 300 {
			c.entries[i%50] = listed(i%50, 2+i)
			c.read(0)
		}
		c.query(1, 0)
		c.expect(1)
	})

	// Guards against lists that drift apart where instances read and query in any order.
	It("agrees with the platform's after drawn histories", func() {
		for seed := range uint64(30) {
			random := rand.New(rand.NewPCG(seed, 0))
			c := newChain(4, lists(40))
			for range 200 {
				switch random.IntN(4) {
				case 0:
					i := random.IntN(60)
					if _, known := c.entries[i]; known && random.IntN(2) == 0 {
						delete(c.entries, i)
					} else {
						c.entries[i] = listed(i, 1+random.IntN(5))
					}
				case 1:
					c.read(random.IntN(2))
				default:
					c.query(random.IntN(4), random.IntN(4))
				}
			}
			c.read(0)
			for i := 1; i < 4; i++ {
				c.query(i, i-1)
				c.expect(i)
			}
		}
	})

	It("is not taken when it is damaged", func() {
		c := newChain(2, lists(20))
		c.read(0)
		answer := c.machines[0].Answer(c.now, wasabiridge.CatalogQuery{})
		for i := range answer.Backends.Content {
			broken := answer
			broken.Backends.Content = slices.Clone(answer.Backends.Content)
			broken.Backends.Content[i] ^= 0x11
			c.machines[1].Handle(c.now, wasabicatalog.PeerResponded{Sent: c.now, Peer: "other", Answer: broken})
			if entries := c.machines[1].Backends().Entries; len(entries) > 0 {
				c.expect(1)
				return
			}
		}
	})
})

var _ = Describe("The first page of a large list", func() {
	page := func(m *wasabicatalog.Machine, now wasabiridge.Millis) {
		m.Handle(now, wasabicatalog.BackendsRead{Sent: now, Snapshot: wasabiridge.BackendSnapshot{Revision: 1, Partial: true, Entries: []wasabiridge.BackendEntry{listed(1, 1), listed(2, 1)}}})
	}
	peers := func(n int) []wasabicatalog.Peer {
		var out []wasabicatalog.Peer
		for i := range n {
			out = append(out, wasabicatalog.Peer{ID: wasabiridge.InstanceID(fmt.Sprint("p", i)), Weight: 2})
		}
		return out
	}
	// reads returns whether a tick requests a read of the list, and whether of its first page.
	reads := func(m *wasabicatalog.Machine, now wasabiridge.Millis, others int) (requested, first bool) {
		for _, e := range m.Handle(now, wasabicatalog.Ticked{Peers: peers(others)}) {
			if r, ok := e.(wasabicatalog.ReadBackends); ok {
				return true, r.FirstPage
			}
		}
		return false, false
	}

	It("serves at once and is not sent to others", func() {
		m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
		requested, first := reads(m, 1000, 0)
		Expect(requested && first).To(BeTrue())
		page(m, 1010)
		Expect(m.Backends().Entries).To(HaveLen(2))
		Expect(m.Answer(1020, wasabiridge.CatalogQuery{}).Backends.Age).To(BeNumerically("<", 0))
	})

	// Guards against hundreds of instances that all read the complete list when they start.
	It("is completed from the platform by the first instance, and by others only later", func() {
		for others, want := range map[int]wasabiridge.Millis{0: 400, 5: 1900, 100: 30400} {
			m := wasabicatalog.NewMachine(wasabiridge.InstanceEntry{ID: "i"})
			reads(m, 1000, others)
			page(m, 1010)
			at := wasabiridge.Millis(1020)
			for ; ; at += 10 {
				if requested, first := reads(m, at, others); requested {
					Expect(first).To(BeFalse())
					break
				}
			}
			Expect(at-1010).To(BeNumerically("~", want, 20), fmt.Sprint(others))
		}
	})

	It("is replaced by the complete list of another instance, without departures", func() {
		c := newChain(2, lists(30))
		c.read(0)
		page(c.machines[1], c.now)
		c.query(1, 0)
		c.expect(1)
	})
})
