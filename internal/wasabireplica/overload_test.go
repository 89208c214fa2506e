package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

var _ = Describe("During an overload", func() {
	// For ten seconds a third of the engines is away, and the others receive half as
	// much again as they can compute. If requests may wait for a whole target,
	// everything is late. If the limit leaves time for the prompt itself, admitted
	// requests are in time and the others are refused immediately.
	It("admitted requests are in time, and the engine stays busy", func() {
		const perPrompt = 90 // milliseconds that the engine needs for 6,000 tokens
		g := newRig(1)
		type job struct {
			id   wasabiridge.AttemptID
			sent wasabiridge.Millis
		}
		var queue []job
		free := g.now
		done, late, refused := 0, 0, 0
		for end := g.now + 10000; g.now < end; g.now += 20 {
			for len(queue) > 0 && free <= g.now {
				j := queue[0]
				queue = queue[1:]
				done++
				if g.now-j.sent > 300 {
					late++
				}
				g.answer(j.id)
				free += perPrompt
			}
			if (end-g.now)%60 != 0 {
				continue
			}
			r := sized(uint64(g.now), 0, 6000)
			if g.limiter.Offer(g.now, r).Verdict != wasabiridge.Admitted {
				refused++
				continue
			}
			if len(queue) == 0 {
				free = max(free, g.now+perPrompt)
			}
			_, id := g.place(r)
			queue = append(queue, job{id, g.now})
		}
		Expect(done).To(BeNumerically(">", 90), "of 111 that it can compute")
		Expect(late).To(BeNumerically("<", done/10))
		Expect(refused).To(BeNumerically(">", 40))
	})

	It("a prompt that is late in any case is only sent to a replica with a short queue", func() {
		g := newRig(1)
		g.serve(20, 60)
		huge := sized(5, 0, 60000)
		Expect(g.limiter.Offer(g.now, huge).Verdict).To(Equal(wasabiridge.Admitted))
		g.place(sized(6, 0, 8000))
		Expect(g.limiter.Offer(g.now, huge).Verdict).To(Equal(wasabiridge.Rejected))
	})
})
