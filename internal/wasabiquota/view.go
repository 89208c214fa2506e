package wasabiquota

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// maxViewSends is how often a view is sent to an instance, in case messages are lost.
const maxViewSends = 4

// Owners is the set of owners of the limits as one instance knows it.
type Owners struct {
	// Change numbers the present set. Members is the number of instances in it, Divisor
	// the number by which limits are divided, Unconfirmed the number of other members
	// that are not known to have the same set. Agreed says that all members have the
	// same set.
	Change                        uint64
	Members, Divisor, Unconfirmed int
	Agreed                        bool
	// IsOwner says that this instance owns a share, UsableShare is the share that it
	// can use.
	IsOwner     bool
	UsableShare float64
}

// Ownership returns the present set of owners.
func (t *Table) Ownership(now wasabiridge.Millis) Owners {
	t.advance(now)
	o := Owners{Change: t.change, Divisor: int(t.ownerCount(now)), Agreed: t.agreed, IsOwner: t.owner, UsableShare: t.usableShare(now)}
	if t.membership.member {
		o.Members++
	}
	for _, p := range t.peers {
		if p.member {
			o.Members++
			if !p.isReachable(now) || !t.hasSameView(p) {
				o.Unconfirmed++
			}
		}
	}
	return o
}

// membership is the place of one instance among the owners, as this instance knows it.
//
// Every instance changes its set of owners step by step, and not at the same time as the
// others. An instance may use its own share and those of others together only as far as
// everybody else leaves these shares unused. Therefore an owner counts in the usable share
// while it is in the set that all members last agreed on and in all sets announced since,
// and in the number by which limits are divided while it is in any of these sets.
type membership struct {
	// member says that the instance is in the present set.
	member bool
	// inAllSets says that it is in the agreed set and in each set since, inAnySet that it
	// is in at least one of them.
	inAllSets, inAnySet bool
}

// update records whether the instance is in the new present set.
func (s *membership) update(member bool) {
	s.member = member
	s.inAllSets = s.inAllSets && member
	s.inAnySet = s.inAnySet || member
}

// confirm takes the present set as the one that all members agreed on.
func (s *membership) confirm() { s.inAllSets, s.inAnySet = s.member, s.member }

// isMember reports whether a peer belongs in the present set of owners.
func (p *peer) isMember() bool { return !p.joinDeferred && !p.ended && !p.resigned }

// receiveView records the set of owners that a peer announced, unless a newer one was
// received before.
func (p *peer) receiveView(e wasabiridge.UsageReceived) {
	if e.OwnersEpoch >= p.change {
		p.change, p.view = e.OwnersEpoch, e.OwnersDigest
	}
}

// memberHash hashes an instance with its incarnation and the number of its present set.
func memberHash(id wasabiridge.InstanceID, incarnation wasabiridge.Incarnation, change uint64) uint64 {
	var buffer [64]byte
	b := binary.LittleEndian.AppendUint64(buffer[:0], uint64(incarnation))
	b = binary.LittleEndian.AppendUint64(b, change)
	return xxhash.Sum64(append(b, id...))
}

// updateMembership computes the present set of owners and its view.
//
// A view is the sum of the hashes of all members, with their incarnations and the numbers
// of their sets. Two instances with the same view have the same set, and each knows that
// the other has it.
func (t *Table) updateMembership(now wasabiridge.Millis) {
	if !t.membershipDirty {
		return
	}
	t.membershipDirty = false
	changed := false
	for _, p := range t.peers {
		if member := p.isMember(); member != p.member {
			p.update(member)
			changed = true
		}
	}
	if t.wantsOwnership != t.membership.member {
		t.membership.update(t.wantsOwnership)
		t.wasMember, changed = true, true
	}
	if !t.membership.member {
		t.resignOwnership()
	}
	if changed {
		t.change++
		t.changedAt = now
	}
	t.view = 0
	if t.membership.member {
		t.view = memberHash(t.options.Self, t.options.Incarnation, t.change)
	}
	for id, p := range t.peers {
		if p.member {
			t.view += memberHash(id, p.incarnation, p.change)
		}
	}
	// Zero means that an instance does not announce a view.
	t.view = max(t.view, 1)
	t.owner = t.options.Alone || t.membership.inAllSets
}

// resignOwnership gives up this instance's share, and with it the agreed set.
func (t *Table) resignOwnership() {
	t.membership = membership{}
	for _, p := range t.peers {
		p.inAllSets, p.inAnySet = false, p.member
	}
}

// hasSameView reports whether a peer has the same view. A peer of an earlier version
// announces no view; it counts as having this instance's set if it has answered settleAfter
// or more after the last change.
func (t *Table) hasSameView(p *peer) bool {
	return p.view == t.view || p.view == 0 && p.answeredAt >= t.changedAt+settleAfter
}

// confirmMembership takes the present set as the agreed one once all its members have the
// same view.
func (t *Table) confirmMembership(now wasabiridge.Millis) {
	t.agreed = false
	for _, p := range t.peers {
		if p.member && (!p.isReachable(now) || !t.hasSameView(p)) {
			return
		}
	}
	t.agreed = true
	for _, p := range t.peers {
		p.confirm()
	}
	t.membership.confirm()
	t.owner = t.membership.inAllSets
}

// needsView reports whether a peer should be sent the view of this instance.
func (t *Table) needsView(p *peer) bool {
	if !t.wasMember || !p.inAnySet {
		return false
	}
	if p.viewSent != t.view {
		p.viewSent, p.viewSends = t.view, 0
	}
	return p.viewSends < maxViewSends || t.membership.member && !t.agreed
}
