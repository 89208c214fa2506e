package wasabiquarantine

import (
	"github.com/wasabiridge/wasabiridge"
)

// Judge implements wasabiridge.Quarantine.
func (t *Table) Judge(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Standing {
	m := t.marks[r.Fingerprint]
	if m == nil || len(m.ends) == 0 {
		return wasabiridge.StandingFree
	}
	switch {
	case m.count() < endsMost:
		return wasabiridge.StandingSuspect
	case t.isBarred(now, m):
		t.counts.Refused++
		return wasabiridge.StandingBarred
	case !t.isProven(m) && now < m.ends[endsMost-1].At+freeFor:
	case m.running > 0 || !t.isTrialist(m.fingerprint):
		t.counts.Deferred++
		return wasabiridge.StandingDeferred
	}
	return wasabiridge.StandingSuspect
}

// isBarred reports whether a request reaches no server now.
func (t *Table) isBarred(now wasabiridge.Millis, m *mark) bool {
	return t.isProven(m) && now < m.newest()+t.barFor(m) && !t.hasNewWeights(m)
}

// isProven reports whether the ends are proof against the request: as many as may be,
// and not at what may have been one moment, or two.
//
// The failure it guards against: racks are lost, and with them servers that ran the same
// popular request. It would be refused although it is harmless.
func (t *Table) isProven(m *mark) bool {
	if m.count() < endsMost {
		return false
	}
	moments := m.moments(func(at wasabiridge.Millis) bool { return t.isCrowded(m, at) })
	return moments >= momentsProof || moments > 1 && m.count() >= endsProof
}

// isCrowded reports whether servers under which the request did not run ended at about
// the same time.
func (t *Table) isCrowded(m *mark, at wasabiridge.Millis) bool {
	others := 0
	for b, ended := range t.endings {
		if apart := ended - at; max(apart, -apart) > crowdSpan || m.has(b) {
			continue
		}
		if others++; others > crowdMost {
			return true
		}
	}
	return false
}

// Meet takes the names of the other living instances, with which trials are shared out.
func (t *Table) Meet(others []wasabiridge.InstanceID) { t.others = others }

// isTrialist reports whether this is one of the instances that may try a request. All
// instances that know the same others agree on them.
//
// The failure it guards against: callers send a request in the same moment to all
// instances, and after an end at each of three servers each instance tries it once more.
func (t *Table) isTrialist(f wasabiridge.Fingerprint) bool {
	own, ahead := rank(f, string(t.self)), 0
	for _, other := range t.others {
		if rank(f, string(other)) > own {
			ahead++
		}
	}
	return ahead < trialists
}

// barFor is how long a bar holds after the newest end.
func (t *Table) barFor(m *mark) wasabiridge.Millis {
	trials := m.count() - endsMost
	if trials >= trialMost {
		return wasabiridge.Millis(t.spread * float64(barLast))
	}
	return wasabiridge.Millis(t.spread * float64(barFirst<<max(trials, 0)))
}

// hasNewWeights reports whether newer weights were named than those under which
// servers ended. Trials for that are few, like those after a time.
func (t *Table) hasNewWeights(m *mark) bool {
	return m.count() < endsMost+trialMost && m.weights() > 0 && t.named[m.model] > m.weights()
}
