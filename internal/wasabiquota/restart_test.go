package wasabiquota_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// Guards against refusals of an account at its usual load because all instances have just
// restarted and do not know what was spent.
var _ = Describe("After a restart of all instances", func() {
	It("an account at its usual load is served at once", func() {
		const instances, active = 88, 8
		f := newFleet(1, instances, []wasabiridge.ClientAccount{limitedAccount("a", largeRate/3)}, newRunningTotals)
		f.active, f.callers = active, active
		f.runUntil(f.now + 3000)
		f.load("a", 0.55*largeRate/3, f.now+9000, func() int { return f.random.IntN(active) })
		f.runUntil(f.now + 4000)
		f.discoveryDelay, f.storedOwners = 300, f.instances[0].limiter.(*runningTotals).table.Owners(f.now)
		Expect(f.storedOwners).To(HaveLen(active))
		for i := range f.instances {
			f.kill(i)
			f.schedule(f.now+300+wasabiridge.Millis(f.random.IntN(300)), func() { f.start(i) })
		}
		f.runUntil(f.now + 600)
		asked, refused := f.asked["a"], f.refused["a"]
		f.runUntil(f.now + 1000)
		asked, refused = f.asked["a"]-asked, f.refused["a"]-refused
		fmt.Fprintf(GinkgoWriter, "%d of %d requests refused in the first second\n", refused, asked)
		Expect(asked).To(BeNumerically(">", 40))
		Expect(refused).To(BeNumerically("<=", asked/10))
	})
})
