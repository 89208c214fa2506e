package wasabiquarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// repeatedMost bounds the marks of one message that repeats them.
	repeatedMost = 32
	// repeatedEnds is how many ends a mark needs for news of it to be repeated. First
	// ends are many: all that ran beside a request that ends a server have one.
	repeatedEnds = 2
	// clearedRepeat is for how long it is repeated that a mark was cleared.
	clearedRepeat = 10 * wasabiridge.Second
)

// TakeNews returns what has changed here and the other instances should be told at
// once, and forgets it.
func (t *Table) TakeNews(now wasabiridge.Millis) []wasabiridge.CrashNews {
	if len(t.news) == 0 {
		return nil
	}
	var out []wasabiridge.CrashNews
	for f := range t.news {
		out = append(out, t.marks[f].snapshot(now))
	}
	slices.SortFunc(out, func(a, b wasabiridge.CrashNews) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	clear(t.news)
	return out
}

// Repeated returns what is told again and again to a few other instances each time,
// those that were barred or changed last first.
//
// The failure it guards against: news is lost, or whoever had it has gone; an instance
// starts, wakes up or was cut off. It sends a request on that all others know better.
func (t *Table) Repeated(now wasabiridge.Millis) []wasabiridge.CrashNews {
	var hot []*mark
	for _, f := range t.fingerprints() {
		m := t.marks[f]
		if m.count() >= repeatedEnds || m.count() == 0 && m.epoch > 0 && now-m.changed < clearedRepeat {
			hot = append(hot, m)
		}
	}
	slices.SortStableFunc(hot, func(a, b *mark) int {
		if a.isProven() != b.isProven() {
			if a.isProven() {
				return -1
			}
			return 1
		}
		return int(b.changed - a.changed)
	})
	var out []wasabiridge.CrashNews
	for _, m := range hot[:min(len(hot), repeatedMost)] {
		out = append(out, m.snapshot(now))
	}
	return out
}

const (
	// repeatTo is to how many other instances what is known is repeated each time, one
	// of those that callers are sent to and one of all.
	repeatTo = 2
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

// Targets returns whom to tell now: some at random, and of those that have come since
// the last time the instance's share. Members are the other living instances, active
// those of them that callers are sent to.
func (s *Spread) Targets(members []wasabiridge.Member, active []wasabiridge.InstanceEntry) []wasabiridge.InstanceEntry {
	var out []wasabiridge.InstanceEntry
	seen := map[wasabiridge.InstanceID]wasabiridge.Incarnation{}
	for _, m := range members {
		seen[m.ID] = m.Incarnation
		if life, ok := s.known[m.ID]; (!ok || life != m.Incarnation) && s.random.Float64()*float64(len(members)) < greeters {
			out = append(out, m.InstanceEntry)
		}
	}
	s.known = seen
	if len(active) > 0 {
		out = append(out, active[s.random.IntN(len(active))])
	}
	for range repeatTo - min(1, len(active)) {
		if len(members) > 0 {
			out = append(out, members[s.random.IntN(len(members))].InstanceEntry)
		}
	}
	slices.SortFunc(out, func(a, b wasabiridge.InstanceEntry) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(out, func(a, b wasabiridge.InstanceEntry) bool { return a.ID == b.ID })
}
