package wasabimember

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
)

// Machine decides which instances to exchange heartbeats with, what the
// heartbeats contain, and which members are alive. It is deterministic and not
// safe for concurrent use. Create it with New.
type Machine struct {
	self    *entry
	table   table
	probes  []*probe
	updates updateQueue
	leaving leavingBackends
	random  *rand.Rand

	started  wasabiridge.Millis
	lastTick wasabiridge.Millis
	// changed is when the set of living members last changed.
	changed       wasabiridge.Millis
	nextHeartbeat wasabiridge.Millis
	nextContact   wasabiridge.Millis
	nextVerify    wasabiridge.Millis
	rotation      int
	// lastBroadcast is when updates were last sent to all successors;
	// broadcastDue is set while more are waiting.
	lastBroadcast   wasabiridge.Millis
	broadcastDue    bool
	broadcastBudget tokenBucket
	syncBudget      tokenBucket
	// cursor is the position in the table up to which members were sent because
	// digests differed.
	cursor int
	verify []*entry
	// watched caches the successors as of the table version watchedAt.
	watched   []*entry
	watchedAt uint64

	effects []Effect
}

// New returns a machine whose table contains its own instance only.
func New(now wasabiridge.Millis, o Options) *Machine {
	m := &Machine{
		table:           table{byID: make(map[wasabiridge.InstanceID]*entry)},
		random:          rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		started:         now,
		lastTick:        now,
		changed:         now,
		broadcastBudget: newTokenBucket(now, broadcastBurst, broadcastRate),
		syncBudget:      newTokenBucket(now, syncBurst, syncRate),
	}
	m.nextHeartbeat = now + m.jitter(heartbeatInterval)
	m.nextContact = now + m.jitter(contactInterval)
	m.self = newEntry(wasabiridge.Member{InstanceEntry: o.Self, Incarnation: o.Incarnation})
	m.self.since, m.self.joined = now, now
	m.table.add(m.self)
	m.table.set(m.self, alive, func() {})
	return m
}

func (m *Machine) jitter(span wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(m.random.Int64N(int64(span)))
}

// Handle applies one event and returns the requested effects. The returned
// slice is valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	switch e := e.(type) {
	case Ticked:
		m.tick(now)
	case ListRead:
		m.listed(now, e.Entries)
	case HeartbeatReceived:
		m.receive(now, e.Heartbeat)
		m.emit(Reply{Heartbeat: m.compose(now, m.table.get(e.Heartbeat.From.ID))})
	case ResponseReceived:
		m.receive(now, e.Heartbeat)
	case LeaveStarted:
		m.leave(now)
	case ConfigChanged:
		m.configChanged(e.Version)
	case DetachedChanged:
		m.detachedChanged(now, e.Detached)
	case StrainedChanged:
		m.strainedChanged(now, e.Strained)
	case BackendsLeft:
		for _, b := range e.Backends {
			m.broadcastDue = m.leaving.add(now, b) || m.broadcastDue
		}
	case AnnounceRequested:
		m.announce(now, e.Count)
	}
	m.broadcast(now)
	return m.effects
}

// IsBusy reports whether anything is due within less than a heartbeat interval: a probe that
// is not answered yet, an update that has not been sent, or the heartbeats of an instance that
// has just started.
func (m *Machine) IsBusy() bool {
	return len(m.probes) > 0 || m.broadcastDue || m.isJoining(m.lastTick)
}

// isJoining reports whether this instance has just started and its view still grows.
func (m *Machine) isJoining(now wasabiridge.Millis) bool {
	return now-m.started < joinPeriod && now-m.changed < settleTime
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

// Alive returns the members that are alive and not leaving, including this
// instance, ordered by name.
func (m *Machine) Alive() []wasabiridge.Member {
	var out []wasabiridge.Member
	for _, e := range m.table.ordered {
		if e.state == alive && !e.member.Leaving {
			out = append(out, e.member)
		}
	}
	return out
}

// Members returns the other members that are not dead, including those that are
// leaving, ordered by name.
func (m *Machine) Members() []wasabiridge.Member {
	var out []wasabiridge.Member
	for _, e := range m.table.ordered {
		if e.state == alive && e != m.self {
			out = append(out, e.member)
		}
	}
	return out
}

// Config returns the version of the configuration that heartbeats carry.
func (m *Machine) Config() wasabiridge.ConfigVersion { return m.self.member.Config }

func (m *Machine) leave(now wasabiridge.Millis) {
	if m.self.member.Leaving {
		return
	}
	m.table.set(m.self, alive, func() {
		m.self.member.Leaving = true
		m.self.member.Sequence++
	})
	m.recordChange(now, m.self, 0)
}

func (m *Machine) detachedChanged(now wasabiridge.Millis, detached bool) {
	if m.self.member.Detached == detached {
		return
	}
	m.table.set(m.self, alive, func() {
		m.self.member.Detached = detached
		m.self.member.Sequence++
	})
	m.recordChange(now, m.self, 0)
}

func (m *Machine) strainedChanged(now wasabiridge.Millis, strained bool) {
	if m.self.member.Strained == strained {
		return
	}
	m.table.set(m.self, alive, func() {
		m.self.member.Strained = strained
		m.self.member.Sequence++
	})
	m.recordChange(now, m.self, 0)
}

func (m *Machine) configChanged(v wasabiridge.ConfigVersion) {
	if v <= m.self.member.Config {
		return
	}
	m.self.member.Config = v
	m.broadcastDue = true
}

// listed applies the platform's list. A list entry alone proves nothing: the
// list lags, so a listed instance may be dead and an unlisted one may be alive.
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

// recordChange records a change that happened age ago, and queues it as an
// update unless it is older than updateLifetime.
func (m *Machine) recordChange(now wasabiridge.Millis, e *entry, age wasabiridge.Millis) {
	e.since = now - age
	m.changed = now
	m.emit(Changed{Member: e.member})
	if age > updateLifetime {
		return
	}
	m.updates.add(e)
	m.broadcastDue = true
}
