package wasabiquarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxRepeated bounds the records of one repeating update, and the corrections to one
	// instance.
	maxRepeated = 32
	// ownRepeatSpan is how long an instance repeats an end that it saw, to receive a
	// correction if the request was cleared in the meantime.
	ownRepeatSpan = 5 * wasabiridge.Second
	// clearedRepeatSpan is how long it is repeated that a request was cleared.
	clearedRepeatSpan = 10 * wasabiridge.Second
)

// Updates are the records to send. Narrow goes to the instances that callers are routed
// to, Wide to all instances.
type Updates struct {
	Narrow, Wide []wasabiridge.CrashUpdate
	// Corrections go to single instances that have sent records of an earlier epoch.
	Corrections []Correction
}

// Correction is the reply to an instance that has sent records of an earlier epoch.
type Correction struct {
	To      wasabiridge.InstanceID
	Records []wasabiridge.CrashUpdate
}

// TakeUpdates returns the updates to send at once, and clears them.
func (t *Table) TakeUpdates(now wasabiridge.Millis) Updates {
	var out Updates
	for _, f := range t.fingerprints() {
		if !t.updated[f] {
			continue
		}
		m := t.records[f]
		if m.isWide() {
			out.Wide = append(out.Wide, m.snapshot(now))
			continue
		}
		out.Narrow = append(out.Narrow, m.snapshot(now))
	}
	clear(t.updated)
	for _, id := range slices.Sorted(maps.Keys(t.corrections)) {
		c := Correction{To: id}
		for _, f := range slices.Sorted(maps.Keys(t.corrections[id])) {
			if m := t.records[f]; m != nil {
				c.Records = append(c.Records, m.snapshot(now))
			}
		}
		out.Corrections = append(out.Corrections, c)
	}
	clear(t.corrections)
	return out
}

// RepeatedUpdates returns the records to send again to a few other instances each time:
// those that may be blocked first, and then those that changed last.
//
// The failure it guards against: an update is lost, or the instances that had it have
// ended; or an instance starts, resumes after a pause or was partitioned off. It would send
// a request to servers although all others know better.
func (t *Table) RepeatedUpdates(now wasabiridge.Millis) Updates {
	var repeated []*record
	for _, f := range t.fingerprints() {
		if t.isRepeated(now, t.records[f]) {
			repeated = append(repeated, t.records[f])
		}
	}
	slices.SortStableFunc(repeated, func(a, b *record) int {
		if a.count() >= maxEnds != (b.count() >= maxEnds) {
			return cmp.Compare(b.count(), a.count())
		}
		return cmp.Compare(b.changed, a.changed)
	})
	var out Updates
	for _, m := range repeated[:min(len(repeated), maxRepeated)] {
		if m.isWide() {
			out.Wide = append(out.Wide, m.snapshot(now))
		} else {
			out.Narrow = append(out.Narrow, m.snapshot(now))
		}
	}
	return out
}

// isRepeated reports whether a record is sent again: while all instances should know it,
// for a while after it was cleared, and for a while after this instance saw an end.
func (t *Table) isRepeated(now wasabiridge.Millis, m *record) bool {
	switch {
	case m.count() == 0:
		return m.isWide() && now-m.changed < clearedRepeatSpan
	case m.isWide():
		return true
	}
	return m.ownEndAt > 0 && now-m.ownEndAt < ownRepeatSpan
}

const (
	// joinSenders is the mean number of instances that send their records to an instance
	// that has just joined.
	joinSenders = 8
)

// RecipientSelector chooses the instances to which records are sent again. It is
// deterministic for a seed and not safe for concurrent use.
type RecipientSelector struct {
	random *rand.Rand
	// incarnations holds the incarnations of the members that were seen before.
	incarnations map[wasabiridge.InstanceID]wasabiridge.Incarnation
}

// NewRecipientSelector returns a RecipientSelector that has not seen any members.
func NewRecipientSelector(seed uint64) *RecipientSelector {
	return &RecipientSelector{random: rand.New(rand.NewPCG(seed, 2)), incarnations: map[wasabiridge.InstanceID]wasabiridge.Incarnation{}}
}

// Targets returns the instances to send to now. one is a random instance among those that
// callers are routed to; all is a random member and some of those that have joined since
// the last call, so that each of these is chosen by joinSenders instances in the mean.
// members are the other running instances, active those that callers are routed to.
func (s *RecipientSelector) Targets(members []wasabiridge.Member, active []wasabiridge.InstanceEntry) (one, all []wasabiridge.InstanceEntry) {
	seen := map[wasabiridge.InstanceID]wasabiridge.Incarnation{}
	for _, m := range members {
		seen[m.ID] = m.Incarnation
		if incarnation, ok := s.incarnations[m.ID]; (!ok || incarnation != m.Incarnation) && s.random.Float64()*float64(len(members)) < joinSenders {
			all = append(all, m.InstanceEntry)
		}
	}
	s.incarnations = seen
	if len(active) > 0 {
		one = append(one, active[s.random.IntN(len(active))])
	}
	if len(members) > 0 {
		all = append(all, members[s.random.IntN(len(members))].InstanceEntry)
	}
	return one, all
}
