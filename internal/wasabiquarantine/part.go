package wasabiquarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
)

const (
	// partMoments is the number of moments at which servers must have ended under requests
	// with a part, and without a complete answer to one, before the part is blocked.
	partMoments = 4
	// firstPartBlock and secondPartBlock are the durations of the first blocks of a part.
	// Later ones last for longestBlock.
	firstPartBlock  = 5 * wasabiridge.Second
	secondPartBlock = wasabiridge.Minute
	// maxPartTrials is how many further servers may end under trials of a part before newer
	// weights no longer lift its block.
	maxPartTrials = 2
	// trialPause is the shortest time between two trials of a part.
	trialPause = 5 * wasabiridge.Second
	// maxPartRecords bounds the records of parts.
	maxPartRecords = 1024
)

// partGroup is a set of blocked parts under which the same servers ended. It is not known
// which of them ends servers, so only requests with all of them are blocked.
type partGroup struct {
	parts []wasabiridge.Fingerprint
	// record is that of one of the parts.
	record *record
}

// partEnded merges the end of a server under an attempt into the records of its parts. An
// attempt counts only if the server had not begun to answer: what it answers then depends on
// more than a part of the prompt.
func (t *Table) partEnded(now wasabiridge.Millis, s flight, crash wasabiridge.ServerCrash) {
	if s.begun {
		return
	}
	for i, part := range s.parts {
		t.merge(now, "", wasabiridge.CrashUpdate{
			Fingerprint: part, Part: true, Model: s.model, Epoch: s.partEpochs[i], Crashes: []wasabiridge.ServerCrash{crash},
		})
	}
}

// clearParts ends the suspicion of the parts of a request that was answered.
func (t *Table) clearParts(now wasabiridge.Millis, s flight) {
	for _, part := range s.parts {
		if m := t.records[part]; m != nil && len(m.ends) > 0 {
			t.clear(now, m, LiftedByAnswer)
		}
	}
}

// checkParts returns the verdict on a request by the parts of its prompt.
func (t *Table) checkParts(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.QuarantineVerdict {
	verdict := wasabiridge.QuarantineFree
	for _, g := range t.groupsOf(r) {
		if t.isBlocked(now, g.record) || now-g.record.triedAt < trialPause || !t.mayTryPart(g.record.fingerprint) {
			return wasabiridge.QuarantineBlocked
		}
		verdict = wasabiridge.QuarantineSuspect
	}
	return verdict
}

// groupsOf returns the groups of blocked parts of which a request has all.
func (t *Table) groupsOf(r wasabiridge.Request) []*partGroup {
	if len(t.groups) == 0 {
		return nil
	}
	var out []*partGroup
	parts := wasabifingerprint.Parts(r.Chain)
	for _, g := range t.groups {
		if !slices.ContainsFunc(g.parts, func(p wasabiridge.Fingerprint) bool { return !slices.Contains(parts, p) }) {
			out = append(out, g)
		}
	}
	return out
}

// mayTryPart reports whether this is the instance that may send a request with a part whose
// block has expired. It is one of those that callers are routed to, and all instances that
// know the same ones choose the same one.
func (t *Table) mayTryPart(part wasabiridge.Fingerprint) bool {
	candidates := t.active
	if len(candidates) == 0 {
		candidates = t.others
	}
	own := rank(part, string(t.self))
	return !slices.ContainsFunc(candidates, func(other wasabiridge.InstanceID) bool { return rank(part, string(other)) > own })
}

// updateGroups decides which parts are blocked. The part with the most ends comes first, and
// the ends that it explains do not count against another part. Parts with the same ends
// form a group.
//
// The failure it guards against: many requests run at a server that ends, and a rare part
// that was there several times by chance would be blocked beside the one that ends servers.
func (t *Table) updateGroups(now wasabiridge.Millis, from wasabiridge.InstanceID) {
	before := t.groupOf
	t.groups, t.groupOf = nil, map[wasabiridge.Fingerprint]*partGroup{}
	for _, m := range t.suspectParts() {
		if g := t.groupWithEnds(m); g != nil {
			g.parts = append(g.parts, m.fingerprint)
			t.groupOf[m.fingerprint] = g
			continue
		}
		rest := m.without(func(e wasabiridge.ServerCrash) bool { return t.isExplained(e, m.count()) })
		if rest.moments(func(at wasabiridge.Millis) bool { return t.hasOtherEnds(rest, at) }) < partMoments {
			continue
		}
		g := &partGroup{parts: []wasabiridge.Fingerprint{m.fingerprint}, record: m}
		t.groups, t.groupOf[m.fingerprint] = append(t.groups, g), g
	}
	for _, part := range slices.Sorted(maps.Keys(t.groupOf)) {
		if m := t.records[part]; before[part] == nil && t.isBlocked(now, m) {
			t.counts.Blocked++
			t.addLogEvent(now, LogEvent{Kind: LogEventBlocked, Record: m.snapshot(now), From: from, For: t.blockDuration(m)})
		}
	}
}

// leaveGroup removes a part from its group, if it has one.
func (t *Table) leaveGroup(m *record) {
	g := t.groupOf[m.fingerprint]
	if g == nil {
		return
	}
	delete(t.groupOf, m.fingerprint)
	g.parts = slices.DeleteFunc(g.parts, func(part wasabiridge.Fingerprint) bool { return part == m.fingerprint })
	if len(g.parts) == 0 {
		t.groups = slices.DeleteFunc(t.groups, func(other *partGroup) bool { return other == g })
		return
	}
	g.record = t.records[g.parts[0]]
}

// suspectParts returns the records of parts that may be blocked, those with the most ends
// first.
func (t *Table) suspectParts() []*record {
	var out []*record
	for part := range t.parts {
		if m := t.records[part]; m.count() >= partMoments {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.count(), a.count()), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return out
}

// groupWithEnds returns the group whose servers ended under the part of a record as well,
// and no others. It returns nil if there is none.
func (t *Table) groupWithEnds(m *record) *partGroup {
	for _, g := range t.groups {
		if g.record.count() == m.count() && !slices.ContainsFunc(m.ends, func(e wasabiridge.ServerCrash) bool { return !g.record.contains(e) }) {
			return g
		}
	}
	return nil
}

// isExplained reports whether a blocked part, under which more servers ended than the given
// number, was inside a server when it ended.
func (t *Table) isExplained(e wasabiridge.ServerCrash, ends int) bool {
	return slices.ContainsFunc(t.groups, func(g *partGroup) bool { return g.record.count() > ends && g.record.contains(e) })
}

// unexplained returns a request's record without the ends that blocked parts explain.
//
// The failure it guards against: requests that ran beside those with a fatal part, and were
// sent again, would be blocked.
func (t *Table) unexplained(m *record) *record {
	if m.part || len(t.groups) == 0 || len(m.ends) == 0 {
		return m
	}
	return m.without(func(e wasabiridge.ServerCrash) bool { return t.isExplained(e, 0) })
}

// trials returns the number of servers that ended under trials of a part, after a block.
func (m *record) trials() int {
	n := 0
	for i := partMoments; i < len(m.ends); i++ {
		if m.ends[i].At-m.ends[i-1].At >= firstPartBlock {
			n++
		}
	}
	return n
}

// partBlockDuration returns how long the block of a part lasts from the newest end on.
func partBlockDuration(m *record) wasabiridge.Millis {
	switch m.trials() {
	case 0:
		return firstPartBlock
	case 1:
		return secondPartBlock
	}
	return longestBlock
}
