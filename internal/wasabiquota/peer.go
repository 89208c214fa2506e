package wasabiquota

import (
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// peer is another instance that owns a share of the limits, or may own one soon.
type peer struct {
	// incarnation identifies the peer's present process, previous the process before it.
	// receivedFromStart says that updates of the present process have been received from
	// its start on.
	incarnation, previous wasabiridge.Incarnation
	receivedFromStart     bool
	// contacted says that the peer has ever answered, ended that its process has ended
	// since.
	contacted, ended bool
	// awaitingSince is when the first message that the peer has not answered was sent. Zero
	// means that it has answered all messages.
	awaitingSince wasabiridge.Millis
	// helloSentAt is when the peer was last sent a hello message. Zero means that one is
	// due.
	helloSentAt wasabiridge.Millis
	// answeredAt is when the peer last answered or sent an update, usedAt when it last
	// announced uses.
	answeredAt, usedAt wasabiridge.Millis
	// active says that callers are routed to the peer.
	active bool
	// joinDeferred says that the peer appeared while another one was silent. It owns no
	// share until all peers are reachable.
	joinDeferred bool
	// announcedShare is the usable share that the peer last announced: what it and the
	// owners that it reaches own together. Zero means that the peer does not know it.
	announcedShare float64
	// withheld is the integral over time of the share of every limit that was left unused
	// for the peer while it was silent, in milliseconds.
	withheld float64
	// resigned says that the peer has announced that it does not own a share any more.
	resigned bool
	membership
	// change and view are the number and the hash of the set of owners that the peer last
	// announced.
	change, view uint64
	// viewSent is the view that the peer was last sent, viewSends how often it was sent.
	viewSent  uint64
	viewSends int
}

// isSilent reports whether the peer has not answered within silentAfter.
func (p *peer) isSilent(now wasabiridge.Millis) bool {
	return !p.ended && p.awaitingSince > 0 && now-p.awaitingSince >= silentAfter
}

// isReachable reports whether this instance can know what the peer spends: its process has
// ended, or it has answered in time.
func (p *peer) isReachable(now wasabiridge.Millis) bool {
	return p.ended || p.contacted && !p.isSilent(now)
}

// isSettled reports whether this instance knows the others well enough after its start. An
// instance that knows of no others assumes after aloneAfter that there are none.
func (t *Table) isSettled(now wasabiridge.Millis) bool {
	age := now - t.options.Started
	lonely := len(t.previousOwners) <= 1 && t.instanceCount == 1 && age >= aloneAfter
	return t.options.Alone || t.contacted && age >= settleAfter || lonely || age >= expireAfter
}

// setActive takes the instances that callers are routed to, and the number of instances.
func (t *Table) setActive(now wasabiridge.Millis, e wasabiridge.ActiveKnown) {
	t.maxInstanceCount = max(t.maxInstanceCount, e.Known)
	if e.Known != t.instanceCount {
		t.instanceCount, t.instanceCountAt = e.Known, now
	}
	t.active = false
	for _, p := range t.peers {
		p.active = false
	}
	for _, id := range e.Instances {
		if id == t.options.Self {
			t.active = true
			continue
		}
		t.peerFor(now, id).active = true
	}
}

// peerFor returns the peer with a name, and adds it if it is new.
//
// The failure it guards against: an instance that appears while others are partitioned off
// would take a share that these still own. Together they would admit more than the limit.
func (t *Table) peerFor(now wasabiridge.Millis, id wasabiridge.InstanceID) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{usedAt: now, joinDeferred: t.owner && t.hasUnresponsive(now) && t.isSettled(now)}
		t.peers[id] = p
		t.membershipDirty = true
	}
	return p
}

func (t *Table) hasUnresponsive(now wasabiridge.Millis) bool {
	for _, p := range t.peers {
		if p.isSilent(now) {
			return true
		}
	}
	return false
}

// markAnswered records that an instance has answered or sent an update.
func (t *Table) markAnswered(now wasabiridge.Millis, id wasabiridge.InstanceID) {
	if p := t.peers[id]; p != nil {
		t.membershipDirty = t.membershipDirty || p.ended
		p.awaitingSince, p.answeredAt, p.contacted, p.ended = 0, now, true, false
		t.contacted = true
	}
}

// acceptIncarnation records the process that sent an update. It reports false for a process
// that was replaced before. A new process whose first messages arrive counts as received
// from its start on.
func (p *peer) acceptIncarnation(incarnation wasabiridge.Incarnation, sequence uint64) bool {
	switch incarnation {
	case p.incarnation:
		return true
	case p.previous:
		return false
	}
	p.previous, p.incarnation, p.receivedFromStart = p.incarnation, incarnation, sequence <= firstMessages
	p.change, p.view = 0, 0
	return true
}

// markEnded records that the process of an instance has ended. The instance can own a share
// again when its next process answers.
func (t *Table) markEnded(id wasabiridge.InstanceID) {
	if p := t.peers[id]; p != nil {
		p.ended, p.awaitingSince = true, 0
		t.membershipDirty = true
	}
}

// isIdle reports whether a peer has spent nothing for idleAfter and callers are not routed
// to it.
func (p *peer) isIdle(now wasabiridge.Millis) bool { return !p.active && now-p.usedAt >= idleAfter }

// expirePeers drops peers that do not own a share any more, and updates the set of owners.
// This instance joins or leaves the set only while all peers are reachable.
func (t *Table) expirePeers(now wasabiridge.Millis) {
	allReachable, answeredLately := true, false
	for id, p := range t.peers {
		if resigned := p.isIdle(now) && p.answeredAt >= p.usedAt+idleAfter && p.announcedShare == 0; resigned != p.resigned {
			p.resigned, t.membershipDirty = resigned, true
		}
		switch {
		case !p.active && p.isSilent(now) && now-p.awaitingSince >= expireAfter, !p.active && (!p.contacted || p.ended), p.resigned && !p.inAnySet:
			delete(t.peers, id)
			t.membershipDirty = true
			continue
		}
		allReachable = allReachable && p.isReachable(now)
		answeredLately = answeredLately || now-p.answeredAt < idleAfter
	}
	t.cachedShareAt = 0
	if t.options.Alone {
		return
	}
	settled := t.isSettled(now) && (answeredLately || len(t.peers) == 0 && !t.contacted)
	if allReachable {
		t.admitOwners(now, settled)
	}
	t.updateMembership(now)
	if settled {
		t.confirmMembership(now)
	}
}

// admitOwners lets peers into the set of owners that appeared while others were silent, and
// lets this instance join the set if it serves requests, or leave it if not.
func (t *Table) admitOwners(now wasabiridge.Millis, settled bool) {
	for _, p := range t.peers {
		t.membershipDirty = t.membershipDirty || p.joinDeferred
		p.joinDeferred = false
	}
	if wanted := t.active || t.usedAt > 0 && now-t.usedAt < idleAfter; settled && wanted != t.wantsOwnership {
		t.wantsOwnership, t.membershipDirty = wanted, true
	}
}

// Peers returns the instances to which updates are sent, ordered by name.
func (t *Table) Peers() []wasabiridge.InstanceID {
	return slices.Sorted(maps.Keys(t.peers))
}

// Unresponsive returns the instances that have not answered in time, ordered by name.
func (t *Table) Unresponsive(now wasabiridge.Millis) []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for _, id := range t.Peers() {
		if t.peers[id].isSilent(now) {
			out = append(out, id)
		}
	}
	return out
}
