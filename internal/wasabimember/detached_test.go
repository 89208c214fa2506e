package wasabimember_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

var _ = Describe("Members whose path to the backend servers is lost", func() {
	// Guards against callers being sent to instances that cannot serve them because the
	// others do not know it, or know it for longer than it lasts.
	for _, size := range sizes {
		It(fmt.Sprintf("are known to all others in time, and so is the end of it: %d instances", size), func() {
			d := started(size, wasabitest.Seed, tenPercent)
			for _, detached := range []bool{true, false, true, false} {
				for i := range 3 {
					d.post(i, wasabimember.DetachedChanged{Detached: detached}, 0)
				}
				d.run(detectionTime)
				Expect(d.others(func(n *simInstance) bool {
					count := 0
					for _, m := range n.machine.Alive() {
						if m.Detached {
							count++
						}
					}
					return count == map[bool]int{true: 3, false: 0}[detached]
				})).To(BeEmpty())
			}
		})
	}

	It("are known to an instance that starts meanwhile", func() {
		d := started(9, wasabitest.Seed, tenPercent)
		d.post(1, wasabimember.DetachedChanged{Detached: true}, 0)
		d.run(detectionTime)
		d.start(0, 2)
		d.run(detectionTime)
		for _, m := range d.instances[0].machine.Alive() {
			Expect(m.Detached).To(Equal(m.ID == d.entries[1].ID), string(m.ID))
		}
	})
})
