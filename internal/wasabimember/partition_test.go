package wasabimember_test

import (
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// partitions split the instances into groups. During the partition, group 0
// gets a newer configuration than group 1.
var partitions = map[string]struct {
	count int
	// lasts is an hour, except for the largest case, in which an hour takes too
	// long under the race detector. The slowest timers of the machine are the
	// largest probe backoff of a minute and the removal of dead members after
	// ten minutes.
	lasts wasabiridge.Millis
	group func(i int) int
}{
	"availability zones of 9":              {9, wasabiridge.Hour, func(i int) int { return i % 2 }},
	"an availability zone of one instance": {9, wasabiridge.Hour, func(i int) int { return min(i, 1) }},
	"the availability zones of 90":         {90, wasabiridge.Hour, func(i int) int { return i % 9 / 4 }},
	"a region of 370, 4 regions":           {370, 2 * wasabiridge.Minute, func(i int) int { return i % 4 / 3 }},
	"every instance for itself, 9":         {9, wasabiridge.Hour, func(i int) int { return i }},
	"four regions, all partitioned":        {90, 12 * wasabiridge.Minute, func(i int) int { return i % 4 }},
}

var _ = Describe("Sides of a network partition", func() {
	// A network failure partitions availability zones or regions for an hour.
	// Each side goes on with its own members, and operators change the
	// configuration on one side. When the paths work again, all views must be
	// as before, with the newest configuration. Callers' lists may change once
	// in each direction only: a side that applied the other's old updates would
	// declare its own members dead.
	for _, name := range slices.Sorted(maps.Keys(partitions)) {
		It("keep serving, reconnect and do not flap: "+name, func() {
			p := partitions[name]
			d := started(p.count, wasabitest.Seed, tenPercent)
			d.post(0, wasabimember.ConfigChanged{Version: 3}, 0)
			d.run(10 * wasabiridge.Second)
			before := make([]int, p.count)
			for i, n := range d.instances {
				before[i] = n.changes
			}
			d.partitioned = func(from, to int) bool { return p.group(from) != p.group(to) }
			d.run(30 * wasabiridge.Second)
			for i, n := range d.instances {
				for other, e := range d.entries {
					Expect(n.alive[e.ID]).To(Equal(p.group(i) == p.group(other)), "%s about %s", n.id, e.ID)
				}
			}
			d.post(0, wasabimember.ConfigChanged{Version: 4}, 0)
			d.run(p.lasts)
			d.partitioned = func(int, int) bool { return false }
			took := d.runUntil(d.now+5*wasabiridge.Minute, func() bool { return d.sees(p.count) })
			GinkgoWriter.Printf("%s: reconnected after %d ms\n", name, took)
			Expect(d.sees(p.count)).To(BeTrue())
			d.run(wasabiridge.Minute)
			for i, n := range d.instances {
				Expect(max(n.config, 4*wasabiridge.ConfigVersion(1-min(i, 1)))).To(BeEquivalentTo(4), "%s", n.id)
				other := 0
				for j := range d.entries {
					if p.group(i) != p.group(j) {
						other++
					}
				}
				// One death and one return for each instance on the other side,
				// and one refutation of each instance's own death.
				Expect(n.changes-before[i]).To(BeNumerically("<=", 2*other+p.count), "%s flapped", n.id)
			}
		})
	}
})
