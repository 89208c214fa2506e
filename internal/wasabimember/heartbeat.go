package wasabimember

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// receive applies a heartbeat: the sender's own state, its reports about other
// members, and its list of leaving backend servers.
func (m *Machine) receive(now wasabiridge.Millis, h wasabiridge.Heartbeat) {
	if h.From.ID == m.self.member.ID {
		return
	}
	m.applySender(now, h)
	for _, other := range h.Others {
		m.applyReport(now, h.From.ID, other)
	}
	var fresh []wasabiridge.BackendServerID
	for _, b := range h.LeavingBackends {
		if m.leaving.add(now, b) {
			fresh = append(fresh, b)
		}
	}
	if len(fresh) > 0 {
		m.broadcastDue = true
		m.emit(BackendsLeaving{Backends: fresh})
	}
}

// applySender applies what the sender reports about itself. The heartbeat
// proves that the sender is alive.
func (m *Machine) applySender(now wasabiridge.Millis, h wasabiridge.Heartbeat) {
	m.applyAlive(now, h.From)
	e := m.table.get(h.From.ID)
	if e == nil || e.state != alive || e.member.Incarnation != h.From.Incarnation {
		return
	}
	e.member.LastReceived = now
	m.table.suspect(e, false)
	e.member.Config = max(e.member.Config, h.From.Config)
	e.digest = h.Digest
	e.backoff, e.backoffUntil = 0, 0
	m.endProbe(e)
	m.confirmToRequesters(now, e)
	m.emit(MemberReceived{Member: e.member})
}

// applyReport applies what one instance reports about another.
func (m *Machine) applyReport(now wasabiridge.Millis, from wasabiridge.InstanceID, other wasabiridge.Member) {
	if other.ID == m.self.member.ID {
		m.refute(now, other)
		return
	}
	e := m.table.get(other.ID)
	switch {
	case other.Dead:
		m.applyDeath(now, other)
	case other.Suspect:
		m.indirectProbe(now, from, other)
	case other.ConfirmedAlive && e != nil && e.member.Incarnation == other.Incarnation:
		m.confirmedByOther(now, e)
	default:
		m.applyAlive(now, other)
	}
}

// refute supersedes a report of this instance's own death with a higher
// sequence number. Without it, an instance that was paused or partitioned would
// be considered dead for ever.
func (m *Machine) refute(now wasabiridge.Millis, report wasabiridge.Member) {
	self := &m.self.member
	if !report.Dead || report.Incarnation != self.Incarnation || report.Sequence < self.Sequence {
		return
	}
	self.Sequence = report.Sequence + 1
	m.recordChange(now, m.self, 0)
}

// applyAlive applies a report of a living member.
func (m *Machine) applyAlive(now wasabiridge.Millis, report wasabiridge.Member) {
	e := m.table.get(report.ID)
	if e == nil {
		if report.PeerAddress == "" {
			return
		}
		e = newEntry(report)
		m.table.add(e)
	}
	if e == m.self || !e.supersededBy(report) {
		return
	}
	// A new incarnation may have new addresses, so it is added only once they
	// are known. The platform's list may give no more than the peer address;
	// without this check such a member would be alive but have no address for
	// callers.
	newIncarnation := report.Incarnation != e.member.Incarnation || e.state == unverified
	if newIncarnation && report.PeerAddress == "" && (e.state != unverified || e.member.CallerURL == "") {
		return
	}
	m.table.set(e, alive, func() {
		entry := e.member.InstanceEntry
		if report.PeerAddress != "" {
			entry = report.InstanceEntry
		}
		entry.Leaving = report.Leaving
		e.member = wasabiridge.Member{
			InstanceEntry: entry, Incarnation: report.Incarnation, Sequence: report.Sequence, Detached: report.Detached, Strained: report.Strained,
			Config: max(e.member.Config, report.Config),
		}
	})
	if newIncarnation {
		e.joined = now - report.Age
		e.digest = 0
		m.endProbe(e)
	}
	m.recordChange(now, e, report.Age)
}

// applyDeath applies a report of a death.
func (m *Machine) applyDeath(now wasabiridge.Millis, report wasabiridge.Member) {
	e := m.table.get(report.ID)
	if e == nil || !e.supersededBy(report) {
		return
	}
	if e.state == alive && report.Age > updateLifetime {
		m.verifyDeath(e, report)
		return
	}
	m.markDead(now, e, report)
}

func (m *Machine) markDead(now wasabiridge.Millis, e *entry, report wasabiridge.Member) {
	known := e.state == alive
	m.table.set(e, dead, func() {
		e.member.Incarnation, e.member.Sequence = report.Incarnation, report.Sequence
		e.member.Dead, e.member.Suspect = true, false
	})
	m.endProbe(e)
	if !known {
		e.since = now - report.Age
		return
	}
	m.recordChange(now, e, report.Age)
}

// compose builds a heartbeat for another instance. to is nil for an instance
// that is not in the table.
func (m *Machine) compose(now wasabiridge.Millis, to *entry) wasabiridge.Heartbeat {
	h := wasabiridge.Heartbeat{
		From:            m.self.member,
		LeavingBackends: m.leaving.take(now),
		Digest:          m.table.digest,
	}
	agreed := to != nil && to.digest == m.table.digest
	h.From.Age = min(now-m.self.since, wasabiridge.Minute)
	if agreed && now-m.self.joined > joinPeriod {
		h.From = withoutAddresses(h.From)
	}
	included := []*entry{m.self, to}
	if to != nil && to.state == dead {
		h.Others = append(h.Others, m.describe(now, to))
	}
	if agreed {
		// The digests match, so the receiver has the same members and no update
		// can be new to it.
		return h
	}
	for _, e := range m.updates.take(now, updatesPerMessage) {
		if slices.Contains(included, e) {
			continue
		}
		included = append(included, e)
		h.Others = append(h.Others, m.describe(now, e))
	}
	if to == nil || to.digest == 0 || agreed || !m.syncAllowed(now, to) {
		return h
	}
	for range min(syncPerMessage, len(m.table.ordered)) {
		e := m.nextForSync()
		if e == nil || slices.Contains(included, e) {
			continue
		}
		if !m.syncBudget.spend(now) {
			break
		}
		included = append(included, e)
		full := m.describe(now, e)
		full.InstanceEntry = e.member.InstanceEntry
		h.Others = append(h.Others, full)
	}
	return h
}

// syncAllowed reports whether differing digests cause members to be sent. While
// updates are still spreading, digests differ anyway.
func (m *Machine) syncAllowed(now wasabiridge.Millis, to *entry) bool {
	return now-m.changed > settleTime || now-m.started < joinPeriod || now-to.joined < joinPeriod
}

// nextForSync returns the next entry of the table that is not known from the
// platform's list alone, or nil when there is none.
func (m *Machine) nextForSync() *entry {
	for range m.table.ordered {
		m.cursor = (m.cursor + 1) % len(m.table.ordered)
		if e := m.table.ordered[m.cursor]; e.state != unverified {
			return e
		}
	}
	return nil
}

// describe returns the report about an entry that other instances receive. Only
// reports of new members carry addresses; for all others the receiver has them
// from the platform's list or from the first report.
func (m *Machine) describe(now wasabiridge.Millis, e *entry) wasabiridge.Member {
	out := e.member
	out.Config, out.LastReceived, out.Suspect = 0, 0, false
	out.Dead = e.state == dead
	out.Age = now - e.since
	if out.Dead || now-e.joined > joinPeriod {
		out = withoutAddresses(out)
	}
	return out
}

// withoutAddresses clears the fields that do not change within an incarnation.
func withoutAddresses(m wasabiridge.Member) wasabiridge.Member {
	m.PeerAddress, m.CallerURL, m.Zone, m.Region = "", "", "", ""
	return m
}
