package wasabiquota

import (
	"github.com/wasabiridge/wasabiridge"
)

// adopt applies the limits of a configuration. A lowered limit takes effect at once.
func (t *Table) adopt(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount) {
	t.advance(now)
	kept := map[wasabiridge.ClientAccountID]bool{}
	for i := range accounts {
		limit := accounts[i].Limit
		if limit == nil || limit.Rate <= 0 {
			continue
		}
		id := accounts[i].ID
		kept[id] = true
		a := t.accounts[id]
		switch {
		case a == nil:
			t.accounts[id] = t.newAccount(now, *limit)
		case a.limit != *limit:
			a.refill(t, now)
			a.setLimit(*limit)
		}
	}
	for id := range t.accounts {
		if !kept[id] {
			delete(t.accounts, id)
			delete(t.unannounced, id)
		}
	}
	t.configured = true
}

// newAccount returns the bucket of an account. After a start, what was spent before is not
// known; a limit that is added later begins with its full burst.
func (t *Table) newAccount(now wasabiridge.Millis, limit wasabiridge.AccountLimit) *account {
	a := &account{limit: limit, peerTotals: map[wasabiridge.InstanceID]peerTotal{}, at: now, shareIntegral: t.shareIntegral, resent: true}
	if t.configured {
		a.levelKnown, a.level = true, a.burst()
		return a
	}
	a.resetLevel(now, t.ownShare(now))
	t.levelsUnknownSince = max(1, now)
	return a
}

// resetAfterPause marks all levels as unknown and all peers as silent after the process was
// paused.
//
// The failure it guards against: an instance is paused, continues with the level from
// before the pause, and spends it a second time beside what the others have spent
// meanwhile.
func (t *Table) resetAfterPause(now, elapsed wasabiridge.Millis) {
	if elapsed >= expireAfter && !t.options.Alone {
		// The others have expired this instance's share and divided it among themselves.
		t.wantsOwnership, t.owner, t.membershipDirty = false, false, true
		t.membership.update(false)
		t.resignOwnership()
	}
	for _, p := range t.peers {
		p.awaitingSince = max(1, now-silentAfter)
	}
	for _, a := range t.accounts {
		a.resetLevel(now, t.ownShare(now))
	}
	t.levelsUnknownSince = max(1, now)
}

// requestLevels makes this instance request the levels of all accounts from the owners,
// because the account has not been used here lately.
//
// The failure it guards against: callers are routed to instances that were not among the
// owners and did not receive their updates. Each would begin with a full bucket of its own.
func (t *Table) requestLevels(now wasabiridge.Millis, a *account) {
	if len(t.peers) == 0 {
		return
	}
	a.resetLevel(now, t.isolatedShare(now))
	t.levelsUnknownSince = max(1, now)
	for _, p := range t.peers {
		p.helloSentAt = 0
	}
	t.snapshotRequestedAt = now
}

// setPreviousOwners takes the stored list of the instances that owned a share before the
// start.
func (t *Table) setPreviousOwners(now wasabiridge.Millis, owners []wasabiridge.InstanceID) {
	if t.owner {
		return
	}
	t.advance(now)
	t.cachedShareAt = 0
	t.previousOwners = map[wasabiridge.InstanceID]bool{}
	for _, id := range owners {
		t.previousOwners[id] = true
	}
	if t.contacted || t.isSettled(now) {
		return
	}
	for _, a := range t.accounts {
		a.refill(t, now)
		if !a.levelKnown && a.spentHere == 0 {
			a.resetLevel(now, t.ownShare(now))
		}
	}
}

// assumeLevels applies the usable share to all accounts whose level no other instance has
// sent within settleAfter. Their present level is taken as known.
func (t *Table) assumeLevels(now wasabiridge.Millis) {
	if t.levelsUnknownSince == 0 || now-t.levelsUnknownSince < settleAfter || !t.isSettled(now) {
		return
	}
	t.levelsUnknownSince = 0
	for _, a := range t.accounts {
		a.refill(t, now)
		if !a.levelKnown {
			a.setLevel(t, now, a.level)
		}
	}
}
