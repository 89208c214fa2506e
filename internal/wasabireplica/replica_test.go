package wasabireplica_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestReplica(t *testing.T) { wasabitest.Run(t, "replica") }

const model wasabiridge.ModelID = "m"

// rig is a placer over engines that all serve version 1.
type rig struct {
	placer  *wasabireplica.Placer
	limiter *wasabireplica.Limiter
	pool    wasabiridge.Pool
	now     wasabiridge.Millis
	next    wasabiridge.AttemptID
}

func newRig(engines int) *rig { return newRigOf("", engines) }

// newRigOf returns a rig that is one of several instances.
func newRigOf(self wasabiridge.InstanceID, engines int) *rig {
	g := &rig{now: 1e6, pool: wasabiridge.Pool{ID: "p", CacheTokens: 200000, TokenBytes: 18432, LinkMegabits: 180000, Models: []wasabiridge.ModelID{model}}}
	for i := range engines {
		id := wasabiridge.BackendServerID(fmt.Sprint("e", i))
		g.pool.Backends = append(g.pool.Backends, wasabiridge.BackendServer{
			ID: id, Kind: wasabiridge.BackendEngine, URL: "http://" + string(id) + ":1", Slots: 8, Zone: "z",
		})
	}
	g.placer = wasabireplica.New(wasabireplica.Options{Seed: 1, Self: self, Zone: "z", RetryRatio: 0.2, RetrySlack: 30})
	g.limiter = wasabireplica.NewLimiter(g.placer)
	g.adopt()
	for _, b := range g.pool.Backends {
		g.tell(wasabiridge.WeightsReported{Backend: b.ID, Model: model, Weights: 1})
	}
	return g
}

func (g *rig) adopt() {
	g.tell(wasabiridge.ConfigAdopted{Config: wasabiridge.Config{
		Version: 1, Pools: []wasabiridge.Pool{g.pool},
		KeptCaches: []wasabiridge.KeptCache{{ID: "kv", Address: "kv:1", Zone: "z", CacheTokens: 2000000, LinkMegabits: 54000}},
	}})
}

func (g *rig) tell(e wasabiridge.Event) { g.placer.Observe(g.now, e) }

// long is a request whose prompt shares a part with others.
func long(part uint64) wasabiridge.Request {
	return wasabiridge.Request{
		ID: "r", Model: model, Action: wasabiridge.Action{Pool: "p", Retry: true, FirstByteTarget: 300},
		Chain: wasabiridge.Chain{
			Root: wasabiridge.CacheRoot{Model: model}, Blocks: []wasabiridge.BlockHash{wasabiridge.BlockHash(part), 99}, Lengths: []int{13000, 1000}, Tokens: 14000,
		},
	}
}

func short() wasabiridge.Request {
	r := long(1)
	r.Chain.Lengths, r.Chain.Tokens = []int{50, 200}, 250
	return r
}

// place chooses a replica and sends there.
func (g *rig) place(r wasabiridge.Request, excluded ...wasabiridge.BackendServerID) (wasabiridge.Placement, wasabiridge.AttemptID) {
	pl, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: r, Pool: g.pool, Excluded: excluded})
	if !ok {
		return wasabiridge.Placement{}, 0
	}
	g.next++
	g.placer.Sent(g.now, r, g.next, pl)
	g.tell(wasabiridge.AttemptSent{Attempt: g.next})
	return pl, g.next
}

func (g *rig) end(id wasabiridge.AttemptID, e wasabiridge.AttemptEnded) {
	e.Attempt = id
	g.tell(e)
}

func (g *rig) answer(id wasabiridge.AttemptID) {
	g.tell(wasabiridge.AttemptFirstToken{Attempt: id})
	g.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCompleted})
}

var _ = Describe("A long prompt", func() {
	It("follows one that is being read, and does not have it read again", func() {
		g := newRig(5)
		first, _ := g.place(long(7))
		Expect(first.Why).To(Equal("computed"))
		second, _ := g.place(long(7))
		Expect(second.Backend.ID).To(Equal(first.Backend.ID))
		Expect(second.Why).To(Equal("being_read"))
	})

	It("is fetched from the store of kept cache that is said to hold it", func() {
		g := newRig(5)
		g.tell(wasabiridge.KeptCacheSeen{Address: "kv:1", Up: true})
		root := wasabiridge.CacheRoot{Model: model, Weights: 1}
		g.tell(wasabiridge.KeptCacheListed{Address: "kv:1", Parts: []wasabiridge.PartNews{
			{Key: wasabiprefix.PartKey(wasabiprefix.ShortSalt(root), 7), Tokens: 13000, Ready: true},
		}})
		pl, _ := g.place(long(7))
		Expect(pl.Why).To(Equal("kept"))
		Expect(pl.FetchFrom).To(Equal("kv:1"))
		Expect(pl.SaveTo).To(BeEmpty())
	})

	It("goes where it is held, or has it fetched when that one is busy", func() {
		g := newRig(5)
		first, id := g.place(long(7))
		g.now += 150
		g.answer(id)
		second, _ := g.place(long(7))
		Expect(second.Backend.ID).To(Equal(first.Backend.ID))
		Expect(second.Why).To(Equal("held"))
		for range 20 {
			g.placer.Sent(g.now, long(8), 1000+g.next, wasabiridge.Placement{Backend: first.Backend, Weights: 1})
			g.next++
		}
		third, _ := g.place(long(7))
		Expect(third.Backend.ID).NotTo(Equal(first.Backend.ID))
		Expect(third.Why).To(Equal("fetched"))
		Expect(third.FetchFrom).To(Equal(string(first.Backend.ID) + ":1"))
	})

	// Story: each of six instances sends the first prompt of a manual to the
	// replica that it takes for idle. All of them choose differently, and the
	// manual is read six times.
	It("is sent where another instance has sent its part", func() {
		g := newRig(5)
		first, _ := g.place(long(7))
		_, parts := g.placer.TakeNews(g.now)
		other := newRig(5)
		other.tell(wasabiridge.PeerPlaced{From: "i2", Parts: parts})
		second, _ := other.place(long(7))
		Expect(second.Backend.ID).To(Equal(first.Backend.ID))
	})

	It("is saved once, and fetched from the store when no replica holds it", func() {
		g := newRig(3)
		g.tell(wasabiridge.KeptCacheSeen{Address: "kv:1", Up: true})
		first, id := g.place(long(7))
		Expect(first.SaveTo).To(Equal("kv:1"))
		g.answer(id)
		second, id := g.place(long(7))
		Expect(second.SaveTo).To(BeEmpty())
		g.answer(id)
		g.pool.Backends = slices.DeleteFunc(slices.Clone(g.pool.Backends), func(b wasabiridge.BackendServer) bool { return b.ID == first.Backend.ID })
		g.adopt()
		g.now += 5000
		third, _ := g.place(long(7))
		Expect(third.Why).To(Equal("kept"))
		Expect(third.FetchFrom).To(Equal("kv:1"))
		By("forgetting what a store held that was away")
		g.tell(wasabiridge.KeptCacheSeen{Address: "kv:1"})
		fourth, _ := g.place(long(8))
		Expect(fourth.FetchFrom).To(BeEmpty())
	})

	// Story: half of what prompts hold is their own. Saved with the shared parts, it fills
	// the store and its link, and shared parts yield before they are asked for again.
	It("is saved by a prompt that is mostly shared, and by no other", func() {
		g := newRig(3)
		g.tell(wasabiridge.KeptCacheSeen{Address: "kv:1", Up: true})
		first, id := g.place(sized(7, 5000, 6000))
		Expect(first.SaveTo).To(BeEmpty())
		g.now += 150
		g.answer(id)
		second, _ := g.place(sized(7, 5000, 4000))
		Expect(second.SaveTo).To(Equal("kv:1"))
	})

	It("shares nothing across roots", func() {
		g := newRig(3)
		_, id := g.place(long(7))
		g.answer(id)
		isolated := long(7)
		isolated.Chain.Root.Account = "walled"
		pl, _ := g.place(isolated)
		Expect(pl.Why).To(Equal("computed"))
	})

	It("is spread when all replicas are idle", func() {
		g := newRig(6)
		used := map[wasabiridge.BackendServerID]int{}
		for i := range 6 {
			pl, _ := g.place(long(uint64(100 + i)))
			used[pl.Backend.ID]++
		}
		Expect(used).To(HaveLen(6))
	})
})

var _ = Describe("Weights", func() {
	It("that are not known yet get nothing", func() {
		g := newRig(1)
		g.pool.Backends = []wasabiridge.BackendServer{{ID: "new", Kind: wasabiridge.BackendEngine, Slots: 8}}
		g.adopt()
		_, id := g.place(long(1))
		Expect(id).To(BeZero())
	})

	// Story: new weights are named every four seconds. A replica that still
	// serves the first ones was counted from the newest naming, and so never
	// was too old.
	It("are too old from the first newer version on, however many follow", func() {
		g := newRig(1)
		named := g.now
		for v := range 4 {
			g.tell(wasabiridge.WeightsNamed{Model: model, Weights: wasabiridge.WeightsVersion(2 + v), At: named + wasabiridge.Millis(v)*3000})
		}
		g.now = named + 9999
		pl, id := g.place(short())
		Expect(pl.Weights).To(BeEquivalentTo(1))
		g.answer(id)
		g.now = named + 10000
		_, id = g.place(short())
		Expect(id).To(BeZero())
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Rejected), "refused at once, not held")
	})

	// Story: an instance starts seventeen seconds after version 2 was named. It
	// reads version 3 from the platform and hears of version 2 from another
	// instance. A replica still serves version 1. Its requests would be answered
	// on weights that were replaced long ago.
	It("are too old from the first newer version on, also when that is heard of last", func() {
		g := newRig(1)
		g.tell(wasabiridge.WeightsNamed{Model: model, Weights: 3, At: g.now - 1000})
		_, id := g.place(short())
		Expect(id).NotTo(BeZero())
		g.tell(wasabiridge.WeightsNamed{Model: model, Weights: 2, At: g.now - 17000})
		_, id = g.place(short())
		Expect(id).To(BeZero())
	})

	It("that a stream began with are those it goes on with", func() {
		g := newRig(3)
		g.tell(wasabiridge.WeightsReported{Backend: "e1", Model: model, Weights: 2})
		pl, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: long(1), Pool: g.pool, Weights: 2})
		Expect(ok).To(BeTrue())
		Expect(pl.Backend.ID).To(BeEquivalentTo("e1"))
	})

	It("that change empty the cache of a replica", func() {
		g := newRig(1)
		_, id := g.place(long(7))
		g.answer(id)
		g.tell(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 2})
		pl, _ := g.place(long(7))
		Expect(pl.Why).To(Equal("computed"))
		Expect(pl.Weights).To(BeEquivalentTo(2))
	})

	// Story: an engine loads weights next. What runs there long must end first, so
	// long work goes to others while there are any.
	It("that are loaded soon keep heavy work away and let light work in", func() {
		g := newRig(2)
		for range 20 {
			_, id := g.place(short())
			g.now += 20
			g.answer(id)
		}
		g.tell(wasabiridge.BackendEasing{Backend: "e0", Until: g.now + 4000})
		pl, _ := g.place(long(100))
		Expect(pl.Backend.ID).To(BeEquivalentTo("e1"))
		pl, _ = g.place(short())
		Expect(pl.Backend.ID).To(BeEquivalentTo("e0"))
		g.tell(wasabiridge.BackendEasing{Backend: "e0", Until: g.now})
		pl, _ = g.place(long(200))
		Expect(pl.Backend.ID).To(BeEquivalentTo("e0"))
	})

	It("that are about to be loaded keep work away, until the rest is over", func() {
		g := newRig(2)
		g.tell(wasabiridge.BackendResting{Backend: "e0", Until: g.now + 4000})
		for range 5 {
			pl, _ := g.place(short())
			Expect(pl.Backend.ID).To(BeEquivalentTo("e1"))
		}
		g.tell(wasabiridge.BackendResting{Backend: "e0", Until: g.now})
		g.now++
		pl, _ := g.place(short())
		Expect(pl.Backend.ID).To(BeEquivalentTo("e0"))
	})
})

var _ = Describe("A replica", func() {
	endings := map[string]struct {
		end   wasabiridge.AttemptEnded
		first bool
		away  bool
	}{
		"that cannot be reached is left alone":            {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Unreachable: true}, away: true},
		"that says nothing is left alone":                 {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, Silent: true}, away: true},
		"that breaks before its answer is left alone":     {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken}, away: true},
		"that breaks in the middle is used on":            {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken}, first: true},
		"that refuses for lack of room is left a moment":  {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Overloaded: true}, away: true},
		"that has other weights is left a moment":         {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, OtherWeights: true}, away: true},
		"whose address another has is gone":               {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Misdirected: true}, away: true},
		"that answers with a failure of its own is there": {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, Failed: true}},
		"whose attempt was given up is used on":           {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCancelled}},
	}
	for _, name := range slices.Sorted(maps.Keys(endings)) {
		c := endings[name]
		It(name, func() {
			g := newRig(1)
			_, id := g.place(short())
			if c.first {
				g.tell(wasabiridge.AttemptFirstToken{Attempt: id})
			}
			g.end(id, c.end)
			g.now += 100
			_, id = g.place(short())
			Expect(id == 0).To(Equal(c.away))
		})
	}

	// Story: a replica goes dark with requests in it. Its kept connections do not
	// break for seconds, and all that is sent there meanwhile is lost.
	It("that says nothing at all is left alone before its requests are over", func() {
		g := newRig(1)
		_, first := g.place(short())
		g.now += 500
		g.tell(wasabiridge.Ticked{})
		_, id := g.place(short())
		Expect(id).NotTo(BeZero())
		g.now += 300
		g.tell(wasabiridge.Ticked{})
		_, id = g.place(short())
		Expect(id).To(BeZero())
		g.answer(first)
		_, id = g.place(short())
		Expect(id).NotTo(BeZero())
	})

	It("that is slow with one request and answers others is used on", func() {
		g := newRig(1)
		g.place(short())
		g.now += 500
		_, second := g.place(short())
		g.answer(second)
		g.now += 300
		g.tell(wasabiridge.Ticked{})
		_, id := g.place(short())
		Expect(id).NotTo(BeZero())
	})

	// Story: a quarter of the replicas go dark. Each that is tried again takes
	// one request, not all that wait.
	It("that was left alone is tried by one request, and used when that is answered", func() {
		g := newRig(1)
		_, id := g.place(short())
		g.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Unreachable: true})
		g.now += 300
		_, trial := g.place(short())
		Expect(trial).NotTo(BeZero())
		_, id = g.place(short())
		Expect(id).To(BeZero())
		g.answer(trial)
		_, id = g.place(short())
		Expect(id).NotTo(BeZero())
	})

	// Story: in an overload first bytes take a second. Requests that were taken
	// for stuck went to other replicas, which made all queues longer, and they
	// stayed long after the overload was over.
	It("with a long queue has longer to send its first byte", func() {
		g := newRig(2)
		pl, _ := g.place(long(0), "e1")
		idle := pl.FirstByte
		for i := range 12 {
			g.place(long(uint64(i+1)), "e1")
		}
		pl, _ = g.place(long(50), "e1")
		Expect(pl.ExpectedWait).To(BeNumerically(">", 1000))
		Expect(pl.FirstByte).To(BeNumerically(">=", idle+pl.ExpectedWait))
	})

	It("that answers slowly gets less than the others", func() {
		g := newRig(4)
		for range 200 {
			pl, id := g.place(short())
			if pl.Backend.ID == "e0" {
				g.now += 600
			} else {
				g.now += 60
			}
			g.answer(id)
			g.tell(wasabiridge.Ticked{})
		}
		count := 0
		for range 40 {
			pl, id := g.place(short())
			if pl.Backend.ID == "e0" {
				count++
			}
			g.now += 60
			g.answer(id)
		}
		Expect(count).To(BeNumerically("<", 5))
	})

	It("makes room in its queue for what is given up", func() {
		g := newRig(1)
		g.place(long(1))
		_, id := g.place(long(2))
		before, _ := g.place(long(3))
		g.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCancelled})
		after, _ := g.place(long(3))
		Expect(after.ExpectedWait).To(BeNumerically("<", before.ExpectedWait+50))
	})
})

var _ = Describe("Further attempts", func() {
	It("stay within the budget of every window, with a part of the slack for each instance", func() {
		g := newRig(2)
		g.tell(wasabiridge.InstancesCounted{Count: 4})
		type sent struct {
			at    wasabiridge.Millis
			retry bool
		}
		var all []sent
		for range 3000 {
			g.now += 20
			if g.limiter.Offer(g.now, short()).Verdict == wasabiridge.Admitted {
				all = append(all, sent{g.now, false})
			}
			if g.limiter.MayRetry(g.now, short()) {
				all = append(all, sent{g.now, true})
			}
		}
		for i, from := range all {
			requests, retries := 0, 0
			for _, s := range all[i:] {
				if s.at >= from.at+10000 {
					break
				}
				if s.retry {
					retries++
				} else {
					requests++
				}
			}
			Expect(float64(retries)).To(BeNumerically("<=", 0.2*float64(requests)+30.0/4+1), "from %d", from.at)
		}
	})
})

// Each pattern of load is a story of who asks how much of a pool that serves so
// much, and what must come of it.
var _ = Describe("Under load", func() {
	It("urgent requests are admitted when others are refused, and those at once", func() {
		g := newRig(1)
		least, most := short(), short()
		most.Action.Priority = 9
		for g.limiter.Offer(g.now, least).Verdict == wasabiridge.Admitted {
			g.place(least)
		}
		Expect(g.limiter.Offer(g.now, most).Verdict).To(Equal(wasabiridge.Admitted))
		a := g.limiter.Offer(g.now, least)
		Expect(a.Verdict).To(Equal(wasabiridge.Rejected))
		Expect(a.RetryAfter).To(BeNumerically(">", 0))
	})

	// Story: a caller names a model with a request to a plain service. The
	// service has no weights, so none of its servers counted as knowing them,
	// and all such requests were refused.
	It("a plain service serves requests that name a model", func() {
		g := newRig(1)
		g.pool.Models, g.pool.Backends = nil, []wasabiridge.BackendServer{{ID: "s", Kind: wasabiridge.BackendService, URL: "http://s:1", Slots: 2}}
		g.adopt()
		Expect(g.limiter.Offer(g.now, long(1)).Verdict).To(Equal(wasabiridge.Admitted))
		pl, id := g.place(long(1))
		Expect(id).NotTo(BeZero())
		Expect(pl.Weights).To(BeZero())
	})

	// Story: some replicas are dark and others load. Long prompts pile up at the
	// rest, short ones come late behind them, and so it stays.
	It("long prompts are refused at once that would wait too long, and short ones are not", func() {
		g := newRig(1)
		admitted := 0
		var sent []wasabiridge.AttemptID
		for i := range 20 {
			if g.limiter.Offer(g.now, long(uint64(i))).Verdict != wasabiridge.Admitted {
				break
			}
			admitted++
			_, id := g.place(long(uint64(i)))
			sent = append(sent, id)
		}
		Expect(admitted).To(BeNumerically("~", 3, 1))
		a := g.limiter.Offer(g.now, long(99))
		Expect(a.Verdict).To(Equal(wasabiridge.Rejected))
		Expect(a.RetryAfter).To(BeNumerically(">", 0))
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
		for _, id := range sent {
			g.now += 200
			g.answer(id)
		}
		Expect(g.limiter.Offer(g.now, long(99)).Verdict).To(Equal(wasabiridge.Admitted))
	})

	// Story: a quarter of the engines goes dark. The others fill up to the last
	// slot, cached parts yield to what runs, and every answer is late for as long
	// as the engines are dark, those to short prompts as well.
	It("long prompts come back later while short ones take the last slots", func() {
		g := newRig(1)
		for range 6 {
			Expect(g.limiter.Offer(g.now, long(1)).Verdict).To(Equal(wasabiridge.Admitted))
			g.place(short())
		}
		a := g.limiter.Offer(g.now, long(1))
		Expect(a.Verdict).To(Equal(wasabiridge.Rejected))
		Expect(a.RetryAfter).To(BeNumerically(">", 0))
		for range 2 {
			Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
			g.place(short())
		}
	})

	It("nothing is refused while a replica has a free place", func() {
		g := newRig(4)
		for range 31 {
			Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Admitted))
			g.place(short())
		}
	})

	It("the same events give the same decisions", func() {
		run := func() []wasabiridge.BackendServerID {
			g := newRig(5)
			var out []wasabiridge.BackendServerID
			for i := range 300 {
				pl, id := g.place(long(uint64(i % 7)))
				out = append(out, pl.Backend.ID)
				g.now += wasabiridge.Millis(i % 40)
				g.answer(id)
			}
			return out
		}
		Expect(run()).To(Equal(run()))
	})
})

func BenchmarkPlace(b *testing.B) {
	g := newRig(44)
	for i := range 2000 {
		_, id := g.place(long(uint64(i % 116)))
		g.now += 5
		g.answer(id)
	}
	b.ResetTimer()
	for i := range b.N {
		g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: long(uint64(i % 116)), Pool: g.pool})
	}
}
