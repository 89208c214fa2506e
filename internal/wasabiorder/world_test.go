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

// engine is a small model of a model engine that takes orders.
type engine struct {
	server  wasabiridge.BackendServer
	state   wasabiridge.EngineState
	next    wasabiridge.WeightsVersion
	readyAt wasabiridge.Millis
	// refused counts orders with an old fencing number.
	refused int
	// regressed counts orders that took the engine back to older weights.
	regressed int
}

const loadTime = wasabiridge.Second

func (e *engine) settle(now wasabiridge.Millis) {
	if e.state.Loading && now >= e.readyAt {
		e.state.Loading, e.state.Weights = false, e.next
	}
}

func (e *engine) order(now wasabiridge.Millis, o wasabiridge.EngineOrder) error {
	e.settle(now)
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

// world is a few instances, engines and a network in virtual time.
type world struct {
	clock  *wasabiclock.Virtual
	rng    *rand.Rand
	agenda wasabitest.Agenda
	calm   bool
	nodes  []*node
	engine map[wasabiridge.BackendServerID]*engine
	// target is the version that all engines should have.
	target wasabiridge.WeightsVersion
	// lateness bounds how late a stray order arrives.
	lateness wasabiridge.Millis
}

// node is one instance: its lease and its courses.
type node struct {
	id      string
	grant   func() wasabilease.Grant
	paused  wasabiridge.Millis
	target  wasabiridge.WeightsVersion
	courses map[wasabiridge.BackendServerID]*wasabiorder.Course
}

func (w *world) after(span wasabiridge.Millis, run func()) {
	w.agenda.Add(w.clock.Now()+span, run)
}

func (w *world) run(until wasabiridge.Millis) {
	move := func(at wasabiridge.Millis) { w.clock.Advance(at - w.clock.Now()) }
	w.agenda.Run(until, move)
	move(until)
}

func (w *world) chance(p float64) bool { return !w.calm && w.rng.Float64() < p }

func (w *world) delay() wasabiridge.Millis {
	return 1 + wasabiridge.Millis(w.rng.IntN(100))
}

// whenAwake runs a step of a node now, or when its pause is over.
func (w *world) whenAwake(n *node, run func()) {
	if rest := n.paused - w.clock.Now(); rest > 0 {
		w.after(rest, run)
		return
	}
	run()
}

// feed hands an event to a course and carries out its effects.
func (w *world) feed(n *node, c *wasabiorder.Course, e wasabiorder.Event) {
	for _, effect := range c.Handle(w.clock.Now(), n.grant(), true, e) {
		switch e := effect.(type) {
		case wasabiorder.ReadState:
			w.read(n, c, e)
		case wasabiorder.SendOrder:
			w.send(n, c, e)
		}
	}
}

func (w *world) read(n *node, c *wasabiorder.Course, e wasabiorder.ReadState) {
	answer := wasabiorder.StateRead{Fencing: e.Fencing, Err: wasabiridge.ErrUnavailable.New("lost")}
	if w.chance(0.1) {
		w.after(e.TimeLimit, func() { w.whenAwake(n, func() { w.feed(n, c, answer) }) })
		return
	}
	w.after(w.delay(), func() {
		eng := w.engine[e.Server.ID]
		eng.settle(w.clock.Now())
		answer.State, answer.Err = eng.state, nil
		w.after(w.delay(), func() { w.whenAwake(n, func() { w.feed(n, c, answer) }) })
	})
}

// send delivers an order in time, late, or never, and may lose its answer.
func (w *world) send(n *node, c *wasabiorder.Course, e wasabiorder.SendOrder) {
	answer := wasabiorder.OrderAnswered{Fencing: e.Order.Fencing, Err: wasabiridge.ErrOutcomeUnknown.New("lost")}
	deliver := func() error { return w.engine[e.Server.ID].order(w.clock.Now(), e.Order) }
	reply := func(after wasabiridge.Millis) {
		w.after(after, func() { w.whenAwake(n, func() { w.feed(n, c, answer) }) })
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

// steer ticks the courses of a node and renews them when the target rises.
func (w *world) steer(n *node) {
	if n.target != w.target {
		n.target = w.target
		for _, id := range []wasabiridge.BackendServerID{"checks", "ignores"} {
			order := wasabiridge.EngineOrder{Weights: w.target, Role: "decode"}
			n.courses[id] = wasabiorder.NewCourse(w.engine[id].server, order, wasabiorder.Timing{})
		}
	}
	for _, id := range []wasabiridge.BackendServerID{"checks", "ignores"} {
		w.feed(n, n.courses[id], wasabiorder.Ticked{})
	}
}

func newWorld(seed uint64) *world {
	w := &world{
		clock: wasabiclock.NewVirtual(wasabiridge.Day), rng: rand.New(rand.NewPCG(seed, 3)), target: 1,
		engine: map[wasabiridge.BackendServerID]*engine{},
	}
	for _, id := range []wasabiridge.BackendServerID{"checks", "ignores"} {
		server := wasabiridge.BackendServer{ID: id, Kind: wasabiridge.BackendEngine, ChecksFencing: id == "checks"}
		w.engine[id] = &engine{server: server, state: wasabiridge.EngineState{Weights: 1}}
	}
	return w
}

func (w *world) addNode(id string, grant func() wasabilease.Grant) *node {
	n := &node{id: id, grant: grant, courses: map[wasabiridge.BackendServerID]*wasabiorder.Course{}}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) describe() string {
	return fmt.Sprintf("checks %+v ignores %+v", *w.engine["checks"], *w.engine["ignores"])
}

var noWait = func(context.Context, wasabiridge.Millis) bool { return true }
