package wasabiquota_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// alone is an instance without others at which time passes.
type alone struct {
	table   *wasabiquota.Table
	now     wasabiridge.Millis
	attempt wasabiridge.AttemptID
}

func newAlone(limit wasabiridge.AccountLimit) *alone {
	a := &alone{now: 1000, table: wasabiquota.New(wasabiquota.Options{Self: "i", Life: 1, Started: 1000, Alone: true})}
	a.adopt(limit)
	a.pass(60_000)
	return a
}

func (a *alone) adopt(limit wasabiridge.AccountLimit) {
	a.table.Observe(a.now, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{
		Accounts: []wasabiridge.ClientAccount{{ID: "a", Limit: &limit}, {ID: "free"}},
	}})
}

func (a *alone) pass(span wasabiridge.Millis) {
	for end := a.now + span; a.now < end; {
		a.now += 20
		a.table.Observe(a.now, wasabiridge.Ticked{})
	}
}

// ask sends a request. It reports whether it was let in.
func (a *alone) ask(r wasabiridge.Request) bool {
	r.Account = "a"
	if !a.table.Judge(a.now, r).Allowed {
		return false
	}
	a.attempt++
	a.table.Sent(a.now, r, a.attempt)
	a.table.Observe(a.now, wasabiridge.AttemptSent{Attempt: a.attempt})
	return true
}

// fill asks until something is refused. It returns how many were let in.
func (a *alone) fill(r wasabiridge.Request) int {
	n := 0
	for a.ask(r) {
		n++
	}
	return n
}

func tokens(n int) wasabiridge.Request {
	return wasabiridge.Request{Chain: wasabiridge.Chain{Tokens: n}}
}

func ranked(n int, p wasabiridge.Priority) wasabiridge.Request { return tokens(n).WithPriority(p) }

var _ = Describe("A limit", func() {
	perToken := wasabiridge.AccountLimit{Rate: 1000, Burst: 2000, Unit: wasabiridge.LimitTokens, PlainTokens: 200}

	It("counts prompt and answer, and what is configured for a request without either", func() {
		Expect(perToken.Cost(wasabiridge.Request{Chain: wasabiridge.Chain{Tokens: 70}, MaxTokens: 30})).To(Equal(100.0))
		Expect(perToken.Cost(wasabiridge.Request{})).To(Equal(200.0))
		Expect(wasabiridge.AccountLimit{Rate: 1}.Cost(tokens(70))).To(Equal(1.0))
	})

	It("of requests counts each as one", func() {
		a := newAlone(wasabiridge.AccountLimit{Rate: 10, Burst: 20})
		Expect(a.fill(tokens(5000))).To(Equal(20))
		a.pass(500)
		Expect(a.fill(tokens(1))).To(Equal(5))
	})

	It("binds nobody else, and nobody when its rate is zero", func() {
		a := newAlone(perToken)
		a.fill(tokens(500))
		Expect(a.table.Judge(a.now, wasabiridge.Request{Account: "free"}).Allowed).To(BeTrue())
		a.adopt(wasabiridge.AccountLimit{})
		Expect(a.ask(tokens(5000))).To(BeTrue())
	})

	It("lets run its rate, and says when there is room", func() {
		a := newAlone(perToken)
		Expect(a.fill(tokens(500))).To(Equal(4))
		v := a.table.Judge(a.now, wasabiridge.Request{Account: "a", Chain: wasabiridge.Chain{Tokens: 500}})
		Expect(v.Allowed).To(BeFalse())
		Expect(v.RetryAfter).To(BeNumerically("~", 1000, 20), "behind the one that was refused before")
		Expect(v.State).To(Equal(wasabiridge.QuotaState{Unit: wasabiridge.LimitTokens, Limit: 2000, Reset: 2000}))
		a.pass(v.RetryAfter)
		Expect(a.ask(tokens(500))).To(BeTrue())
	})

	It("spreads those that are refused over the time in which there is room for them", func() {
		a := newAlone(perToken)
		a.fill(tokens(500))
		var last wasabiridge.Millis
		for range 4 {
			v := a.table.Judge(a.now, wasabiridge.Request{Account: "a", Chain: wasabiridge.Chain{Tokens: 300}})
			Expect(v.RetryAfter).To(BeNumerically(">", last))
			last = v.RetryAfter
		}
	})

	It("lets in a request that costs more than the burst when half of that is there", func() {
		a := newAlone(perToken)
		Expect(a.ask(tokens(5000))).To(BeTrue())
		Expect(a.ask(tokens(1))).To(BeFalse(), "its debt is to be earned first")
		a.pass(3500)
		Expect(a.ask(tokens(5000))).To(BeFalse())
		a.pass(600)
		Expect(a.ask(tokens(5000))).To(BeTrue())
	})

	It("lets in small requests while a large one waits for room", func() {
		a := newAlone(perToken)
		a.fill(tokens(900))
		Expect(a.ask(tokens(900))).To(BeFalse())
		Expect(a.ask(tokens(50))).To(BeTrue())
	})

	It("leaves what is there under pressure to requests of the highest priority", func() {
		a := newAlone(perToken)
		a.ask(ranked(10, 5))
		a.fill(ranked(300, 1))
		Expect(a.ask(ranked(300, 5))).To(BeFalse())
		a.pass(300)
		Expect(a.ask(ranked(300, 1))).To(BeFalse())
		Expect(a.ask(ranked(300, 5))).To(BeTrue())
	})

	It("gives back what did not run", func() {
		a := newAlone(perToken)
		a.fill(tokens(500))
		a.table.Observe(a.now, wasabiridge.AttemptEnded{Attempt: a.attempt, Result: wasabiridge.AttemptNotRun})
		Expect(a.fill(tokens(500))).To(Equal(1))
		a.table.Observe(a.now, wasabiridge.AttemptEnded{Attempt: a.attempt, Result: wasabiridge.AttemptBroken})
		Expect(a.fill(tokens(500))).To(BeZero(), "it may have run")
	})

	It("that is lowered binds at once", func() {
		a := newAlone(perToken)
		a.adopt(wasabiridge.AccountLimit{Rate: 100, Burst: 100, Unit: wasabiridge.LimitTokens})
		Expect(a.fill(tokens(50))).To(Equal(2))
	})
})
