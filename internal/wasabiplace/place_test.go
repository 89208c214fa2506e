package wasabiplace_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestPlace(t *testing.T) {
	wasabitest.Run(t, "place")
}

const (
	start       wasabiridge.Millis = 1_000_000
	blockTokens int                = 2048
)

func document(blocks ...wasabiridge.BlockHash) wasabiridge.Request {
	return wasabiridge.Request{
		Chain:  wasabiridge.Chain{Blocks: blocks, BlockTokens: blockTokens, Tokens: len(blocks)*blockTokens + 100},
		Action: wasabiridge.Action{Pool: "answer"},
	}
}

var _ = Describe("placer", func() {
	var (
		placer *wasabiplace.Placer
		pool   wasabiridge.Pool
		now    wasabiridge.Millis
		next   wasabiridge.AttemptID
	)
	manual := document(1, 2, 3, 4, 5, 6, 7, 8)
	place := func(r wasabiridge.Request, excluded ...wasabiridge.BackendServerID) wasabiridge.Placement {
		p, ok := placer.Place(now, wasabiridge.PlaceQuery{Request: r, Pool: pool, Excluded: excluded})
		Expect(ok).To(BeTrue())
		return p
	}
	report := func(b wasabiridge.BackendServerID, incarnation wasabiridge.Incarnation, change func(*wasabiridge.LoadReport)) {
		r := wasabiridge.LoadReport{Backend: b, Incarnation: incarnation, MeasuredAt: now}
		change(&r)
		placer.Observe(now, wasabiridge.LoadReported{Report: r})
	}
	reportAll := func() {
		for _, b := range pool.Backends {
			report(b.ID, 1, func(*wasabiridge.LoadReport) {})
		}
	}
	serve := func(r wasabiridge.Request, p wasabiridge.Placement, cached int) {
		next++
		placer.Sent(now, r, next, p)
		now += 400
		placer.Observe(now, wasabiridge.AttemptFirstToken{Attempt: next})
		now += 100
		placer.Observe(now, wasabiridge.AttemptEnded{Attempt: next, Usage: wasabiridge.Usage{
			PromptTokens: r.Chain.Tokens, CachedTokens: cached, Incarnation: 1,
		}})
	}
	setUp := func(servers int, o wasabiplace.Options) {
		placer, pool, now = wasabiplace.New(o), benchPool(servers), start
		placer.Observe(now, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Pools: []wasabiridge.Pool{pool}}})
		reportAll()
	}
	BeforeEach(func() { setUp(9, wasabiplace.Options{Seed: 1}) })

	It("follows a prefix to the server that computed it", func() {
		first := place(manual)
		Expect(first.ClaimedTokens).To(BeZero())
		serve(manual, first, 0)
		again := place(document(1, 2, 3, 4, 5, 6, 7, 8, 9))
		Expect(again.Backend.ID).To(Equal(first.Backend.ID))
		Expect(again.ClaimedTokens).To(Equal(8 * blockTokens))
		Expect(again.HeldTokens).To(Equal(8 * blockTokens))
	})

	// Guards against placers that count a prefix as held only after its
	// computation has ended. Two technicians ask about the same lift within a
	// second: the second question would be sent to another server, and the
	// manual would be computed twice.
	It("sends requests to the server that is computing their prefix, without claiming cached tokens", func() {
		first := place(manual)
		placer.Sent(now, manual, 1, first)
		second := place(manual)
		Expect(second.Backend.ID).To(Equal(first.Backend.ID))
		Expect(second.ClaimedTokens).To(BeZero())
	})

	It("holds requests back while their prefix is computed, if MaxPrefixWait is set", func() {
		setUp(9, wasabiplace.Options{Seed: 1, MaxPrefixWait: 300})
		placer.Sent(now, manual, 1, place(manual))
		Expect(place(manual).WaitUntil).To(And(BeNumerically(">", now), BeNumerically("<=", now+300)))
		placer.Observe(now, wasabiridge.AttemptFirstToken{Attempt: 1})
		Expect(place(manual).WaitUntil).To(BeZero())
	})

	// Guards against a first choice that depends on more than the document and
	// the pool. After a restart of all routers, the first request for a
	// document reaches each of them, and each would have it computed by a
	// different engine.
	DescribeTable("sends an unknown document to the same server from every instance", func(servers int) {
		var ids []wasabiridge.BackendServerID
		for seed := range uint64(5) {
			setUp(servers, wasabiplace.Options{Seed: seed})
			ids = append(ids, place(manual).Backend.ID)
		}
		Expect(ids).To(HaveEach(ids[0]))
	},
		Entry("small pool", 9),
		Entry("large pool", 1600),
	)

	DescribeTable("skips the holder", func(update func(holder wasabiridge.BackendServerID)) {
		holder := place(manual)
		serve(manual, holder, 0)
		update(holder.Backend.ID)
		p := place(manual)
		Expect(p.Backend.ID).NotTo(Equal(holder.Backend.ID))
		Expect(p.ClaimedTokens).To(BeZero())
	},
		Entry("that is leaving", func(b wasabiridge.BackendServerID) {
			placer.Observe(now, wasabiridge.BackendLeaving{Backend: b})
		}),
		Entry("that reports that it is leaving", func(b wasabiridge.BackendServerID) {
			report(b, 1, func(r *wasabiridge.LoadReport) { r.Leaving = true })
		}),
		Entry("that is lost", func(b wasabiridge.BackendServerID) {
			placer.Observe(now, wasabiridge.BackendLost{Backend: b})
		}),
		Entry("that is lost, even if an older report arrives late", func(b wasabiridge.BackendServerID) {
			placer.Observe(now, wasabiridge.BackendLost{Backend: b})
			report(b, 1, func(r *wasabiridge.LoadReport) { r.MeasuredAt = now - 1 })
		}),
		Entry("with a long queue", func(b wasabiridge.BackendServerID) {
			report(b, 1, func(r *wasabiridge.LoadReport) { r.Waiting, r.WaitingTokens = 4, 100*blockTokens })
		}),
	)

	It("uses a lost server again once it reports its load", func() {
		holder := place(manual)
		serve(manual, holder, 0)
		placer.Observe(now, wasabiridge.BackendLost{Backend: holder.Backend.ID})
		now += wasabiridge.Second
		reportAll()
		Expect(place(manual).Backend.ID).To(Equal(holder.Backend.ID))
	})

	// Guards against a leaving state that outlives the incarnation: an engine
	// is drained and restarts, and is never used again.
	It("uses a server again after it was drained and restarted", func() {
		all := pool.Backends
		for _, b := range all[1:] {
			placer.Observe(now, wasabiridge.BackendLeaving{Backend: b.ID})
		}
		placer.Observe(now, wasabiridge.BackendLeaving{Backend: all[0].ID})
		_, ok := placer.Place(now, wasabiridge.PlaceQuery{Request: manual, Pool: pool})
		Expect(ok).To(BeFalse())
		now += wasabiridge.Second
		report(all[3].ID, 2, func(*wasabiridge.LoadReport) {})
		Expect(place(manual).Backend.ID).To(Equal(all[3].ID))
	})

	// Guards against requests to a server that has refused one and named a time, when the
	// others are worse or gone.
	It("sends nothing to a server before the time that it has named with a refusal", func() {
		refuse := func(b wasabiridge.BackendServerID, id wasabiridge.AttemptID, after wasabiridge.Millis) {
			placer.Sent(now, manual, id, wasabiridge.Placement{Backend: wasabiridge.BackendServer{ID: b}})
			placer.Observe(now, wasabiridge.AttemptEnded{Attempt: id, Backend: b, Result: wasabiridge.AttemptNotRun, Overloaded: true, RetryAfter: after})
		}
		for i, b := range pool.Backends {
			refuse(b.ID, wasabiridge.AttemptID(10+i), 3000)
		}
		refuse(pool.Backends[0].ID, 30, 500)
		refuse(pool.Backends[1].ID, 31, wasabiridge.Day)
		now += 2999
		_, ok := placer.Place(now, wasabiridge.PlaceQuery{Request: manual, Pool: pool})
		Expect(ok).To(BeFalse())
		now += 2
		Expect(place(manual).Backend.ID).NotTo(Equal(pool.Backends[1].ID))
		now += wasabiridge.Minute
		_, ok = placer.Place(now, wasabiridge.PlaceQuery{Request: manual, Pool: pool, Excluded: append(idsOf(pool.Backends[:1]), idsOf(pool.Backends[2:])...)})
		Expect(ok).To(BeTrue(), "a time of a day counts as a minute")
	})

	// Guards against a stream that is continued by a server whose output does not fit.
	It("continues a stream only at the software that began it", func() {
		pool.Backends = slices.Clone(pool.Backends)
		for i := range pool.Backends {
			pool.Backends[i].Software = [...]wasabiridge.SoftwareVersion{"v1", "v2"}[i%2]
		}
		placer.Observe(now, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Pools: []wasabiridge.Pool{pool}}})
		reportAll()
		for _, v := range [...]wasabiridge.SoftwareVersion{"v1", "v2", "v3"} {
			p, ok := placer.Place(now, wasabiridge.PlaceQuery{Request: manual, Pool: pool, Origin: &wasabiridge.StreamOrigin{Pool: pool.ID, Software: v}})
			Expect(ok).To(Equal(v != "v3"))
			if ok {
				Expect(p.Backend.Software).To(Equal(v))
			}
		}
	})

	It("adds the attempts sent after a delayed report was taken", func() {
		now += 200
		for i := range 9 {
			r := document(wasabiridge.BlockHash(100+i), wasabiridge.BlockHash(200+i))
			p := place(r)
			placer.Sent(now, r, wasabiridge.AttemptID(50+i), p)
		}
		late := now - 100
		for _, b := range pool.Backends {
			report(b.ID, 1, func(r *wasabiridge.LoadReport) { r.MeasuredAt = late })
		}
		Expect(place(document()).ExpectedWait).To(BeNumerically("<", 10))
		var waits []wasabiridge.Millis
		for _, b := range pool.Backends {
			var others []wasabiridge.BackendServerID
			for _, o := range pool.Backends {
				if o.ID != b.ID {
					others = append(others, o.ID)
				}
			}
			waits = append(waits, place(document(), others...).ExpectedWait)
		}
		Expect(waits).To(ContainElement(BeNumerically(">", 100)))
	})

	It("makes the same choices from the same seed", func() {
		run := func() (ids []wasabiridge.BackendServerID) {
			setUp(160, wasabiplace.Options{Seed: 7})
			for i := range 300 {
				r := document(wasabiridge.BlockHash(i%17+1), wasabiridge.BlockHash(i%50+100))
				p := place(r)
				serve(r, p, p.ClaimedTokens)
				ids = append(ids, p.Backend.ID)
			}
			return ids
		}
		Expect(run()).To(Equal(run()))
	})

	It("decides without heap allocations in the steady state", func() {
		w := newBenchFixture(160)
		for i := range 3000 {
			w.step(i, 2000)
		}
		q := wasabiridge.PlaceQuery{Request: wasabiridge.Request{Chain: w.chains[5]}, Pool: w.pool}
		Expect(testing.AllocsPerRun(1000, func() { w.placer.Place(2100, q) })).To(BeZero())
	})
})

func idsOf(servers []wasabiridge.BackendServer) []wasabiridge.BackendServerID {
	var out []wasabiridge.BackendServerID
	for _, b := range servers {
		out = append(out, b.ID)
	}
	return out
}
