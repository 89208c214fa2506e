package wasabiclaim_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclaim"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestClaim(t *testing.T) { wasabitest.Run(t, "claim") }

// booking drives one non-idempotent request and its repeats.
type booking struct {
	*cluster
	a, b *wasabiclaim.Keeper
	key  string
	asks int
	last wasabiridge.ClaimQuery
}

// ask claims as a new request and expects the state.
func (b *booking) ask(k *wasabiclaim.Keeper, want wasabiridge.ClaimState) wasabiridge.ClaimOutcome {
	GinkgoHelper()
	return b.askDigest(k, 7, want)
}

func (b *booking) askDigest(k *wasabiclaim.Keeper, digest uint64, want wasabiridge.ClaimState) wasabiridge.ClaimOutcome {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	b.asks++
	q := wasabiridge.ClaimQuery{
		Account: "lifts", Key: b.key, Digest: digest,
		Request: wasabiridge.RequestID("r" + strconv.Itoa(b.asks)),
	}
	out, err := k.Claim(ctx, q)
	Expect(err).NotTo(HaveOccurred())
	Expect(out.State).To(Equal(want))
	if want == wasabiridge.ClaimGranted {
		b.last = q
	}
	return out
}

// eventually asks until the state comes.
func (b *booking) eventually(k *wasabiclaim.Keeper, want wasabiridge.ClaimState) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		b.asks++
		q := wasabiridge.ClaimQuery{
			Account: "lifts", Key: b.key, Digest: 7, Request: wasabiridge.RequestID("r" + strconv.Itoa(b.asks)),
		}
		out, err := k.Claim(context.Background(), q)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.State).To(Equal(want))
		b.last = q
	}).WithTimeout(10 * time.Second).Should(Succeed())
}

func (b *booking) finish(k *wasabiclaim.Keeper, d wasabiridge.Disposition) {
	GinkgoHelper()
	answer := wasabiridge.Answer{Status: 201, Body: []byte("van 4")}
	Expect(k.Finish(context.Background(), wasabiridge.ClaimResult{Query: b.last, Disposition: d, Answer: answer})).To(Succeed())
	b.drain(k)
}

func (b *booking) drain(k *wasabiclaim.Keeper) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Expect(k.Drain(ctx)).To(Succeed())
}

// both are courses that end alike for tickets of instance a and for rows.
var both = map[string]func(b *booking){
	"a repeat while the first still runs": func(b *booking) {
		b.ask(b.a, wasabiridge.ClaimGranted)
		b.ask(b.a, wasabiridge.ClaimRunning)
		b.ask(b.b, wasabiridge.ClaimRunning)
	},
	"a repeat after the answer gets the first answer": func(b *booking) {
		b.ask(b.b, wasabiridge.ClaimGranted)
		b.finish(b.b, wasabiridge.Ran)
		for _, k := range []*wasabiclaim.Keeper{b.a, b.b} {
			Expect(b.ask(k, wasabiridge.ClaimAnswered).Answer.Body).To(Equal([]byte("van 4")))
		}
	},
	"a repeat after a broken connection": func(b *booking) {
		b.ask(b.a, wasabiridge.ClaimGranted)
		b.finish(b.a, wasabiridge.MaybeRun)
		b.ask(b.a, wasabiridge.ClaimUnknown)
		b.ask(b.b, wasabiridge.ClaimUnknown)
	},
	"a repeat after a request that did not run is granted, once": func(b *booking) {
		b.ask(b.b, wasabiridge.ClaimGranted)
		b.finish(b.b, wasabiridge.NotRun)
		b.eventually(b.a, wasabiridge.ClaimGranted)
		b.ask(b.b, wasabiridge.ClaimRunning)
	},
	"the key with another body": func(b *booking) {
		b.ask(b.a, wasabiridge.ClaimGranted)
		b.askDigest(b.b, 8, wasabiridge.ClaimMismatch)
		b.finish(b.a, wasabiridge.Ran)
		b.askDigest(b.a, 8, wasabiridge.ClaimMismatch)
	},
	// A router gives a booking up as "not run" while another of its
	// goroutines is about to send it. The dispatcher repeats the booking,
	// and two vans go to one house.
	"giving up raced by a late send": func(b *booking) {
		b.ask(b.a, wasabiridge.ClaimGranted)
		Expect(b.a.BeginSend(b.last.Request)).To(Succeed())
		b.finish(b.a, wasabiridge.NotRun)
		b.ask(b.b, wasabiridge.ClaimUnknown)
		Expect(errorx.IsOfType(b.a.BeginSend(b.last.Request), wasabiridge.ErrConflict)).To(BeTrue())
		again := wasabiridge.ClaimResult{Query: b.last, Disposition: wasabiridge.NotRun}
		Expect(errorx.IsOfType(b.a.Finish(context.Background(), again), wasabiridge.ErrConflict)).To(BeTrue())
	},
	"a backend server that says it did not run": func(b *booking) {
		b.ask(b.a, wasabiridge.ClaimGranted)
		Expect(b.a.BeginSend(b.last.Request)).To(Succeed())
		b.a.SendNotRun(b.last.Request)
		b.finish(b.a, wasabiridge.NotRun)
		b.eventually(b.b, wasabiridge.ClaimGranted)
	},
	// A router is paused for an hour between its claim and its send. The
	// caller repeats meanwhile. Nobody may take the claim over, because the
	// paused router wakes up and sends.
	"a holder that is paused between claim and send": func(b *booking) {
		b.ask(b.a, wasabiridge.ClaimGranted)
		b.clock.Advance(14 * wasabiridge.Minute)
		b.ask(b.b, wasabiridge.ClaimUnknown)
		Expect(b.a.BeginSend(b.last.Request)).To(Succeed())
		b.finish(b.a, wasabiridge.Ran)
		b.ask(b.b, wasabiridge.ClaimAnswered)
	},
	// The instance that runs a booking dies and comes back. Whoever repeats
	// the booking elsewhere should not wait for a request that is gone.
	"a holder that restarts": func(b *booking) {
		b.ask(b.b, wasabiridge.ClaimGranted)
		b.crash("b")
		b.b = b.start("b", wasabiclaim.Limits{})
		Eventually(func() wasabiridge.ClaimState {
			out, err := b.a.Claim(context.Background(), b.query("again"))
			Expect(err).NotTo(HaveOccurred())
			return out.State
		}).WithTimeout(5 * time.Second).Should(Equal(wasabiridge.ClaimUnknown))
	},
	// An instance dies with a claim and comes back under its own name. It
	// remembers nothing, and the request of its former life may have run.
	"an instance that restarts under the same name": func(b *booking) {
		b.ask(b.a, wasabiridge.ClaimGranted)
		b.crash("a")
		b.a = b.start("a", wasabiclaim.Limits{})
		b.ask(b.a, wasabiridge.ClaimUnknown)
	},
}

var _ = Describe("Claims", func() {
	for _, name := range wasabitest.Names(both) {
		It("by ticket: "+name, func() {
			b := newBooking(wasabiclaim.Limits{})
			b.key = b.a.Ticket("lifts")
			b.table.Faults().SetPlan(wasabifault.Plan{Unavailable: 1})
			both[name](b)
			Expect(b.table.Stats().Writes).To(BeZero())
		})
		It("by row: "+name, func() {
			b := newBooking(wasabiclaim.Limits{})
			b.key = "visit 12"
			both[name](b)
		})
	}
})

func newBooking(limits wasabiclaim.Limits) *booking {
	c := newCluster()
	return &booking{cluster: c, a: c.start("a", limits), b: c.start("b", limits)}
}
