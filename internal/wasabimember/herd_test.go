package wasabimember_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// startBytes bounds what an instance sends in heartbeats, for each other
// instance, when all start at once. It was 2,800 when instances repeated
// updates to members whose digest already matched.
const startBytes = 1600

var _ = Describe("All instances that start at once", func() {
	for _, size := range []int{195, 374} {
		// All instances lose power and restart together; the platform's list
		// names three of them. Each needs some hundred bytes about each other
		// one. Small instances have links of 20 Mbit/s, and traffic between
		// availability zones is billed.
		It(fmt.Sprintf("do not send updates to members with the same view: %d instances", size), func() {
			d := newDriver(size, wasabitest.Seed, 0)
			d.list = d.entries[:3]
			d.measure = true
			Expect(d.runUntil(d.now+wasabiridge.Minute, func() bool { return d.sees(size) })).To(BeNumerically("<", 1500))
			d.run(10 * wasabiridge.Second)
			bytes := 0
			for _, n := range d.instances {
				bytes += n.bytes
			}
			Expect(bytes / size / size).To(BeNumerically("<", startBytes))
		})
	}
})
