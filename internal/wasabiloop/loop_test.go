package wasabiloop_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestLoop(t *testing.T) { wasabitest.Run(t, "loop") }

// decider dispatches each request a number of times, passes on the results of the
// attempts and counts load reports. If gate is set, the decider blocks on each new
// request until gate is closed.
type decider struct {
	dispatches int
	gate       chan struct{}
	ended      chan wasabiridge.AttemptEnded
	reports    int
}

func (d *decider) Handle(_ wasabiridge.Millis, e wasabiridge.Event) []wasabiridge.Effect {
	switch e := e.(type) {
	case wasabiridge.RequestArrived:
		if d.gate != nil {
			<-d.gate
		}
		var all []wasabiridge.Effect
		for i := range d.dispatches {
			all = append(all, wasabiridge.Dispatch{Request: e.Request.ID, Attempt: wasabiridge.AttemptID(i + 1)})
		}
		return all
	case wasabiridge.AttemptEnded:
		d.ended <- e
	case wasabiridge.LoadReported:
		d.reports++
	}
	return nil
}

func newLoop(d *decider, ring int) *wasabiloop.Loop {
	l := wasabiloop.New(wasabiloop.Options{Decider: d, Clock: wasabiclock.NewVirtual(1), RingSize: ring})
	DeferCleanup(l.Close)
	return l
}

var _ = Describe("the loop", func() {
	It("delivers effects to the mailbox of their request", func() {
		l := newLoop(&decider{dispatches: 2}, 0)
		box := wasabiloop.NewMailbox()
		Expect(l.Submit(wasabiridge.Request{ID: "r"}, box)).To(Succeed())
		Eventually(box.Effects()).Should(Receive(Equal(wasabiridge.Dispatch{Request: "r", Attempt: 1})))
		Eventually(box.Effects()).Should(Receive(Equal(wasabiridge.Dispatch{Request: "r", Attempt: 2})))
	})

	// The decider falls behind, so the ring fills up. New requests must be refused
	// immediately as not run, and accepted requests must not lose an event.
	It("refuses new requests while its ring is nearly full, and loses no event of accepted ones", func() {
		d := &decider{gate: make(chan struct{}), ended: make(chan wasabiridge.AttemptEnded, 8)}
		l := newLoop(d, 8)
		accepted := 0
		for range 20 {
			if l.Submit(wasabiridge.Request{ID: "r"}, wasabiloop.NewMailbox()) == nil {
				accepted++
			}
		}
		Expect(accepted).To(BeNumerically("<=", 7))
		l.Post(wasabiridge.AttemptEnded{Request: "r", Attempt: 9})
		for l.TryPost(wasabiridge.LoadReported{}) {
		}
		Expect(l.Dropped()).To(Equal(uint64(1)))
		close(d.gate)
		Eventually(d.ended).Should(Receive(HaveField("Attempt", wasabiridge.AttemptID(9))))
	})

	// A request ends while dispatches are still in its mailbox. Without a result
	// the decider would count these attempts as in flight forever.
	It("reports dispatches that no request received as cancelled", func() {
		d := &decider{dispatches: 3, ended: make(chan wasabiridge.AttemptEnded, 64)}
		l := newLoop(d, 0)
		Expect(l.Submit(wasabiridge.Request{ID: "r"}, wasabiloop.NewMailbox())).To(Succeed())
		l.CloseMailbox("r")
		for i := 1; i <= 3; i++ {
			Eventually(d.ended).Should(Receive(Equal(wasabiridge.AttemptEnded{
				Request: "r", Attempt: wasabiridge.AttemptID(i), Result: wasabiridge.AttemptCancelled,
			})))
		}
	})

	It("closes a mailbox that overflows, and keeps running", func() {
		d := &decider{dispatches: 40, ended: make(chan wasabiridge.AttemptEnded, 64)}
		l := newLoop(d, 0)
		box := wasabiloop.NewMailbox()
		Expect(l.Submit(wasabiridge.Request{ID: "r"}, box)).To(Succeed())
		Expect(l.Inspect(func() {})).To(BeTrue())
		for range 40 {
			Eventually(d.ended).Should(Receive())
		}
		Eventually(box.Effects()).Should(BeClosed())
	})

	It("closes all mailboxes when it is closed, and does not block events afterwards", func() {
		l := newLoop(&decider{}, 0)
		box := wasabiloop.NewMailbox()
		Expect(l.Submit(wasabiridge.Request{ID: "r"}, box)).To(Succeed())
		Expect(l.Inspect(func() {})).To(BeTrue())
		l.Close()
		Eventually(box.Effects()).Should(BeClosed())
		l.Post(wasabiridge.Ticked{})
	})
})
