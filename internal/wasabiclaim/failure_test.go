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

// settable is a clock that tests can set, also back.
type settable struct{ now atomic.Int64 }

func (s *settable) Now() wasabiridge.Millis { return wasabiridge.Millis(s.now.Load()) }

// scriptNet sets the faults of the next calls between instances. Later calls have
// none.
func (b *booking) scriptNet(faults ...callFault) {
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	b.net.nextFault = func() callFault {
		if len(faults) == 0 {
			return callFault{}
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

func (b *booking) query(request wasabiridge.RequestID) wasabiridge.ClaimQuery {
	return wasabiridge.ClaimQuery{Account: "lifts", Key: b.key, Digest: 7, Request: request}
}

// cancelledNotDone is a cancelled context whose Done channel is never closed. In a
// select any other case that is ready comes before the cancellation.
type cancelledNotDone struct{ context.Context }

// Err implements context.Context.
func (cancelledNotDone) Err() error { return context.Canceled }

var _ = Describe("Claims by ticket", func() {
	var b *booking
	BeforeEach(func() {
		b = newBooking(wasabiclaim.Limits{})
		b.key = b.a.Ticket("lifts")
	})

	// Guards against a granted claim whose request is never sent, because its caller left
	// at the same moment. Claims by row have the same test.
	It("releases a claim whose caller left at the moment of its grant", func() {
		for _, controller := range []*wasabiclaim.Controller{b.a, b.b} {
			Expect(controller.Claim(cancelledNotDone{context.Background()}, b.query("r"))).To(HaveField("NotSent", true))
			b.eventually(b.b, wasabiridge.ClaimGranted)
			b.key = b.a.Ticket("lifts")
		}
	})

	// Guards against a ticket that stays claimed for a request that was never sent. The
	// issuer grants the claim to another instance, and its response is lost. The caller is
	// answered that its request was not sent, so its repeat must be able to run.
	It("releases a grant whose response was lost", func() {
		b.scriptNet(callFault{lostAnswer: true})
		Expect(b.claim(b.b, wasabiridge.ClaimUnknown).NotSent).To(BeTrue())
		b.eventually(b.b, wasabiridge.ClaimGranted)
		b.claim(b.a, wasabiridge.ClaimRunning)
	})

	// Guards against a late release that ends a claim while its request is being sent. An
	// instance does not receive the response to a claim and releases it, and then claims
	// again for the same request. A delayed copy of the release arrives after the second
	// claim was granted.
	It("does not let a late release free a later claim of the same request", func() {
		b.scriptNet(callFault{lostAnswer: true}, callFault{}, callFault{lateCopy: 200 * time.Millisecond})
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

	// Guards against a ticket that stays claimed for an abandoned request: its release
	// overtakes its claim, and the late claim is granted although the request will never
	// be sent.
	It("refuses a claim whose release arrived first", func() {
		q := b.query("r")
		q.Holder, q.Incarnation = "b", 2
		Expect(b.a.HandleFinishClaim(context.Background(), wasabiridge.ClaimResult{Query: q})).To(Succeed())
		Expect(b.a.HandleClaim(context.Background(), q)).To(HaveField("State", wasabiridge.ClaimUnavailable))
		b.claim(b.b, wasabiridge.ClaimGranted)
	})

	It("returns outcome unknown while the issuer cannot be reached", func() {
		b.crash("a")
		Expect(b.claim(b.b, wasabiridge.ClaimUnknown).NotSent).To(BeTrue())
	})

	// Guards against "not run" for a request that ran. A forged ticket, a ticket of
	// another account and a ticket from before a change of the secret cannot be told
	// apart, and in the last case the request may have run.
	It("never returns not run for a ticket that it cannot verify", func() {
		for _, key := range []string{"wrt1.", "wrt1.e30.AAAA", b.key + "A", b.key[:len(b.key)-4] + "AAAA"} {
			q := b.query("r")
			q.Key = key
			Expect(b.b.Claim(context.Background(), q)).To(HaveField("State", wasabiridge.ClaimUnknown), key)
			Expect(b.a.HandleClaim(context.Background(), q)).To(HaveField("State", wasabiridge.ClaimUnknown), key)
		}
		q := b.query("r")
		q.Account = "mixes"
		Expect(b.a.Claim(context.Background(), q)).To(HaveField("State", wasabiridge.ClaimUnknown))
		b.claim(b.b, wasabiridge.ClaimGranted)
	})

	It("returns outcome unknown for tickets of other instances when it has no peers", func() {
		alone := wasabiclaim.New(wasabiclaim.Options{Self: "c", Secret: []byte("secret"), Clock: b.clock})
		b.claim(alone, wasabiridge.ClaimUnknown)
	})

	It("refuses claims as not run when the limit of remembered tickets is reached", func() {
		b.crash("a")
		b.a = b.start("a", wasabiclaim.Limits{MaxTickets: 1})
		b.key = b.a.Ticket("lifts")
		b.claim(b.a, wasabiridge.ClaimGranted)
		b.key = b.a.Ticket("lifts")
		b.claim(b.a, wasabiridge.ClaimUnavailable)
	})

	It("evicts the oldest answer, but remembers that its request ran", func() {
		b.crash("a")
		b.a = b.start("a", wasabiclaim.Limits{MaxCachedAnswers: 1})
		keys := []string{b.a.Ticket("lifts"), b.a.Ticket("lifts")}
		for _, key := range keys {
			b.key = key
			b.claim(b.a, wasabiridge.ClaimGranted)
			b.finish(b.a, wasabiridge.Ran)
		}
		b.claim(b.a, wasabiridge.ClaimAnswered)
		b.key = keys[0]
		b.claim(b.a, wasabiridge.ClaimUnknown)
	})
})

// Guards against a request that runs twice after the clock was set back: its ticket
// expired and its claim was removed, and by the new time the ticket is valid again.
var _ = It("Claims by ticket stay expired when the clock is set back", func() {
	clock := &settable{}
	clock.now.Store(int64(start))
	k := wasabiclaim.New(wasabiclaim.Options{Self: "a", Incarnation: 1, Clock: clock})
	b := &booking{key: k.Ticket("lifts")}
	b.claim(k, wasabiridge.ClaimGranted)
	clock.now.Add(int64(wasabiridge.Hour))
	b.claim(k, wasabiridge.ClaimUnknown)
	clock.now.Store(int64(start))
	b.claim(k, wasabiridge.ClaimUnknown)
})

var _ = Describe("Claims by row", func() {
	var b *booking
	BeforeEach(func() {
		b = newBooking(wasabiclaim.Limits{})
		b.key = "visit 12"
	})

	// Guards against a claim that is refused by its own row. The table commits the claim
	// and the response is lost; the instance must recognise the row as its own.
	It("recognises its own claim after a lost response", func() {
		b.table.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostAnswer})
		b.claim(b.a, wasabiridge.ClaimGranted)
		b.claim(b.b, wasabiridge.ClaimRunning)
		Expect(b.table.Stats().Committed).To(BeEquivalentTo(1))
	})

	// Guards against a row that stays claimed for a refused request. The claim's write gets
	// no response, and the table cannot be read either, so the caller is refused. The write
	// takes effect later, when the request was abandoned long before.
	It("frees a row that a late write claimed for a refused request", func() {
		b.table.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LateEffect, EffectDelay: 100})
		b.table.Faults().SetNextOutcomes(wasabifault.Read, wasabifault.Outcome{Kind: wasabifault.Unavailable})
		b.claim(b.a, wasabiridge.ClaimUnknown)
		b.drain(b.a)
		b.clock.Advance(wasabiridge.Second)
		b.claim(b.b, wasabiridge.ClaimGranted)
	})

	It("refuses claims at once while the table is down, and reports that the request was not sent", func() {
		b.table.Faults().SetPlan(wasabifault.Plan{Unavailable: 1})
		Expect(b.claim(b.a, wasabiridge.ClaimUnknown).NotSent).To(BeTrue())
		b.table.Faults().SetPlan(wasabifault.Plan{})
		b.claim(b.a, wasabiridge.ClaimGranted)
	})

	// Guards against a row that stays claimed after the caller's connection ended while
	// the claim was written. The request will not be sent, so its repeat must be able to
	// run.
	It("releases a claim whose caller left", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(b.a.Claim(ctx, b.query("r"))).To(HaveField("NotSent", true))
		b.eventually(b.b, wasabiridge.ClaimGranted)
	})

	// Guards against a granted claim whose request is never sent, because its caller left
	// at the same moment. When the grant and the end of the caller's context are ready
	// together, a select takes either at random. Here the grant always comes first.
	It("releases a claim whose caller left at the moment of its grant", func() {
		Expect(b.a.Claim(cancelledNotDone{context.Background()}, b.query("r"))).To(HaveField("NotSent", true))
		b.eventually(b.b, wasabiridge.ClaimGranted)
	})

	It("never overwrites a row that it cannot decode", func() {
		b.claim(b.a, wasabiridge.ClaimGranted)
		rows, err := b.table.List(context.Background(), "claim/", "", 2)
		Expect(err).NotTo(HaveOccurred())
		broken := wasabiridge.RowChange{Key: rows[0].Key, IfRevision: rows[0].Revision, Value: []byte("?")}
		tx := wasabiridge.Transaction{ID: "test", Changes: []wasabiridge.RowChange{broken}}
		Expect(b.table.Commit(context.Background(), tx)).To(Succeed())
		b.claim(b.b, wasabiridge.ClaimUnknown)
		Expect(b.table.Get(context.Background(), rows[0].Key)).To(HaveField("Value", []byte("?")))
	})

	// Guards against late repeats that run a second time because their rows were deleted
	// too early: the clock of the sweeping instance is a month ahead, and it sweeps by its
	// own clock.
	It("keeps recent rows when the sweeping instance's clock is ahead", func() {
		b.claim(b.a, wasabiridge.ClaimGranted)
		b.finish(b.a, wasabiridge.Ran)
		ahead := b.startAhead("c", 30*wasabiridge.Day)
		for range 3 {
			Expect(ahead.Sweep(context.Background())).To(BeZero())
		}
		b.claim(b.b, wasabiridge.ClaimAnswered)
	})

	// Guards against late repeats that run a second time because their rows were deleted
	// too early: the clock of the writing instance is a month behind, so by its own time
	// the retention of its rows is over at once.
	It("keeps rows of an instance whose clock is behind", func() {
		behind := b.startAhead("c", -30*wasabiridge.Day)
		b.claim(behind, wasabiridge.ClaimGranted)
		b.finish(behind, wasabiridge.Ran)
		for i, k := range []*wasabiclaim.Controller{b.a, b.b} {
			b.key = "visit " + string(rune('a'+i))
			b.claim(k, wasabiridge.ClaimGranted)
		}
		for range 3 {
			Expect(b.a.Sweep(context.Background())).To(BeZero())
		}
		b.key = "visit 12"
		b.claim(b.b, wasabiridge.ClaimAnswered)
	})

	It("deletes rows after their retention", func() {
		b.claim(b.a, wasabiridge.ClaimGranted)
		b.finish(b.a, wasabiridge.Ran)
		b.clock.Advance(2 * wasabiridge.Day)
		for i, k := range []*wasabiclaim.Controller{b.a, b.b} {
			b.key = "visit " + string(rune('a'+i))
			b.claim(k, wasabiridge.ClaimGranted)
		}
		Expect(b.a.Sweep(context.Background())).To(BeZero(), "the first pass only computes the horizon")
		Expect(b.a.Sweep(context.Background())).To(Equal(1))
	})
})
