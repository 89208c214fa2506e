package wasabimember

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// heartbeat takes what another instance says of itself and of others.
func (m *Machine) heartbeat(now wasabiridge.Millis, h wasabiridge.Heartbeat) {
	if h.From.ID == m.self.member.ID {
		return
	}
	m.speaker(now, h)
	for _, other := range h.Others {
		m.hearsay(now, h.From.ID, other)
	}
	var fresh []wasabiridge.BackendServerID
	for _, b := range h.LeavingBackends {
		if m.leaving.add(now, b) {
			fresh = append(fresh, b)
		}
	}
	if len(fresh) > 0 {
		m.floodDue = true
		m.emit(BackendsLeaving{Backends: fresh})
	}
}

// speaker takes what the sender says of itself. That it speaks proves that it
// is alive.
func (m *Machine) speaker(now wasabiridge.Millis, h wasabiridge.Heartbeat) {
	m.alive(now, h.From)
	e := m.table.get(h.From.ID)
	if e == nil || e.state != alive || e.member.Incarnation != h.From.Incarnation {
		return
	}
	e.member.Heard = now
	m.table.suspect(e, false)
	e.member.Config = max(e.member.Config, h.From.Config)
	e.digest = h.Digest
	e.rest, e.restUntil = 0, 0
	m.answered(e)
	m.vouch(now, e)
	m.emit(Heard{Member: e.member})
}

// hearsay takes what one instance says of another.
func (m *Machine) hearsay(now wasabiridge.Millis, from wasabiridge.InstanceID, other wasabiridge.Member) {
	if other.ID == m.self.member.ID {
		m.refute(now, other)
		return
	}
	e := m.table.get(other.ID)
	switch {
	case other.Dead:
		m.death(now, other)
	case other.Suspect:
		m.asked(now, from, other)
	case other.Vouched && e != nil && e.member.Incarnation == other.Incarnation:
		m.vouchedFor(now, e)
	default:
		m.alive(now, other)
	}
}

// refute outdoes news of this instance's own death. Without it, an instance
// that was paused or cut off would stay given up for ever.
func (m *Machine) refute(now wasabiridge.Millis, said wasabiridge.Member) {
	self := &m.self.member
	if !said.Dead || said.Incarnation != self.Incarnation || said.Sequence < self.Sequence {
		return
	}
	self.Sequence = said.Sequence + 1
	m.note(now, m.self, 0)
}

// alive takes news of a living member.
func (m *Machine) alive(now wasabiridge.Millis, said wasabiridge.Member) {
	e := m.table.get(said.ID)
	if e == nil {
		if said.PeerAddress == "" {
			return
		}
		e = newEntry(said)
		m.table.add(e)
	}
	if e == m.self || !e.outdone(said) {
		return
	}
	// A new life may have new addresses, so it counts once they are known. A
	// list may name no more than the peer address; such a member would count as
	// alive without an address for callers.
	newLife := said.Incarnation != e.member.Incarnation || e.state == unproven
	if newLife && said.PeerAddress == "" && (e.state != unproven || e.member.CallerURL == "") {
		return
	}
	m.table.set(e, alive, func() {
		entry := e.member.InstanceEntry
		if said.PeerAddress != "" {
			entry = said.InstanceEntry
		}
		entry.Leaving = said.Leaving
		e.member = wasabiridge.Member{
			InstanceEntry: entry, Incarnation: said.Incarnation, Sequence: said.Sequence,
			Config: max(e.member.Config, said.Config),
		}
	})
	if newLife {
		e.joined = now - said.Age
		e.digest = 0
		m.answered(e)
	}
	m.note(now, e, said.Age)
}

// death takes news of a death.
func (m *Machine) death(now wasabiridge.Millis, said wasabiridge.Member) {
	e := m.table.get(said.ID)
	if e == nil || !e.outdone(said) {
		return
	}
	if e.state == alive && said.Age > newsLife {
		m.doubt(e, said)
		return
	}
	m.bury(now, e, said)
}

func (m *Machine) bury(now wasabiridge.Millis, e *entry, said wasabiridge.Member) {
	known := e.state == alive
	m.table.set(e, dead, func() {
		e.member.Incarnation, e.member.Sequence = said.Incarnation, said.Sequence
		e.member.Dead, e.member.Suspect = true, false
	})
	m.answered(e)
	if !known {
		e.since = now - said.Age
		return
	}
	m.note(now, e, said.Age)
}

// compose writes a heartbeat for another instance, which may be unknown.
func (m *Machine) compose(now wasabiridge.Millis, to *entry) wasabiridge.Heartbeat {
	h := wasabiridge.Heartbeat{
		From:            m.self.member,
		LeavingBackends: m.leaving.take(now),
		Digest:          m.table.digest,
	}
	agreed := to != nil && to.digest == m.table.digest
	h.From.Age = min(now-m.self.since, wasabiridge.Minute)
	if agreed && now-m.self.joined > youth {
		h.From = brief(h.From)
	}
	said := []*entry{m.self, to}
	if to != nil && to.state == dead {
		h.Others = append(h.Others, m.describe(now, to))
	}
	if agreed {
		// It knows the same members: no news can be new to it.
		return h
	}
	for _, e := range m.news.take(now, newsPerMessage) {
		if slices.Contains(said, e) {
			continue
		}
		said = append(said, e)
		h.Others = append(h.Others, m.describe(now, e))
	}
	if to == nil || to.digest == 0 || agreed || !m.mayCompare(now, to) {
		return h
	}
	for range min(syncPerMessage, len(m.table.ordered)) {
		e := m.inTurn()
		if e == nil || slices.Contains(said, e) {
			continue
		}
		if !m.sync.spend(now) {
			break
		}
		said = append(said, e)
		full := m.describe(now, e)
		full.InstanceEntry = e.member.InstanceEntry
		h.Others = append(h.Others, full)
	}
	return h
}

// mayCompare reports whether members are sent in turn because digests differ.
// While news is under way digests differ anyhow.
func (m *Machine) mayCompare(now wasabiridge.Millis, to *entry) bool {
	return now-m.changed > settled || now-m.started < youth || now-to.joined < youth
}

// inTurn returns the next entry of the table that something is known of.
func (m *Machine) inTurn() *entry {
	for range m.table.ordered {
		m.cursor = (m.cursor + 1) % len(m.table.ordered)
		if e := m.table.ordered[m.cursor]; e.state != unproven {
			return e
		}
	}
	return nil
}

// describe writes an entry as others need it. Addresses go with new members
// only, everyone else has them from the list or from the first news.
func (m *Machine) describe(now wasabiridge.Millis, e *entry) wasabiridge.Member {
	out := e.member
	out.Config, out.Heard, out.Suspect = 0, 0, false
	out.Dead = e.state == dead
	out.Age = now - e.since
	if out.Dead || now-e.joined > youth {
		out = brief(out)
	}
	return out
}

// brief leaves out what does not change during the life of a member.
func brief(m wasabiridge.Member) wasabiridge.Member {
	m.PeerAddress, m.CallerURL, m.Zone, m.Region = "", "", "", ""
	return m
}
