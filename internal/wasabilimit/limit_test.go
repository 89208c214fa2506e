package wasabilimit_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilimit"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestLimit(t *testing.T) {
	wasabitest.Run(t, "limit")
}

// harness drives one Limiter for one server that finishes its requests in
// order.
type harness struct {
	limiter  *wasabilimit.Limiter
	backend  wasabiridge.BackendServer
	now      wasabiridge.Millis
	count    int
	inFlight []wasabiridge.Request
	served   map[string]int
	waits    map[string]wasabiridge.Millis
}

func newHarness(o wasabilimit.Options, slots int, shares map[wasabiridge.ClientAccountID]float64) *harness {
	b := &harness{
		limiter: wasabilimit.New(o),
		backend: wasabiridge.BackendServer{ID: "b", Slots: slots},
		served:  make(map[string]int), waits: make(map[string]wasabiridge.Millis),
	}
	c := wasabiridge.Config{Pools: []wasabiridge.Pool{{ID: "p", Backends: []wasabiridge.BackendServer{b.backend}}}}
	for _, id := range slices.Sorted(maps.Keys(shares)) {
		c.Accounts = append(c.Accounts, wasabiridge.ClientAccount{ID: id, Share: shares[id]})
	}
	b.limiter.Observe(0, wasabiridge.ConfigAdopted{Config: c})
	return b
}

func (b *harness) request(account wasabiridge.ClientAccountID, p wasabiridge.Priority) wasabiridge.Request {
	b.count++
	return wasabiridge.Request{
		ID: wasabiridge.RequestID(fmt.Sprint(b.count)), Account: account, Rule: "r", MaxTokens: 100,
		Action:  wasabiridge.Action{Pool: "p", Priority: p},
		Arrived: b.now, Deadline: b.now + 30*wasabiridge.Second,
	}
}

func (b *harness) offer(r wasabiridge.Request) wasabiridge.Admission {
	a := b.limiter.Offer(b.now, r)
	if a.Verdict == wasabiridge.Admitted {
		b.send(r)
	}
	return a
}

func (b *harness) send(r wasabiridge.Request) {
	b.inFlight = append(b.inFlight, r)
	b.limiter.Sent(b.now, r, attemptOf(r), b.backend.ID)
	b.waits[name(r)] = max(b.waits[name(r)], b.now-r.Arrived)
}

func attemptOf(r wasabiridge.Request) wasabiridge.AttemptID {
	var id wasabiridge.AttemptID
	_, _ = fmt.Sscan(string(r.ID), &id)
	return id
}

func name(r wasabiridge.Request) string { return fmt.Sprintf("%s/%d", r.Account, r.Action.Priority) }

// step advances the time, finishes the oldest request and sends the next ones.
func (b *harness) step(after wasabiridge.Millis) {
	b.now += after
	if len(b.inFlight) > 0 {
		r := b.inFlight[0]
		b.inFlight = b.inFlight[1:]
		b.served[name(r)]++
		b.limiter.Observe(b.now, wasabiridge.AttemptEnded{
			Request: r.ID, Attempt: attemptOf(r), Backend: "b", Usage: wasabiridge.Usage{PromptTokens: 1},
		})
	}
	b.limiter.Observe(b.now, wasabiridge.Ticked{})
	for r, ok := b.limiter.Next(b.now); ok; r, ok = b.limiter.Next(b.now) {
		b.send(r)
	}
}

func (b *harness) report(running, waiting int) {
	b.limiter.Observe(b.now, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{
		Backend: "b", Incarnation: 1, MeasuredAt: b.now, Running: running, Waiting: waiting,
	}})
}

var _ = Describe("Limiter", func() {
	// A large account floods the router. If the queue were served in order of
	// arrival, the requests of small accounts would wait behind the flood.
	It("serves waiting accounts in proportion to their shares", func() {
		b := newHarness(wasabilimit.Options{}, 1, map[wasabiridge.ClientAccountID]float64{"large": 3, "small": 1})
		for range 120 {
			b.offer(b.request("large", 0))
		}
		for range 60 {
			b.offer(b.request("small", 0))
		}
		for range 80 {
			b.step(50)
		}
		Expect(b.served["large/0"]).To(BeNumerically("~", 3*b.served["small/0"], 6))
	})

	// Requests of the higher priority never stop arriving. Without a minimum
	// share, callers of the lower priority would wait until their deadline.
	It("prefers the higher priority without starving the lower one", func() {
		b := newHarness(wasabilimit.Options{}, 1, nil)
		for range 40 {
			b.offer(b.request("a", 0))
			b.offer(b.request("a", 1))
		}
		for range 40 {
			b.offer(b.request("a", 1))
			b.step(50)
		}
		Expect(b.served["a/1"]).To(BeNumerically("~", 4*b.served["a/0"], 5))
		Expect(b.served["a/0"]).To(BeNumerically(">", 4))
	})

	// The queue is longer than the maximum expected wait. The rejection must be
	// immediate and carry the time until the queue is short enough.
	It("rejects at once, with a retry time, requests that would wait too long", func() {
		b := newHarness(wasabilimit.Options{}, 1, nil)
		for range 20 {
			b.offer(b.request("a", 0))
			b.step(500)
		}
		last := b.offer(b.request("a", 0))
		for range 100 {
			last = b.offer(b.request("a", 0))
		}
		Expect(last.Verdict).To(Equal(wasabiridge.Rejected))
		Expect(last.Reason).To(Equal(wasabiridge.RefusedOverload))
		// The share 0.3 of 30 s drains 18 requests of 500 ms each. The drain
		// rate is estimated from few requests, hence the tolerance.
		Expect(b.limiter.Queued()).To(BeNumerically("~", 18, 6))
		Expect(last.RetryAfter).To(BeNumerically("~", 4500, 2500))
	})

	It("bounds the queue of a rule", func() {
		b := newHarness(wasabilimit.Options{}, 1, nil)
		verdicts := map[wasabiridge.Verdict]int{}
		for range 10 {
			r := b.request("a", 0)
			r.Action.QueueLimit = 4
			verdicts[b.offer(r).Verdict]++
		}
		Expect(verdicts).To(Equal(map[wasabiridge.Verdict]int{
			wasabiridge.Admitted: 1, wasabiridge.Queued: 4, wasabiridge.Rejected: 5,
		}))
	})

	It("returns a queued request once when its deadline passes", func() {
		b := newHarness(wasabilimit.Options{}, 1, nil)
		b.offer(b.request("a", 0))
		late := b.request("a", 0)
		b.offer(late)
		_, ok := b.limiter.Expired(late.Deadline - 1)
		Expect(ok).To(BeFalse())
		r, ok := b.limiter.Expired(late.Deadline)
		Expect(ok).To(BeTrue())
		Expect(r.ID).To(Equal(late.ID))
		_, ok = b.limiter.Expired(late.Deadline)
		Expect(ok).To(BeFalse())
		Expect(b.limiter.Queued()).To(BeZero())
	})

	Describe("the limit of a server", func() {
		It("rises while no requests wait inside, and falls when too many do", func() {
			b := newHarness(wasabilimit.Options{}, 32, nil)
			Expect(b.limiter.Limit("b")).To(Equal(8))
			for range 30 {
				b.now += 250
				b.report(b.limiter.Limit("b"), 0)
			}
			Expect(b.limiter.Limit("b")).To(BeNumerically(">=", 32))
			for range 20 {
				b.now += 250
				b.report(10, 12)
			}
			Expect(b.limiter.Limit("b")).To(BeNumerically("~", 15, 3))
		})

		// A server accepts fewer requests than its declared slots, and refuses
		// the rest.
		It("falls when the server refuses", func() {
			b := newHarness(wasabilimit.Options{}, 32, nil)
			r := b.request("a", 0)
			b.offer(r)
			b.limiter.Observe(b.now, wasabiridge.AttemptEnded{
				Request: r.ID, Attempt: attemptOf(r), Backend: "b", Result: wasabiridge.AttemptNotRun, Overloaded: true,
			})
			Expect(b.limiter.Limit("b")).To(BeNumerically("<", 4))
		})

		// An engine fails and restarts with a cold cache. With its previous
		// limit, the whole queue would be sent at once, and callers would wait
		// inside the engine behind each other's complete prompts.
		It("starts low again when the server restarts with a cold cache", func() {
			b := newHarness(wasabilimit.Options{}, 32, nil)
			for range 30 {
				b.now += 250
				b.report(b.limiter.Limit("b"), 0)
			}
			b.limiter.Observe(b.now, wasabiridge.BackendLost{Backend: "b"})
			b.report(0, 0)
			Expect(b.limiter.Limit("b")).To(BeNumerically(">=", 32), "a late report of the previous incarnation")
			b.limiter.Observe(b.now, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{
				Backend: "b", Incarnation: 2, MeasuredAt: b.now,
			}})
			Expect(b.limiter.Limit("b")).To(Equal(8))
		})

		// Nine instances start where one ran before. Each uses no more than its
		// share as long as it does not know what the others send.
		It("is divided between the instances", func() {
			b := newHarness(wasabilimit.Options{}, 72, nil)
			b.limiter.Observe(b.now, wasabiridge.InstancesCounted{Count: 9})
			for range 40 {
				b.offer(b.request("a", 0))
			}
			Expect(b.inFlight).To(HaveLen(2))
		})

		It("adapts when the server has no declared slots", func() {
			b := newHarness(wasabilimit.Options{}, 0, nil)
			before := b.limiter.Limit("b")
			for range 200 {
				b.offer(b.request("a", 0))
				if len(b.inFlight) > b.limiter.Limit("b")-1 {
					b.step(10)
				}
			}
			Expect(b.limiter.Limit("b")).To(BeNumerically(">", before))
		})
	})

	// Every attempt fails. Without a budget, the router would send each request
	// several times to servers that are already failing.
	It("allows retries for a tenth of the first attempts", func() {
		b := newHarness(wasabilimit.Options{RetryBurst: 2}, 5000, nil)
		allowed := 0
		for range 1000 {
			r := b.request("a", 0)
			b.offer(r)
			if b.limiter.MayRetry(b.now, r) {
				allowed++
			}
		}
		Expect(allowed).To(BeNumerically("~", 101, 3))
	})

	It("admits requests when no server is available, so that their callers are answered at once", func() {
		b := newHarness(wasabilimit.Options{}, 1, nil)
		b.offer(b.request("a", 0))
		b.limiter.Observe(b.now, wasabiridge.BackendLost{Backend: "b"})
		Expect(b.offer(b.request("a", 0)).Verdict).To(Equal(wasabiridge.Admitted))
	})

	// Requests wait for a server that serves two a second. Then it becomes ten
	// times slower. Requests that can no longer meet their deadlines would
	// otherwise be answered only at their deadlines.
	It("expires at once requests that can no longer meet their deadlines", func() {
		b := newHarness(wasabilimit.Options{}, 1, nil)
		for range 12 {
			b.offer(b.request("a", 0))
			b.step(500)
		}
		for range 12 {
			b.offer(b.request("a", 0))
		}
		expired := 0
		for start := b.now; b.now < start+12*wasabiridge.Second; {
			b.step(5 * wasabiridge.Second)
			for _, ok := b.limiter.Expired(b.now); ok; _, ok = b.limiter.Expired(b.now) {
				expired++
			}
		}
		// Of the 11 waiting requests, 3 are sent within 15 s. In the remaining
		// 15 s, 3 more would be sent, or 6 with a drain rate margin of 2.
		Expect(expired).To(BeNumerically(">=", 2))
		Expect(b.limiter.Queued()).To(BeNumerically(">", 0))
	})

	It("releases all queued requests when the last server is lost", func() {
		b := newHarness(wasabilimit.Options{}, 1, nil)
		for range 3 {
			b.offer(b.request("a", 0))
		}
		b.limiter.Observe(b.now, wasabiridge.BackendLost{Backend: "b"})
		for _, ok := b.limiter.Next(b.now); ok; _, ok = b.limiter.Next(b.now) {
			continue
		}
		Expect(b.limiter.Queued()).To(BeZero())
	})

	It("loses no request and drops all finished ones, for any order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newHarness(wasabilimit.Options{Instances: 2}, 2, map[wasabiridge.ClientAccountID]float64{"a": 1, "b": 5})
			state := map[wasabiridge.RequestID]string{}
			leave := func(id wasabiridge.RequestID, as string) {
				if state[id] != "queued" {
					t.Fatalf("request %s left as %s, but was %q", id, as, state[id])
				}
				state[id] = as
			}
			for range rapid.IntRange(1, 120).Draw(t, "events") {
				b.now += wasabiridge.Millis(rapid.IntRange(0, 3000).Draw(t, "ms"))
				switch rapid.IntRange(0, 6).Draw(t, "event") {
				case 0, 1, 2:
					r := b.request(wasabiridge.ClientAccountID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")),
						wasabiridge.Priority(rapid.IntRange(-1, 1).Draw(t, "priority")))
					if b.offer(r).Verdict == wasabiridge.Queued {
						state[r.ID] = "queued"
					}
				case 3:
					if len(b.inFlight) > 0 {
						r := b.inFlight[0]
						b.inFlight = b.inFlight[1:]
						b.limiter.Observe(b.now, wasabiridge.AttemptEnded{Request: r.ID, Attempt: attemptOf(r), Backend: "b"})
					}
				case 4:
					for r, ok := b.limiter.Next(b.now); ok; r, ok = b.limiter.Next(b.now) {
						leave(r.ID, "sent")
						b.send(r)
					}
				case 5:
					for r, ok := b.limiter.Expired(b.now); ok; r, ok = b.limiter.Expired(b.now) {
						leave(r.ID, "expired")
					}
				case 6:
					id := wasabiridge.RequestID(fmt.Sprint(rapid.IntRange(1, 1+b.count).Draw(t, "withdrawn")))
					b.limiter.Withdraw(id)
					if state[id] == "queued" {
						state[id] = "withdrawn"
					}
				}
				queued := 0
				for _, s := range state {
					if s == "queued" {
						queued++
					}
				}
				if queued != b.limiter.Queued() {
					t.Fatalf("%d requests are queued, the limiter reports %d", queued, b.limiter.Queued())
				}
			}
		})
	})
})

// Guards against an instance that starts with a low limit for a busy server: it
// restarts while an engine without declared slots runs a hundred requests of
// the other instances. Its callers waited for half a minute, because the limit
// began at eight and grew by a tenth with each load report.
func TestRestartStartsFromReportedLoad(t *testing.T) {
	RegisterTestingT(t)
	limiter := wasabilimit.New(wasabilimit.Options{Instances: 9})
	backend := wasabiridge.BackendServer{ID: "e1", Kind: wasabiridge.BackendEngine}
	pool := wasabiridge.Pool{ID: "answer", Backends: []wasabiridge.BackendServer{backend}}
	limiter.Observe(0, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: []wasabiridge.Pool{pool}}})
	report := wasabiridge.LoadReport{Backend: "e1", Incarnation: 1, MeasuredAt: 10, Running: 100}
	limiter.Observe(20, wasabiridge.LoadReported{Report: report})
	report.MeasuredAt, report.Running = 1010, 80
	limiter.Observe(1020, wasabiridge.LoadReported{Report: report})
	for i := range 3 {
		r := wasabiridge.Request{ID: wasabiridge.RequestID(rune('a' + i)), Action: wasabiridge.Action{Pool: "answer", QueueLimit: 10}, Deadline: 30_000}
		Expect(limiter.Offer(1030, r).Verdict).To(Equal(wasabiridge.Admitted))
		limiter.Sent(1030, r, wasabiridge.AttemptID(i+1), "e1")
	}
}
