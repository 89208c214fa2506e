package wasabimember_test

import (
	"fmt"
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

const (
	tenPercent = 0.1
	// inTime is what users were promised for deaths and departures.
	inTime = 3 * wasabiridge.Second
)

// sizes are the numbers of instances of today and of the target.
var sizes = []int{9, 370}

func started(count int, seed uint64, loss float64) *driver {
	GinkgoHelper()
	d := newDriver(count, seed, loss)
	d.settle(NewWithT(GinkgoT()))
	return d
}

// others returns the running instances for which the condition does not hold.
func (d *driver) others(holds func(n *node) bool) []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for _, n := range d.nodes {
		if !n.down && !n.paused && !holds(n) {
			out = append(out, n.id)
		}
	}
	return out
}

// events change something at instance i. All others must notice in time.
var events = map[string]struct {
	cause func(d *driver, i int)
	seen  func(d *driver, i int, n *node) bool
}{
	// A caller's next address must work. An instance crashes without a word;
	// the platform's list names it for minutes more.
	"an instance dies": {
		cause: func(d *driver, i int) { d.nodes[i].down = true },
		seen:  func(d *driver, i int, n *node) bool { return !n.alive[d.entries[i].ID] },
	},
	// An instance hangs for long, its connections stay open.
	"an instance stands still": {
		cause: func(d *driver, i int) { d.nodes[i].paused = true },
		seen:  func(d *driver, i int, n *node) bool { return !n.alive[d.entries[i].ID] },
	},
	// An operator drains an instance; callers must be sent elsewhere while it
	// still answers.
	"an instance leaves": {
		cause: func(d *driver, i int) { d.post(i, wasabimember.LeaveStarted{}, 0) },
		seen:  func(d *driver, i int, n *node) bool { return !n.alive[d.entries[i].ID] },
	},
	// A backend server tells one instance that it is leaving.
	"a backend server leaves": {
		cause: func(d *driver, i int) {
			d.post(i, wasabimember.BackendsLeft{Backends: []wasabiridge.BackendServerID{"b"}}, 0)
		},
		seen: func(d *driver, i int, n *node) bool { return n == d.nodes[i] || n.backends["b"] },
	},
	// An operator's edit is accepted at one instance.
	"a configuration is accepted": {
		cause: func(d *driver, i int) { d.post(i, wasabimember.ConfigInForce{Version: 7}, 0) },
		seen:  func(d *driver, i int, n *node) bool { return n == d.nodes[i] || n.config == 7 },
	},
	// An instance is replaced; its next life starts at once.
	"an instance restarts": {
		cause: func(d *driver, i int) { d.start(i, 2) },
		seen: func(d *driver, i int, n *node) bool {
			for _, m := range n.machine.Alive() {
				if m.ID == d.entries[i].ID {
					return m.Incarnation == wasabiridge.Incarnation(begin)+2
				}
			}
			return false
		},
	},
}

var _ = Describe("Members", func() {
	for _, size := range sizes {
		for seed := range uint64(3) {
			It(fmt.Sprintf("notice every event in time while a tenth of messages is lost: %d instances, seed %d", size, seed), func() {
				d := started(size, wasabitest.Seed+seed, tenPercent)
				for i, name := range slices.Sorted(maps.Keys(events)) {
					e := events[name]
					e.cause(d, i)
					d.run(inTime)
					Expect(d.others(func(n *node) bool { return e.seen(d, i, n) })).To(BeEmpty(), name)
					d.run(10 * wasabiridge.Second)
				}
			})
		}
	}

	// A zone loses its power: 42 of 370 instances are gone at once, and many of
	// them were each other's watchers. Callers of the other zones must not be
	// sent there.
	It("notice in time that a whole zone died", func() {
		d := started(370, wasabitest.Seed, tenPercent)
		living := 0
		for i, n := range d.nodes {
			n.down = i%9 == 0
			if !n.down {
				living++
			}
		}
		d.run(inTime)
		Expect(d.others(func(n *node) bool { return len(n.alive) == living })).To(BeEmpty())
	})

	// All instances are replaced at once and know nothing but the list. Then a
	// single one restarts.
	It("know each other soon after a restart of all, and of one", func() {
		d := newDriver(370, wasabitest.Seed, tenPercent)
		Expect(d.runUntil(d.now+wasabiridge.Minute, func() bool { return d.sees(370) })).To(BeNumerically("<", 5*wasabiridge.Second))
		d.run(30 * wasabiridge.Second)
		d.start(0, 2)
		Expect(d.runUntil(d.now+wasabiridge.Minute, func() bool { return d.sees(370) })).To(BeNumerically("<", 10*wasabiridge.Second))
	})

	// The platform is down and an instance starts with the peer addresses of its
	// settings only. Callers that it sends on need the other addresses.
	It("learn the addresses of callers when the list has none", func() {
		for seed := range uint64(20) {
			d := started(9, wasabitest.Seed+seed, tenPercent)
			d.list = nil
			for _, e := range d.entries {
				d.list = append(d.list, wasabiridge.InstanceEntry{ID: e.ID, PeerAddress: e.PeerAddress})
			}
			d.start(0, 2)
			d.post(1, wasabimember.LeaveStarted{}, 200)
			d.run(20 * wasabiridge.Second)
			Expect(d.nodes[0].machine.Alive()).To(HaveLen(8))
			for _, m := range d.nodes[0].machine.Alive() {
				Expect(m.CallerURL).NotTo(BeEmpty(), "seed %d: %s", seed, m.ID)
			}
		}
	})

	// Nobody is buried by lost messages alone, and no list changes.
	It("keep their lists still while a tenth of messages is lost", func() {
		d := started(90, wasabitest.Seed, tenPercent)
		before := d.changes()
		d.run(10 * wasabiridge.Minute)
		Expect(d.changes()).To(Equal(before))
	})

	// An instance hangs for a minute and wakes up. Its own silence must not
	// make it bury others, late answers must not confuse anyone, and it must
	// learn of the instance that died meanwhile and whom nobody speaks of any
	// more.
	for _, size := range sizes {
		It(fmt.Sprintf("take back an instance that was paused, %d instances", size), func() {
			d := started(size, wasabitest.Seed, tenPercent)
			d.nodes[0].paused = true
			d.run(10 * wasabiridge.Second)
			d.nodes[1].down = true
			d.run(wasabiridge.Minute)
			before := d.changes()
			d.resume(0)
			d.run(30 * wasabiridge.Second)
			Expect(d.others(func(n *node) bool { return len(n.alive) == size-1 && !n.alive[d.entries[1].ID] })).To(BeEmpty())
			// Everyone takes one back; the paused one also learns of one death.
			Expect(d.changes()-before).To(BeNumerically("<=", 2*size), "lists flapped")
		})
	}

	// The platform lists an instance that is long dead, and an instance that
	// just started knows nothing but the list.
	It("never hand out a listed instance that nobody heard of", func() {
		d := newDriver(9, wasabitest.Seed, tenPercent)
		d.nodes[8].down = true
		for range 600 {
			d.run(100)
			Expect(d.others(func(n *node) bool { return !n.alive[d.entries[8].ID] })).To(BeEmpty())
		}
		Expect(d.sees(8)).To(BeTrue())
		d.start(0, 2)
		for range 600 {
			d.run(100)
			Expect(d.others(func(n *node) bool { return !n.alive[d.entries[8].ID] })).To(BeEmpty())
			d.post(0, wasabimember.Listed{Entries: d.entries}, 0)
		}
		Expect(d.sees(8)).To(BeTrue())
	})

	// One path between two instances is broken for an hour, everything else
	// works. Neither may be buried for it.
	It("keep an instance that some do not reach", func() {
		d := started(9, wasabitest.Seed, 0)
		before := d.changes()
		d.cut = func(from, to int) bool { return from+to == 1 }
		d.run(wasabiridge.Hour)
		Expect(d.changes()).To(Equal(before))
	})
})

func (d *driver) changes() int {
	sum := 0
	for _, n := range d.nodes {
		sum += n.changes
	}
	return sum
}
