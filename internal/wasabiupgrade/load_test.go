package wasabiupgrade_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

var _ = Describe("A large pool", func() {
	// An operator names new weights for 59 engines, of which eleven may load at
	// once, each for 1.1 s. Answers are worth less from old weights, but between
	// two loads the next engine ran dry while the store of weights was idle, so
	// that the roll took nine seconds where seven are enough.
	It("is rolled out nearly as fast as the store of weights gives them away", func() {
		const engines, atOnce, load = 59, 11, 1100 * wasabiridge.Millis(1)
		f := newFleet(engines)
		f.hold(1)
		f.run(wasabiridge.Second)
		f.wanted = 2
		began := f.now
		for f.machine.Outstanding() > 0 || f.serves[id(engines-1)] < 2 {
			f.run(50)
			Expect(f.now-began).To(BeNumerically("<", 20*wasabiridge.Second))
		}
		rounds := wasabiridge.Millis((engines + atOnce - 1) / atOnce)
		// Beside the loads: the first engines run dry, and what was learned of loads
		// is a reading behind.
		Expect(f.now - began).To(BeNumerically("<=", rounds*(load+100)+500))
		Expect(f.loading).To(BeNumerically("<=", atOnce))
	})
})
