package wasabiquarantine

import (
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// hear takes what another instance knows.
func (t *Table) hear(now wasabiridge.Millis, from wasabiridge.InstanceID, c wasabiridge.CrashNews) {
	if c.Fingerprint == 0 {
		return
	}
	t.add(now, from, c)
}

// add merges news into what is known. From is empty for an end that was seen here.
func (t *Table) add(now wasabiridge.Millis, from wasabiridge.InstanceID, c wasabiridge.CrashNews) {
	for _, e := range c.Ends {
		t.endings[e.Backend] = max(t.endings[e.Backend], now-e.Age)
	}
	m := t.marks[c.Fingerprint]
	if m == nil {
		m = t.newMark(now, c)
	}
	if c.Epoch < m.epoch {
		t.correct(from, m)
		return
	}
	before, barred := m.count(), t.isBarred(now, m)
	changed := false
	if c.Epoch > m.epoch {
		if len(m.ends) > 0 {
			t.note(now, Note{Kind: NoteLifted, Mark: m.snapshot(now), Why: LiftedByAnswer, From: from})
		}
		m.wide = m.isWide()
		m.epoch, m.ends, changed = c.Epoch, nil, true
	}
	for _, e := range c.Ends {
		e.At, e.Age = now-e.Age, 0
		changed = m.add(e) || changed
	}
	if !changed {
		return
	}
	m.changed = now
	if from == "" {
		m.own = now
		t.tell(m)
	}
	t.noteEnds(now, m, from, before, barred)
}

// correct lets an instance know that what it told does not count any more.
//
// The failure it guards against: an instance to which hardly any callers are sent saw an
// end, and is not told of an answer that others gave. It goes on to suspect the request.
func (t *Table) correct(from wasabiridge.InstanceID, m *mark) {
	if from == "" || len(t.corrections[from]) >= repeatedMost {
		return
	}
	if t.corrections[from] == nil {
		t.corrections[from] = map[wasabiridge.Fingerprint]bool{}
	}
	t.corrections[from][m.fingerprint] = true
	t.changed()
}

// newMark makes room for a mark. An account that has its share gives up one of its own.
func (t *Table) newMark(now wasabiridge.Millis, c wasabiridge.CrashNews) *mark {
	if t.owned[c.Account] >= accountMost {
		t.evict(func(m *mark) bool { return m.account == c.Account })
	}
	if len(t.marks) >= marksMost {
		t.evict(func(*mark) bool { return true })
	}
	m := &mark{fingerprint: c.Fingerprint, account: c.Account, model: c.Model, changed: now}
	for _, s := range t.sent {
		if s.fingerprint == c.Fingerprint {
			m.running++
		}
	}
	t.marks[c.Fingerprint] = m
	t.owned[c.Account]++
	return m
}

// evict forgets the mark that counts for least: one that is cleared before one with
// few ends, these before a barred one, and the oldest of each.
func (t *Table) evict(among func(*mark) bool) {
	var least *mark
	for _, m := range t.marks {
		if among(m) && (least == nil || m.before(least)) {
			least = m
		}
	}
	if least != nil {
		t.forget(least)
	}
}

func (t *Table) forget(m *mark) {
	delete(t.marks, m.fingerprint)
	delete(t.news, m.fingerprint)
	if t.owned[m.account]--; t.owned[m.account] <= 0 {
		delete(t.owned, m.account)
	}
}

// sweepInterval is how often marks are looked through.
const sweepInterval = wasabiridge.Second

// sweep forgets marks whose time is over.
func (t *Table) sweep(now wasabiridge.Millis) {
	if now-t.swept < sweepInterval {
		return
	}
	t.swept = now
	for b, at := range t.endings {
		if now-at > endLife {
			delete(t.endings, b)
		}
	}
	for _, f := range t.fingerprints() {
		m := t.marks[f]
		switch {
		case len(m.ends) == 0 && now-m.changed > clearedLife:
			t.forget(m)
		case len(m.ends) > 0 && now > m.newest()+t.barFor(m)+forgetAfter:
			t.note(now, Note{Kind: NoteLifted, Mark: m.snapshot(now), Why: LiftedByTime})
			t.forget(m)
		}
	}
}

// fingerprints returns those of all marks, in order.
func (t *Table) fingerprints() []wasabiridge.Fingerprint { return slices.Sorted(maps.Keys(t.marks)) }
