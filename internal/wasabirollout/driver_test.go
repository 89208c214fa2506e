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

// engine is a simulated engine. A load takes one second.
type engine struct {
	state   wasabiridge.EngineState
	next    wasabiridge.WeightsVersion
	readyAt wasabiridge.Millis
	down    bool
	loads   int
}

// simulation is a pool of engines and one driver in virtual time. Calls take
// callTime in each direction.
type simulation struct {
	now     wasabiridge.Millis
	pool    wasabiridge.Pool
	engines map[wasabiridge.BackendServerID]*engine
	driver  *wasabirollout.Driver
	grant   wasabilease.Grant
	calls   []call
	// failAt is the number of the effect at which the driver fails. If
	// failBeforeEffect is set, that effect is not executed.
	failAt           int
	failBeforeEffect bool
	effects          int
	// maxLoading and lowestServing are the extremes of how many engines loaded
	// and served at once.
	maxLoading, lowestServing int
	// loadStarts holds the start times of loads.
	loadStarts []wasabiridge.Millis
}

// call is an order or a state read in flight.
type call struct {
	at     wasabiridge.Millis
	order  int
	number wasabiridge.FencingNumber
	effect wasabirollout.ReconcilerEffect
	// answer is set once the engine has executed the call.
	answer wasabiorder.Event
}

const callTime = 20

func newSimulation(n, minServing int, checks bool) *simulation {
	s := &simulation{
		now: wasabiridge.Day, engines: map[wasabiridge.BackendServerID]*engine{}, failAt: -1, lowestServing: n,
		pool: wasabiridge.Pool{ID: "answers", MinServing: minServing},
	}
	for i := range n {
		id := wasabiridge.BackendServerID(fmt.Sprintf("e%d", i))
		s.engines[id] = &engine{state: wasabiridge.EngineState{Weights: 1}}
		server := wasabiridge.BackendServer{ID: id, Kind: wasabiridge.BackendEngine, ChecksFencing: checks}
		s.pool.Backends = append(s.pool.Backends, server)
	}
	return s
}

// startDriver starts a new driver, as after a change of the lease holder.
func (s *simulation) startDriver(r wasabiridge.Rollout) {
	s.grant = wasabilease.Grant{Lease: "rollout/answers", Fencing: s.grant.Fencing + 1, Until: s.now + wasabiridge.Hour}
	s.driver = wasabirollout.NewDriver(r, s.pool, wasabirollout.Limits{LoadInterval: 100}, s.now)
}

func runningRollout(v wasabiridge.WeightsVersion) wasabiridge.Rollout {
	return wasabiridge.Rollout{ID: "r", Pool: "answers", Model: "m", Weights: v, State: "running"}
}

// run advances the time in steps of 10 ms.
func (s *simulation) run(span wasabiridge.Millis) {
	for end := s.now + span; s.now < end; s.now += 10 {
		s.deliver()
		if s.driver != nil && s.now%100 == 0 {
			s.emit(s.driver.Tick(s.now, s.grant))
		}
		s.updateLoads()
	}
}

func (s *simulation) emit(effects []wasabirollout.ReconcilerEffect) {
	for _, e := range append([]wasabirollout.ReconcilerEffect(nil), effects...) {
		fails := s.effects == s.failAt
		s.effects++
		if fails {
			s.driver = nil
		}
		if fails && s.failBeforeEffect {
			return
		}
		s.calls = append(s.calls, call{at: s.now + callTime, order: s.effects, number: s.grant.Fencing, effect: e})
		if fails {
			return
		}
	}
}

// deliver executes the calls that have arrived and delivers their answers.
func (s *simulation) deliver() {
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
			c.at, c.answer = s.now+callTime, s.execute(c)
			s.calls = append(s.calls, c)
		} else if s.driver != nil && c.number == s.grant.Fencing {
			s.emit(s.driver.Handle(s.now, s.grant, wasabirollout.ReconcilerEvent{Backend: c.effect.Backend, Event: c.answer}))
		}
	}
}

func (s *simulation) execute(c call) wasabiorder.Event {
	e := s.engines[c.effect.Backend]
	down := wasabiridge.ErrUnavailable.New("down")
	switch effect := c.effect.Effect.(type) {
	case wasabiorder.SendOrder:
		if e.down {
			return wasabiorder.OrderResult{Fencing: effect.Order.Fencing, Err: down}
		}
		e.state.Fencing = max(e.state.Fencing, effect.Order.Fencing)
		if effect.Order.Weights != e.state.Weights && !e.state.Loading {
			e.state.Loading, e.next, e.readyAt = true, effect.Order.Weights, s.now+wasabiridge.Second
			e.loads++
			s.loadStarts = append(s.loadStarts, s.now)
		}
		return wasabiorder.OrderResult{Fencing: effect.Order.Fencing}
	case wasabiorder.ReadState:
		if e.down {
			return wasabiorder.StateResult{Fencing: effect.Fencing, Err: down}
		}
		return wasabiorder.StateResult{Fencing: effect.Fencing, State: e.state}
	}
	return nil
}

// updateLoads ends due loads and updates maxLoading and lowestServing.
func (s *simulation) updateLoads() {
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
	s.maxLoading, s.lowestServing = max(s.maxLoading, loading), min(s.lowestServing, serving)
}

func (s *simulation) expectAll(v wasabiridge.WeightsVersion) {
	GinkgoHelper()
	for id, e := range s.engines {
		Expect(e.state.Weights).To(Equal(v), string(id))
	}
	Expect(s.driver.Progress(s.now).State).To(Equal("done"))
}

var driverCases = map[string]func(){
	"at most two replicas load at once": func() {
		s := newSimulation(9, 0, true)
		s.startDriver(runningRollout(2))
		s.run(30 * wasabiridge.Second)
		s.expectAll(2)
		Expect(s.maxLoading).To(Equal(2))
	},
	"MinServing keeps replicas serving": func() {
		s := newSimulation(4, 3, false)
		s.startDriver(runningRollout(2))
		s.run(wasabiridge.Minute)
		s.expectAll(2)
		Expect(s.lowestServing).To(Equal(3))
	},
	"a MinServing that allows no load is reported": func() {
		s := newSimulation(3, 3, true)
		s.startDriver(runningRollout(2))
		s.run(5 * wasabiridge.Second)
		Expect(s.driver.Progress(s.now).Blocked).To(Equal("floor of serving replicas"))
	},
	"loads start at least LoadInterval apart": func() {
		s := newSimulation(6, 0, true)
		s.grant = wasabilease.Grant{Fencing: 1, Until: s.now + wasabiridge.Hour}
		limits := wasabirollout.Limits{LoadInterval: 4 * wasabiridge.Second}
		s.driver = wasabirollout.NewDriver(runningRollout(2), s.pool, limits, s.now)
		s.run(wasabiridge.Minute)
		s.expectAll(2)
		for i := 1; i < len(s.loadStarts); i++ {
			Expect(s.loadStarts[i] - s.loadStarts[i-1]).To(BeNumerically(">=", 4*wasabiridge.Second))
		}
	},
	"a paused rollout sends no orders, and a resumed one continues": func() {
		s := newSimulation(6, 0, true)
		s.startDriver(runningRollout(2))
		s.run(1500)
		paused := runningRollout(2)
		paused.State = "paused"
		s.startDriver(paused)
		s.run(5 * wasabiridge.Second)
		loadStarts := len(s.loadStarts)
		s.run(30 * wasabiridge.Second)
		Expect(s.loadStarts).To(HaveLen(loadStarts))
		Expect(s.driver.Progress(s.now).Blocked).To(Equal("paused"))
		s.startDriver(runningRollout(2))
		s.run(30 * wasabiridge.Second)
		s.expectAll(2)
	},
	// A replica fails while others load. The rollout continues without it,
	// reports that it does not answer, and ends once it is back.
	"a replica that is down does not stop the others": func() {
		s := newSimulation(4, 0, true)
		s.engines["e1"].down = true
		s.startDriver(runningRollout(2))
		s.run(wasabiridge.Minute)
		Expect(s.driver.Progress(s.now)).To(HaveField("Done", 3))
		Expect(s.driver.Progress(s.now).Blocked).To(Equal("replicas that do not answer"))
		s.engines["e1"].down = false
		s.run(30 * wasabiridge.Second)
		s.expectAll(2)
	},
	"a replica that is removed from the pool no longer counts": func() {
		s := newSimulation(3, 0, true)
		s.engines["e2"].down = true
		s.startDriver(runningRollout(2))
		s.run(30 * wasabiridge.Second)
		s.pool.Backends = s.pool.Backends[:2]
		s.driver.SetPool(s.pool)
		Expect(s.driver.Progress(s.now).State).To(Equal("done"))
	},
	"a rollback to a newer version replaces the rollout": func() {
		s := newSimulation(4, 0, false)
		s.startDriver(runningRollout(2))
		s.run(2 * wasabiridge.Second)
		s.startDriver(runningRollout(3))
		s.run(wasabiridge.Minute)
		s.expectAll(3)
	},
}

var _ = Describe("A rollout", func() {
	for _, name := range wasabitest.SortedKeys(driverCases) {
		It(name, func() { driverCases[name]() })
	}

	// The driver fails at some step: before or after a state read, before an
	// order, or after an order whose answer has not arrived. Its successor
	// reads the state of the replicas and continues. The rollout must end, and
	// at most two replicas may load at any time.
	for _, checks := range []bool{true, false} {
		It(fmt.Sprintf("survives a failure of its driver at each step, engines check fencing numbers: %t", checks), func() {
			reference := newSimulation(4, 2, checks)
			reference.startDriver(runningRollout(2))
			reference.run(30 * wasabiridge.Second)
			reference.expectAll(2)
			for step := range reference.effects {
				for _, before := range []bool{true, false} {
					s := newSimulation(4, 2, checks)
					s.failAt, s.failBeforeEffect = step, before
					s.startDriver(runningRollout(2))
					s.run(30 * wasabiridge.Second)
					Expect(s.driver).To(BeNil(), "step %d", step)
					s.startDriver(runningRollout(2))
					s.run(30 * wasabiridge.Second)
					s.expectAll(2)
					Expect(s.maxLoading).To(BeNumerically("<=", 2), "step %d", step)
					Expect(s.lowestServing).To(BeNumerically(">=", 2), "step %d", step)
					for id, e := range s.engines {
						Expect(e.loads).To(Equal(1), "step %d: %s loaded again", step, id)
					}
				}
			}
		})
	}

	// The successor starts while the replicas load on orders of the failed
	// driver. It must count those loads.
	It("counts the loads that a failed driver has ordered", func() {
		for step := 4; step < 16; step++ {
			s := newSimulation(6, 0, true)
			s.failAt = step
			s.startDriver(runningRollout(2))
			for s.driver != nil {
				s.run(10)
			}
			s.startDriver(runningRollout(2))
			s.run(30 * wasabiridge.Second)
			s.expectAll(2)
			Expect(s.maxLoading).To(BeNumerically("<=", 2), "step %d", step)
		}
	})
})

// FuzzRecord looks for rows that decode to a rollout that cannot be driven.
func FuzzRecord(f *testing.F) {
	f.Add(wasabirollout.EncodeRecord(wasabirollout.Record{Current: runningRollout(2)}))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := wasabirollout.DecodeRecord(value)
		if err != nil {
			return
		}
		again, err := wasabirollout.DecodeRecord(wasabirollout.EncodeRecord(r))
		if err != nil || again.Current != r.Current || r.Current.Pool == "" {
			t.Fatalf("%q is not stable under decoding and encoding: %+v %v", value, again, err)
		}
	})
}
