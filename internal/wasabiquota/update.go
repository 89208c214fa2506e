package wasabiquota

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// urgentInterval is the shortest time between two updates while some account may be
	// close to its limit, relaxedInterval the shortest time otherwise.
	urgentInterval  = 100 * wasabiridge.Millis(1)
	relaxedInterval = 500 * wasabiridge.Millis(1)
	// relaxedFraction is the part of the burst that must be left for updates on an account
	// to be delayed, unannouncedFraction the part of the burst that all instances together
	// may have spent unannounced meanwhile.
	relaxedFraction     = 0.75
	unannouncedFraction = 0.25
	// resendAfter is the time after which a change is sent a second time, in case the first
	// update was lost.
	resendAfter = 300 * wasabiridge.Millis(1)
	// snapshotSenders is how many instances answer a request for the levels of all
	// accounts.
	snapshotSenders = 2
	// helloInterval is the shortest time between two hello messages to an instance that has
	// not answered yet.
	helloInterval = 500 * wasabiridge.Millis(1)
	// heartbeatAfter is the time without an answer after which an owner is sent a hello
	// message, to check that it is still reachable.
	heartbeatAfter = wasabiridge.Second
)

// isAnnounced reports whether the last total was sent twice. Delivery is not confirmed.
func (a *account) isAnnounced() bool { return a.spentHere == a.announced && a.resent }

// isRelaxed reports whether updates on this account may be delayed without risk for the
// limit.
func (a *account) isRelaxed(ownShare float64) bool {
	return a.levelKnown && a.level >= relaxedFraction*a.burst() && math.Abs(a.spentHere-a.announced) <= unannouncedFraction*a.burst()*ownShare
}

// isUpdateDue reports whether the account belongs in an update sent now.
func (a *account) isUpdateDue(now wasabiridge.Millis, ownShare float64) bool {
	switch since := now - a.announcedAt; {
	case a.spentHere != a.announced:
		return since >= relaxedInterval || !a.isRelaxed(ownShare)
	case a.resent:
		return false
	default:
		return since >= resendAfter
	}
}

// IsDue reports whether an update to the other instances is due.
func (t *Table) IsDue(now wasabiridge.Millis) bool {
	since := now - t.announcedAt
	if since < urgentInterval || len(t.peers) == 0 {
		return false
	}
	ownShare := t.ownShare(now)
	for _, a := range t.unannounced {
		if a.isUpdateDue(now, ownShare) {
			return true
		}
	}
	return false
}

// HelloTargets returns the instances that should be sent a hello message now, because
// it is not known whether they are reachable or which owners they assume, ordered by
// name.
//
// The failures it guards against: instances without requests do not know of each other, and
// the first requests of an account find only one instance's share of its limit. Or the
// network is partitioned, which they do not detect, and each of them admits a whole burst.
func (t *Table) HelloTargets(now wasabiridge.Millis) []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	if !t.IsLimiting() {
		return nil
	}
	for id, p := range t.peers {
		quiet := t.owner && p.active && p.contacted && now-p.answeredAt >= heartbeatAfter
		unconfirmed := !p.contacted && !p.ended || p.isSilent(now) || p.isIdle(now) || t.wantsSnapshot(now)
		if !t.needsView(p) && !quiet && !unconfirmed || p.helloSentAt > 0 && now-p.helloSentAt < helloInterval {
			continue
		}
		p.helloSentAt = now
		p.viewSends++
		if quiet && p.awaitingSince == 0 {
			p.awaitingSince = now
		}
		out = append(out, id)
	}
	t.cachedShareAt = 0
	slices.Sort(out)
	return out
}

// wantsSnapshot reports whether this instance needs the levels of all accounts from an
// owner.
func (t *Table) wantsSnapshot(now wasabiridge.Millis) bool {
	return !t.owner && (t.active || t.snapshotRequestedAt > 0 && now-t.snapshotRequestedAt < settleAfter)
}

// SnapshotTargets returns the instances that have requested the levels of all accounts
// and that this instance should answer, ordered by name. It clears the requests.
func (t *Table) SnapshotTargets() []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for id := range t.snapshotRequests {
		if t.owner && t.isSnapshotSender(id) {
			out = append(out, id)
		}
	}
	clear(t.snapshotRequests)
	slices.Sort(out)
	return out
}

// isSnapshotSender reports whether this is one of the instances that send another one the
// levels of all accounts. All owners that can reach the same owners choose the same
// senders.
func (t *Table) isSnapshotSender(id wasabiridge.InstanceID) bool {
	own, ahead := rank(id, t.options.Self), 0
	for other, p := range t.peers {
		if other != id && p.announcedShare > 0 && !p.ended && p.isReachable(t.advancedAt) && rank(id, other) > own {
			ahead++
		}
	}
	return ahead < snapshotSenders
}

// rank orders the instances that may answer a request for the levels of all accounts.
func rank(id, sender wasabiridge.InstanceID) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(sender))
}

// LevelSnapshot returns the answer to a request for the levels of all accounts: every
// account of which some use is known.
func (t *Table) LevelSnapshot(now wasabiridge.Millis) wasabiridge.StateUpdate {
	t.advance(now)
	t.sequence++
	update := t.Hello(now)
	update.Complete = true
	for _, id := range slices.Sorted(maps.Keys(t.accounts)) {
		a := t.accounts[id]
		a.refill(t, now)
		// The receiver must not assume an account to be unspent if its level is unknown here.
		update.Complete = update.Complete && a.levelKnown
		if a.levelKnown && (a.spentHere != 0 || len(a.peerTotals) > 0) {
			update.Usage = append(update.Usage, wasabiridge.UsageUpdate{Account: id, Spent: int64(math.Ceil(a.spentHere)), Level: int64(a.level), LevelKnown: true})
		}
	}
	return update
}

// Hello returns an update without uses. It tells the receiver that this instance is
// running, and which owners it assumes.
func (t *Table) Hello(now wasabiridge.Millis) wasabiridge.StateUpdate {
	return wasabiridge.StateUpdate{
		From: t.options.Self, Incarnation: t.options.Incarnation, Sequence: t.sequence, Share: t.shareToAnnounce(now), OwnersEpoch: t.change, OwnersDigest: t.view,
	}
}

// TakeUpdate returns the update that is due for the other instances. It has no uses when
// nothing has run for a while.
func (t *Table) TakeUpdate(now wasabiridge.Millis) wasabiridge.StateUpdate {
	t.advance(now)
	ownShare := t.ownShare(now)
	update := t.Hello(now)
	update.Sequence = 0
	for _, id := range slices.Sorted(maps.Keys(t.unannounced)) {
		a := t.unannounced[id]
		if !a.isUpdateDue(now, ownShare) {
			continue
		}
		a.refill(t, now)
		a.resent = a.spentHere == a.announced
		a.announced, a.announcedAt = a.spentHere, now
		if a.isAnnounced() {
			delete(t.unannounced, id)
		}
		use := wasabiridge.UsageUpdate{Account: id, Spent: int64(math.Ceil(a.spentHere))}
		if a.levelKnown {
			use.Level, use.LevelKnown = int64(a.level), true
		}
		update.Usage = append(update.Usage, use)
	}
	if len(update.Usage) > 0 && now-t.announcedAt >= urgentInterval {
		t.announcedAt = now
	}
	if len(update.Usage) > 0 {
		t.sequence++
		update.Sequence = t.sequence
	}
	return update
}

// receiveUses applies what another instance has spent.
func (t *Table) receiveUses(now wasabiridge.Millis, e wasabiridge.UsageReceived) {
	if len(e.Usage) == 0 && !e.Complete && e.Share == 0 {
		t.snapshotRequests[e.From] = true
	}
	if len(e.Usage) == 0 && t.peers[e.From] == nil {
		// An instance that spends nothing owns no share.
		return
	}
	p := t.peerFor(now, e.From)
	if !p.acceptIncarnation(e.Incarnation, e.Sequence) {
		return
	}
	t.membershipDirty = t.membershipDirty || e.OwnersEpoch > p.change
	p.receiveView(e)
	p.announcedShare = e.Share
	t.ownerContacted = t.ownerContacted || e.Share > 0
	if len(e.Usage) > 0 {
		p.usedAt = now
	}
	for _, use := range e.Usage {
		a := t.accounts[use.Account]
		if a == nil {
			continue
		}
		a.refill(t, now)
		a.applyPeerTotal(e.From, peerTotal{incarnation: e.Incarnation, sequence: e.Sequence, spent: use.Spent, withheld: p.withheld}, p.receivedFromStart)
		if !a.levelKnown && use.LevelKnown {
			// The sender may not have received this instance's latest uses yet.
			a.setLevel(t, now, min(float64(use.Level)-(a.spentHere-a.announced), a.burst()*t.usableShare(now)))
		}
	}
	t.markAnswered(now, e.From)
	if e.Complete {
		t.assumeUnspent(now, e.Usage)
	}
}

// assumeUnspent assumes that the burst is unspent for all accounts with an unknown level
// that a complete update does not name.
func (t *Table) assumeUnspent(now wasabiridge.Millis, named []wasabiridge.UsageUpdate) {
	touched := map[wasabiridge.ClientAccountID]bool{}
	for _, use := range named {
		touched[use.Account] = true
	}
	for id, a := range t.accounts {
		if !a.levelKnown && !touched[id] {
			a.setLevel(t, now, a.burst()*t.usableShare(now))
		}
	}
}
