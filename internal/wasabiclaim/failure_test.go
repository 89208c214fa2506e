package wasabiclaim_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclaim"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
)

// settable is a clock that a fault may even set back.
type settable struct{ now atomic.Int64 }

func (s *settable) Now() wasabiridge.Millis { return wasabiridge.Millis(s.now.Load()) }

// scriptNet gives the next calls between instances their fates.
func (b *booking) scriptNet(fates ...callFate) {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	b.net.fate = func() callFate {
		if len(fates) == 0 {
			return callFate{}
		}
		f := fates[0]
		fates = fates[1:]
		return f
	}
}

func (b *booking) query(request wasabiridge.RequestID) wasabiridge.ClaimQuery {
	return wasabiridge.ClaimQuery{Account: "lifts", Key: b.key, Digest: 7, Request: request}
}

// leftUnseen is the context of a caller that has left, but whose leaving is never ready
// before anything else is.
type leftUnseen struct{ context.Context }

// Err implements context.Context.
func (leftUnseen) Err() error { return context.Canceled }

var _ = Describe("Claims by ticket", func() {
	var b *booking
	BeforeEach(func() {
		b = newBooking(wasabiclaim.Limits{})
		b.key = b.a.Ticket("lifts")
	})

	// Story: as with keys of callers' own, the caller leaves when its claim is granted.
	It("releases a claim whose caller left at the moment of its grant", func() {
		for _, keeper := range []*wasabiclaim.Keeper{b.a, b.b} {
			Expect(keeper.Claim(leftUnseen{context.Background()}, b.query("r"))).To(HaveField("NotSent", true))
			b.eventually(b.b, wasabiridge.ClaimGranted)
			b.key = b.a.Ticket("lifts")
		}
	})

	// The issuer grants a claim to another router, and the answer is lost.
	// The caller is told that its request was not sent. Its repeat has to
	// run; without the release the ticket would be held by nobody.
	It("releases a grant whose answer was lost", func() {
		b.scriptNet(callFate{lostAnswer: true})
		Expect(b.ask(b.b, wasabiridge.ClaimUnknown).NotSent).To(BeTrue())
		b.eventually(b.b, wasabiridge.ClaimGranted)
		b.ask(b.a, wasabiridge.ClaimRunning)
	})

	// A router loses the answer of a grant, says that it gave up, and then
	// asks again for the same request. Were the second question granted, the
	// late word of the first would release a claim that is being sent.
	It("does not let a late release free a later claim of the same request", func() {
		b.scriptNet(callFate{lostAnswer: true}, callFate{}, callFate{lateCopy: 200 * time.Millisecond})
		Expect(b.b.Claim(context.Background(), b.query("r"))).To(HaveField("State", wasabiridge.ClaimUnknown))
		Eventually(func() (wasabiridge.ClaimState, error) {
			out, err := b.b.Claim(context.Background(), b.query("r"))
			return out.State, err
		}).Should(Equal(wasabiridge.ClaimGranted))
		Consistently(func() wasabiridge.ClaimState {
			out, err := b.a.Claim(context.Background(), b.query("s"))
			Expect(err).NotTo(HaveOccurred())
			return out.State
		}).WithTimeout(400 * time.Millisecond).Should(Equal(wasabiridge.ClaimRunning))
	})

	// The word that a request was given up overtakes its question. The late
	// question must not take the ticket for a request that nobody sends.
	It("takes a release that overtakes its claim", func() {
		q := b.query("r")
		q.Holder, q.Incarnation = "b", 2
		Expect(b.a.HandleFinishClaim(context.Background(), wasabiridge.ClaimResult{Query: q})).To(Succeed())
		Expect(b.a.HandleClaim(context.Background(), q)).To(HaveField("State", wasabiridge.ClaimUnavailable))
		b.ask(b.b, wasabiridge.ClaimGranted)
	})

	It("answers unknown while the issuer cannot be reached", func() {
		b.crash("a")
		Expect(b.ask(b.b, wasabiridge.ClaimUnknown).NotSent).To(BeTrue())
	})

	// A forged ticket, one of another account, and one from before a change
	// of the secret look alike. In the last case the request may have run.
	It("never says not run of a ticket that it cannot verify", func() {
		for _, key := range []string{"wrt1.", "wrt1.e30.AAAA", b.key + "A", b.key[:len(b.key)-4] + "AAAA"} {
			q := b.query("r")
			q.Key = key
			Expect(b.b.Claim(context.Background(), q)).To(HaveField("State", wasabiridge.ClaimUnknown), key)
			Expect(b.a.HandleClaim(context.Background(), q)).To(HaveField("State", wasabiridge.ClaimUnknown), key)
		}
		q := b.query("r")
		q.Account = "mixes"
		Expect(b.a.Claim(context.Background(), q)).To(HaveField("State", wasabiridge.ClaimUnknown))
		b.ask(b.b, wasabiridge.ClaimGranted)
	})

	It("answers unknown for tickets of others when it has no peers", func() {
		alone := wasabiclaim.New(wasabiclaim.Options{Self: "c", Secret: []byte("secret"), Clock: b.clock})
		b.ask(alone, wasabiridge.ClaimUnknown)
	})

	It("refuses as not run when it can remember no more tickets", func() {
		b.crash("a")
		b.a = b.start("a", wasabiclaim.Limits{Tickets: 1})
		b.key = b.a.Ticket("lifts")
		b.ask(b.a, wasabiridge.ClaimGranted)
		b.key = b.a.Ticket("lifts")
		b.ask(b.a, wasabiridge.ClaimUnavailable)
	})

	It("forgets the oldest answer, never the run", func() {
		b.crash("a")
		b.a = b.start("a", wasabiclaim.Limits{KeptAnswers: 1})
		keys := []string{b.a.Ticket("lifts"), b.a.Ticket("lifts")}
		for _, key := range keys {
			b.key = key
			b.ask(b.a, wasabiridge.ClaimGranted)
			b.finish(b.a, wasabiridge.Ran)
		}
		b.ask(b.a, wasabiridge.ClaimAnswered)
		b.key = keys[0]
		b.ask(b.a, wasabiridge.ClaimUnknown)
	})
})

// A ticket expires, its claim is forgotten, and the instance's clock is set
// back. The ticket looks fresh again; granting it would run the booking twice.
var _ = It("Claims by ticket stay expired when the clock is set back", func() {
	clock := &settable{}
	clock.now.Store(int64(start))
	k := wasabiclaim.New(wasabiclaim.Options{Self: "a", Incarnation: 1, Clock: clock})
	b := &booking{key: k.Ticket("lifts")}
	b.ask(k, wasabiridge.ClaimGranted)
	clock.now.Add(int64(wasabiridge.Hour))
	b.ask(k, wasabiridge.ClaimUnknown)
	clock.now.Store(int64(start))
	b.ask(k, wasabiridge.ClaimUnknown)
})

var _ = Describe("Claims by row", func() {
	var b *booking
	BeforeEach(func() {
		b = newBooking(wasabiclaim.Limits{})
		b.key = "visit 12"
	})

	// The table takes the claim and loses its answer. The router recognises
	// its own row and runs the request, once.
	It("recognises its own claim after a lost answer", func() {
		b.table.Faults().Script(wasabifault.Write, wasabifault.Fate{Kind: wasabifault.LostAnswer})
		b.ask(b.a, wasabiridge.ClaimGranted)
		b.ask(b.b, wasabiridge.ClaimRunning)
		Expect(b.table.Stats().Committed).To(BeEquivalentTo(1))
	})

	// The claim's write gets no answer, and the table cannot be read either.
	// The caller is refused. Later the write takes effect, when the request
	// is long given up. The row must not stay claimed by nobody.
	It("frees a row that a late write claimed for a refused request", func() {
		b.table.Faults().Script(wasabifault.Write, wasabifault.Fate{Kind: wasabifault.LateEffect, Late: 100})
		b.table.Faults().Script(wasabifault.Read, wasabifault.Fate{Kind: wasabifault.Unavailable})
		b.ask(b.a, wasabiridge.ClaimUnknown)
		b.drain(b.a)
		b.clock.Advance(wasabiridge.Second)
		b.ask(b.b, wasabiridge.ClaimGranted)
	})

	It("refuses at once while the table is down, and says that the request was not sent", func() {
		b.table.Faults().SetPlan(wasabifault.Plan{Unavailable: 1})
		Expect(b.ask(b.a, wasabiridge.ClaimUnknown).NotSent).To(BeTrue())
		b.table.Faults().SetPlan(wasabifault.Plan{})
		b.ask(b.a, wasabiridge.ClaimGranted)
	})

	// The caller's connection ends while the claim is being written. Nobody
	// will send the request, so its repeat must be able to run.
	It("releases a claim whose caller left", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(b.a.Claim(ctx, b.query("r"))).To(HaveField("NotSent", true))
		b.eventually(b.b, wasabiridge.ClaimGranted)
	})

	// Story: a caller leaves at the very moment at which its claim is granted. Whether it
	// was told "not sent" was left to chance: with the grant and the end of the caller's
	// context ready together, a select takes either. Here the grant always comes first.
	It("releases a claim whose caller left at the moment of its grant", func() {
		Expect(b.a.Claim(leftUnseen{context.Background()}, b.query("r"))).To(HaveField("NotSent", true))
		b.eventually(b.b, wasabiridge.ClaimGranted)
	})

	It("never writes over a row that it cannot read", func() {
		b.ask(b.a, wasabiridge.ClaimGranted)
		rows, err := b.table.List(context.Background(), "claim/", "", 2)
		Expect(err).NotTo(HaveOccurred())
		broken := wasabiridge.RowChange{Key: rows[0].Key, IfRevision: rows[0].Revision, Value: []byte("?")}
		tx := wasabiridge.Transaction{ID: "test", Changes: []wasabiridge.RowChange{broken}}
		Expect(b.table.Commit(context.Background(), tx)).To(Succeed())
		b.ask(b.b, wasabiridge.ClaimUnknown)
		Expect(b.table.Get(context.Background(), rows[0].Key)).To(HaveField("Value", []byte("?")))
	})

	// One instance's clock jumps a month ahead. Were it to sweep by its own
	// clock, it would delete the rows of today, and late repeats would run.
	It("keeps rows of today when the sweeper's clock is ahead", func() {
		b.ask(b.a, wasabiridge.ClaimGranted)
		b.finish(b.a, wasabiridge.Ran)
		ahead := b.startAhead("c", 30*wasabiridge.Day)
		for range 3 {
			Expect(ahead.Sweep(context.Background())).To(BeZero())
		}
		b.ask(b.b, wasabiridge.ClaimAnswered)
	})

	// The clock of one instance is a month behind. By its own time its rows
	// would end at once, and a late repeat would run a second time.
	It("keeps rows of an instance whose clock is behind", func() {
		behind := b.startAhead("c", -30*wasabiridge.Day)
		b.ask(behind, wasabiridge.ClaimGranted)
		b.finish(behind, wasabiridge.Ran)
		for i, k := range []*wasabiclaim.Keeper{b.a, b.b} {
			b.key = "visit " + string(rune('a'+i))
			b.ask(k, wasabiridge.ClaimGranted)
		}
		for range 3 {
			Expect(b.a.Sweep(context.Background())).To(BeZero())
		}
		b.key = "visit 12"
		b.ask(b.b, wasabiridge.ClaimAnswered)
	})

	It("sweeps rows after their retention", func() {
		b.ask(b.a, wasabiridge.ClaimGranted)
		b.finish(b.a, wasabiridge.Ran)
		b.clock.Advance(2 * wasabiridge.Day)
		for i, k := range []*wasabiclaim.Keeper{b.a, b.b} {
			b.key = "visit " + string(rune('a'+i))
			b.ask(k, wasabiridge.ClaimGranted)
		}
		Expect(b.a.Sweep(context.Background())).To(BeZero(), "the first pass only learns")
		Expect(b.a.Sweep(context.Background())).To(Equal(1))
	})
})
