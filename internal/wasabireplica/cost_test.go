package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// sized returns a request whose prompt has a shared segment and a segment of its own,
// of the given lengths in tokens.
func sized(segment uint64, shared, own int) wasabiridge.Request {
	r := long(segment)
	r.Chain.Lengths, r.Chain.Tokens = []int{shared, own}, shared+own
	return r
}

// serve sends n prompts to the rig, whose replicas compute them at the given speed.
func (g *rig) serve(n int, tokensPerMilli float64) {
	for i := range n {
		shared, own := 200+i%7*500, 300+i%5*400
		pl, id := g.place(sized(uint64(1000+i), shared, own))
		if pl.Backend.ID == "" {
			continue
		}
		g.now += 20 + wasabiridge.Millis(float64(shared+own)/tokensPerMilli)
		g.answer(id)
	}
}

var _ = Describe("The computing cost of engines", func() {
	// Engines of one deployment may compute five times as slowly as those of another.
	// With a fixed estimate their queues look short, and prompts pile up at a few of
	// them.
	It("is estimated from about thirty answers, for slow engines and for fast ones", func() {
		for _, speed := range []float64{20, 66, 300} {
			g := newRig(1)
			g.serve(30, speed)
			pl, _ := g.place(sized(1, 0, 6000))
			Expect(pl.ExpectedWait).To(BeNumerically("~", 20+6000/speed, 0.35*6000/speed+20), "%f tokens a ms", speed)
		}
	})

	// Whether a shared segment is worth fetching depends on the engine: 568 shared
	// tokens take one or two milliseconds to compute on some engines and nine on
	// others.
	It("decides from which length shared segments are fetched", func() {
		for speed, why := range map[float64]string{300: "load", 40: "computed"} {
			g := newRig(1)
			g.serve(30, speed)
			pl, _ := g.place(sized(1, 568, 1800))
			Expect(pl.Why).To(Equal(why), "%f tokens a ms", speed)
		}
	})
})

var _ = Describe("Requests to the servers of a large pool", func() {
	// Guards against a new connection for nearly every request: at a steady load at most one in
	// ten may need one.
	It("go to few of them while they are idle, and to others at another instance", func() {
		used := func(self wasabiridge.InstanceID) map[wasabiridge.BackendServerID]int {
			g := newRigOf(self, 128)
			g.pool.Parted = true
			g.adopt()
			out := map[wasabiridge.BackendServerID]int{}
			connections := 0
			for i := range 400 {
				pl, id := g.place(short())
				g.now += 40
				g.answer(id)
				if out[pl.Backend.ID]++; out[pl.Backend.ID] == 1 && i >= 100 {
					connections++
				}
				g.now += 60
				g.observe(wasabiridge.Ticked{})
			}
			Expect(connections).To(BeNumerically("<=", 30))
			return out
		}
		Expect(used("a")).NotTo(Equal(used("b")))
	})
})
