package wasabiquota

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// viewRepeats is how often a view is told to an instance that may have it already.
const viewRepeats = 4

// Owners is what an instance knows of the owners of the limits.
type Owners struct {
	// Change numbers the present set, Members is how many are in it, Divided by how many the
	// limits are divided. Agreed says that all members have the same set; Open is how many
	// others are not known to have it.
	Change                 uint64
	Members, Divided, Open int
	Agreed                 bool
	// Own says that this instance owns a part, Part which part can be used here.
	Own  bool
	Part float64
}

// Ownership returns what is known of the owners.
func (t *Table) Ownership(now wasabiridge.Millis) Owners {
	t.advance(now)
	o := Owners{Change: t.change, Divided: int(t.owners(now)), Agreed: t.agreed, Own: t.owner, Part: t.part(now)}
	if t.seat.member {
		o.Members++
	}
	for _, p := range t.peers {
		if p.member {
			o.Members++
			if !p.isInTouch(now) || !t.agrees(p) {
				o.Open++
			}
		}
	}
	return o
}

// seat is the place of one instance among the owners, as this instance counts them.
//
// Sets of owners change one after the other at each instance, and at different times. An
// instance uses its own part and those of others together only as far as everybody else
// leaves them untouched. Therefore an owner counts in the parts that are used while it is
// in the set that all members agreed on and in all sets that were told since, and in the
// number by which limits are divided while it is in any of them.
type seat struct {
	// member says that the instance is in the present set.
	member bool
	// kept says that it is in the agreed set and in each one since, counted that it is in
	// any of them.
	kept, counted bool
}

// become takes whether the instance is in the set from now on.
func (s *seat) become(member bool) {
	s.member = member
	s.kept = s.kept && member
	s.counted = s.counted || member
}

// agree takes the present set for the one that all members agreed on.
func (s *seat) agree() { s.kept, s.counted = s.member, s.member }

// isMember reports whether a peer is in the set of owners.
func (p *peer) isMember() bool { return !p.late && !p.ended && !p.left }

// hearView takes what a peer told of its view.
func (p *peer) hearView(e wasabiridge.UsesHeard) {
	if e.Change >= p.change {
		p.change, p.view = e.Change, e.View
	}
}

// stamp hashes an instance with its life and the number of its present set.
func stamp(id wasabiridge.InstanceID, life wasabiridge.Incarnation, change uint64) uint64 {
	var buffer [64]byte
	b := binary.LittleEndian.AppendUint64(buffer[:0], uint64(life))
	b = binary.LittleEndian.AppendUint64(b, change)
	return xxhash.Sum64(append(b, id...))
}

// reseat takes which instances are in the set now, and makes the view of it.
//
// A view names the members, their lives and the numbers of their sets. Two instances with
// the same view have the same set, and each has heard that the other has it.
func (t *Table) reseat(now wasabiridge.Millis) {
	if !t.unseated {
		return
	}
	t.unseated = false
	changed := false
	for _, p := range t.peers {
		if member := p.isMember(); member != p.member {
			p.become(member)
			changed = true
		}
	}
	if t.wants != t.seat.member {
		t.seat.become(t.wants)
		t.wasMember, changed = true, true
	}
	if !t.seat.member {
		t.retire()
	}
	if changed {
		t.change++
		t.changedAt = now
	}
	t.view = 0
	if t.seat.member {
		t.view = stamp(t.options.Self, t.options.Life, t.change)
	}
	for id, p := range t.peers {
		if p.member {
			t.view += stamp(id, p.life, p.change)
		}
	}
	// Zero is the view of an instance that tells none.
	t.view = max(t.view, 1)
	t.owner = t.options.Alone || t.seat.kept
}

// retire gives up the own part, and with it what was agreed on.
func (t *Table) retire() {
	t.seat = seat{}
	for _, p := range t.peers {
		p.kept, p.counted = false, p.member
	}
}

// agrees reports whether a peer has the same view. One of an earlier version tells none; it
// counts with this instance's set soon after it was heard.
func (t *Table) agrees(p *peer) bool {
	return p.view == t.view || p.view == 0 && p.heard >= t.changedAt+settleAfter
}

// agree takes the present set for the agreed one once all its members have the same view.
func (t *Table) agree(now wasabiridge.Millis) {
	t.agreed = false
	for _, p := range t.peers {
		if p.member && (!p.isInTouch(now) || !t.agrees(p)) {
			return
		}
	}
	t.agreed = true
	for _, p := range t.peers {
		p.agree()
	}
	t.seat.agree()
	t.owner = t.seat.kept
}

// tellsView reports whether a peer should be told the view of this instance.
func (t *Table) tellsView(p *peer) bool {
	if !t.wasMember || !p.counted {
		return false
	}
	if p.viewTold != t.view {
		p.viewTold, p.viewCount = t.view, 0
	}
	return p.viewCount < viewRepeats || t.seat.member && !t.agreed
}
