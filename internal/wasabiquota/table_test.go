package wasabiquota_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// standalone is an instance without others, with a clock of its own.
type standalone struct {
	table   *wasabiquota.Table
	now     wasabiridge.Millis
	attempt wasabiridge.AttemptID
}

func newStandalone(limit wasabiridge.AccountLimit) *standalone {
	a := &standalone{now: 1000, table: wasabiquota.New(wasabiquota.Options{Self: "i", Incarnation: 1, Started: 1000, Alone: true})}
	a.adopt(limit)
	a.pass(60_000)
	return a
}

func (a *standalone) adopt(limit wasabiridge.AccountLimit) {
	a.table.Observe(a.now, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{
		Accounts: []wasabiridge.ClientAccount{{ID: "a", Limit: &limit}, {ID: "free"}},
	}})
}

func (a *standalone) pass(span wasabiridge.Millis) {
	for end := a.now + span; a.now < end; {
		a.now += 20
		a.table.Observe(a.now, wasabiridge.Ticked{})
	}
}

// request sends a request. It reports whether it was admitted.
func (a *standalone) request(r wasabiridge.Request) bool {
	r.Account = "a"
	if !a.table.Check(a.now, r).Allowed {
		return false
	}
	a.attempt++
	a.table.Sent(a.now, r, a.attempt)
	a.table.Observe(a.now, wasabiridge.AttemptSent{Attempt: a.attempt})
	return true
}

// exhaust sends requests until one is refused. It returns how many were admitted.
func (a *standalone) exhaust(r wasabiridge.Request) int {
	n := 0
	for a.request(r) {
		n++
	}
	return n
}

func tokens(n int) wasabiridge.Request {
	return wasabiridge.Request{Chain: wasabiridge.Chain{Tokens: n}}
}

func tokensWithPriority(n int, p wasabiridge.Priority) wasabiridge.Request {
	return tokens(n).WithPriority(p)
}

var _ = Describe("A limit", func() {
	perToken := wasabiridge.AccountLimit{Rate: 1000, Burst: 2000, Unit: wasabiridge.LimitTokens, PlainTokens: 200}

	It("counts the tokens of prompt and answer, and the configured cost of a request without either", func() {
		Expect(perToken.Cost(wasabiridge.Request{Chain: wasabiridge.Chain{Tokens: 70}, MaxTokens: 30})).To(Equal(100.0))
		Expect(perToken.Cost(wasabiridge.Request{})).To(Equal(200.0))
		Expect(wasabiridge.AccountLimit{Rate: 1}.Cost(tokens(70))).To(Equal(1.0))
	})

	It("in requests counts each request as one unit", func() {
		a := newStandalone(wasabiridge.AccountLimit{Rate: 10, Burst: 20})
		Expect(a.exhaust(tokens(5000))).To(Equal(20))
		a.pass(500)
		Expect(a.exhaust(tokens(1))).To(Equal(5))
	})

	It("does not apply to other accounts, nor with a rate of zero", func() {
		a := newStandalone(perToken)
		a.exhaust(tokens(500))
		Expect(a.table.Check(a.now, wasabiridge.Request{Account: "free"}).Allowed).To(BeTrue())
		a.adopt(wasabiridge.AccountLimit{})
		Expect(a.request(tokens(5000))).To(BeTrue())
	})

	It("admits its rate, and tells a refused request when to retry", func() {
		a := newStandalone(perToken)
		Expect(a.exhaust(tokens(500))).To(Equal(4))
		v := a.table.Check(a.now, wasabiridge.Request{Account: "a", Chain: wasabiridge.Chain{Tokens: 500}})
		Expect(v.Allowed).To(BeFalse())
		Expect(v.RetryAfter).To(BeNumerically("~", 1000, 20), "after the request that was refused before")
		Expect(v.State).To(Equal(wasabiridge.QuotaState{Unit: wasabiridge.LimitTokens, Limit: 2000, Reset: 2000}))
		a.pass(v.RetryAfter)
		Expect(a.request(tokens(500))).To(BeTrue())
	})

	It("spreads the retries of refused requests over the time in which there is room for them", func() {
		a := newStandalone(perToken)
		a.exhaust(tokens(500))
		var last wasabiridge.Millis
		for range 4 {
			v := a.table.Check(a.now, wasabiridge.Request{Account: "a", Chain: wasabiridge.Chain{Tokens: 300}})
			Expect(v.RetryAfter).To(BeNumerically(">", last))
			last = v.RetryAfter
		}
	})

	It("admits a request that costs more than the burst when half of the burst is available", func() {
		a := newStandalone(perToken)
		Expect(a.request(tokens(5000))).To(BeTrue())
		Expect(a.request(tokens(1))).To(BeFalse(), "the debt has to be earned first")
		a.pass(3500)
		Expect(a.request(tokens(5000))).To(BeFalse())
		a.pass(600)
		Expect(a.request(tokens(5000))).To(BeTrue())
	})

	It("admits small requests while a large one is refused", func() {
		a := newStandalone(perToken)
		a.exhaust(tokens(900))
		Expect(a.request(tokens(900))).To(BeFalse())
		Expect(a.request(tokens(50))).To(BeTrue())
	})

	It("under pressure reserves a part of the burst for requests of the highest priority", func() {
		a := newStandalone(perToken)
		a.request(tokensWithPriority(10, 5))
		a.exhaust(tokensWithPriority(300, 1))
		Expect(a.request(tokensWithPriority(300, 5))).To(BeFalse())
		a.pass(300)
		Expect(a.request(tokensWithPriority(300, 1))).To(BeFalse())
		Expect(a.request(tokensWithPriority(300, 5))).To(BeTrue())
	})

	It("refunds attempts that did not run", func() {
		a := newStandalone(perToken)
		a.exhaust(tokens(500))
		a.table.Observe(a.now, wasabiridge.AttemptEnded{Attempt: a.attempt, Result: wasabiridge.AttemptNotRun})
		Expect(a.exhaust(tokens(500))).To(Equal(1))
		a.table.Observe(a.now, wasabiridge.AttemptEnded{Attempt: a.attempt, Result: wasabiridge.AttemptBroken})
		Expect(a.exhaust(tokens(500))).To(BeZero(), "it may have run")
	})

	It("that is lowered takes effect at once", func() {
		a := newStandalone(perToken)
		a.adopt(wasabiridge.AccountLimit{Rate: 100, Burst: 100, Unit: wasabiridge.LimitTokens})
		Expect(a.exhaust(tokens(50))).To(Equal(2))
	})
})
