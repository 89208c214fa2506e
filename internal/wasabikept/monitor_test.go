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

// network simulates the stores and the connections of one instance to them.
type network struct {
	// idlePolls is the number of polls after which a store closes an idle connection.
	idlePolls int
	down      map[string]bool
	age       map[string]int
	opened    int
	open      int
}

func newNetwork(idlePolls int) *network {
	return &network{idlePolls: idlePolls, down: map[string]bool{}, age: map[string]int{}}
}

// Probe implements wasabikept.Prober.
func (n *network) Probe(_ context.Context, address string) bool {
	if n.down[address] {
		n.CloseIdle(address)
		return false
	}
	if age, kept := n.age[address]; kept && age < n.idlePolls {
		n.age[address]++
		return true
	}
	n.CloseIdle(address)
	n.age[address] = 1
	n.opened++
	n.open++
	return true
}

// CloseIdle implements wasabikept.Prober.
func (n *network) CloseIdle(address string) {
	if _, kept := n.age[address]; kept {
		delete(n.age, address)
		n.open--
	}
}

func stores(addresses ...string) []wasabiridge.CacheStore {
	var out []wasabiridge.CacheStore
	for _, a := range addresses {
		out = append(out, wasabiridge.CacheStore{Address: a})
	}
	return out
}

func up(address string, changed bool) wasabikept.StoreStatus {
	return wasabikept.StoreStatus{CacheStoreChecked: wasabiridge.CacheStoreChecked{Address: address, Up: true}, Changed: changed}
}

func down(address string, changed bool) wasabikept.StoreStatus {
	return wasabikept.StoreStatus{CacheStoreChecked: wasabiridge.CacheStoreChecked{Address: address}, Changed: changed}
}

var _ = Describe("Connections to the KV cache stores", func() {
	// A large deployment has 195 instances, 12 of which serve callers, and two stores
	// that close idle connections after ten seconds; it runs for 48 s. When every
	// instance opened a connection per second to poll the stores, there were as many
	// new connections as requests.
	It("do not grow in number with the instances", func() {
		const instances, active, polls, requests = 195, 12, 48, 24_500
		opened := 0
		for i := range instances {
			n := newNetwork(10)
			w := wasabikept.New(wasabikept.Options{Prober: n, IsServing: func() bool { return i < active }})
			for range polls {
				w.Poll(context.Background(), stores("kv:1", "kv:2"))
			}
			opened += n.opened
		}
		Expect(opened).To(BeNumerically("<=", requests/100))
	})

	// A store crashes, and its clients notice by the open connection. No prompts may be
	// sent there until it can be reached again.
	It("report a change once when a store is lost, and once when it is back", func() {
		n := newNetwork(10)
		w := wasabikept.New(wasabikept.Options{Prober: n, IsServing: func() bool { return true }})
		poll := func() []wasabikept.StoreStatus { return w.Poll(context.Background(), stores("kv:1")) }
		Expect(poll()).To(Equal([]wasabikept.StoreStatus{up("kv:1", true)}))
		Expect(poll()).To(Equal([]wasabikept.StoreStatus{up("kv:1", false)}))
		n.down["kv:1"] = true
		Expect(poll()).To(Equal([]wasabikept.StoreStatus{down("kv:1", true)}))
		Expect(poll()).To(Equal([]wasabikept.StoreStatus{down("kv:1", false)}))
		n.down["kv:1"] = false
		Expect(poll()).To(Equal([]wasabikept.StoreStatus{up("kv:1", true)}))
	})

	// When callers move to another instance of the availability zone, the connections
	// of the previous one have to be closed. When the callers return, the next poll has
	// to notice a store that died in the meantime.
	It("are closed by an instance that no longer serves callers", func() {
		n, active := newNetwork(10), true
		w := wasabikept.New(wasabikept.Options{Prober: n, IsServing: func() bool { return active }})
		w.Poll(context.Background(), stores("kv:1", "kv:2"))
		Expect(n.open).To(Equal(2))
		active = false
		Expect(w.Poll(context.Background(), stores("kv:1", "kv:2"))).To(Equal([]wasabikept.StoreStatus{up("kv:1", false), up("kv:2", false)}))
		Expect(n.open).To(BeZero())
		n.down["kv:2"] = true
		Expect(w.Poll(context.Background(), stores("kv:1", "kv:2"))).To(Equal([]wasabikept.StoreStatus{up("kv:1", false), up("kv:2", false)}))
		active = true
		Expect(w.Poll(context.Background(), stores("kv:1", "kv:2"))).To(Equal([]wasabikept.StoreStatus{up("kv:1", false), down("kv:2", true)}))
	})

	It("are closed when the configuration removes the store", func() {
		n := newNetwork(10)
		w := wasabikept.New(wasabikept.Options{Prober: n, IsServing: func() bool { return true }})
		w.Poll(context.Background(), stores("kv:1", "kv:2"))
		w.Poll(context.Background(), stores("kv:2"))
		Expect(n.open).To(Equal(1))
		Expect(w.Poll(context.Background(), stores("kv:1", "kv:2"))).To(Equal([]wasabikept.StoreStatus{up("kv:1", true), up("kv:2", false)}))
	})
})
