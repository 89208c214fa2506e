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

// decider dispatches each request a number of times and keeps what it heard.
// With a gate it stands still until the gate is closed.
type decider struct {
	dispatches int
	gate       chan struct{}
	ended      chan wasabiridge.AttemptEnded
	heard      int
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
		d.heard++
	}
	return nil
}

func newLoop(d *decider, ring int) *wasabiloop.Loop {
	l := wasabiloop.New(wasabiloop.Options{Decider: d, Clock: wasabiclock.NewVirtual(1), Ring: ring})
	DeferCleanup(l.Close)
	return l
}

var _ = Describe("the loop", func() {
	It("hands effects to the mailbox of their request", func() {
		l := newLoop(&decider{dispatches: 2}, 0)
		box := wasabiloop.NewMailbox()
		Expect(l.Submit(wasabiridge.Request{ID: "r"}, box)).To(Succeed())
		Eventually(box.Effects()).Should(Receive(Equal(wasabiridge.Dispatch{Request: "r", Attempt: 1})))
		Eventually(box.Effects()).Should(Receive(Equal(wasabiridge.Dispatch{Request: "r", Attempt: 2})))
	})

	// Decisions fall behind. A caller must hear at once that its request did
	// not run, and requests that were taken must not lose an event.
	It("refuses new requests while its ring is nearly full, and loses no event of others", func() {
		d := &decider{gate: make(chan struct{}), ended: make(chan wasabiridge.AttemptEnded, 8)}
		l := newLoop(d, 8)
		taken := 0
		for range 20 {
			if l.Submit(wasabiridge.Request{ID: "r"}, wasabiloop.NewMailbox()) == nil {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("<=", 7))
		l.Post(wasabiridge.AttemptEnded{Request: "r", Attempt: 9})
		for l.Observe(wasabiridge.LoadReported{}) {
		}
		Expect(l.Dropped()).To(Equal(uint64(1)))
		close(d.gate)
		Eventually(d.ended).Should(Receive(HaveField("Attempt", wasabiridge.AttemptID(9))))
	})

	// The caller leaves while a dispatch is on its way to it. The decisions
	// would count the attempt against its server for ever.
	It("answers dispatches that nobody takes any more", func() {
		d := &decider{dispatches: 3, ended: make(chan wasabiridge.AttemptEnded, 64)}
		l := newLoop(d, 0)
		Expect(l.Submit(wasabiridge.Request{ID: "r"}, wasabiloop.NewMailbox())).To(Succeed())
		l.Forget("r")
		for i := 1; i <= 3; i++ {
			Eventually(d.ended).Should(Receive(Equal(wasabiridge.AttemptEnded{
				Request: "r", Attempt: wasabiridge.AttemptID(i), Result: wasabiridge.AttemptCancelled,
			})))
		}
	})

	It("closes a mailbox that overflows, and itself goes on", func() {
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

	It("closes mailboxes and refuses requests at its end", func() {
		l := newLoop(&decider{}, 0)
		box := wasabiloop.NewMailbox()
		Expect(l.Submit(wasabiridge.Request{ID: "r"}, box)).To(Succeed())
		Expect(l.Inspect(func() {})).To(BeTrue())
		l.Close()
		Eventually(box.Effects()).Should(BeClosed())
		l.Post(wasabiridge.Ticked{})
	})
})
