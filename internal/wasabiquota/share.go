package wasabiquota

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// ownerCount returns the number by which every limit is divided: each owner has an equal
// share. Shortly after a start it is at least minAssumedInstances.
func (t *Table) ownerCount(now wasabiridge.Millis) float64 {
	n := 1
	for _, p := range t.peers {
		if p.inAnySet && !p.ended {
			n++
		}
	}
	if !t.isSettled(now) && !t.hasStableCount(now) {
		n = max(n, minAssumedInstances)
	}
	return float64(n)
}

// hasStableCount reports whether the number of instances has been the same for stableAfter.
//
// The failure it guards against: all instances start at once, and each of them has callers
// before it knows the others. Each would take a share that is right for a few instances.
func (t *Table) hasStableCount(now wasabiridge.Millis) bool {
	return t.instanceCount > 1 && now-t.instanceCountAt >= stableAfter
}

// ownShare returns the share of every limit that this instance may use on its own.
func (t *Table) ownShare(now wasabiridge.Millis) float64 {
	settled := t.isSettled(now)
	switch {
	case !settled && t.previousOwners[t.options.Self]:
		return 1 / float64(len(t.previousOwners))
	case !settled && (len(t.previousOwners) > 0 || t.hasStableCount(now) && (!t.active || now-t.options.Started >= settleAfter)):
		return t.isolatedShare(now)
	}
	return 1 / t.ownerCount(now)
}

// Owners returns the instances that own a share of every limit, ordered by name. It is
// empty while they are not known for certain.
func (t *Table) Owners(now wasabiridge.Millis) []wasabiridge.InstanceID {
	if !t.owner || !t.agreed || !t.isSettled(now) || t.hasUnresponsive(now) {
		return nil
	}
	out := []wasabiridge.InstanceID{t.options.Self}
	for id, p := range t.peers {
		if p.active && p.inAllSets {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// IsLimiting reports whether any account has a limit.
func (t *Table) IsLimiting() bool { return len(t.accounts) > 0 }

// usableShare returns the share of every limit that may be used here: what this instance
// and the reachable owners own together. An instance that owns no share uses the share that
// owners announce.
//
// The failure it guards against: instances that were just added, or that callers were not
// routed to, are partitioned from the owners. Each would count itself as one more owner,
// and together they would admit more than the limit.
func (t *Table) usableShare(now wasabiridge.Millis) float64 {
	if t.cachedShareAt != now {
		t.cachedShare, t.cachedShareAt = t.computeUsableShare(now), now
	}
	return t.cachedShare
}

func (t *Table) computeUsableShare(now wasabiridge.Millis) float64 {
	if !t.owner {
		if announced := t.leastAnnouncedShare(now); announced > 0 {
			return announced
		}
	}
	reachable := t.reachableOwners(now)
	if !t.owner && t.isSettled(now) {
		if reachable == 1 || t.ownerContacted {
			return t.isolatedShare(now)
		}
		if reachable < t.ownerCount(now) {
			return t.previousOwnersShare(now)
		}
	}
	return reachable / t.ownerCount(now)
}

// previousOwnersShare returns the usable share of instances that have all restarted and can
// reach only some of the others. Those that they cannot reach may have kept running, so
// only the owners from before the restart count.
func (t *Table) previousOwnersShare(now wasabiridge.Millis) float64 {
	if t.previousOwners != nil && len(t.previousOwners) == 0 {
		return t.reachableOwners(now) / t.ownerCount(now)
	}
	reachable, unknown := 0, 0
	for id := range t.previousOwners {
		switch p := t.peers[id]; {
		case id == t.options.Self:
			reachable++
		case p == nil:
			unknown++
		case !p.ended && p.isReachable(now):
			reachable++
		}
	}
	if reachable == 0 {
		return t.isolatedShare(now)
	}
	return float64(reachable) / (t.ownerCount(now) + float64(unknown))
}

// reachableOwners returns the number of owners that use their shares together with this
// instance, itself included.
//
// The failure it guards against: instances that are added just before a partition count as
// owners on their side, while the other side does not know of them and divides by fewer
// owners.
func (t *Table) reachableOwners(now wasabiridge.Millis) float64 {
	n, inAllSets, allReachable := 1, 1, true
	for _, p := range t.peers {
		switch {
		case p.ended:
			// Its share is free on both sides of a partition.
		case p.inAnySet && p.isReachable(now):
			n++
			if p.inAllSets {
				inAllSets++
			}
		case p.inAllSets:
			allReachable = false
		}
	}
	if allReachable {
		return float64(n)
	}
	return float64(inAllSets)
}

// isolatedShare returns the share of every limit for an instance that owns none and reaches
// no owner.
func (t *Table) isolatedShare(now wasabiridge.Millis) float64 {
	return isolatedFraction / max(t.ownerCount(now), float64(t.maxInstanceCount))
}

// leastAnnouncedShare returns the smallest share that any reachable instance has announced,
// or zero if none has announced one.
func (t *Table) leastAnnouncedShare(now wasabiridge.Millis) float64 {
	least := 0.0
	for _, p := range t.peers {
		if p.announcedShare > 0 && !p.ended && p.isReachable(now) && (least == 0 || p.announcedShare < least) {
			least = p.announcedShare
		}
	}
	return least
}

// shareToAnnounce returns the share that updates announce. Zero means that it is not known.
func (t *Table) shareToAnnounce(now wasabiridge.Millis) float64 {
	if !t.owner || !t.isSettled(now) {
		return 0
	}
	return t.usableShare(now)
}

// accountShare returns the share of an account's limit that may be used here.
func (t *Table) accountShare(now wasabiridge.Millis, a *account, share float64) float64 {
	if a.levelKnown {
		return share
	}
	return t.unknownLevelShare(now, a)
}

// unknownLevelShare returns the share of an account's limit that may be used here while the
// account's level is unknown.
func (t *Table) unknownLevelShare(now wasabiridge.Millis, a *account) float64 {
	if t.isSettled(now) {
		return a.share
	}
	return t.ownShare(now)
}
