package wasabiorder_test

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// engine is a simplified model engine that accepts orders.
type engine struct {
	server  wasabiridge.BackendServer
	state   wasabiridge.EngineState
	next    wasabiridge.WeightsVersion
	readyAt wasabiridge.Millis
	// refused counts orders with an old fencing number.
	refused int
	// regressed counts orders that returned the engine to older weights.
	regressed int
}

const loadTime = wasabiridge.Second

func (e *engine) finishLoading(now wasabiridge.Millis) {
	if e.state.Loading && now >= e.readyAt {
		e.state.Loading, e.state.Weights = false, e.next
	}
}

func (e *engine) order(now wasabiridge.Millis, o wasabiridge.EngineOrder) error {
	e.finishLoading(now)
	if e.server.ChecksFencing && o.Fencing < e.state.Fencing {
		e.refused++
		return wasabiridge.ErrFenced.New("old number")
	}
	e.state.Fencing = max(e.state.Fencing, o.Fencing)
	e.state.Role = o.Role
	if o.Weights < e.state.Weights {
		e.regressed++
	}
	if o.Weights != e.state.Weights {
		e.state.Loading, e.next, e.readyAt = true, o.Weights, now+loadTime
	}
	return nil
}

// simulation runs a few instances, engines and a network in virtual time.
type simulation struct {
	clock     *wasabiclock.Virtual
	rng       *rand.Rand
	agenda    wasabitest.EventQueue
	faultsOff bool
	instances []*instance
	engine    map[wasabiridge.BackendServerID]*engine
	// target is the version that all engines should have.
	target wasabiridge.WeightsVersion
	// lateness is the largest delay of a late order. Zero means that no order is late.
	lateness wasabiridge.Millis
}

// instance is one simulated instance: its lease and its reconcilers.
type instance struct {
	id          string
	grant       func() wasabilease.Grant
	paused      wasabiridge.Millis
	target      wasabiridge.WeightsVersion
	reconcilers map[wasabiridge.BackendServerID]*wasabiorder.Reconciler
}

func (w *simulation) after(span wasabiridge.Millis, run func()) {
	w.agenda.Schedule(w.clock.Now()+span, run)
}

func (w *simulation) run(until wasabiridge.Millis) {
	move := func(at wasabiridge.Millis) { w.clock.Advance(at - w.clock.Now()) }
	w.agenda.Run(until, move)
	move(until)
}

func (w *simulation) chance(p float64) bool { return !w.faultsOff && w.rng.Float64() < p }

func (w *simulation) delay() wasabiridge.Millis {
	return 1 + wasabiridge.Millis(w.rng.IntN(100))
}

// whenRunning runs a step of an instance now, or at the end of its pause.
func (w *simulation) whenRunning(n *instance, run func()) {
	if rest := n.paused - w.clock.Now(); rest > 0 {
		w.after(rest, run)
		return
	}
	run()
}

// feed passes an event to a Reconciler and carries out its effects.
func (w *simulation) feed(n *instance, c *wasabiorder.Reconciler, e wasabiorder.Event) {
	for _, effect := range c.Handle(w.clock.Now(), n.grant(), true, e) {
		switch e := effect.(type) {
		case wasabiorder.ReadState:
			w.read(n, c, e)
		case wasabiorder.SendOrder:
			w.send(n, c, e)
		}
	}
}

func (w *simulation) read(n *instance, c *wasabiorder.Reconciler, e wasabiorder.ReadState) {
	answer := wasabiorder.StateResult{Fencing: e.Fencing, Err: wasabiridge.ErrUnavailable.New("lost")}
	if w.chance(0.1) {
		w.after(e.TimeLimit, func() { w.whenRunning(n, func() { w.feed(n, c, answer) }) })
		return
	}
	w.after(w.delay(), func() {
		eng := w.engine[e.Server.ID]
		eng.finishLoading(w.clock.Now())
		answer.State, answer.Err = eng.state, nil
		w.after(w.delay(), func() { w.whenRunning(n, func() { w.feed(n, c, answer) }) })
	})
}

// send delivers an order in time, late, or never, and may lose its response.
func (w *simulation) send(n *instance, c *wasabiorder.Reconciler, e wasabiorder.SendOrder) {
	answer := wasabiorder.OrderResult{Fencing: e.Order.Fencing, Err: wasabiridge.ErrOutcomeUnknown.New("lost")}
	deliver := func() error { return w.engine[e.Server.ID].order(w.clock.Now(), e.Order) }
	reply := func(after wasabiridge.Millis) {
		w.after(after, func() { w.whenRunning(n, func() { w.feed(n, c, answer) }) })
	}
	switch {
	case w.lateness > 0 && w.chance(0.2):
		w.after(wasabiridge.Millis(w.rng.Int64N(int64(w.lateness))), func() { _ = deliver() })
		reply(e.Before - w.clock.Now())
	case w.chance(0.1):
		reply(e.Before - w.clock.Now())
	default:
		w.after(w.delay(), func() {
			if err := deliver(); !w.chance(0.2) {
				answer.Err = err
			}
			reply(w.delay())
		})
	}
}

// tickReconcilers ticks the reconcilers of an instance and replaces them when the
// target has changed.
func (w *simulation) tickReconcilers(n *instance) {
	if n.target != w.target {
		n.target = w.target
		for _, id := range []wasabiridge.BackendServerID{"checks", "ignores"} {
			order := wasabiridge.EngineOrder{Weights: w.target, Role: "decode"}
			n.reconcilers[id] = wasabiorder.NewReconciler(w.engine[id].server, order, wasabiorder.Timing{})
		}
	}
	for _, id := range []wasabiridge.BackendServerID{"checks", "ignores"} {
		w.feed(n, n.reconcilers[id], wasabiorder.Ticked{})
	}
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		clock: wasabiclock.NewVirtual(wasabiridge.Day), rng: rand.New(rand.NewPCG(seed, 3)), target: 1,
		engine: map[wasabiridge.BackendServerID]*engine{},
	}
	for _, id := range []wasabiridge.BackendServerID{"checks", "ignores"} {
		server := wasabiridge.BackendServer{ID: id, Kind: wasabiridge.BackendEngine, ChecksFencing: id == "checks"}
		w.engine[id] = &engine{server: server, state: wasabiridge.EngineState{Weights: 1}}
	}
	return w
}

func (w *simulation) addInstance(id string, grant func() wasabilease.Grant) *instance {
	n := &instance{id: id, grant: grant, reconcilers: map[wasabiridge.BackendServerID]*wasabiorder.Reconciler{}}
	w.instances = append(w.instances, n)
	return n
}

func (w *simulation) describe() string {
	return fmt.Sprintf("checks %+v ignores %+v", *w.engine["checks"], *w.engine["ignores"])
}

var noSleep = func(context.Context, wasabiridge.Millis) bool { return true }
