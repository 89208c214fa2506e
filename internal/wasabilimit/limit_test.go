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

// bench drives one Limiter in front of one server that runs one request after
// another.
type bench struct {
	limiter *wasabilimit.Limiter
	backend wasabiridge.BackendServer
	now     wasabiridge.Millis
	count   int
	inside  []wasabiridge.Request
	served  map[string]int
	waits   map[string]wasabiridge.Millis
}

func newBench(o wasabilimit.Options, slots int, shares map[wasabiridge.ClientAccountID]float64) *bench {
	b := &bench{
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

func (b *bench) request(account wasabiridge.ClientAccountID, p wasabiridge.Priority) wasabiridge.Request {
	b.count++
	return wasabiridge.Request{
		ID: wasabiridge.RequestID(fmt.Sprint(b.count)), Account: account, Rule: "r", MaxTokens: 100,
		Action:  wasabiridge.Action{Pool: "p", Priority: p},
		Arrived: b.now, Deadline: b.now + 30*wasabiridge.Second,
	}
}

func (b *bench) offer(r wasabiridge.Request) wasabiridge.Admission {
	a := b.limiter.Offer(b.now, r)
	if a.Verdict == wasabiridge.Admitted {
		b.send(r)
	}
	return a
}

func (b *bench) send(r wasabiridge.Request) {
	b.inside = append(b.inside, r)
	b.limiter.Sent(b.now, r, attemptOf(r), b.backend.ID)
	b.waits[name(r)] = max(b.waits[name(r)], b.now-r.Arrived)
}

func attemptOf(r wasabiridge.Request) wasabiridge.AttemptID {
	var id wasabiridge.AttemptID
	_, _ = fmt.Sscan(string(r.ID), &id)
	return id
}

func name(r wasabiridge.Request) string { return fmt.Sprintf("%s/%d", r.Account, r.Action.Priority) }

// step finishes the oldest request after some time and lets the next go.
func (b *bench) step(after wasabiridge.Millis) {
	b.now += after
	if len(b.inside) > 0 {
		r := b.inside[0]
		b.inside = b.inside[1:]
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

func (b *bench) report(running, waiting int) {
	b.limiter.Observe(b.now, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{
		Backend: "b", Incarnation: 1, Taken: b.now, Running: running, Waiting: waiting,
	}})
}

var _ = Describe("Limiter", func() {
	// A large account floods the router. Callers of small accounts would see
	// their requests wait behind the flood, if the queue went by arrival.
	It("serves waiting accounts in proportion to their shares", func() {
		b := newBench(wasabilimit.Options{}, 1, map[wasabiridge.ClientAccountID]float64{"large": 3, "small": 1})
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

	// Urgent work never stops coming. Without a floor, callers of the lower
	// priority would wait until their deadline.
	It("prefers the higher priority without starving the lower one", func() {
		b := newBench(wasabilimit.Options{}, 1, nil)
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

	// The queue is longer than a caller would wait. The refusal comes at
	// once, and says when the queue will have drained far enough.
	It("refuses at once what would wait too long, with a time to come back", func() {
		b := newBench(wasabilimit.Options{}, 1, nil)
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
		// The part 0.3 of 30 s drains 18 requests of 500 ms each. The rate is
		// an estimate from few requests, hence the room.
		Expect(b.limiter.Queued()).To(BeNumerically("~", 18, 6))
		Expect(last.RetryAfter).To(BeNumerically("~", 4500, 2500))
	})

	It("bounds the queue of a rule", func() {
		b := newBench(wasabilimit.Options{}, 1, nil)
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

	It("hands a queued request back when its deadline passes, once", func() {
		b := newBench(wasabilimit.Options{}, 1, nil)
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
		It("rises while none wait inside, and falls when too many do", func() {
			b := newBench(wasabilimit.Options{}, 32, nil)
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

		// A server takes fewer requests than it states, and refuses the rest.
		It("falls when the server refuses", func() {
			b := newBench(wasabilimit.Options{}, 32, nil)
			r := b.request("a", 0)
			b.offer(r)
			b.limiter.Observe(b.now, wasabiridge.AttemptEnded{
				Request: r.ID, Attempt: attemptOf(r), Backend: "b", Result: wasabiridge.AttemptNotRun, Overloaded: true,
			})
			Expect(b.limiter.Limit("b")).To(BeNumerically("<", 4))
		})

		// An engine dies and comes back with a cold cache. With its old limit,
		// everything that waits would rush out at once, and callers would wait
		// inside engines instead, behind each other's whole prompts.
		It("starts small again when the server comes back cold", func() {
			b := newBench(wasabilimit.Options{}, 32, nil)
			for range 30 {
				b.now += 250
				b.report(b.limiter.Limit("b"), 0)
			}
			b.limiter.Observe(b.now, wasabiridge.BackendLost{Backend: "b"})
			b.report(0, 0)
			Expect(b.limiter.Limit("b")).To(BeNumerically(">=", 32), "a late report of the life before")
			b.limiter.Observe(b.now, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{
				Backend: "b", Incarnation: 2, Taken: b.now,
			}})
			Expect(b.limiter.Limit("b")).To(Equal(8))
		})

		// Nine routers start where one was. Each takes no more than its part, as
		// long as it does not know what the others send.
		It("is shared with the other instances", func() {
			b := newBench(wasabilimit.Options{}, 72, nil)
			b.limiter.Observe(b.now, wasabiridge.InstancesCounted{Count: 9})
			for range 40 {
				b.offer(b.request("a", 0))
			}
			Expect(b.inside).To(HaveLen(2))
		})

		It("is learned when the server states no slots", func() {
			b := newBench(wasabilimit.Options{}, 0, nil)
			before := b.limiter.Limit("b")
			for range 200 {
				b.offer(b.request("a", 0))
				if len(b.inside) > b.limiter.Limit("b")-1 {
					b.step(10)
				}
			}
			Expect(b.limiter.Limit("b")).To(BeNumerically(">", before))
		})
	})

	// Every attempt fails. A router without a budget would send each request
	// several times, to servers that are in trouble already.
	It("allows retries for a tenth of the first attempts", func() {
		b := newBench(wasabilimit.Options{RetryBurst: 2}, 5000, nil)
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

	It("admits when no server serves, so that the caller hears at once", func() {
		b := newBench(wasabilimit.Options{}, 1, nil)
		b.offer(b.request("a", 0))
		b.limiter.Observe(b.now, wasabiridge.BackendLost{Backend: "b"})
		Expect(b.offer(b.request("a", 0)).Verdict).To(Equal(wasabiridge.Admitted))
	})

	// Requests wait for a server that takes two a second. Then it becomes
	// ten times as slow. Those that can no longer make it would hear so only at
	// their deadline.
	It("gives up at once what cannot make its deadline any more", func() {
		b := newBench(wasabilimit.Options{}, 1, nil)
		for range 12 {
			b.offer(b.request("a", 0))
			b.step(500)
		}
		for range 12 {
			b.offer(b.request("a", 0))
		}
		gaveUp := 0
		for start := b.now; b.now < start+12*wasabiridge.Second; {
			b.step(5 * wasabiridge.Second)
			for _, ok := b.limiter.Expired(b.now); ok; _, ok = b.limiter.Expired(b.now) {
				gaveUp++
			}
		}
		// Of 11 that waited, 3 went in 15 s; in the 15 s that are left 3 more
		// would, and 6 if the rate is doubted by a factor of 2.
		Expect(gaveUp).To(BeNumerically(">=", 2))
		Expect(b.limiter.Queued()).To(BeNumerically(">", 0))
	})

	It("lets all go that wait when the last server is lost", func() {
		b := newBench(wasabilimit.Options{}, 1, nil)
		for range 3 {
			b.offer(b.request("a", 0))
		}
		b.limiter.Observe(b.now, wasabiridge.BackendLost{Backend: "b"})
		for _, ok := b.limiter.Next(b.now); ok; _, ok = b.limiter.Next(b.now) {
			continue
		}
		Expect(b.limiter.Queued()).To(BeZero())
	})

	It("loses no request and forgets all that are done, whatever the order of events", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newBench(wasabilimit.Options{Instances: 2}, 2, map[wasabiridge.ClientAccountID]float64{"a": 1, "b": 5})
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
					if len(b.inside) > 0 {
						r := b.inside[0]
						b.inside = b.inside[1:]
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
					t.Fatalf("%d requests wait, the limiter says %d", queued, b.limiter.Queued())
				}
			}
		})
	})
})

// A router restarts while an engine without stated slots runs a hundred
// requests for the other routers. Its callers waited for half a minute, because
// the limit began at eight and grew by a tenth with each load report.
func TestRestartTakesUpFromWhatAServerRuns(t *testing.T) {
	RegisterTestingT(t)
	limiter := wasabilimit.New(wasabilimit.Options{Instances: 9})
	backend := wasabiridge.BackendServer{ID: "e1", Kind: wasabiridge.BackendEngine}
	pool := wasabiridge.Pool{ID: "answer", Backends: []wasabiridge.BackendServer{backend}}
	limiter.Observe(0, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Version: 1, Pools: []wasabiridge.Pool{pool}}})
	report := wasabiridge.LoadReport{Backend: "e1", Incarnation: 1, Taken: 10, Running: 100}
	limiter.Observe(20, wasabiridge.LoadReported{Report: report})
	report.Taken, report.Running = 1010, 80
	limiter.Observe(1020, wasabiridge.LoadReported{Report: report})
	for i := range 3 {
		r := wasabiridge.Request{ID: wasabiridge.RequestID(rune('a' + i)), Action: wasabiridge.Action{Pool: "answer", QueueLimit: 10}, Deadline: 30_000}
		Expect(limiter.Offer(1030, r).Verdict).To(Equal(wasabiridge.Admitted))
		limiter.Sent(1030, r, wasabiridge.AttemptID(i+1), "e1")
	}
}
