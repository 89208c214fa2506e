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

// rig is a Placer with a pool of engines that all serve version 1 of the weights.
type rig struct {
	placer  *wasabireplica.Placer
	limiter *wasabireplica.Limiter
	pool    wasabiridge.Pool
	now     wasabiridge.Millis
	next    wasabiridge.AttemptID
}

func newRig(engines int) *rig { return newRigOf("", engines) }

// newRigOf returns a rig for an instance with the given ID.
func newRigOf(self wasabiridge.InstanceID, engines int) *rig {
	g := &rig{now: 1e6, pool: wasabiridge.Pool{ID: "p", CacheTokens: 200000, TokenBytes: 18432, LinkMegabits: 180000, Models: []wasabiridge.ModelID{model}}}
	for i := range engines {
		id := wasabiridge.BackendServerID(fmt.Sprint("e", i))
		g.pool.Backends = append(g.pool.Backends, wasabiridge.BackendServer{
			ID: id, Kind: wasabiridge.BackendEngine, URL: "http://" + string(id) + ":1", Slots: 8, Zone: "z",
		})
	}
	g.placer = wasabireplica.New(wasabireplica.Options{Seed: 1, Self: self, Zone: "z", RetryRatio: 0.2, RetrySlack: 30, UnevenServers: true})
	g.limiter = wasabireplica.NewLimiter(g.placer)
	g.adopt()
	for _, b := range g.pool.Backends {
		g.observe(wasabiridge.WeightsReported{Backend: b.ID, Model: model, Weights: 1})
	}
	return g
}

func (g *rig) adopt() {
	g.observe(wasabiridge.ConfigAdopted{Config: wasabiridge.Config{
		Version: 1, Pools: []wasabiridge.Pool{g.pool},
		CacheStores: []wasabiridge.CacheStore{{ID: "kv", Address: "kv:1", Zone: "z", CacheTokens: 2000000, LinkMegabits: 54000}},
	}})
}

func (g *rig) observe(e wasabiridge.Event) { g.placer.Observe(g.now, e) }

// long returns a request with a long prompt that shares a segment with others.
func long(segment uint64) wasabiridge.Request {
	return wasabiridge.Request{
		ID: "r", Model: model, Action: wasabiridge.Action{Pool: "p", Retry: true, FirstByteTarget: 300},
		Chain: wasabiridge.Chain{
			Root: wasabiridge.CacheRoot{Model: model}, Blocks: []wasabiridge.BlockHash{wasabiridge.BlockHash(segment), 99}, Lengths: []int{13000, 1000}, Tokens: 14000,
		},
	}
}

func short() wasabiridge.Request {
	r := long(1)
	r.Chain.Lengths, r.Chain.Tokens = []int{50, 200}, 250
	return r
}

// place chooses a replica and sends the request there.
func (g *rig) place(r wasabiridge.Request, excluded ...wasabiridge.BackendServerID) (wasabiridge.Placement, wasabiridge.AttemptID) {
	pl, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: r, Pool: g.pool, Excluded: excluded})
	if !ok {
		return wasabiridge.Placement{}, 0
	}
	g.next++
	g.placer.Sent(g.now, r, g.next, pl)
	g.observe(wasabiridge.AttemptSent{Attempt: g.next})
	return pl, g.next
}

func (g *rig) end(id wasabiridge.AttemptID, e wasabiridge.AttemptEnded) {
	e.Attempt = id
	g.observe(e)
}

func (g *rig) answer(id wasabiridge.AttemptID) {
	g.observe(wasabiridge.AttemptFirstToken{Attempt: id})
	g.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCompleted})
}

var _ = Describe("A long prompt", func() {
	It("is sent to the replica that is computing its segment, and not computed twice", func() {
		g := newRig(5)
		first, _ := g.place(long(7))
		Expect(first.Why).To(Equal("computed"))
		second, _ := g.place(long(7))
		Expect(second.Backend.ID).To(Equal(first.Backend.ID))
		Expect(second.Why).To(Equal("being_read"))
	})

	It("is fetched from the KV cache store that lists it", func() {
		g := newRig(5)
		g.observe(wasabiridge.CacheStoreChecked{Address: "kv:1", Up: true})
		root := wasabiridge.CacheRoot{Model: model, Weights: 1}
		g.observe(wasabiridge.CacheStoreListed{Address: "kv:1", Segments: []wasabiridge.SegmentUpdate{
			{Key: wasabiprefix.SegmentKey(wasabiprefix.ShortSalt(root), 7), Tokens: 13000, Ready: true},
		}})
		pl, _ := g.place(long(7))
		Expect(pl.Why).To(Equal("kept"))
		Expect(pl.ImportFrom).To(Equal("kv:1"))
		Expect(pl.ExportTo).To(BeEmpty())
	})

	It("is sent to the replica that holds it, or fetched from there when that one is busy", func() {
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
		Expect(third.ImportFrom).To(Equal(string(first.Backend.ID) + ":1"))
	})

	// Guards against six instances that each send the first prompt of the same manual
	// to a different idle replica, where it is computed six times.
	It("is sent where another instance has sent its segment", func() {
		g := newRig(5)
		first, _ := g.place(long(7))
		_, segments := g.placer.TakeUpdates(g.now)
		other := newRig(5)
		other.observe(wasabiridge.PeerPlaced{From: "i2", Segments: segments})
		second, _ := other.place(long(7))
		Expect(second.Backend.ID).To(Equal(first.Backend.ID))
	})

	It("is saved once, and fetched from the store when no replica holds it", func() {
		g := newRig(3)
		g.observe(wasabiridge.CacheStoreChecked{Address: "kv:1", Up: true})
		first, id := g.place(long(7))
		Expect(first.ExportTo).To(Equal("kv:1"))
		g.answer(id)
		second, id := g.place(long(7))
		Expect(second.ExportTo).To(BeEmpty())
		g.answer(id)
		g.pool.Backends = slices.DeleteFunc(slices.Clone(g.pool.Backends), func(b wasabiridge.BackendServer) bool { return b.ID == first.Backend.ID })
		g.adopt()
		g.now += 5000
		third, _ := g.place(long(7))
		Expect(third.Why).To(Equal("kept"))
		Expect(third.ImportFrom).To(Equal("kv:1"))
		By("assuming that a store that was unreachable is empty")
		g.observe(wasabiridge.CacheStoreChecked{Address: "kv:1"})
		fourth, _ := g.place(long(8))
		Expect(fourth.ImportFrom).To(BeEmpty())
	})

	// Guards against unshared tokens that fill a store and its link. When half of the
	// prompts' tokens were unshared and saved as well, shared segments were evicted
	// before they were requested again.
	It("is saved only if it is mostly shared", func() {
		g := newRig(3)
		g.observe(wasabiridge.CacheStoreChecked{Address: "kv:1", Up: true})
		first, id := g.place(sized(7, 5000, 6000))
		Expect(first.ExportTo).To(BeEmpty())
		g.now += 150
		g.answer(id)
		second, _ := g.place(sized(7, 5000, 4000))
		Expect(second.ExportTo).To(Equal("kv:1"))
	})

	It("shares no segments across cache roots", func() {
		g := newRig(3)
		_, id := g.place(long(7))
		g.answer(id)
		isolated := long(7)
		isolated.Chain.Root.Account = "walled"
		pl, _ := g.place(isolated)
		Expect(pl.Why).To(Equal("computed"))
	})

	It("is spread over the replicas when all are idle", func() {
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
	It("that are not known yet receive no requests", func() {
		g := newRig(1)
		g.pool.Backends = []wasabiridge.BackendServer{{ID: "new", Kind: wasabiridge.BackendEngine, Slots: 8}}
		g.adopt()
		_, id := g.place(long(1))
		Expect(id).To(BeZero())
	})

	// New weights are announced every few seconds. A replica that still serves the
	// first version was judged by the newest announcement and so never became too old.
	It("are too old from the first newer version on, however many follow", func() {
		g := newRig(1)
		announced := g.now
		for v := range 4 {
			g.observe(wasabiridge.TargetWeightsSet{Model: model, Weights: wasabiridge.WeightsVersion(2 + v), At: announced + wasabiridge.Millis(v)*3000})
		}
		g.now = announced + 9999
		pl, id := g.place(short())
		Expect(pl.Weights).To(BeEquivalentTo(1))
		g.answer(id)
		g.now = announced + 10000
		_, id = g.place(short())
		Expect(id).To(BeZero())
		Expect(g.limiter.Offer(g.now, short()).Verdict).To(Equal(wasabiridge.Rejected), "refused at once, not queued")
	})

	// An instance starts seventeen seconds after version 2 was announced. It polls
	// version 3 from the platform and receives version 2 from another instance
	// afterwards. A replica that still serves version 1 must not count as superseded
	// only since version 3.
	It("are too old from the first newer version on, also when that is received last", func() {
		g := newRig(1)
		g.observe(wasabiridge.TargetWeightsSet{Model: model, Weights: 3, At: g.now - 1000})
		_, id := g.place(short())
		Expect(id).NotTo(BeZero())
		g.observe(wasabiridge.TargetWeightsSet{Model: model, Weights: 2, At: g.now - 17000})
		_, id = g.place(short())
		Expect(id).To(BeZero())
	})

	It("that a stream started with are those it continues with", func() {
		g := newRig(3)
		g.observe(wasabiridge.WeightsReported{Backend: "e1", Model: model, Weights: 2})
		pl, ok := g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: long(1), Pool: g.pool, Weights: 2})
		Expect(ok).To(BeTrue())
		Expect(pl.Backend.ID).To(BeEquivalentTo("e1"))
	})

	It("that change clear the cache of a replica", func() {
		g := newRig(1)
		_, id := g.place(long(7))
		g.answer(id)
		g.observe(wasabiridge.WeightsReported{Backend: "e0", Model: model, Weights: 2})
		pl, _ := g.place(long(7))
		Expect(pl.Why).To(Equal("computed"))
		Expect(pl.Weights).To(BeEquivalentTo(2))
	})

	// An engine is about to load weights. Long-running work must end first, so heavy
	// work is sent to other engines while there are any.
	It("that are about to be loaded keep heavy work away and admit light work while the replica drains", func() {
		g := newRig(2)
		for range 20 {
			_, id := g.place(short())
			g.now += 20
			g.answer(id)
		}
		g.observe(wasabiridge.BackendDraining{Backend: "e0", Until: g.now + 4000})
		pl, _ := g.place(long(100))
		Expect(pl.Backend.ID).To(BeEquivalentTo("e1"))
		pl, _ = g.place(short())
		Expect(pl.Backend.ID).To(BeEquivalentTo("e0"))
		g.observe(wasabiridge.BackendDraining{Backend: "e0", Until: g.now})
		pl, _ = g.place(long(200))
		Expect(pl.Backend.ID).To(BeEquivalentTo("e0"))
	})

	It("that are about to be loaded keep all work away while the replica is in backoff", func() {
		g := newRig(2)
		g.observe(wasabiridge.BackendInBackoff{Backend: "e0", Until: g.now + 4000})
		for range 5 {
			pl, _ := g.place(short())
			Expect(pl.Backend.ID).To(BeEquivalentTo("e1"))
		}
		g.observe(wasabiridge.BackendInBackoff{Backend: "e0", Until: g.now})
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
		"that cannot be reached is put into backoff":                {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Unreachable: true}, away: true},
		"that sends nothing is put into backoff":                    {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, FirstByteTimeout: true}, away: true},
		"that breaks before the first byte is put into backoff":     {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken}, away: true},
		"that breaks after the first byte stays in use":             {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken}, first: true},
		"that refuses for lack of room is put into a short backoff": {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Overloaded: true}, away: true},
		"that has other weights is put into a short backoff":        {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, OtherWeights: true}, away: true},
		"whose address belongs to another one is removed":           {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Misdirected: true}, away: true},
		"that answers with a failure of its own stays in use":       {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, Failed: true}},
		"that was asked to move the request stays in use":           {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken, Stopped: true}},
		"whose attempt was cancelled stays in use":                  {end: wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCancelled}},
	}
	// Guards against a listed replica that gets no requests until the list changes, because one
	// refusal, which may be malformed, stated that its address belongs to another one.
	It("whose address belonged to another one is tried again with one request", func() {
		other := wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Misdirected: true}
		g := newRig(1)
		_, id := g.place(short())
		_, second := g.place(short())
		g.end(id, other)
		g.end(second, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCancelled})
		for range 2 {
			g.run(4900)
			_, id = g.place(short())
			Expect(id).To(BeZero())
			g.run(200)
			_, id = g.place(short())
			Expect(id).NotTo(BeZero())
			_, next := g.place(short())
			Expect(next).To(BeZero(), "the first one has no answer yet")
			g.end(id, other)
		}
		g.run(5100)
		_, id = g.place(short())
		g.answer(id)
		_, id = g.place(short())
		Expect(id).NotTo(BeZero())
		_, id = g.place(short())
		Expect(id).NotTo(BeZero())
	})

	for _, name := range slices.Sorted(maps.Keys(endings)) {
		c := endings[name]
		It(name, func() {
			g := newRig(1)
			_, id := g.place(short())
			if c.first {
				g.observe(wasabiridge.AttemptFirstToken{Attempt: id})
			}
			g.end(id, c.end)
			g.now += 100
			_, id = g.place(short())
			Expect(id == 0).To(Equal(c.away))
		})
	}

	// Guards against a replica that becomes unreachable with requests in flight. Its
	// connections do not break for seconds, and everything that is sent there until
	// then is lost.
	It("that sends nothing at all is put into backoff before its requests end", func() {
		g := newRig(1)
		_, first := g.place(short())
		g.now += 500
		g.observe(wasabiridge.Ticked{})
		_, id := g.place(short())
		Expect(id).NotTo(BeZero())
		g.now += 300
		g.observe(wasabiridge.Ticked{})
		_, id = g.place(short())
		Expect(id).To(BeZero())
		g.answer(first)
		_, id = g.place(short())
		Expect(id).NotTo(BeZero())
	})

	It("that is slow with one request and answers others stays in use", func() {
		g := newRig(1)
		g.place(short())
		g.now += 500
		_, second := g.place(short())
		g.answer(second)
		g.now += 300
		g.observe(wasabiridge.Ticked{})
		_, id := g.place(short())
		Expect(id).NotTo(BeZero())
	})

	// When a quarter of the replicas is unreachable, each replica that is probed must
	// receive one request, not all that wait.
	It("is probed by one request after backoff, and used when that is answered", func() {
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

	// In an overload first bytes take a second. Requests that counted as stuck were
	// sent to other replicas as well, which lengthened all queues and kept them long
	// after the overload.
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

	It("that answers slowly receives fewer requests than the others", func() {
		g := newRig(4)
		for range 200 {
			pl, id := g.place(short())
			if pl.Backend.ID == "e0" {
				g.now += 600
			} else {
				g.now += 60
			}
			g.answer(id)
			g.observe(wasabiridge.Ticked{})
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

	It("has a shorter queue after a request is cancelled", func() {
		g := newRig(1)
		g.place(long(1))
		_, id := g.place(long(2))
		before, _ := g.place(long(3))
		g.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCancelled})
		after, _ := g.place(long(3))
		Expect(after.ExpectedWait).To(BeNumerically("<", before.ExpectedWait+50))
	})
})

var _ = Describe("Retries of one instance", func() {
	It("stay within the budget of every window, with a share of the slack for each instance", func() {
		g := newRig(2)
		g.observe(wasabiridge.InstancesCounted{Count: 4})
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

// Each spec applies a pattern of load to a pool of a given capacity.
var _ = Describe("Under load", func() {
	It("urgent requests are admitted while others are refused at once", func() {
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

	// A caller may name a model in a request to a plain service. The service has no
	// weights, so no server counted as serving the model, and all such requests were
	// refused.
	It("a plain service accepts requests that name a model", func() {
		g := newRig(1)
		g.pool.Models, g.pool.Backends = nil, []wasabiridge.BackendServer{{ID: "s", Kind: wasabiridge.BackendService, URL: "http://s:1", Slots: 2}}
		g.adopt()
		Expect(g.limiter.Offer(g.now, long(1)).Verdict).To(Equal(wasabiridge.Admitted))
		pl, id := g.place(long(1))
		Expect(id).NotTo(BeZero())
		Expect(pl.Weights).To(BeZero())
	})

	// While some replicas are unreachable and others load weights, long prompts pile up
	// at the remaining ones and delay the short ones behind them for good.
	It("long prompts that would wait too long are refused at once, and short ones are not", func() {
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

	// When a quarter of the engines is unreachable, the others fill up to the last
	// slot, and running requests evict cached segments. Every answer is then late until
	// the engines return, including those to short prompts.
	It("long prompts are refused while short ones take the last slots", func() {
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

	It("no request is refused while a replica has a free slot", func() {
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
