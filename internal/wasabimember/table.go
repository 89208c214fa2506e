package wasabimember

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

type state uint8

const (
	// unverified members are known from the platform's list only; no heartbeat
	// or report about them has arrived yet.
	unverified state = iota
	alive
	dead
)

// entry is the local state of one instance.
type entry struct {
	member wasabiridge.Member
	state  state
	listed bool
	// hashes are the positions of the instance on the rings.
	hashes [Rings]uint64
	// digestPart is XORed into the table's digest while the instance is alive.
	digestPart uint64
	// since is when the state last changed, joined when the current incarnation
	// was first reported, both by the local clock.
	since  wasabiridge.Millis
	joined wasabiridge.Millis
	// digest is the last digest that the instance sent. Zero means none.
	digest uint64
	// backoff is the length of the current pause in probing this instance, and
	// backoffUntil when that pause ends.
	backoff      wasabiridge.Millis
	backoffUntil wasabiridge.Millis
	// probeRequesters are the instances to notify when this one answers.
	probeRequesters []wasabiridge.InstanceID
	// verify is set while a probe has to verify a reported death, and
	// reportedDeath is that report.
	verify        bool
	reportedDeath wasabiridge.Member
}

func newEntry(m wasabiridge.Member) *entry {
	e := &entry{member: m}
	for i := range e.hashes {
		e.hashes[i] = xxhash.Sum64String(string(m.ID) + "/" + string(rune('0'+i)))
	}
	e.updateDigestPart()
	return e
}

// updateDigestPart recomputes digestPart after a change of the incarnation, or
// of whether the member is leaving or detached.
func (e *entry) updateDigestPart() {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(e.member.ID))
	v := uint64(e.member.Incarnation) << 1
	if e.member.Leaving {
		v |= 1
	}
	var b [8]byte
	for i := range b {
		b[i] = byte(v >> (8 * i))
	}
	_, _ = d.Write(b[:])
	if e.member.Detached {
		_, _ = d.WriteString(stateDetached)
	}
	if e.member.Strained {
		_, _ = d.WriteString("strained")
	}
	e.digestPart = d.Sum64()
}

// supersededBy reports whether m is newer than the entry's state. Both describe
// the same instance.
func (e *entry) supersededBy(m wasabiridge.Member) bool {
	if e.state == unverified || m.Incarnation != e.member.Incarnation {
		return e.state == unverified || m.Incarnation > e.member.Incarnation
	}
	if m.Sequence != e.member.Sequence {
		return m.Sequence > e.member.Sequence
	}
	return m.Dead && e.state != dead
}

// table holds all entries, ordered by name, so that no decision depends on the
// iteration order of a map.
type table struct {
	ordered []*entry
	byID    map[wasabiridge.InstanceID]*entry
	digest  uint64
	// changes increases whenever the neighbours of an entry may have changed.
	changes uint64
}

func (t *table) get(id wasabiridge.InstanceID) *entry { return t.byID[id] }

func (t *table) add(e *entry) {
	i, _ := slices.BinarySearchFunc(t.ordered, e.member.ID, func(have *entry, id wasabiridge.InstanceID) int {
		return strings.Compare(string(have.member.ID), string(id))
	})
	t.ordered = slices.Insert(t.ordered, i, e)
	t.byID[e.member.ID] = e
}

func (t *table) remove(e *entry) {
	t.ordered = slices.DeleteFunc(t.ordered, func(have *entry) bool { return have == e })
	delete(t.byID, e.member.ID)
}

// set applies a change to an entry and updates the digest.
func (t *table) set(e *entry, to state, change func()) {
	if e.state == alive {
		t.digest ^= e.digestPart
	}
	t.changes++
	change()
	e.state = to
	e.updateDigestPart()
	if e.state == alive {
		t.digest ^= e.digestPart
	}
}

// suspect sets or clears the suspicion of an entry.
func (t *table) suspect(e *entry, suspected bool) {
	if e.member.Suspect == suspected {
		return
	}
	e.member.Suspect = suspected
	t.changes++
}

// next returns the living entry that follows from on a ring, or precedes it
// when back is set. It skips suspected entries, so that a watcher whose
// successors all stop answering at once moves on along the ring without waiting
// for the end of each suspicion. It returns nil when there is no such entry.
func (t *table) next(from *entry, ring int, back bool) *entry {
	var best *entry
	var least uint64
	for _, e := range t.ordered {
		if e == from || e.state != alive || e.member.Suspect {
			continue
		}
		// Unsigned wrap-around yields the distance along the ring.
		distance := e.hashes[ring] - from.hashes[ring]
		if back {
			distance = -distance
		}
		if best == nil || distance < least {
			best, least = e, distance
		}
	}
	return best
}

// neighbours returns the living successors of an entry, or its predecessors
// when back is set, each once, in the order of the rings.
func (t *table) neighbours(of *entry, back bool) []*entry {
	var out []*entry
	for ring := range Rings {
		if e := t.next(of, ring, back); e != nil && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}
