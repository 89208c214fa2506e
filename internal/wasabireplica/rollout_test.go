package wasabireplica_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
)

// rolling is an instance that takes part in a rollout from v1 to v2 of a pool of plain servers.
type rolling struct {
	*rig
	limiter *wasabireplica.Limiter
	order   wasabiridge.SoftwareRollout
	// total and exposed count the requests that were sent, and those of them to v2.
	total, exposed int
}

func newRolling(seed uint64, old, added int) *rolling {
	g := &rolling{rig: &rig{now: 1e6, pool: wasabiridge.Pool{ID: "p"}}}
	for i := range old + added {
		b := wasabiridge.BackendServer{ID: wasabiridge.BackendServerID(fmt.Sprint("s", i)), Kind: wasabiridge.BackendService, URL: fmt.Sprint("http://s", i, ":1"), Slots: 8, Software: "v1"}
		if i >= old {
			b.Software = "v2"
		}
		g.pool.Backends = append(g.pool.Backends, b)
	}
	g.placer = wasabireplica.New(wasabireplica.Options{Seed: seed, MaxExposure: 0.1, Rollouts: true})
	g.limiter = wasabireplica.NewLimiter(g.placer)
	g.observe(wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: []wasabiridge.Pool{g.pool}}})
	g.order = wasabiridge.SoftwareRollout{Pool: "p", To: "v2", Duration: 12000, Order: 1, Phase: wasabiridge.RolloutTrial}
	g.set(wasabiridge.RolloutTrial)
	return g
}

func (g *rolling) set(p wasabiridge.RolloutPhase) {
	g.order.Phase = p
	g.observe(wasabiridge.SoftwareRolloutsSet{Rollouts: []wasabiridge.SoftwareRollout{g.order}})
}

// send sends a request and answers it. It returns the version that it was sent to, or nothing
// if it was refused.
func (g *rolling) send() wasabiridge.SoftwareVersion {
	r := wasabiridge.Request{ID: "r", Rule: "rule", Action: wasabiridge.Action{Pool: "p", Retry: true, FirstByteTarget: 300}}
	if g.limiter.Offer(g.now, r).Verdict != wasabiridge.Admitted {
		return ""
	}
	pl, id := g.place(r)
	if id == 0 {
		return ""
	}
	g.now += 5
	g.answer(id)
	g.total++
	if pl.Backend.Software == "v2" {
		g.exposed++
	}
	return pl.Backend.Software
}

func (g *rolling) sendAll(n int) map[wasabiridge.SoftwareVersion]int {
	out := map[wasabiridge.SoftwareVersion]int{}
	for range n {
		out[g.send()]++
	}
	return out
}

var _ = Describe("Requests during a rollout of a software version", func() {
	// Guards against a bad version that gets more than its part because each of many
	// instances gives it a few requests more, starts again, or does not hear of the others.
	It("go to the new version in no more than the allowed part, at all instances together", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 0))
			total, exposed := 0, 0
			for i := range 60 {
				g := newRolling(seed*100+uint64(i), 1+random.IntN(4), 1+random.IntN(8))
				g.sendAll(random.IntN(400))
				if random.IntN(2) == 0 {
					g.set(wasabiridge.RolloutShift)
					g.sendAll(random.IntN(200))
				}
				total, exposed = total+g.total, exposed+g.exposed
			}
			Expect(float64(exposed)).To(BeNumerically("<=", 0.1*float64(total)), fmt.Sprint(seed))
		}
	})

	It("go to the new version in a trial", func() {
		g := newRolling(1, 4, 2)
		Expect(g.sendAll(1000)["v2"]).To(BeNumerically("~", 30, 2))
	})

	It("go to the new version alone after the deadline of a shift", func() {
		g := newRolling(1, 4, 2)
		g.sendAll(500)
		g.set(wasabiridge.RolloutShift)
		g.now += 12000
		Expect(g.sendAll(50)).To(Equal(map[wasabiridge.SoftwareVersion]int{"v2": 50}))
	})

	It("go to the old versions alone after a rollback, whatever is stored later", func() {
		g := newRolling(1, 4, 2)
		g.set(wasabiridge.RolloutRolledBack)
		g.set(wasabiridge.RolloutTrial)
		Expect(g.sendAll(300)).To(Equal(map[wasabiridge.SoftwareVersion]int{"v1": 300}))
	})

	// Guards against requests at servers of the old versions, which stop without notice.
	It("go to the new version alone after the completion", func() {
		g := newRolling(1, 4, 2)
		g.set(wasabiridge.RolloutCompleted)
		Expect(g.sendAll(100)).To(Equal(map[wasabiridge.SoftwareVersion]int{"v2": 100}))
	})

	It("are served as always when an order names a version without servers", func() {
		g := newRolling(1, 4, 0)
		Expect(g.sendAll(100)).To(Equal(map[wasabiridge.SoftwareVersion]int{"v1": 100}))
	})

	It("begin with a new trial when a later order follows", func() {
		g := newRolling(1, 4, 2)
		g.set(wasabiridge.RolloutRolledBack)
		g.order.Order = 2
		g.set(wasabiridge.RolloutTrial)
		Expect(g.sendAll(1000)["v2"]).To(BeNumerically("~", 30, 2))
	})

	// Guards against a version that is listed before the order for it is known.
	It("do not go to a version that has just appeared", func() {
		g := newRolling(1, 4, 0)
		g.observe(wasabiridge.SoftwareRolloutsSet{})
		g.pool = newRolling(1, 4, 2).pool
		g.now += 1000
		g.observe(wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: []wasabiridge.Pool{g.pool}}})
		Expect(g.sendAll(100)).To(Equal(map[wasabiridge.SoftwareVersion]int{"v1": 100}))
	})
})

var _ = Describe("The answers counted during a rollout", func() {
	It("are those of the new version by server and those of the old ones together", func() {
		g := newRolling(1, 4, 2)
		g.sendAll(1000)
		s := g.placer.Rollouts(g.now)[0]
		Expect(s.New).To(Equal(2))
		Expect(s.Old).To(Equal(4))
		Expect(s.Exposed).To(BeEquivalentTo(g.exposed))
		Expect(s.DrainedSince).NotTo(BeZero())
		byServer := map[wasabiridge.BackendServerID]uint64{}
		for _, a := range s.Answers {
			byServer[a.Backend] += a.Total
			Expect(a.Failed).To(BeZero())
		}
		Expect(byServer["s4"] + byServer["s5"]).To(BeEquivalentTo(g.exposed))
		Expect(byServer[""]).To(BeEquivalentTo(1000 - g.exposed - 19))
	})
})
