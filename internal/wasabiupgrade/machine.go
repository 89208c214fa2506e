// Package wasabiupgrade brings replicas to the weights that operators name.
//
// One instance at a time gives orders: the holder of a lease in the platform's
// table, whose fencing number goes with each order. A replica goes straight to
// the newest version, whatever was named in between.
//
// # One replica
//
// First all instances are told that the replica takes no new work. When it has
// had a short time to run dry it gets its order, and is read back until it
// serves the new version; then all instances are told so. An order without an
// answer may still be carried out; orders are absolute, so the replica is read
// back all the same and gets the order again if need be.
//
// # How many at once
//
// The weight store serves few loads at full speed, and more take longer each; a
// pool should not miss more than a fifth of its replicas either. The next
// replicas begin to run dry shortly before the loads before them are expected
// to end.
//
// # Turns of holders
//
// Orders of an earlier holder may still be on their way when its lease has
// ended. Instances hear of each other's orders, so a new holder leaves a
// replica alone for the length of a turn after another one has told of it.
//
// # Usage
//
//	keeper := wasabiupgrade.NewKeeper(wasabiupgrade.Options{
//		Self: "pos-1", Clock: clock, Table: table, Engines: engines, Catalog: view, Tell: tell,
//	})
//	go keeper.Run(ctx)
package wasabiupgrade

import (
	"cmp"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// Timing sets the pace. A zero field takes its default.
type Timing struct {
	// MaxLoads is how many replicas load at once. The default is a fifth of
	// all, and at least 2.
	MaxLoads int
	// Rest is how long a replica runs dry before its order, 200 ms by default:
	// most answers take less, and those that take longer are finished under
	// the old weights.
	Rest wasabiridge.Millis
	// Load is how long a load takes at least, 1.1 s by default, and Usual how
	// long it usually takes from the order on, with the answers that are
	// finished before it, 1.4 s by default.
	Load  wasabiridge.Millis
	Usual wasabiridge.Millis
	// Poll is the time between two readings of a replica that loads, 200 ms by
	// default.
	Poll wasabiridge.Millis
	// Patience is how long after an order a replica that does not serve the
	// new version gets it again, 5 s by default: orders may be carried out
	// late.
	Patience wasabiridge.Millis
	// Turn is how long orders of two holders to one replica lie apart, 3 s by
	// default.
	Turn wasabiridge.Millis
	// OrderTime bounds one order. The lease must cover it. 800 ms by default.
	OrderTime wasabiridge.Millis
}

func (t Timing) withDefaults() Timing {
	set := func(field *wasabiridge.Millis, value wasabiridge.Millis) {
		if *field == 0 {
			*field = value
		}
	}
	set(&t.Rest, 200)
	set(&t.Load, 1100)
	set(&t.Usual, 1400)
	set(&t.Poll, 200)
	set(&t.Patience, 5*wasabiridge.Second)
	set(&t.Turn, 3*wasabiridge.Second)
	set(&t.OrderTime, 800)
	return t
}

const (
	// loadsLeast is how many replicas may load at once however few there are,
	// loadShare the part of them that may when there are many.
	loadsLeast = 2
	loadShare  = 5
)

// maxLoads is how many replicas may load at once.
func (m *Machine) maxLoads() int {
	if m.timing.MaxLoads > 0 {
		return m.timing.MaxLoads
	}
	return max(loadsLeast, len(m.order)/loadShare)
}

// restLife is how long the others leave a replica alone without further news.
// It covers a load with others beside it.
const restLife = 4 * wasabiridge.Second

// Event is something that the machine is told.
type Event interface{ isEvent() }

// Ticked says that time has passed, what the platform lists, which weights are
// wanted, and the lease.
type Ticked struct {
	Entries []wasabiridge.BackendEntry
	Wanted  map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	Grant   wasabilease.Grant
}

// Ordered is the outcome of a SendOrder.
type Ordered struct {
	Backend wasabiridge.BackendServerID
	Model   wasabiridge.ModelID
	Fencing wasabiridge.FencingNumber
	Fenced  bool
	Refused bool
}

// StateRead is the outcome of a ReadState.
type StateRead struct {
	Backend wasabiridge.BackendServerID
	Model   wasabiridge.ModelID
	State   wasabiridge.EngineState
	Failed  bool
}

// Heard says that another instance told of a replica, as it does when it gives
// orders.
type Heard struct{ Backend wasabiridge.BackendServerID }

func (Ticked) isEvent()    {}
func (Heard) isEvent()     {}
func (Ordered) isEvent()   {}
func (StateRead) isEvent() {}

// Effect is something that the machine wants done.
type Effect interface{ isEffect() }

// Tell asks to tell all instances, this one included.
type Tell struct{ News wasabiridge.RestNews }

// SendOrder asks for an order that must not be sent after Before.
type SendOrder struct {
	Server wasabiridge.BackendServer
	Order  wasabiridge.EngineOrder
	Before wasabiridge.Millis
}

// ReadState asks what a replica is now.
type ReadState struct {
	Server wasabiridge.BackendServer
	Model  wasabiridge.ModelID
}

func (Tell) isEffect()      {}
func (SendOrder) isEffect() {}
func (ReadState) isEffect() {}

// phase is how far a replica is.
type phase uint8

const (
	idle phase = iota
	// resting replicas run dry.
	resting
	// ordered replicas load, or are about to.
	ordered
)

// unit is a model at a replica.
type unit struct {
	backend wasabiridge.BackendServerID
	model   wasabiridge.ModelID
}

// replica is a unit that needs new weights, or did.
type replica struct {
	server wasabiridge.BackendServer
	model  wasabiridge.ModelID
	// serves is the newest version that the replica was seen to serve.
	serves wasabiridge.WeightsVersion
	phase  phase
	target wasabiridge.WeightsVersion
	// since is when the phase began, readAt when the replica is read next.
	since   wasabiridge.Millis
	readAt  wasabiridge.Millis
	busy    bool
	present bool
	// notBefore delays the next try after a refused order.
	notBefore wasabiridge.Millis
}

// Machine decides which replica gets which order when. It is deterministic and
// not safe for concurrent use.
type Machine struct {
	timing   Timing
	replicas map[unit]*replica
	order    []unit
	wanted   map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	grant    wasabilease.Grant
	// heard is when another instance last told of a replica.
	heard map[wasabiridge.BackendServerID]wasabiridge.Millis
	// fenced is the fencing number that a replica refused.
	fenced  wasabiridge.FencingNumber
	effects []Effect
}

// NewMachine returns a machine that knows no replica.
func NewMachine(t Timing) *Machine {
	return &Machine{
		timing: t.withDefaults(), replicas: map[unit]*replica{},
		heard: map[wasabiridge.BackendServerID]wasabiridge.Millis{},
	}
}

// Handle takes one event and returns what has to be done. The returned slice is
// valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case Ticked:
		m.take(e)
		m.grant = e.Grant
		m.step(now)
	case Ordered:
		m.ordered(now, e)
	case StateRead:
		m.stateRead(e)
	case Heard:
		m.heard[e.Backend] = now
	}
	return m.effects
}

// Outstanding counts the replicas that do not serve the weights that are
// wanted.
func (m *Machine) Outstanding() int {
	n := 0
	for _, id := range m.order {
		if r := m.replicas[id]; r.serves < m.wanted[r.model] {
			n++
		}
	}
	return n
}

// take notes what the platform lists.
func (m *Machine) take(e Ticked) {
	m.wanted = e.Wanted
	for _, r := range m.replicas {
		r.present = false
	}
	m.order = m.order[:0]
	for _, entry := range e.Entries {
		if entry.Leaving || entry.Lapsed {
			continue
		}
		for model, version := range entry.Weights {
			if e.Wanted[model] == 0 {
				continue
			}
			u := unit{entry.Server.ID, model}
			r := m.replicas[u]
			if r == nil {
				r = &replica{server: entry.Server, model: model}
				m.replicas[u] = r
			}
			r.present, r.server = true, entry.Server
			r.serves = max(r.serves, version)
		}
	}
	for id, r := range m.replicas {
		if !r.present {
			delete(m.replicas, id)
			delete(m.heard, id.backend)
			continue
		}
		m.order = append(m.order, id)
	}
	slices.SortFunc(m.order, func(a, b unit) int {
		return cmp.Or(cmp.Compare(a.backend, b.backend), cmp.Compare(a.model, b.model))
	})
}

// holds reports whether this instance may give an order now.
func (m *Machine) holds(now wasabiridge.Millis) bool {
	return m.grant.Covers(now, m.timing.OrderTime) && m.fenced < m.grant.Fencing
}

// step lets every replica go on.
func (m *Machine) step(now wasabiridge.Millis) {
	for _, id := range m.order {
		r := m.replicas[id]
		switch {
		case r.phase == idle:
		case r.serves >= r.target && !r.busy:
			m.finish(r)
		case r.phase == ordered:
			m.watch(now, r)
		case now-r.since > restLife:
			// The lease ended before the order; the others have taken the
			// replica up again.
			r.phase = idle
		}
	}
	if !m.holds(now) {
		return
	}
	loading, starting, serving := m.count(now)
	for _, id := range m.order {
		r := m.replicas[id]
		if r.phase == resting && now-r.since >= m.timing.Rest && loading < m.maxLoads() && !r.busy {
			m.send(now, r)
			loading++
		}
	}
	for _, id := range m.oldestFirst() {
		r := m.replicas[id]
		if r.phase != idle || r.serves >= m.wanted[r.model] || now < r.notBefore || m.isTurnOfOther(now, id.backend) || m.isBusy(id.backend) || starting >= m.maxLoads() || serving < 2 && len(m.order) > 1 {
			continue
		}
		r.phase, r.since, r.target = resting, now, m.wanted[r.model]
		starting++
		serving--
		m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: id.backend, Resting: restLife}})
	}
}

// isTurnOfOther reports whether another instance may have given the replica an
// order a short time ago.
func (m *Machine) isTurnOfOther(now wasabiridge.Millis, id wasabiridge.BackendServerID) bool {
	at, ok := m.heard[id]
	return ok && now-at < m.timing.Turn
}

// isBusy reports whether a replica rests or loads for any of its models. It
// takes one order at a time.
func (m *Machine) isBusy(id wasabiridge.BackendServerID) bool {
	for _, u := range m.order {
		if u.backend == id && m.replicas[u].phase != idle {
			return true
		}
	}
	return false
}

// oldestFirst returns the replicas with the oldest weights first: with versions
// named in quick succession, those at the end would otherwise never have their
// turn.
func (m *Machine) oldestFirst() []unit {
	ids := slices.Clone(m.order)
	slices.SortStableFunc(ids, func(a, b unit) int {
		return cmp.Compare(m.replicas[a].serves, m.replicas[b].serves)
	})
	return ids
}

// count counts the replicas that load, those that take up the place of a load
// when the rest of the next one is over, and those that serve.
func (m *Machine) count(now wasabiridge.Millis) (loading, starting, serving int) {
	for _, id := range m.order {
		switch r := m.replicas[id]; r.phase {
		case ordered:
			loading++
			if now-r.since < m.timing.Usual-m.timing.Rest {
				starting++
			}
		case resting:
			starting++
		default:
			serving++
		}
	}
	return loading, starting, serving
}

func (m *Machine) send(now wasabiridge.Millis, r *replica) {
	r.phase, r.since, r.busy = ordered, now, true
	r.target = max(r.target, m.wanted[r.model])
	r.readAt = now + m.timing.Load
	m.effects = append(m.effects, SendOrder{
		Server: r.server,
		Order:  wasabiridge.EngineOrder{Model: r.model, Weights: r.target, Fencing: m.grant.Fencing},
		Before: min(now+m.timing.OrderTime, m.grant.Until),
	})
}

// watch reads a replica back that loads, and gives it up when it takes too
// long; then it is tried again.
func (m *Machine) watch(now wasabiridge.Millis, r *replica) {
	if r.busy {
		return
	}
	if now-r.since > m.timing.Patience {
		r.phase = idle
		m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: r.server.ID}})
		return
	}
	if now >= r.readAt {
		r.busy, r.readAt = true, now+m.timing.Poll
		m.effects = append(m.effects, ReadState{Server: r.server, Model: r.model})
	}
}

func (m *Machine) ordered(now wasabiridge.Millis, e Ordered) {
	r := m.replicas[unit{e.Backend, e.Model}]
	if e.Fenced {
		m.fenced = max(m.fenced, e.Fencing)
	}
	if r == nil {
		return
	}
	r.busy = false
	if e.Fenced || e.Refused {
		// Nothing was ordered. The replica serves on as it is.
		r.phase, r.notBefore = idle, now+wasabiridge.Second
		m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: e.Backend}})
	}
}

func (m *Machine) stateRead(e StateRead) {
	r := m.replicas[unit{e.Backend, e.Model}]
	if r == nil {
		return
	}
	r.busy = false
	serves := e.State.Weights
	if e.State.Models != nil {
		serves = e.State.Models[e.Model]
	}
	if e.Failed || e.State.Loading || serves < r.target {
		return
	}
	r.serves = max(r.serves, serves)
	if r.phase != idle {
		m.finish(r)
	}
}

// finish lets a replica serve again.
func (m *Machine) finish(r *replica) {
	r.phase = idle
	m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: r.server.ID, Model: r.model, Weights: r.serves}})
}
