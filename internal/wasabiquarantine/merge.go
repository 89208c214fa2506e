package wasabiquarantine

import (
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// receive merges what another instance has sent.
func (t *Table) receive(now wasabiridge.Millis, from wasabiridge.InstanceID, c wasabiridge.CrashUpdate) {
	if c.Fingerprint == 0 {
		return
	}
	t.merge(now, from, c)
}

// merge merges evidence into the table. from is empty for a server end that this instance
// saw itself.
func (t *Table) merge(now wasabiridge.Millis, from wasabiridge.InstanceID, c wasabiridge.CrashUpdate) {
	for _, e := range c.Crashes {
		t.endings[e.Backend] = max(t.endings[e.Backend], now-e.Age)
	}
	m := t.records[c.Fingerprint]
	if m == nil {
		m = t.newRecord(now, c)
	}
	if m.part != c.Part {
		return
	}
	if c.Epoch < m.epoch {
		t.queueCorrection(from, m)
		return
	}
	before, blocked := m.count(), t.isBlocked(now, m)
	changed := false
	if c.Epoch > m.epoch {
		if len(m.ends) > 0 {
			t.addLogEvent(now, LogEvent{Kind: LogEventLifted, Record: m.snapshot(now), Why: LiftedByAnswer, From: from})
		}
		m.wasWide = m.isWide()
		m.epoch, m.ends, changed = c.Epoch, nil, true
	}
	for _, e := range c.Crashes {
		e.At, e.Age = now-e.Age, 0
		changed = m.add(e) || changed
	}
	if !changed {
		return
	}
	m.changed = now
	if from == "" {
		m.ownEndAt = now
		t.queueUpdate(m)
	}
	t.noteEnds(now, m, from, before, blocked)
	if m.part && (m.count() >= partMoments || t.groupOf[m.fingerprint] != nil) {
		t.updateGroups(now, from)
	}
}

// queueCorrection queues a reply to an instance that has sent a record of an earlier epoch.
//
// The failure it guards against: an instance that callers are hardly routed to saw a server
// end, and is not sent the update that the request was answered elsewhere. It keeps
// suspecting the request.
func (t *Table) queueCorrection(from wasabiridge.InstanceID, m *record) {
	if from == "" || len(t.corrections[from]) >= maxRepeated {
		return
	}
	if t.corrections[from] == nil {
		t.corrections[from] = map[wasabiridge.Fingerprint]bool{}
	}
	t.corrections[from][m.fingerprint] = true
	t.changed()
}

// newRecord adds a record, and evicts another one if there is no room. An account that has
// used up its share gives up one of its own.
func (t *Table) newRecord(now wasabiridge.Millis, c wasabiridge.CrashUpdate) *record {
	switch {
	case c.Part && len(t.parts) >= maxPartRecords:
		t.evict(func(m *record) bool { return m.part })
	case !c.Part && t.recordsPerAccount[c.Account] >= maxAccountRecords:
		t.evict(func(m *record) bool { return !m.part && m.account == c.Account })
	}
	if len(t.records) >= maxRecords {
		t.evict(func(*record) bool { return true })
	}
	m := &record{fingerprint: c.Fingerprint, part: c.Part, account: c.Account, model: c.Model, changed: now}
	for _, s := range t.inFlight {
		if s.fingerprint == c.Fingerprint {
			m.running++
		}
	}
	t.records[c.Fingerprint] = m
	if c.Part {
		t.parts[c.Fingerprint] = true
		return m
	}
	t.recordsPerAccount[c.Account]++
	return m
}

// evict removes the least important record: cleared ones come before those with few ends,
// these before blocked ones, and the oldest first among equals.
func (t *Table) evict(among func(*record) bool) {
	var least *record
	for _, m := range t.records {
		if among(m) && (least == nil || m.evictedBefore(least)) {
			least = m
		}
	}
	if least != nil {
		t.remove(least)
	}
}

func (t *Table) remove(m *record) {
	delete(t.records, m.fingerprint)
	delete(t.updated, m.fingerprint)
	if m.part {
		delete(t.parts, m.fingerprint)
		t.leaveGroup(m)
		return
	}
	if t.recordsPerAccount[m.account]--; t.recordsPerAccount[m.account] <= 0 {
		delete(t.recordsPerAccount, m.account)
	}
}

// sweepInterval is the time between two searches for expired records.
const sweepInterval = wasabiridge.Second

// sweep removes records that have expired.
func (t *Table) sweep(now wasabiridge.Millis) {
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	for b, at := range t.endings {
		if now-at > endRetention {
			delete(t.endings, b)
		}
	}
	for _, f := range t.fingerprints() {
		m := t.records[f]
		switch {
		case len(m.ends) == 0 && now-m.changed > clearedRetention:
			t.remove(m)
		case len(m.ends) > 0 && now > m.newest()+t.blockDuration(m)+retention:
			t.addLogEvent(now, LogEvent{Kind: LogEventLifted, Record: m.snapshot(now), Why: LiftedByTime})
			t.remove(m)
		}
	}
}

// fingerprints returns those of all records, in ascending order.
func (t *Table) fingerprints() []wasabiridge.Fingerprint { return slices.Sorted(maps.Keys(t.records)) }
