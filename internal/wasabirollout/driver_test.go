package wasabirollout_test

import (
	"fmt"
	"sort"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
	"github.com/wasabiridge/wasabiridge/internal/wasabirollout"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestRollout(t *testing.T) { wasabitest.Run(t, "rollout") }

// engine is a model engine that loads for a second.
type engine struct {
	state   wasabiridge.EngineState
	next    wasabiridge.WeightsVersion
	readyAt wasabiridge.Millis
	down    bool
	loads   int
}

// stage is a pool of engines and one driver, in virtual time. Calls take
// callTime each way.
type stage struct {
	now     wasabiridge.Millis
	pool    wasabiridge.Pool
	engines map[wasabiridge.BackendServerID]*engine
	driver  *wasabirollout.Driver
	grant   wasabilease.Grant
	calls   []call
	// killAt is the number of the effect at which the driver dies; diesBefore
	// says that the effect is not carried out any more.
	killAt     int
	diesBefore bool
	effects    int
	// most and least are how many loaded and served at once.
	most, least int
	// begun holds when loads began.
	begun []wasabiridge.Millis
}

// call is an order or a reading on its way.
type call struct {
	at     wasabiridge.Millis
	order  int
	number wasabiridge.FencingNumber
	effect wasabirollout.CourseEffect
	// answer is set when the engine has carried the call out.
	answer wasabiorder.Event
}

const callTime = 20

func newStage(n, floor int, checks bool) *stage {
	s := &stage{
		now: wasabiridge.Day, engines: map[wasabiridge.BackendServerID]*engine{}, killAt: -1, least: n,
		pool: wasabiridge.Pool{ID: "answers", MinServing: floor},
	}
	for i := range n {
		id := wasabiridge.BackendServerID(fmt.Sprintf("e%d", i))
		s.engines[id] = &engine{state: wasabiridge.EngineState{Weights: 1}}
		server := wasabiridge.BackendServer{ID: id, Kind: wasabiridge.BackendEngine, ChecksFencing: checks}
		s.pool.Backends = append(s.pool.Backends, server)
	}
	return s
}

// drive puts a new driver in charge, as after a change of the lease's holder.
func (s *stage) drive(r wasabiridge.Rollout) {
	s.grant = wasabilease.Grant{Lease: "rollout/answers", Fencing: s.grant.Fencing + 1, Until: s.now + wasabiridge.Hour}
	s.driver = wasabirollout.NewDriver(r, s.pool, wasabirollout.Limits{LoadInterval: 100}, s.now)
}

func rolling(v wasabiridge.WeightsVersion) wasabiridge.Rollout {
	return wasabiridge.Rollout{ID: "r", Pool: "answers", Model: "m", Weights: v, State: "running"}
}

// run lets time pass in steps of 10 ms.
func (s *stage) run(span wasabiridge.Millis) {
	for end := s.now + span; s.now < end; s.now += 10 {
		s.deliver()
		if s.driver != nil && s.now%100 == 0 {
			s.emit(s.driver.Tick(s.now, s.grant))
		}
		s.census()
	}
}

func (s *stage) emit(effects []wasabirollout.CourseEffect) {
	for _, e := range append([]wasabirollout.CourseEffect(nil), effects...) {
		dies := s.effects == s.killAt
		s.effects++
		if dies {
			s.driver = nil
		}
		if dies && s.diesBefore {
			return
		}
		s.calls = append(s.calls, call{at: s.now + callTime, order: s.effects, number: s.grant.Fencing, effect: e})
		if dies {
			return
		}
	}
}

// deliver carries out calls that arrive and hands their answers back.
func (s *stage) deliver() {
	var waiting, due []call
	for _, c := range s.calls {
		if c.at > s.now {
			waiting = append(waiting, c)
		} else {
			due = append(due, c)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].order < due[j].order })
	s.calls = waiting
	for _, c := range due {
		if c.answer == nil {
			c.at, c.answer = s.now+callTime, s.carryOut(c)
			s.calls = append(s.calls, c)
		} else if s.driver != nil && c.number == s.grant.Fencing {
			s.emit(s.driver.Handle(s.now, s.grant, wasabirollout.CourseEvent{Backend: c.effect.Backend, Event: c.answer}))
		}
	}
}

func (s *stage) carryOut(c call) wasabiorder.Event {
	e := s.engines[c.effect.Backend]
	down := wasabiridge.ErrUnavailable.New("down")
	switch effect := c.effect.Effect.(type) {
	case wasabiorder.SendOrder:
		if e.down {
			return wasabiorder.OrderAnswered{Fencing: effect.Order.Fencing, Err: down}
		}
		e.state.Fencing = max(e.state.Fencing, effect.Order.Fencing)
		if effect.Order.Weights != e.state.Weights && !e.state.Loading {
			e.state.Loading, e.next, e.readyAt = true, effect.Order.Weights, s.now+wasabiridge.Second
			e.loads++
			s.begun = append(s.begun, s.now)
		}
		return wasabiorder.OrderAnswered{Fencing: effect.Order.Fencing}
	case wasabiorder.ReadState:
		if e.down {
			return wasabiorder.StateRead{Fencing: effect.Fencing, Err: down}
		}
		return wasabiorder.StateRead{Fencing: effect.Fencing, State: e.state}
	}
	return nil
}

// census ends loads that are due and notes how many load and serve.
func (s *stage) census() {
	loading, serving := 0, 0
	for _, e := range s.engines {
		if e.state.Loading && s.now >= e.readyAt {
			e.state.Loading, e.state.Weights = false, e.next
		}
		if e.state.Loading {
			loading++
		} else if !e.down {
			serving++
		}
	}
	s.most, s.least = max(s.most, loading), min(s.least, serving)
}

func (s *stage) expectAll(v wasabiridge.WeightsVersion) {
	GinkgoHelper()
	for id, e := range s.engines {
		Expect(e.state.Weights).To(Equal(v), string(id))
	}
	Expect(s.driver.Progress(s.now).State).To(Equal("done"))
}

var stories = map[string]func(){
	"two load at once, no more": func() {
		s := newStage(9, 0, true)
		s.drive(rolling(2))
		s.run(30 * wasabiridge.Second)
		s.expectAll(2)
		Expect(s.most).To(Equal(2))
	},
	"the floor keeps replicas serving": func() {
		s := newStage(4, 3, false)
		s.drive(rolling(2))
		s.run(wasabiridge.Minute)
		s.expectAll(2)
		Expect(s.least).To(Equal(3))
	},
	"a floor that leaves no room is named": func() {
		s := newStage(3, 3, true)
		s.drive(rolling(2))
		s.run(5 * wasabiridge.Second)
		Expect(s.driver.Progress(s.now).Blocked).To(Equal("floor of serving replicas"))
	},
	"loads keep the rate of the weight store": func() {
		s := newStage(6, 0, true)
		s.grant = wasabilease.Grant{Fencing: 1, Until: s.now + wasabiridge.Hour}
		limits := wasabirollout.Limits{LoadInterval: 4 * wasabiridge.Second}
		s.driver = wasabirollout.NewDriver(rolling(2), s.pool, limits, s.now)
		s.run(wasabiridge.Minute)
		s.expectAll(2)
		for i := 1; i < len(s.begun); i++ {
			Expect(s.begun[i] - s.begun[i-1]).To(BeNumerically(">=", 4*wasabiridge.Second))
		}
	},
	"a pause gives no order, and a resume goes on": func() {
		s := newStage(6, 0, true)
		s.drive(rolling(2))
		s.run(1500)
		paused := rolling(2)
		paused.State = "paused"
		s.drive(paused)
		s.run(5 * wasabiridge.Second)
		begun := len(s.begun)
		s.run(30 * wasabiridge.Second)
		Expect(s.begun).To(HaveLen(begun))
		Expect(s.driver.Progress(s.now).Blocked).To(Equal("paused"))
		s.drive(rolling(2))
		s.run(30 * wasabiridge.Second)
		s.expectAll(2)
	},
	// A replica dies while others load. The rollout goes on beside it, names
	// it, and ends when it is back.
	"a replica that is down": func() {
		s := newStage(4, 0, true)
		s.engines["e1"].down = true
		s.drive(rolling(2))
		s.run(wasabiridge.Minute)
		Expect(s.driver.Progress(s.now)).To(HaveField("Done", 3))
		Expect(s.driver.Progress(s.now).Blocked).To(Equal("replicas that do not answer"))
		s.engines["e1"].down = false
		s.run(30 * wasabiridge.Second)
		s.expectAll(2)
	},
	"a replica that is taken out of the pool": func() {
		s := newStage(3, 0, true)
		s.engines["e2"].down = true
		s.drive(rolling(2))
		s.run(30 * wasabiridge.Second)
		s.pool.Backends = s.pool.Backends[:2]
		s.driver.SetPool(s.pool)
		Expect(s.driver.Progress(s.now).State).To(Equal("done"))
	},
	"a rollback is a newer version": func() {
		s := newStage(4, 0, false)
		s.drive(rolling(2))
		s.run(2 * wasabiridge.Second)
		s.drive(rolling(3))
		s.run(wasabiridge.Minute)
		s.expectAll(3)
	},
}

var _ = Describe("A rollout", func() {
	for _, name := range wasabitest.Names(stories) {
		It(name, func() { stories[name]() })
	}

	// The driver dies at some step: before or after a reading, before an
	// order, or after it with the answer still to come. Its successor reads
	// the replicas and goes on. An operator sees the rollout end, and never
	// sees more than two replicas loading.
	for _, checks := range []bool{true, false} {
		It(fmt.Sprintf("survives its driver's death at each step, engines check numbers: %t", checks), func() {
			whole := newStage(4, 2, checks)
			whole.drive(rolling(2))
			whole.run(30 * wasabiridge.Second)
			whole.expectAll(2)
			for step := range whole.effects {
				for _, before := range []bool{true, false} {
					s := newStage(4, 2, checks)
					s.killAt, s.diesBefore = step, before
					s.drive(rolling(2))
					s.run(30 * wasabiridge.Second)
					Expect(s.driver).To(BeNil(), "step %d", step)
					s.drive(rolling(2))
					s.run(30 * wasabiridge.Second)
					s.expectAll(2)
					Expect(s.most).To(BeNumerically("<=", 2), "step %d", step)
					Expect(s.least).To(BeNumerically(">=", 2), "step %d", step)
					for id, e := range s.engines {
						Expect(e.loads).To(Equal(1), "step %d: %s loaded again", step, id)
					}
				}
			}
		})
	}

	// The successor begins while orders of the dead driver are still being
	// loaded. It must count those loads.
	It("counts the loads of a driver that just died", func() {
		for step := 4; step < 16; step++ {
			s := newStage(6, 0, true)
			s.killAt = step
			s.drive(rolling(2))
			for s.driver != nil {
				s.run(10)
			}
			s.drive(rolling(2))
			s.run(30 * wasabiridge.Second)
			s.expectAll(2)
			Expect(s.most).To(BeNumerically("<=", 2), "step %d", step)
		}
	})
})

// FuzzRecord looks for a row that decodes to a rollout that cannot be driven.
func FuzzRecord(f *testing.F) {
	f.Add(wasabirollout.EncodeRecord(wasabirollout.Record{Current: rolling(2)}))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := wasabirollout.DecodeRecord(value)
		if err != nil {
			return
		}
		again, err := wasabirollout.DecodeRecord(wasabirollout.EncodeRecord(r))
		if err != nil || again.Current != r.Current || r.Current.Pool == "" {
			t.Fatalf("%q does not survive: %+v %v", value, again, err)
		}
	})
}
