package wasabimember

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// probe is a question to a member that has not answered yet.
type probe struct {
	entry       *entry
	first, last wasabiridge.Millis
	// suspected is when the other watchers were asked. Zero means not yet.
	suspected wasabiridge.Millis
}

// successors returns whom this instance watches.
func (m *Machine) successors() []*entry {
	if m.watchedAt != m.table.changes {
		m.watched = m.table.neighbours(m.self, false)
		m.watchedAt = m.table.changes
	}
	return m.watched
}

func (m *Machine) tick(now wasabiridge.Millis) {
	m.forgivePause(now)
	m.lastTick = now
	for _, p := range slices.Clone(m.probes) {
		m.check(now, p)
	}
	if now >= m.nextBeat {
		interval := beatInterval
		if now-m.started < youth {
			interval = youngInterval
		}
		m.nextBeat = now + interval - interval/8 + m.jitter(interval/4)
		m.beat(now)
	}
	if now >= m.nextReach {
		m.nextReach = now + reachInterval/2 + m.jitter(reachInterval)
		m.reach(now)
	}
	if now >= m.nextCheck && len(m.verify) > 0 {
		m.nextCheck = now + verifyInterval
		e := m.verify[0]
		m.verify = m.verify[1:]
		e.verify = false
		m.ask(now, e, e.doubted)
	}
}

// forgivePause drops all suspicion after this process stood still: the silence
// was its own. Without it, an instance that wakes up would bury all members
// that it watches.
func (m *Machine) forgivePause(now wasabiridge.Millis) {
	if now-m.lastTick < pauseGap {
		return
	}
	for _, p := range m.probes {
		m.table.suspect(p.entry, false)
	}
	m.probes = nil
}

// beat sends the heartbeat whose turn it is. An instance that knows nobody
// alive turns to the list.
func (m *Machine) beat(now wasabiridge.Millis) {
	successors := m.successors()
	if len(successors) == 0 {
		m.reach(now)
		return
	}
	m.turn++
	e := successors[m.turn%len(successors)]
	if now >= e.restUntil {
		m.ask(now, e)
	}
	if now-m.started < youth {
		m.reach(now)
	}
}

// reach sends a heartbeat to a listed instance that does not count as alive.
func (m *Machine) reach(now wasabiridge.Millis) {
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
		if !m.flood.spend(now) {
			return
		}
		m.send(now, candidates[i])
		candidates = slices.Delete(candidates, i, i+1)
	}
}

// send sends a heartbeat with some words more.
func (m *Machine) send(now wasabiridge.Millis, to *entry, more ...wasabiridge.Member) {
	h := m.compose(now, to)
	h.Others = append(h.Others, more...)
	m.emit(Exchange{To: to.member.ID, Address: to.member.PeerAddress, Heartbeat: h})
}

// ask sends a heartbeat and follows whether it is answered.
func (m *Machine) ask(now wasabiridge.Millis, e *entry, more ...wasabiridge.Member) {
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

// answered ends the probe of a member.
func (m *Machine) answered(e *entry) {
	m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool { return p.entry == e })
}

// check goes on with a probe: it asks again, asks others, or gives up.
func (m *Machine) check(now wasabiridge.Millis, p *probe) {
	switch {
	case p.suspected != 0 && now-p.suspected >= deadAfter:
		said := p.entry.member
		said.Age = 0
		m.bury(now, p.entry, said)
		return
	case p.suspected == 0 && now-p.first >= suspectAfter:
		p.suspected = now
		m.table.suspect(p.entry, true)
		m.askOthers(now, p.entry)
		for _, e := range m.successors() {
			m.ask(now, e)
		}
	}
	if now-p.last >= retryInterval {
		p.last = now
		m.send(now, p.entry)
	}
}

// askOthers asks the other watchers of a silent member whether they reach it.
// Without them, one broken path between two instances would bury a member that
// everyone else reaches.
func (m *Machine) askOthers(now wasabiridge.Millis, e *entry) {
	question := brief(m.describe(now, e))
	question.Suspect = true
	question.Age = 0
	for _, watcher := range m.table.neighbours(e, true) {
		if watcher == m.self {
			continue
		}
		m.send(now, watcher, question)
	}
}

// asked takes the question of another watcher.
func (m *Machine) asked(now wasabiridge.Millis, from wasabiridge.InstanceID, said wasabiridge.Member) {
	e := m.table.get(said.ID)
	if e == nil || e.state != alive || e.member.Incarnation != said.Incarnation {
		return
	}
	if !slices.Contains(e.askers, from) {
		e.askers = append(e.askers, from)
	}
	m.ask(now, e)
}

// vouch tells those who asked that the member just spoke.
func (m *Machine) vouch(now wasabiridge.Millis, e *entry) {
	for _, id := range e.askers {
		asker := m.table.get(id)
		if asker == nil || asker.state != alive {
			continue
		}
		word := brief(m.describe(now, e))
		word.Vouched = true
		m.send(now, asker, word)
	}
	e.askers = nil
}

// vouchedFor ends the suspicion of a member that others reach. It is left to
// them for a while, longer each time, so that a path that stays broken does
// not bring up the same question every second.
func (m *Machine) vouchedFor(now wasabiridge.Millis, e *entry) {
	if m.probeOf(e) == nil {
		return
	}
	m.answered(e)
	m.table.suspect(e, false)
	e.rest = min(max(2*e.rest, restFirst), restMost)
	e.restUntil = now + e.rest
}

// doubt puts a member on the list of those to ask, because someone says that
// it died a while ago. The question carries the news, so that a member that
// lives outdoes it.
func (m *Machine) doubt(e *entry, said wasabiridge.Member) {
	e.doubted = brief(said)
	if e.verify || len(m.verify) >= maxVerify {
		return
	}
	e.verify = true
	m.verify = append(m.verify, e)
}

// spread hands news to all successors at once.
func (m *Machine) spread(now wasabiridge.Millis) {
	if !m.floodDue || now-m.flooded < floodGap {
		return
	}
	m.floodDue = false
	m.flooded = now
	for _, e := range m.successors() {
		if !m.flood.spend(now) {
			return
		}
		m.send(now, e)
	}
}
