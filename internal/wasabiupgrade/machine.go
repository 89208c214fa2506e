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
// serves the new version; then all instances are told so.
//
// # Orders without an answer
//
// Such an order may have been accepted, may be carried out seconds later, or
// never. The replica is read a moment later, and gets the order again unless it
// has accepted one. Every order names how many the replica had accepted before,
// so that of the two only one is carried out, and a late one cannot undo what a
// newer one brought.
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

const (
	// restLife is how long the others leave a replica alone without further
	// news. It covers a load with others beside it.
	restLife = 4 * wasabiridge.Second
	// restMost is how long a replica rests at most without an order.
	restMost = 2500 * wasabiridge.Millis(1)
	// retryAfter is how long a replica is left as it is that could not be read
	// or did not take its order.
	retryAfter = wasabiridge.Second
)

// Machine decides which replica gets which order when. It is deterministic and
// not safe for concurrent use.
type Machine struct {
	timing Timing
	// usual is the learned time from an order to its end.
	usual    wasabiridge.Millis
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
	t = t.withDefaults()
	return &Machine{
		timing: t, usual: t.Usual, replicas: map[unit]*replica{},
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
		m.stateRead(now, e)
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
			m.finish(now, r)
		case r.phase == ordered:
			m.watch(now, r)
		case now-r.since > restMost:
			// The lease has ended, or no place to load became free. The replica
			// serves on as it is.
			m.giveUp(now, r)
		}
	}
	if !m.holds(now) {
		return
	}
	loading, starting, serving := m.count(now)
	for _, id := range m.order {
		r := m.replicas[id]
		if r.phase == resting && now-r.since >= m.timing.Rest && loading < m.maxLoads() && r.asked && !r.busy {
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
		r.asked, r.busy = false, true
		starting++
		serving--
		m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: id.backend, Resting: restLife}}, ReadState{Server: r.server, Model: r.model})
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
			if !r.endsSoon(now, m.usual, m.timing.Rest) {
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
