package wasabiquarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// repeatedMost bounds the marks of one message that repeats them.
	repeatedMost = 32
	// ownRepeat is for how long an instance repeats an end that it saw, to hear whether
	// that still counts.
	ownRepeat = 5 * wasabiridge.Second
	// clearedRepeat is for how long it is repeated that a mark was cleared.
	clearedRepeat = 10 * wasabiridge.Second
)

// News is what to tell. Narrow goes to instances that callers are sent to, Wide to all.
type News struct {
	Narrow, Wide []wasabiridge.CrashNews
	// Corrections go to single instances that told what does not count any more.
	Corrections []Correction
}

// Correction is what one instance is told, because it told what does not count any more.
type Correction struct {
	To    wasabiridge.InstanceID
	Marks []wasabiridge.CrashNews
}

// TakeNews returns what the other instances should be told at once, and forgets it.
func (t *Table) TakeNews(now wasabiridge.Millis) News {
	var out News
	for _, f := range t.fingerprints() {
		if !t.news[f] {
			continue
		}
		m := t.marks[f]
		if m.isWide() {
			out.Wide = append(out.Wide, m.snapshot(now))
			continue
		}
		out.Narrow = append(out.Narrow, m.snapshot(now))
	}
	clear(t.news)
	for _, id := range slices.Sorted(maps.Keys(t.corrections)) {
		c := Correction{To: id}
		for _, f := range slices.Sorted(maps.Keys(t.corrections[id])) {
			if m := t.marks[f]; m != nil {
				c.Marks = append(c.Marks, m.snapshot(now))
			}
		}
		out.Corrections = append(out.Corrections, c)
	}
	clear(t.corrections)
	return out
}

// Repeated returns what is told again and again to a few other instances each time,
// those that may be barred first, and then those that changed last.
//
// The failure it guards against: news is lost, or whoever had it has gone; an instance
// starts, wakes up or was cut off. It sends a request on that all others know better.
func (t *Table) Repeated(now wasabiridge.Millis) News {
	var hot []*mark
	for _, f := range t.fingerprints() {
		if t.isRepeated(now, t.marks[f]) {
			hot = append(hot, t.marks[f])
		}
	}
	slices.SortStableFunc(hot, func(a, b *mark) int {
		if a.count() >= endsMost != (b.count() >= endsMost) {
			return cmp.Compare(b.count(), a.count())
		}
		return cmp.Compare(b.changed, a.changed)
	})
	var out News
	for _, m := range hot[:min(len(hot), repeatedMost)] {
		if m.isWide() {
			out.Wide = append(out.Wide, m.snapshot(now))
		} else {
			out.Narrow = append(out.Narrow, m.snapshot(now))
		}
	}
	return out
}

// isRepeated reports whether a mark is told again: while it counts for all, for a while
// after it was cleared, and for a while after its end was seen here.
func (t *Table) isRepeated(now wasabiridge.Millis, m *mark) bool {
	switch {
	case m.count() == 0:
		return m.isWide() && now-m.changed < clearedRepeat
	case m.isWide():
		return true
	}
	return m.own > 0 && now-m.own < ownRepeat
}

const (
	// greeters is how many instances tell one that has just come what they know, in the
	// mean.
	greeters = 8
)

// Spread chooses whom an instance tells again what it knows. It is deterministic for a
// seed and not safe for concurrent use.
type Spread struct {
	random *rand.Rand
	// known are the lives of the members that were seen before.
	known map[wasabiridge.InstanceID]wasabiridge.Incarnation
}

// NewSpread returns a Spread that has seen nobody.
func NewSpread(seed uint64) *Spread {
	return &Spread{random: rand.New(rand.NewPCG(seed, 2)), known: map[wasabiridge.InstanceID]wasabiridge.Incarnation{}}
}

// Targets returns whom to tell now: of the instances that callers are sent to one at
// random, and of all one at random and the share of those that have come since the last
// time. Members are the other living instances, active those that callers are sent to.
func (s *Spread) Targets(members []wasabiridge.Member, active []wasabiridge.InstanceEntry) (one, all []wasabiridge.InstanceEntry) {
	seen := map[wasabiridge.InstanceID]wasabiridge.Incarnation{}
	for _, m := range members {
		seen[m.ID] = m.Incarnation
		if life, ok := s.known[m.ID]; (!ok || life != m.Incarnation) && s.random.Float64()*float64(len(members)) < greeters {
			all = append(all, m.InstanceEntry)
		}
	}
	s.known = seen
	if len(active) > 0 {
		one = append(one, active[s.random.IntN(len(active))])
	}
	if len(members) > 0 {
		all = append(all, members[s.random.IntN(len(members))].InstanceEntry)
	}
	return one, all
}
