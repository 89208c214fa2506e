package wasabiorder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// reconcilerTest drives one Reconciler to version 5 under a lease with fencing number 7.
type reconcilerTest struct {
	*wasabiorder.Reconciler
	now   wasabiridge.Millis
	grant wasabilease.Grant
}

func newReconcilerTest(checks bool) *reconcilerTest {
	server := wasabiridge.BackendServer{ID: "e", ChecksFencing: checks}
	return &reconcilerTest{
		Reconciler: wasabiorder.NewReconciler(server, wasabiridge.EngineOrder{Weights: 5}, wasabiorder.Timing{}),
		now:        wasabiridge.Day,
		grant:      wasabilease.Grant{Lease: "orders", Fencing: 7, Until: wasabiridge.Day + wasabiridge.Hour},
	}
}

// tick advances the time and expects one effect, or none when want is nil.
func (t *reconcilerTest) tick(span wasabiridge.Millis, want wasabiorder.Effect) {
	GinkgoHelper()
	t.now += span
	t.expect(wasabiorder.Ticked{}, want)
}

func (t *reconcilerTest) expect(e wasabiorder.Event, want wasabiorder.Effect) {
	GinkgoHelper()
	effects := t.Handle(t.now, t.grant, true, e)
	if want == nil {
		Expect(effects).To(BeEmpty())
		return
	}
	Expect(effects).To(HaveLen(1))
	Expect(effects[0]).To(BeAssignableToTypeOf(want))
}

// read reports a state of the engine and expects one effect, or none when want is nil.
func (t *reconcilerTest) read(s wasabiridge.EngineState, want wasabiorder.Effect) {
	GinkgoHelper()
	t.expect(wasabiorder.StateResult{Fencing: t.grant.Fencing, State: s}, want)
}

func (t *reconcilerTest) answer(err error) {
	GinkgoHelper()
	t.expect(wasabiorder.OrderResult{Fencing: t.grant.Fencing, Err: err}, nil)
}

var (
	aRead  = wasabiorder.ReadState{}
	aSend  = wasabiorder.SendOrder{}
	old    = wasabiridge.EngineState{Weights: 4, Fencing: 6}
	fit    = wasabiridge.EngineState{Weights: 5, Fencing: 7}
	poll   = wasabiridge.Second / 2
	second = wasabiridge.Second
)

var reconcilers = map[string]func(){
	// The failure it guards against: the order would end after the lease. The next
	// holder may send a newer order, and this one would arrive after it.
	"no order near the end of the lease": func() {
		t := newReconcilerTest(false)
		t.grant.Until = t.now + 3*second - 1
		t.tick(0, aRead)
		t.read(old, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Waiting))
	},
	// The failure it guards against: an order of an earlier holder is still in flight
	// to an engine that is already at its target. The engine must record the new
	// fencing number, or it carries out that order.
	"an engine that has not seen the fencing number yet gets an order": func() {
		t := newReconcilerTest(true)
		t.tick(0, aRead)
		t.read(wasabiridge.EngineState{Weights: 5, Fencing: 6}, aSend)
		t.answer(nil)
		t.tick(poll, aRead)
		t.read(fit, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Reached))
	},
	"an engine that ignores fencing numbers is monitored before it counts as reached": func() {
		t := newReconcilerTest(false)
		t.tick(0, aRead)
		t.read(fit, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Confirming))
		t.tick(3*second, aRead)
		t.read(fit, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Reached))
	},
	// The failure it guards against: an order of an earlier holder arrives long after
	// its lease has ended. The audit finds the change and sends an order again.
	"an engine that goes back to old weights gets an order again": func() {
		t := newReconcilerTest(false)
		t.tick(0, aRead)
		t.read(fit, nil)
		t.tick(3*second, aRead)
		t.read(fit, nil)
		t.tick(10*second, aRead)
		t.read(old, aSend)
	},
	"a new lease starts with a new read": func() {
		t := newReconcilerTest(true)
		t.tick(0, aRead)
		t.read(fit, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Reached))
		t.tick(10*second, aRead)
		t.grant.Fencing = 9
		// The result of a read under the former lease does not count.
		t.expect(wasabiorder.StateResult{Fencing: 7, State: fit}, aRead)
		Expect(t.Status()).To(Equal(wasabiorder.NotRead))
	},
	"newer weights are left unchanged": func() {
		t := newReconcilerTest(true)
		t.tick(0, aRead)
		t.read(wasabiridge.EngineState{Weights: 6, Fencing: 6}, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Superseded))
	},
	"an engine that has seen a newer lease gets no order": func() {
		t := newReconcilerTest(true)
		t.tick(0, aRead)
		t.read(wasabiridge.EngineState{Weights: 4, Fencing: 8}, nil)
		t.tick(wasabiridge.Minute, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Fenced))
	},
	"an engine that refuses the fencing number gets no further order": func() {
		t := newReconcilerTest(true)
		t.tick(0, aRead)
		t.read(old, aSend)
		t.answer(wasabiridge.ErrFenced.New("old"))
		t.tick(wasabiridge.Minute, nil)
	},
	"a lost response is followed by a read, not by a second order": func() {
		t := newReconcilerTest(true)
		t.tick(0, aRead)
		t.read(old, aSend)
		t.answer(wasabiridge.ErrOutcomeUnknown.New("lost"))
		t.tick(poll, aRead)
		t.read(wasabiridge.EngineState{Weights: 4, Fencing: 7, Loading: true}, nil)
		Expect(t.MayLoad()).To(BeTrue())
		t.tick(poll, aRead)
	},
	"the order is sent again when loading does not end": func() {
		t := newReconcilerTest(true)
		t.tick(0, aRead)
		t.read(old, aSend)
		t.answer(nil)
		t.tick(31*second, aRead)
		t.read(wasabiridge.EngineState{Weights: 4, Fencing: 7, Loading: true}, aSend)
	},
	"an order that the engine did not accept is not repeated at once": func() {
		t := newReconcilerTest(true)
		t.tick(0, aRead)
		t.read(old, aSend)
		t.answer(wasabiridge.ErrUnavailable.New("down"))
		t.tick(1, nil)
		t.tick(poll, aSend)
	},
	"no call is sent without a lease": func() {
		t := newReconcilerTest(true)
		t.grant = wasabilease.Grant{}
		t.tick(0, nil)
	},
}

var _ = Describe("A course", func() {
	for _, name := range wasabitest.SortedKeys(reconcilers) {
		It(name, func() { reconcilers[name]() })
	}
})
