package wasabireplica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

var _ = Describe("In an overload", func() {
	// Story: a third of the engines is away and half as much again is asked as the
	// others can compute, for ten seconds. With a wait of a whole target everything
	// comes late; with one that leaves room for the prompt itself, what is admitted is
	// in time, and the rest is told at once to come back.
	It("what is admitted is in time, and the engine stays busy", func() {
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

	It("a prompt that is late anyhow goes to a replica where little waits, and nowhere else", func() {
		g := newRig(1)
		g.serve(20, 60)
		huge := sized(5, 0, 60000)
		Expect(g.limiter.Offer(g.now, huge).Verdict).To(Equal(wasabiridge.Admitted))
		g.place(sized(6, 0, 8000))
		Expect(g.limiter.Offer(g.now, huge).Verdict).To(Equal(wasabiridge.Rejected))
	})
})
