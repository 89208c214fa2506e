package wasabiquarantine

import (
	"github.com/wasabiridge/wasabiridge"
)

// Check implements wasabiridge.Quarantine.
func (t *Table) Check(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.QuarantineVerdict {
	byParts := t.checkParts(now, r)
	if byParts == wasabiridge.QuarantineBlocked {
		t.counts.Refused++
		return byParts
	}
	m := t.records[r.Fingerprint]
	if m == nil {
		return byParts
	}
	m = t.unexplained(m)
	switch {
	case m.count() == 0:
		return byParts
	case m.count() < maxEnds:
		return wasabiridge.QuarantineSuspect
	case t.isBlocked(now, m):
		t.counts.Refused++
		return wasabiridge.QuarantineBlocked
	case !t.isProven(m) && now < m.ends[maxEnds-1].At+unprovenGrace:
	case m.running > 0 || !t.mayTry(m.fingerprint):
		t.counts.Deferred++
		return wasabiridge.QuarantineDeferred
	}
	return wasabiridge.QuarantineSuspect
}

// isBlocked reports whether a request must not be sent to any server now.
func (t *Table) isBlocked(now wasabiridge.Millis, m *record) bool {
	if m.part && t.groupOf[m.fingerprint] == nil {
		return false
	}
	m = t.unexplained(m)
	return (m.part || t.isProven(m)) && now < m.newest()+t.blockDuration(m) && !t.hasNewWeights(m)
}

// isProven reports whether the ends of servers are sufficient proof against the request:
// there are enough of them, at enough distinct moments.
//
// The failure it guards against: racks fail, and with them servers that run the same
// popular request. It would be blocked although it is harmless.
func (t *Table) isProven(m *record) bool {
	if m.count() < maxEnds {
		return false
	}
	moments := m.moments(func(at wasabiridge.Millis) bool { return t.hasOtherEnds(m, at) })
	return moments >= proofMoments || moments > 1 && m.count() >= proofEnds
}

// hasOtherEnds reports whether more than maxOtherEnds servers that did not run the request
// ended at about the same time.
func (t *Table) hasOtherEnds(m *record, at wasabiridge.Millis) bool {
	others := 0
	for b, ended := range t.endings {
		if distance := ended - at; max(distance, -distance) > otherEndsSpan || m.hasEnded(b) {
			continue
		}
		if others++; others > maxOtherEnds {
			return true
		}
	}
	return false
}

// SetMembers takes the names of the other running instances, and of those that callers are
// routed to. The choice of the instances that may try a request depends on them.
func (t *Table) SetMembers(others, active []wasabiridge.InstanceID) {
	t.others, t.active = others, active
}

// mayTry reports whether this is one of the instances that may send an unproven request, or
// one whose block has expired, as a trial. All instances that know the same members choose
// the same ones.
//
// The failure it guards against: callers send a request to all instances at the same
// moment, and after it has ended three servers each instance tries it once more.
func (t *Table) mayTry(f wasabiridge.Fingerprint) bool {
	own, ahead := rank(f, string(t.self)), 0
	for _, other := range t.others {
		if rank(f, string(other)) > own {
			ahead++
		}
	}
	return ahead < trialInstances
}

// blockDuration returns how long a block lasts from the newest end of a server on.
func (t *Table) blockDuration(m *record) wasabiridge.Millis {
	if m.part {
		return partBlockDuration(m)
	}
	trials := m.count() - maxEnds
	if trials >= maxTrials {
		return wasabiridge.Millis(t.jitter * float64(longestBlock))
	}
	return wasabiridge.Millis(t.jitter * float64(firstBlock<<max(trials, 0)))
}

// hasNewWeights reports whether the model has newer weights than those with which servers
// ended. The trials that this permits are bounded like those after an expiry.
func (t *Table) hasNewWeights(m *record) bool {
	if m.part && m.trials() >= maxPartTrials || !m.part && m.count() >= maxEnds+maxTrials {
		return false
	}
	return m.weights() > 0 && t.latestWeights[m.model] > m.weights()
}
