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
	// detectionTime is the limit promised to users for detecting deaths and
	// departures.
	detectionTime = 3 * wasabiridge.Second
)

// sizes are the current number of instances and the target.
var sizes = []int{9, 370}

func started(count int, seed uint64, loss float64) *driver {
	GinkgoHelper()
	d := newDriver(count, seed, loss)
	d.settle(NewWithT(GinkgoT()))
	return d
}

// others returns the running instances for which the condition does not hold.
func (d *driver) others(holds func(n *simInstance) bool) []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for _, n := range d.instances {
		if !n.down && !n.paused && !holds(n) {
			out = append(out, n.id)
		}
	}
	return out
}

// events change something at instance i. All others must detect it within
// detectionTime. The indices, and with them the random draws, follow the sorted
// names.
var events = map[string]struct {
	cause func(d *driver, i int)
	seen  func(d *driver, i int, n *simInstance) bool
}{
	// A caller's next address must work. An instance crashes without notice;
	// the platform's list still names it for minutes.
	"an instance crashes": {
		cause: func(d *driver, i int) { d.instances[i].down = true },
		seen:  func(d *driver, i int, n *simInstance) bool { return !n.alive[d.entries[i].ID] },
	},
	// An instance hangs for a long time, and its connections stay open.
	"an instance stays paused": {
		cause: func(d *driver, i int) { d.instances[i].paused = true },
		seen:  func(d *driver, i int, n *simInstance) bool { return !n.alive[d.entries[i].ID] },
	},
	// An operator drains an instance; callers must be sent elsewhere while it
	// still answers.
	"an instance leaves": {
		cause: func(d *driver, i int) { d.post(i, wasabimember.LeaveStarted{}, 0) },
		seen:  func(d *driver, i int, n *simInstance) bool { return !n.alive[d.entries[i].ID] },
	},
	// A backend server notifies one instance that it is leaving.
	"a backend server leaves": {
		cause: func(d *driver, i int) {
			d.post(i, wasabimember.BackendsLeft{Backends: []wasabiridge.BackendServerID{"b"}}, 0)
		},
		seen: func(d *driver, i int, n *simInstance) bool { return n == d.instances[i] || n.backends["b"] },
	},
	// An operator's change is accepted at one instance.
	"a configuration is accepted": {
		cause: func(d *driver, i int) { d.post(i, wasabimember.ConfigChanged{Version: 7}, 0) },
		seen:  func(d *driver, i int, n *simInstance) bool { return n == d.instances[i] || n.config == 7 },
	},
	// An instance is replaced; its next incarnation starts at once.
	"an instance restarts": {
		cause: func(d *driver, i int) { d.start(i, 2) },
		seen: func(d *driver, i int, n *simInstance) bool {
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
			It(fmt.Sprintf("detect every event in time while a tenth of messages is lost: %d instances, seed %d", size, seed), func() {
				d := started(size, wasabitest.Seed+seed, tenPercent)
				for i, name := range slices.Sorted(maps.Keys(events)) {
					e := events[name]
					e.cause(d, i)
					d.run(detectionTime)
					Expect(d.others(func(n *simInstance) bool { return e.seen(d, i, n) })).To(BeEmpty(), name)
					d.run(10 * wasabiridge.Second)
				}
			})
		}
	}

	// An availability zone loses power: 42 of 370 instances are gone at once,
	// and many of them watched each other. Callers in the other zones must not
	// be sent there.
	It("detect in time that a whole availability zone failed", func() {
		d := started(370, wasabitest.Seed, tenPercent)
		living := 0
		for i, n := range d.instances {
			n.down = i%9 == 0
			if !n.down {
				living++
			}
		}
		d.run(detectionTime)
		Expect(d.others(func(n *simInstance) bool { return len(n.alive) == living })).To(BeEmpty())
	})

	// All instances are replaced at once and know only the platform's list.
	// Then a single one restarts.
	It("have complete views soon after a restart of all instances, and of one", func() {
		d := newDriver(370, wasabitest.Seed, tenPercent)
		Expect(d.runUntil(d.now+wasabiridge.Minute, func() bool { return d.sees(370) })).To(BeNumerically("<", 5*wasabiridge.Second))
		d.run(30 * wasabiridge.Second)
		d.start(0, 2)
		Expect(d.runUntil(d.now+wasabiridge.Minute, func() bool { return d.sees(370) })).To(BeNumerically("<", 10*wasabiridge.Second))
	})

	// The platform is down and an instance starts with only the peer addresses
	// from its settings. It sends callers on to other instances, so it needs
	// their caller addresses.
	It("obtain the caller addresses of other instances when the list has none", func() {
		for seed := range uint64(20) {
			d := started(9, wasabitest.Seed+seed, tenPercent)
			d.list = nil
			for _, e := range d.entries {
				d.list = append(d.list, wasabiridge.InstanceEntry{ID: e.ID, PeerAddress: e.PeerAddress})
			}
			d.start(0, 2)
			d.post(1, wasabimember.LeaveStarted{}, 200)
			d.run(20 * wasabiridge.Second)
			Expect(d.instances[0].machine.Alive()).To(HaveLen(8))
			for _, m := range d.instances[0].machine.Alive() {
				Expect(m.CallerURL).NotTo(BeEmpty(), "seed %d: %s", seed, m.ID)
			}
		}
	})

	// Lost messages alone must not make any member dead or change any view.
	It("do not change their views while a tenth of messages is lost", func() {
		d := started(90, wasabitest.Seed, tenPercent)
		before := d.changes()
		d.run(10 * wasabiridge.Minute)
		Expect(d.changes()).To(Equal(before))
	})

	// An instance hangs for a minute and resumes. The answers that it missed
	// must not make it declare others dead, late responses must not disturb any
	// view, and it must learn that an instance died meanwhile, about which no
	// updates are sent any more.
	for _, size := range sizes {
		It(fmt.Sprintf("add an instance back after a pause, %d instances", size), func() {
			d := started(size, wasabitest.Seed, tenPercent)
			d.instances[0].paused = true
			d.run(10 * wasabiridge.Second)
			d.instances[1].down = true
			d.run(wasabiridge.Minute)
			before := d.changes()
			d.resume(0)
			d.run(30 * wasabiridge.Second)
			Expect(d.others(func(n *simInstance) bool { return len(n.alive) == size-1 && !n.alive[d.entries[1].ID] })).To(BeEmpty())
			// Every instance adds one back; the paused one also receives one
			// death.
			Expect(d.changes()-before).To(BeNumerically("<=", 2*size), "views flapped")
		})
	}

	// The platform lists an instance that is long dead, and an instance that
	// has just started knows only the list.
	It("never return a listed instance as alive that sent no heartbeat", func() {
		d := newDriver(9, wasabitest.Seed, tenPercent)
		d.instances[8].down = true
		for range 600 {
			d.run(100)
			Expect(d.others(func(n *simInstance) bool { return !n.alive[d.entries[8].ID] })).To(BeEmpty())
		}
		Expect(d.sees(8)).To(BeTrue())
		d.start(0, 2)
		for range 600 {
			d.run(100)
			Expect(d.others(func(n *simInstance) bool { return !n.alive[d.entries[8].ID] })).To(BeEmpty())
			d.post(0, wasabimember.ListRead{Entries: d.entries}, 0)
		}
		Expect(d.sees(8)).To(BeTrue())
	})

	// One path between two instances is broken for an hour, everything else
	// works. Neither may be declared dead because of it.
	It("keep an instance that one other cannot reach", func() {
		d := started(9, wasabitest.Seed, 0)
		before := d.changes()
		d.partitioned = func(from, to int) bool { return from+to == 1 }
		d.run(wasabiridge.Hour)
		Expect(d.changes()).To(Equal(before))
	})
})

func (d *driver) changes() int {
	sum := 0
	for _, n := range d.instances {
		sum += n.changes
	}
	return sum
}
