// Package wasabiupgrade brings replicas to the weights that operators name.
//
// One instance at a time gives orders: the holder of a lease in the platform's
// table, whose fencing number goes with each order. A replica goes straight to
// the newest version, whatever was named in between.
//
// # One replica
//
// A replica is read before anything else: one that does not answer takes nobody's
// turn. While it waits for its turn to load, all instances are told that it takes
// only light work, so that it has little to finish then. Next they are told that
// it takes no new work. When it has had a short time to run dry it gets its
// order, and is read back until it serves the new version; then all instances are
// told so.
//
// # Orders without an answer
//
// Such an order may have been accepted, may be carried out seconds later, or
// never. The replica is read a moment later, and gets the order again unless it
// has accepted one. Every order names how many the replica had accepted before,
// so that of the two only one is carried out, and a late one cannot undo what a
// newer one brought. Until it is seen to load, such a replica serves light work as
// before, and another one has its place: engines that answer late would otherwise
// stand idle for seconds, all of those that may load at once.
//
// # How many at once
//
// The weight store serves few loads at full speed, and more take longer each; a
// pool should not miss more than a fifth of its replicas either. So many are away
// at once, and as many more take light work only. One that fell silent under its
// order does not count.
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
	// servingLeast is how many replicas must serve for one of them to go.
	servingLeast = 2
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
	// easeLife is how long a replica takes light work only without further news.
	// It covers the load of the replicas before it.
	easeLife = 4 * wasabiridge.Second
	// silentAfter is for how long a replica that loads may not be read until it
	// does not count any more among those that are away.
	silentAfter = 800 * wasabiridge.Millis(1)
	// retryAfter is how long a replica is left as it is that could not be read
	// or did not take its order.
	retryAfter = wasabiridge.Second
)

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
	t = t.withDefaults()
	return &Machine{
		timing: t, replicas: map[unit]*replica{},
		heard: map[wasabiridge.BackendServerID]wasabiridge.Millis{},
	}
}

// Handle takes one event and returns what has to be done. The returned slice is
// valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case Ticked:
		m.take(now, e)
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
func (m *Machine) take(now wasabiridge.Millis, e Ticked) {
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
			r.present = true
			if !r.live(now, entry.Server.Incarnation) {
				continue
			}
			entry.Server.Incarnation = r.life.Known()
			r.server = entry.Server
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
		m.advance(now, m.replicas[id])
	}
	if !m.holds(now) {
		return
	}
	for _, id := range m.order {
		r := m.replicas[id]
		if r.phase == resting && now-r.since >= m.timing.Rest && r.asked && !r.busy {
			m.send(now, r)
		}
	}
	m.begin(now)
}

// advance takes a replica on that is in some phase.
func (m *Machine) advance(now wasabiridge.Millis, r *replica) {
	switch {
	case r.phase == idle:
	case r.serves >= r.target && !r.busy:
		m.finish(now, r)
	case r.phase == ordered, r.phase == unanswered:
		m.watch(now, r)
	case r.phase == easing && now-r.since > easeLife, r.phase == resting && now-r.since > restMost:
		// The lease has ended, or no place to load became free. The replica
		// serves on as it is.
		m.giveUp(now, r)
	}
}

// begin lets the next replicas rest while fewer are away than may be, and as many
// more ease.
func (m *Machine) begin(now wasabiridge.Millis) {
	away, eased, serving := m.count(now)
	unsure := m.unsure()
	for _, id := range m.next() {
		r := m.replicas[id]
		if r.busy || r.serves >= m.wanted[r.model] {
			continue
		}
		switch {
		case r.phase == easing && away < m.maxLoads() && away+unsure < 2*m.maxLoads() && m.maySpare(serving):
			m.rest(now, r)
			away, eased, serving = away+1, eased-1, serving-1
		case r.phase == idle && away+eased < 2*m.maxLoads() && now >= r.notBefore && !m.isTurnOfOther(now, id.backend) && !m.isBusy(id.backend):
			r.phase, r.since, r.target = easing, now, m.wanted[r.model]
			r.told, r.busy = false, true
			eased++
			m.effects = append(m.effects, ReadState{Server: r.server, Model: r.model})
		}
	}
}

// maySpare reports whether one of so many replicas that serve may go. The last one
// goes only when it is the only one at all.
func (m *Machine) maySpare(serving int) bool {
	return serving >= servingLeast || len(m.order) == 1
}

// rest lets a replica run dry.
func (m *Machine) rest(now wasabiridge.Millis, r *replica) {
	r.phase, r.since, r.target = resting, now, m.wanted[r.model]
	r.asked, r.busy = false, true
	m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: r.server.ID, Resting: restLife}}, ReadState{Server: r.server, Model: r.model})
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

// next returns the replicas in the order of their turns. Those that ease come
// first, then those with the oldest weights: with versions named in quick
// succession, those at the end would otherwise never have their turn.
func (m *Machine) next() []unit {
	ids := slices.Clone(m.order)
	slices.SortStableFunc(ids, func(a, b unit) int {
		ra, rb := m.replicas[a], m.replicas[b]
		return cmp.Or(cmp.Compare(easesNot(ra), easesNot(rb)), cmp.Compare(ra.serves, rb.serves))
	})
	return ids
}

// easesNot is 0 for a replica that eases, and 1 for others.
func easesNot(r *replica) int {
	if r.phase == easing {
		return 0
	}
	return 1
}

// unsure counts the replicas that may carry out an order at any moment.
func (m *Machine) unsure() int {
	n := 0
	for _, r := range m.replicas {
		if r.phase == unanswered {
			n++
		}
	}
	return n
}

// count counts the replicas that are away, those that ease, and those that serve.
func (m *Machine) count(now wasabiridge.Millis) (away, eased, serving int) {
	for _, id := range m.order {
		switch r := m.replicas[id]; {
		case r.phase == resting, r.phase == ordered && !r.isSilent(now):
			away++
		case r.phase == ordered:
		case r.phase == easing:
			eased++
			serving++
		default:
			serving++
		}
	}
	return away, eased, serving
}
