package wasabimember_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// toldBytes bounds what an instance sends in heartbeats, for each of the others,
// when all start at once. It sent 2,800 when it repeated its news to those that
// knew the same members already.
const toldBytes = 1600

var _ = Describe("All instances that start at once", func() {
	for _, size := range []int{195, 374} {
		// All instances lose power and come back together; the list names three of
		// them. Each has to hear some hundred bytes about each of the others. Small
		// instances have links of 20 Mbit/s, and bytes between zones are paid for.
		It(fmt.Sprintf("do not repeat to each other what both know: %d instances", size), func() {
			d := newDriver(size, wasabitest.Seed, 0)
			d.list = d.entries[:3]
			d.measure = true
			Expect(d.runUntil(d.now+wasabiridge.Minute, func() bool { return d.sees(size) })).To(BeNumerically("<", 1500))
			d.run(10 * wasabiridge.Second)
			bytes := 0
			for _, n := range d.nodes {
				bytes += n.bytes
			}
			Expect(bytes / size / size).To(BeNumerically("<", toldBytes))
		})
	}
})
