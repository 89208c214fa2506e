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

// booking sends one non-idempotent request and its repeats to the instances a and b
// of a cluster.
type booking struct {
	*cluster
	a, b *wasabiclaim.Controller
	key  string
	// claims is the number of requests so far, and last the query that was granted
	// last.
	claims int
	last   wasabiridge.ClaimQuery
}

// claim claims the key for a new request and expects the state.
func (b *booking) claim(k *wasabiclaim.Controller, want wasabiridge.ClaimState) wasabiridge.ClaimOutcome {
	GinkgoHelper()
	return b.claimDigest(k, 7, want)
}

// claimDigest is claim for a request body with another digest.
func (b *booking) claimDigest(k *wasabiclaim.Controller, digest uint64, want wasabiridge.ClaimState) wasabiridge.ClaimOutcome {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	b.claims++
	q := wasabiridge.ClaimQuery{
		Account: "lifts", Key: b.key, Digest: digest,
		Request: wasabiridge.RequestID("r" + strconv.Itoa(b.claims)),
	}
	out, err := k.Claim(ctx, q)
	Expect(err).NotTo(HaveOccurred())
	Expect(out.State).To(Equal(want))
	if want == wasabiridge.ClaimGranted {
		b.last = q
	}
	return out
}

// eventually claims with new requests until the state is returned.
func (b *booking) eventually(k *wasabiclaim.Controller, want wasabiridge.ClaimState) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		b.claims++
		q := wasabiridge.ClaimQuery{
			Account: "lifts", Key: b.key, Digest: 7, Request: wasabiridge.RequestID("r" + strconv.Itoa(b.claims)),
		}
		out, err := k.Claim(context.Background(), q)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.State).To(Equal(want))
		b.last = q
	}).WithTimeout(10 * time.Second).Should(Succeed())
}

func (b *booking) finish(k *wasabiclaim.Controller, d wasabiridge.Disposition) {
	GinkgoHelper()
	answer := wasabiridge.Answer{Status: 201, Body: []byte("van 4")}
	Expect(k.Finish(context.Background(), wasabiridge.ClaimResult{Query: b.last, Disposition: d, Answer: answer})).To(Succeed())
	b.drain(k)
}

func (b *booking) drain(k *wasabiclaim.Controller) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	Expect(k.Drain(ctx)).To(Succeed())
}

// scenarios have the same outcomes for claims with a ticket of instance a and for
// claims by row.
var scenarios = map[string]func(b *booking){
	"a repeat while the first still runs": func(b *booking) {
		b.claim(b.a, wasabiridge.ClaimGranted)
		b.claim(b.a, wasabiridge.ClaimRunning)
		b.claim(b.b, wasabiridge.ClaimRunning)
	},
	"a repeat after the answer gets the first answer": func(b *booking) {
		b.claim(b.b, wasabiridge.ClaimGranted)
		b.finish(b.b, wasabiridge.Ran)
		for _, k := range []*wasabiclaim.Controller{b.a, b.b} {
			Expect(b.claim(k, wasabiridge.ClaimAnswered).Answer.Body).To(Equal([]byte("van 4")))
		}
	},
	"a repeat after a broken connection": func(b *booking) {
		b.claim(b.a, wasabiridge.ClaimGranted)
		b.finish(b.a, wasabiridge.MaybeRun)
		b.claim(b.a, wasabiridge.ClaimUnknown)
		b.claim(b.b, wasabiridge.ClaimUnknown)
	},
	"a repeat after a request that did not run is granted, once": func(b *booking) {
		b.claim(b.b, wasabiridge.ClaimGranted)
		b.finish(b.b, wasabiridge.NotRun)
		b.eventually(b.a, wasabiridge.ClaimGranted)
		b.claim(b.b, wasabiridge.ClaimRunning)
	},
	"the key with another body": func(b *booking) {
		b.claim(b.a, wasabiridge.ClaimGranted)
		b.claimDigest(b.b, 8, wasabiridge.ClaimMismatch)
		b.finish(b.a, wasabiridge.Ran)
		b.claimDigest(b.a, 8, wasabiridge.ClaimMismatch)
	},
	// Guards against a request that runs twice: an instance ends it as "not run" while
	// another of its goroutines is about to send it, and the caller's repeat is granted.
	"a request that ends as not run while it is sent": func(b *booking) {
		b.claim(b.a, wasabiridge.ClaimGranted)
		Expect(b.a.BeginSend(b.last.Request)).To(Succeed())
		b.finish(b.a, wasabiridge.NotRun)
		b.claim(b.b, wasabiridge.ClaimUnknown)
		Expect(errorx.IsOfType(b.a.BeginSend(b.last.Request), wasabiridge.ErrConflict)).To(BeTrue())
		again := wasabiridge.ClaimResult{Query: b.last, Disposition: wasabiridge.NotRun}
		Expect(errorx.IsOfType(b.a.Finish(context.Background(), again), wasabiridge.ErrConflict)).To(BeTrue())
	},
	"a backend server that reports that the request did not run": func(b *booking) {
		b.claim(b.a, wasabiridge.ClaimGranted)
		Expect(b.a.BeginSend(b.last.Request)).To(Succeed())
		b.a.RecordNotRun(b.last.Request)
		b.finish(b.a, wasabiridge.NotRun)
		b.eventually(b.b, wasabiridge.ClaimGranted)
	},
	// Guards against a claim that is taken over from a paused instance. The instance is
	// paused between its claim and its send for longer than Limits.RunLimit, and the caller
	// repeats the request meanwhile. After the pause the instance sends it.
	"a holder that is paused between claim and send": func(b *booking) {
		b.claim(b.a, wasabiridge.ClaimGranted)
		b.clock.Advance(14 * wasabiridge.Minute)
		b.claim(b.b, wasabiridge.ClaimUnknown)
		Expect(b.a.BeginSend(b.last.Request)).To(Succeed())
		b.finish(b.a, wasabiridge.Ran)
		b.claim(b.b, wasabiridge.ClaimAnswered)
	},
	// Guards against repeats that wait for a request that is gone: the instance that runs
	// it restarts, and the caller repeats it at another instance.
	"a holder that restarts": func(b *booking) {
		b.claim(b.b, wasabiridge.ClaimGranted)
		b.crash("b")
		b.b = b.start("b", wasabiclaim.Limits{})
		Eventually(func() wasabiridge.ClaimState {
			out, err := b.a.Claim(context.Background(), b.query("again"))
			Expect(err).NotTo(HaveOccurred())
			return out.State
		}).WithTimeout(5 * time.Second).Should(Equal(wasabiridge.ClaimUnknown))
	},
	// Guards against a second run after a restart: an instance that holds a claim restarts
	// without its memory, and the request of its earlier incarnation may have run.
	"an instance that restarts under the same name": func(b *booking) {
		b.claim(b.a, wasabiridge.ClaimGranted)
		b.crash("a")
		b.a = b.start("a", wasabiclaim.Limits{})
		b.claim(b.a, wasabiridge.ClaimUnknown)
	},
}

var _ = Describe("Claims", func() {
	for _, name := range wasabitest.SortedKeys(scenarios) {
		It("by ticket: "+name, func() {
			b := newBooking(wasabiclaim.Limits{})
			b.key = b.a.Ticket("lifts")
			b.table.Faults().SetPlan(wasabifault.Plan{Unavailable: 1})
			scenarios[name](b)
			Expect(b.table.Stats().Writes).To(BeZero())
		})
		It("by row: "+name, func() {
			b := newBooking(wasabiclaim.Limits{})
			b.key = "visit 12"
			scenarios[name](b)
		})
	}
})

func newBooking(limits wasabiclaim.Limits) *booking {
	c := newCluster()
	return &booking{cluster: c, a: c.start("a", limits), b: c.start("b", limits)}
}
