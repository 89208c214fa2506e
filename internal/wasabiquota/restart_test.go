package wasabiquota_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// Guards against accounts at their usual load that are refused because all instances have
// just started.
var _ = Describe("All instances are killed and start again", func() {
	It("and an account at its usual load is served at once", func() {
		const instances, active = 88, 8
		f := newFleet(1, instances, []wasabiridge.ClientAccount{limited("a", large/3)}, newTold)
		f.active, f.callers = active, active
		f.play(f.now + 3000)
		f.load("a", 0.55*large/3, f.now+9000, func() int { return f.random.IntN(active) })
		f.play(f.now + 4000)
		f.lists, f.owners = 300, f.nodes[0].way.(*told).table.Owners(f.now)
		Expect(f.owners).To(HaveLen(active))
		for i := range f.nodes {
			f.kill(i)
			f.at(f.now+300+wasabiridge.Millis(f.random.IntN(300)), func() { f.start(i) })
		}
		f.play(f.now + 600)
		asked, refused := f.asked["a"], f.refused["a"]
		f.play(f.now + 1000)
		asked, refused = f.asked["a"]-asked, f.refused["a"]-refused
		fmt.Fprintf(GinkgoWriter, "in the first second %d of %d are refused\n", refused, asked)
		Expect(asked).To(BeNumerically(">", 40))
		Expect(refused).To(BeNumerically("<=", asked/10))
	})
})
