package wasabimember

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
)

// Machine decides whom to exchange heartbeats with, what they say, and who is
// alive. It is deterministic and not safe for concurrent use. Create it with
// New.
type Machine struct {
	self    *entry
	table   table
	probes  []*probe
	news    news
	leaving leavingBackends
	random  *rand.Rand

	started  wasabiridge.Millis
	lastTick wasabiridge.Millis
	// changed is when the set of living members last changed.
	changed   wasabiridge.Millis
	nextBeat  wasabiridge.Millis
	nextReach wasabiridge.Millis
	nextCheck wasabiridge.Millis
	turn      int
	// flooded is when news last went to all successors; floodDue says that
	// more waits.
	flooded  wasabiridge.Millis
	floodDue bool
	flood    allowance
	sync     allowance
	// cursor is the place in the table from which members are sent in turn.
	cursor int
	verify []*entry
	// watched are the successors as of the given change of the table.
	watched   []*entry
	watchedAt uint64

	effects []Effect
}

// New returns a machine that knows itself only.
func New(now wasabiridge.Millis, o Options) *Machine {
	m := &Machine{
		table:    table{byID: make(map[wasabiridge.InstanceID]*entry)},
		random:   rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		started:  now,
		lastTick: now,
		changed:  now,
		flood:    newAllowance(now, floodBurst, floodRate),
		sync:     newAllowance(now, syncBurst, syncRate),
	}
	m.nextBeat = now + m.jitter(beatInterval)
	m.nextReach = now + m.jitter(reachInterval)
	m.self = newEntry(wasabiridge.Member{InstanceEntry: o.Self, Incarnation: o.Incarnation})
	m.self.since, m.self.joined = now, now
	m.table.add(m.self)
	m.table.set(m.self, alive, func() {})
	return m
}

func (m *Machine) jitter(span wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(m.random.Int64N(int64(span)))
}

// Handle takes one event and returns what has to be done. The returned slice
// is valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case Ticked:
		m.tick(now)
	case Listed:
		m.listed(now, e.Entries)
	case Asked:
		m.heartbeat(now, e.Heartbeat)
		m.emit(Reply{Heartbeat: m.compose(now, m.table.get(e.Heartbeat.From.ID))})
	case Answered:
		m.heartbeat(now, e.Heartbeat)
	case LeaveStarted:
		m.leave(now)
	case ConfigInForce:
		m.configInForce(e.Version)
	case BackendsLeft:
		for _, b := range e.Backends {
			m.floodDue = m.leaving.add(now, b) || m.floodDue
		}
	case AnnounceWanted:
		m.announce(now, e.Count)
	}
	m.spread(now)
	return m.effects
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// Alive returns the members, with this instance, that are alive and not
// leaving, ordered by name.
func (m *Machine) Alive() []wasabiridge.Member {
	var out []wasabiridge.Member
	for _, e := range m.table.ordered {
		if e.state == alive && !e.member.Leaving {
			out = append(out, e.member)
		}
	}
	return out
}

// Members returns the other members that are not given up, leaving ones too,
// ordered by name.
func (m *Machine) Members() []wasabiridge.Member {
	var out []wasabiridge.Member
	for _, e := range m.table.ordered {
		if e.state == alive && e != m.self {
			out = append(out, e.member)
		}
	}
	return out
}

// Config returns the version of the configuration that heartbeats tell.
func (m *Machine) Config() wasabiridge.ConfigVersion { return m.self.member.Config }

func (m *Machine) leave(now wasabiridge.Millis) {
	if m.self.member.Leaving {
		return
	}
	m.table.set(m.self, alive, func() {
		m.self.member.Leaving = true
		m.self.member.Sequence++
	})
	m.note(now, m.self, 0)
}

func (m *Machine) configInForce(v wasabiridge.ConfigVersion) {
	if v <= m.self.member.Config {
		return
	}
	m.self.member.Config = v
	m.floodDue = true
}

// listed takes the platform's list. An entry of the list alone proves nothing:
// the list lags, so who is listed may be dead and who is not may live.
func (m *Machine) listed(now wasabiridge.Millis, entries []wasabiridge.InstanceEntry) {
	for _, e := range m.table.ordered {
		e.listed = false
	}
	for _, listed := range entries {
		e := m.table.get(listed.ID)
		if e == nil {
			e = newEntry(wasabiridge.Member{InstanceEntry: listed})
			m.table.add(e)
		}
		e.listed = true
		if e.state != alive && e != m.self {
			e.member.InstanceEntry = listed
		}
	}
	for i := len(m.table.ordered) - 1; i >= 0; i-- {
		e := m.table.ordered[i]
		if e.state == alive || e.listed || (e.state == dead && now-e.since < forgetAfter) {
			continue
		}
		m.table.remove(e)
	}
}

// note records a change that is age old and hands it on while it is news.
func (m *Machine) note(now wasabiridge.Millis, e *entry, age wasabiridge.Millis) {
	e.since = now - age
	m.changed = now
	m.emit(Changed{Member: e.member})
	if age > newsLife {
		return
	}
	m.news.add(e)
	m.floodDue = true
}
