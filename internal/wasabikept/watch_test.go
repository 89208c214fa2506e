package wasabikept_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabikept"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestKept(t *testing.T) { wasabitest.Run(t, "kept") }

// network stands for the stores and the connections of one instance to them.
type network struct {
	// idleLooks is after how many looks a store closes a connection on which
	// nothing is sent.
	idleLooks int
	down      map[string]bool
	age       map[string]int
	opened    int
	open      int
}

func newNetwork(idleLooks int) *network {
	return &network{idleLooks: idleLooks, down: map[string]bool{}, age: map[string]int{}}
}

// Reach implements wasabikept.Reacher.
func (n *network) Reach(_ context.Context, address string) bool {
	if n.down[address] {
		n.Drop(address)
		return false
	}
	if age, kept := n.age[address]; kept && age < n.idleLooks {
		n.age[address]++
		return true
	}
	n.Drop(address)
	n.age[address] = 1
	n.opened++
	n.open++
	return true
}

// Drop implements wasabikept.Reacher.
func (n *network) Drop(address string) {
	if _, kept := n.age[address]; kept {
		delete(n.age, address)
		n.open--
	}
}

func stores(addresses ...string) []wasabiridge.KeptCache {
	var out []wasabiridge.KeptCache
	for _, a := range addresses {
		out = append(out, wasabiridge.KeptCache{Address: a})
	}
	return out
}

func up(address string, changed bool) wasabikept.Seen {
	return wasabikept.Seen{KeptCacheSeen: wasabiridge.KeptCacheSeen{Address: address, Up: true}, Changed: changed}
}

func down(address string, changed bool) wasabikept.Seen {
	return wasabikept.Seen{KeptCacheSeen: wasabiridge.KeptCacheSeen{Address: address}, Changed: changed}
}

var _ = Describe("Connections to the stores of kept cache", func() {
	// A large deployment: 195 instances, 12 of which callers are sent to, two
	// stores that close idle connections after ten seconds, 48 s. Operators see
	// as many new connections as requests, most of them at the stores, because
	// every instance opened one a second to see whether the store was there.
	It("do not grow with the instances", func() {
		const instances, active, looks, requests = 195, 12, 48, 24_500
		opened := 0
		for i := range instances {
			n := newNetwork(10)
			w := wasabikept.New(wasabikept.Options{Reacher: n, Active: func() bool { return i < active }})
			for range looks {
				w.Look(context.Background(), stores("kv:1", "kv:2"))
			}
			opened += n.opened
		}
		Expect(opened).To(BeNumerically("<=", requests/100))
	})

	// A store crashes, and its clients notice by the connection that they kept.
	// Prompts must not be sent there until it can be reached again.
	It("tell once that a store is lost, and once that it is back", func() {
		n := newNetwork(10)
		w := wasabikept.New(wasabikept.Options{Reacher: n, Active: func() bool { return true }})
		look := func() []wasabikept.Seen { return w.Look(context.Background(), stores("kv:1")) }
		Expect(look()).To(Equal([]wasabikept.Seen{up("kv:1", true)}))
		Expect(look()).To(Equal([]wasabikept.Seen{up("kv:1", false)}))
		n.down["kv:1"] = true
		Expect(look()).To(Equal([]wasabikept.Seen{down("kv:1", true)}))
		Expect(look()).To(Equal([]wasabikept.Seen{down("kv:1", false)}))
		n.down["kv:1"] = false
		Expect(look()).To(Equal([]wasabikept.Seen{up("kv:1", true)}))
	})

	// Callers are sent to another instance of the zone. The connections of the
	// one that they left must not stay, and when callers come back a store that
	// died meanwhile is found out at the next look.
	It("are closed by an instance that callers are not sent to any more", func() {
		n, active := newNetwork(10), true
		w := wasabikept.New(wasabikept.Options{Reacher: n, Active: func() bool { return active }})
		w.Look(context.Background(), stores("kv:1", "kv:2"))
		Expect(n.open).To(Equal(2))
		active = false
		Expect(w.Look(context.Background(), stores("kv:1", "kv:2"))).To(Equal([]wasabikept.Seen{up("kv:1", false), up("kv:2", false)}))
		Expect(n.open).To(BeZero())
		n.down["kv:2"] = true
		Expect(w.Look(context.Background(), stores("kv:1", "kv:2"))).To(Equal([]wasabikept.Seen{up("kv:1", false), up("kv:2", false)}))
		active = true
		Expect(w.Look(context.Background(), stores("kv:1", "kv:2"))).To(Equal([]wasabikept.Seen{up("kv:1", false), down("kv:2", true)}))
	})

	It("are closed to a store that the configuration does not name any more", func() {
		n := newNetwork(10)
		w := wasabikept.New(wasabikept.Options{Reacher: n, Active: func() bool { return true }})
		w.Look(context.Background(), stores("kv:1", "kv:2"))
		w.Look(context.Background(), stores("kv:2"))
		Expect(n.open).To(Equal(1))
		Expect(w.Look(context.Background(), stores("kv:1", "kv:2"))).To(Equal([]wasabikept.Seen{up("kv:1", true), up("kv:2", false)}))
	})
})
