package wasabiorder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// courseTest drives one course to version 5 under lease number 7.
type courseTest struct {
	*wasabiorder.Course
	now   wasabiridge.Millis
	grant wasabilease.Grant
}

func newCourseTest(checks bool) *courseTest {
	server := wasabiridge.BackendServer{ID: "e", ChecksFencing: checks}
	return &courseTest{
		Course: wasabiorder.NewCourse(server, wasabiridge.EngineOrder{Weights: 5}, wasabiorder.Timing{}),
		now:    wasabiridge.Day,
		grant:  wasabilease.Grant{Lease: "orders", Fencing: 7, Until: wasabiridge.Day + wasabiridge.Hour},
	}
}

// tick lets time pass and expects one effect, or none when want is nil.
func (t *courseTest) tick(span wasabiridge.Millis, want wasabiorder.Effect) {
	GinkgoHelper()
	t.now += span
	t.expect(wasabiorder.Ticked{}, want)
}

func (t *courseTest) expect(e wasabiorder.Event, want wasabiorder.Effect) {
	GinkgoHelper()
	effects := t.Handle(t.now, t.grant, true, e)
	if want == nil {
		Expect(effects).To(BeEmpty())
		return
	}
	Expect(effects).To(HaveLen(1))
	Expect(effects[0]).To(BeAssignableToTypeOf(want))
}

// read answers a read of the engine and expects what follows.
func (t *courseTest) read(s wasabiridge.EngineState, want wasabiorder.Effect) {
	GinkgoHelper()
	t.expect(wasabiorder.StateRead{Fencing: t.grant.Fencing, State: s}, want)
}

func (t *courseTest) answer(err error) {
	GinkgoHelper()
	t.expect(wasabiorder.OrderAnswered{Fencing: t.grant.Fencing, Err: err}, nil)
}

var (
	aRead  = wasabiorder.ReadState{}
	aSend  = wasabiorder.SendOrder{}
	old    = wasabiridge.EngineState{Weights: 4, Fencing: 6}
	fit    = wasabiridge.EngineState{Weights: 5, Fencing: 7}
	poll   = wasabiridge.Second / 2
	second = wasabiridge.Second
)

var courses = map[string]func(){
	// The lease ends before the order would. Its successor may order
	// something newer, and this order would arrive after that.
	"no order near the end of the lease": func() {
		t := newCourseTest(false)
		t.grant.Until = t.now + 3*second - 1
		t.tick(0, aRead)
		t.read(old, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Waiting))
	},
	// An earlier holder's order is still on its way to an engine that is
	// already as it should be. The engine must learn the new number, or it
	// takes that order.
	"an engine that does not know the number yet is ordered": func() {
		t := newCourseTest(true)
		t.tick(0, aRead)
		t.read(wasabiridge.EngineState{Weights: 5, Fencing: 6}, aSend)
		t.answer(nil)
		t.tick(poll, aRead)
		t.read(fit, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Reached))
	},
	"an engine that ignores numbers is watched for a while": func() {
		t := newCourseTest(false)
		t.tick(0, aRead)
		t.read(fit, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Confirming))
		t.tick(3*second, aRead)
		t.read(fit, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Reached))
	},
	// Long after its end a late order of an earlier holder arrives. The
	// audit finds it and orders again.
	"an engine that goes back is ordered again": func() {
		t := newCourseTest(false)
		t.tick(0, aRead)
		t.read(fit, nil)
		t.tick(3*second, aRead)
		t.read(fit, nil)
		t.tick(10*second, aRead)
		t.read(old, aSend)
	},
	"another lease starts from a new reading": func() {
		t := newCourseTest(true)
		t.tick(0, aRead)
		t.read(fit, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Reached))
		t.tick(10*second, aRead)
		t.grant.Fencing = 9
		// The answer to a question under the former lease does not count.
		t.expect(wasabiorder.StateRead{Fencing: 7, State: fit}, aRead)
		Expect(t.Status()).To(Equal(wasabiorder.Unread))
	},
	"newer weights are left alone": func() {
		t := newCourseTest(true)
		t.tick(0, aRead)
		t.read(wasabiridge.EngineState{Weights: 6, Fencing: 6}, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Overtaken))
	},
	"an engine that knows a newer lease gets no order": func() {
		t := newCourseTest(true)
		t.tick(0, aRead)
		t.read(wasabiridge.EngineState{Weights: 4, Fencing: 8}, nil)
		t.tick(wasabiridge.Minute, nil)
		Expect(t.Status()).To(Equal(wasabiorder.Fenced))
	},
	"an engine that refuses the number gets no further order": func() {
		t := newCourseTest(true)
		t.tick(0, aRead)
		t.read(old, aSend)
		t.answer(wasabiridge.ErrFenced.New("old"))
		t.tick(wasabiridge.Minute, nil)
	},
	"a lost answer is followed by a reading, not by a second order": func() {
		t := newCourseTest(true)
		t.tick(0, aRead)
		t.read(old, aSend)
		t.answer(wasabiridge.ErrOutcomeUnknown.New("lost"))
		t.tick(poll, aRead)
		t.read(wasabiridge.EngineState{Weights: 4, Fencing: 7, Loading: true}, nil)
		Expect(t.MayLoad()).To(BeTrue())
		t.tick(poll, aRead)
	},
	"a load that does not end is ordered again": func() {
		t := newCourseTest(true)
		t.tick(0, aRead)
		t.read(old, aSend)
		t.answer(nil)
		t.tick(31*second, aRead)
		t.read(wasabiridge.EngineState{Weights: 4, Fencing: 7, Loading: true}, aSend)
	},
	"an order that the engine did not take is not repeated at once": func() {
		t := newCourseTest(true)
		t.tick(0, aRead)
		t.read(old, aSend)
		t.answer(wasabiridge.ErrUnavailable.New("down"))
		t.tick(1, nil)
		t.tick(poll, aSend)
	},
	"no lease, no call": func() {
		t := newCourseTest(true)
		t.grant = wasabilease.Grant{}
		t.tick(0, nil)
	},
}

var _ = Describe("A course", func() {
	for _, name := range wasabitest.Names(courses) {
		It(name, func() { courses[name]() })
	}
})
