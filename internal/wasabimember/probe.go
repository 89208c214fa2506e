package wasabimember

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// probe tracks heartbeats to a member that has not answered yet.
type probe struct {
	entry       *entry
	first, last wasabiridge.Millis
	// suspected is when the other watchers were asked to probe the member. Zero
	// means not yet.
	suspected wasabiridge.Millis
}

// successors returns the members that this instance watches.
func (m *Machine) successors() []*entry {
	if m.watchedAt != m.table.changes {
		m.watched = m.table.neighbours(m.self, false)
		m.watchedAt = m.table.changes
	}
	return m.watched
}

func (m *Machine) tick(now wasabiridge.Millis) {
	m.clearAfterPause(now)
	m.lastTick = now
	for _, p := range slices.Clone(m.probes) {
		m.advanceProbe(now, p)
	}
	if now >= m.nextHeartbeat {
		interval := heartbeatInterval
		if m.isJoining(now) {
			interval = joiningInterval
		}
		m.nextHeartbeat = now + interval - interval/8 + m.jitter(interval/4)
		m.sendHeartbeat(now)
	}
	if now >= m.nextContact {
		m.nextContact = now + contactInterval/2 + m.jitter(contactInterval)
		m.contactListed(now)
	}
	if now >= m.nextVerify && len(m.verify) > 0 {
		m.nextVerify = now + verifyInterval
		e := m.verify[0]
		m.verify = m.verify[1:]
		e.verify = false
		m.probeMember(now, e, e.reportedDeath)
	}
}

// clearAfterPause drops all suspicion after this process was paused: the
// answers may be missing because of the pause. Without it, an instance that
// resumes would declare all members dead that it watches.
func (m *Machine) clearAfterPause(now wasabiridge.Millis) {
	if now-m.lastTick < pauseGap {
		return
	}
	for _, p := range m.probes {
		m.table.suspect(p.entry, false)
	}
	m.probes = nil
}

// sendHeartbeat sends the scheduled heartbeat to the next successor in
// rotation. An instance that knows no living member contacts a listed instance
// instead.
func (m *Machine) sendHeartbeat(now wasabiridge.Millis) {
	successors := m.successors()
	if len(successors) == 0 {
		m.contactListed(now)
		return
	}
	m.rotation++
	e := successors[m.rotation%len(successors)]
	if now >= e.backoffUntil {
		m.probeMember(now, e)
	}
	if now-m.started < joinPeriod {
		m.contactListed(now)
	}
}

// contactListed sends a heartbeat to a random listed instance that is not alive
// in the local view.
func (m *Machine) contactListed(now wasabiridge.Millis) {
	var candidates []*entry
	for _, e := range m.table.ordered {
		if e.listed && e.state != alive {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) > 0 {
		m.send(now, candidates[m.random.IntN(len(candidates))])
	}
}

func (m *Machine) announce(now wasabiridge.Millis, count int) {
	var candidates []*entry
	for _, e := range m.table.ordered {
		if e.state == alive && e != m.self {
			candidates = append(candidates, e)
		}
	}
	for range min(count, len(candidates)) {
		i := m.random.IntN(len(candidates))
		if !m.broadcastBudget.spend(now) {
			return
		}
		m.send(now, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
}

// send sends a heartbeat with additional reports.
func (m *Machine) send(now wasabiridge.Millis, to *entry, more ...wasabiridge.Member) {
	h := m.compose(now, to)
	h.Others = append(h.Others, more...)
	m.emit(Exchange{To: to.member.ID, Address: to.member.PeerAddress, Heartbeat: h})
}

// probeMember sends a heartbeat and tracks whether it is answered. It does
// nothing when the member is not alive in the local view or is being probed
// already.
func (m *Machine) probeMember(now wasabiridge.Millis, e *entry, more ...wasabiridge.Member) {
	if e.state != alive || m.probeOf(e) != nil {
		return
	}
	m.probes = append(m.probes, &probe{entry: e, first: now, last: now})
	m.send(now, e, more...)
}

func (m *Machine) probeOf(e *entry) *probe {
	for _, p := range m.probes {
		if p.entry == e {
			return p
		}
	}
	return nil
}

// endProbe ends the probe of a member.
func (m *Machine) endProbe(e *entry) {
	m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool { return p.entry == e })
}

// advanceProbe moves a probe on: it sends another heartbeat, asks the other
// watchers, or declares the member dead.
func (m *Machine) advanceProbe(now wasabiridge.Millis, p *probe) {
	switch {
	case p.suspected != 0 && now-p.suspected >= deadAfter:
		report := p.entry.member
		report.Age = 0
		m.markDead(now, p.entry, report)
		return
	case p.suspected == 0 && now-p.first >= suspectAfter:
		p.suspected = now
		m.table.suspect(p.entry, true)
		m.requestIndirectProbes(now, p.entry)
		for _, e := range m.successors() {
			m.probeMember(now, e)
		}
	}
	if now-p.last >= retryInterval {
		p.last = now
		m.send(now, p.entry)
	}
}

// requestIndirectProbes asks the other watchers of a silent member whether they
// reach it. Without it, one broken path between two instances would make a
// member dead that all others reach.
func (m *Machine) requestIndirectProbes(now wasabiridge.Millis, e *entry) {
	request := withoutAddresses(m.describe(now, e))
	request.Suspect = true
	request.Age = 0
	for _, watcher := range m.table.neighbours(e, true) {
		if watcher == m.self {
			continue
		}
		m.send(now, watcher, request)
	}
}

// indirectProbe probes a member on behalf of another watcher.
func (m *Machine) indirectProbe(now wasabiridge.Millis, from wasabiridge.InstanceID, report wasabiridge.Member) {
	e := m.table.get(report.ID)
	if e == nil || e.state != alive || e.member.Incarnation != report.Incarnation {
		return
	}
	if !slices.Contains(e.probeRequesters, from) {
		e.probeRequesters = append(e.probeRequesters, from)
	}
	m.probeMember(now, e)
}

// confirmToRequesters notifies the watchers that requested a probe that the
// member has just answered.
func (m *Machine) confirmToRequesters(now wasabiridge.Millis, e *entry) {
	for _, id := range e.probeRequesters {
		requester := m.table.get(id)
		if requester == nil || requester.state != alive {
			continue
		}
		confirmation := withoutAddresses(m.describe(now, e))
		confirmation.ConfirmedAlive = true
		m.send(now, requester, confirmation)
	}
	e.probeRequesters = nil
}

// confirmedByOther ends the suspicion of a member that another instance
// reaches. This instance stops probing it for a while, longer each time, so
// that a path that stays broken does not cause indirect probes every second.
func (m *Machine) confirmedByOther(now wasabiridge.Millis, e *entry) {
	if m.probeOf(e) == nil {
		return
	}
	m.endProbe(e)
	m.table.suspect(e, false)
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
	e.backoffUntil = now + e.backoff
}

// verifyDeath queues a member for a probe because another instance reports a
// death that happened a while ago. The probe carries that report, so that a
// living member can refute it.
func (m *Machine) verifyDeath(e *entry, report wasabiridge.Member) {
	e.reportedDeath = withoutAddresses(report)
	if e.verify || len(m.verify) >= maxVerify {
		return
	}
	e.verify = true
	m.verify = append(m.verify, e)
}

// broadcast sends pending updates to all successors at once.
func (m *Machine) broadcast(now wasabiridge.Millis) {
	if !m.broadcastDue || now-m.lastBroadcast < broadcastGap {
		return
	}
	m.broadcastDue = false
	m.lastBroadcast = now
	for _, e := range m.successors() {
		if !m.broadcastBudget.spend(now) {
			return
		}
		m.send(now, e)
	}
}
