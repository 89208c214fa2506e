package wasabimember

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

type state uint8

const (
	// unproven members are listed by the platform; nobody heard of them yet.
	unproven state = iota
	alive
	dead
)

// entry is what is known of one instance.
type entry struct {
	member wasabiridge.Member
	state  state
	listed bool
	// hashes are the places of the instance on the rings.
	hashes [Rings]uint64
	// mark goes into the digest while the instance is alive.
	mark uint64
	// since is when the state last changed, joined when this life was first
	// heard of, both by the local clock.
	since  wasabiridge.Millis
	joined wasabiridge.Millis
	// digest is the last that the instance sent. Zero means none.
	digest uint64
	// rest is how long the instance is not watched from here, until then.
	rest      wasabiridge.Millis
	restUntil wasabiridge.Millis
	// askers wait for a word on whether the instance is alive.
	askers []wasabiridge.InstanceID
	// verify marks an entry that waits for a check, and doubted is the news of
	// its death that has to be checked.
	verify  bool
	doubted wasabiridge.Member
}

func newEntry(m wasabiridge.Member) *entry {
	e := &entry{member: m}
	for i := range e.hashes {
		e.hashes[i] = xxhash.Sum64String(string(m.ID) + "/" + string(rune('0'+i)))
	}
	e.remark()
	return e
}

// remark works out the mark again after a change of life or of departure.
func (e *entry) remark() {
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
	e.mark = d.Sum64()
}

// outdone reports whether the other knowledge of the same instance is newer.
func (e *entry) outdone(m wasabiridge.Member) bool {
	if e.state == unproven || m.Incarnation != e.member.Incarnation {
		return e.state == unproven || m.Incarnation > e.member.Incarnation
	}
	if m.Sequence != e.member.Sequence {
		return m.Sequence > e.member.Sequence
	}
	return m.Dead && e.state != dead
}

// table holds all entries, ordered by name, so that no order of a map reaches
// a decision.
type table struct {
	ordered []*entry
	byID    map[wasabiridge.InstanceID]*entry
	digest  uint64
	// changes rises whenever neighbours may have changed.
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

// set changes an entry and keeps the digest right.
func (t *table) set(e *entry, to state, change func()) {
	if e.state == alive {
		t.digest ^= e.mark
	}
	t.changes++
	change()
	e.state = to
	e.remark()
	if e.state == alive {
		t.digest ^= e.mark
	}
}

// suspect marks an entry, or takes the mark away.
func (t *table) suspect(e *entry, suspected bool) {
	if e.member.Suspect == suspected {
		return
	}
	e.member.Suspect = suspected
	t.changes++
}

// next returns the living entry that follows another one on a ring, or comes
// before it. It passes over suspected ones, so that a watcher whose successors
// all went silent at once goes on along the ring without waiting for the end
// of each suspicion. It returns nil when there is none.
func (t *table) next(from *entry, ring int, back bool) *entry {
	var best *entry
	var least uint64
	for _, e := range t.ordered {
		if e == from || e.state != alive || e.member.Suspect {
			continue
		}
		// Unsigned wrap-around makes the distance along the ring.
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

// neighbours returns the living successors or predecessors of an entry, each
// once, in the order of the rings.
func (t *table) neighbours(of *entry, back bool) []*entry {
	var out []*entry
	for ring := range Rings {
		if e := t.next(of, ring, back); e != nil && !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}
