package wasabiquota

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// startFraction is the part of the burst that all instances together may use after a
	// start, while it is not known what was spent before.
	startFraction = 0.25
	// largeFraction is the part of the burst that must be available to admit a request that
	// costs more than that. Such a request leaves the bucket in debt.
	largeFraction = 0.5
	// minDebtShare is the smallest usable share of the limit with which a large request may
	// leave a debt. Otherwise each of many isolated instances would leave one.
	minDebtShare = 0.5
	// smallFraction is the part of the burst up to which a request counts as small,
	// debtFraction the part of the burst by which small requests may overdraw the bucket.
	smallFraction = 0.05
	debtFraction  = 0.25
	// reservedFraction is the part of the burst that is reserved for requests of the
	// highest recent priority, for pressureSpan after a refusal.
	reservedFraction = 0.25
	pressureSpan     = wasabiridge.Second
	// maxDebtSpan bounds the debt of a bucket, and maxPromisedSpan the units promised to
	// refused requests, by what the rate earns in that time.
	maxDebtSpan     = 4 * wasabiridge.Second
	maxPromisedSpan = 2 * wasabiridge.Second
)

// peerTotal is the running total of units that a peer has admitted for an account.
type peerTotal struct {
	incarnation wasabiridge.Incarnation
	sequence    uint64
	spent       int64
	// withheld is the value of peer.withheld when this total was received.
	withheld float64
}

// account is the token bucket of a client account.
type account struct {
	limit wasabiridge.AccountLimit
	// level is what was left in the bucket at time at, when Table.shareIntegral had the
	// value shareIntegral.
	level         float64
	at            wasabiridge.Millis
	shareIntegral float64
	// levelKnown says that the level accounts for the use of all instances. Until then this
	// instance uses only share of the limit.
	levelKnown bool
	share      float64
	// reserved is the part of the burst that is withheld for instances that do not answer.
	reserved float64
	// usedAt is when a request was last sent from this instance.
	usedAt wasabiridge.Millis
	// spentHere is the number of units spent at this instance since its start, announced
	// how many of them the last update contained.
	spentHere, announced float64
	// announcedAt is when announced was last sent. resent says that it was sent a second
	// time, in case the first update was lost.
	announcedAt wasabiridge.Millis
	resent      bool
	peerTotals  map[wasabiridge.InstanceID]peerTotal
	// topPriority is the highest priority among recent requests, topPriorityAt when it was
	// last seen.
	topPriority   wasabiridge.Priority
	topPriorityAt wasabiridge.Millis
	// pressedUntil is the time until which the account counts as under pressure after a
	// refusal. promised is the number of units that refused requests were told to retry
	// for, as of promisedAt.
	pressedUntil wasabiridge.Millis
	promised     float64
	promisedAt   wasabiridge.Millis
	refused      uint64
}

// perMilli returns the units that the limit earns per millisecond.
func (a *account) perMilli() float64 { return a.limit.Rate / float64(wasabiridge.Second) }

// burst returns the depth of the bucket, at least one unit.
func (a *account) burst() float64 { return max(a.limit.Burst, 1) }

// resetLevel marks the level as unknown and limits this instance to a share of the limit,
// starting from at most startFraction of the burst.
func (a *account) resetLevel(now wasabiridge.Millis, share float64) {
	a.levelKnown, a.share = false, share
	a.at = now
	start := max(a.burst()*startFraction, 1) * share
	a.level = min(max(a.level, 0), start)
	if a.spentHere == 0 {
		a.level = start
	}
}

// refill adds what the limit has earned since the last refill.
func (a *account) refill(t *Table, now wasabiridge.Millis) {
	share, earned := t.usableShare(now), t.shareIntegral-a.shareIntegral
	if !a.levelKnown {
		share = t.unknownLevelShare(now, a)
		earned = float64(now-a.at) * share
	}
	a.at, a.shareIntegral = now, t.shareIntegral
	if a.levelKnown {
		a.reserve(1 - share)
	}
	a.level = min(a.level+earned*a.perMilli(), a.burst()*share)
}

// reserve withholds a part of the burst for instances that do not answer. It is not
// returned when they answer again, because updates on what they have spent arrive only some
// moments later.
//
// The failure it guards against: the network is partitioned while an account sends a burst.
// Until the partition is detected, each side admits the whole burst. Therefore the silent
// instances are assumed to have spent their share of it.
func (a *account) reserve(withheld float64) {
	a.level -= max(0, withheld-a.reserved) * a.burst()
	a.reserved = withheld
}

// setLevel sets the level to a value that accounts for the use of all instances.
func (a *account) setLevel(t *Table, now wasabiridge.Millis, level float64) {
	a.levelKnown, a.level, a.at, a.shareIntegral, a.reserved = true, level, now, t.shareIntegral, 1-t.usableShare(now)
}

// setLimit replaces the limit. If the unit changes, the level keeps its ratio to the burst,
// and a debt is cancelled.
func (a *account) setLimit(limit wasabiridge.AccountLimit) {
	if limit.Unit != a.limit.Unit {
		a.level = limit.Burst * max(0, a.level) / a.burst()
	}
	a.limit = limit
	a.level = min(a.level, a.burst())
	a.promised = 0
}

// spend takes units out of the bucket for an attempt that this instance sends. A negative
// cost returns them.
func (a *account) spend(cost float64) {
	a.spentHere += cost
	a.level -= cost
	a.resent = false
}

// applyPeerTotal takes out of the bucket what a peer has spent since its last update, less
// the share that was withheld for the peer while it did not answer. complete says that the
// peer's updates have been received from its start on.
//
// The failure it guards against: an instance that has just started receives for the first
// time the total of a peer that has run for hours. If it subtracted the whole total, it
// would refuse requests far below the limit.
func (a *account) applyPeerTotal(id wasabiridge.InstanceID, next peerTotal, complete bool) {
	before, seen := a.peerTotals[id]
	if seen && before.incarnation == next.incarnation && next.sequence <= before.sequence {
		return
	}
	a.peerTotals[id] = next
	seen = seen && before.incarnation == next.incarnation
	if !a.levelKnown || !seen && !complete {
		return
	}
	spent := float64(next.spent)
	if seen {
		spent -= float64(before.spent)
		if spent > 0 {
			spent = max(0, spent-(next.withheld-before.withheld)*a.perMilli())
		}
	}
	a.level = max(a.level-spent, -float64(maxDebtSpan)*a.perMilli()-a.burst())
}

// notePriority records the priority of a request.
func (a *account) notePriority(now wasabiridge.Millis, p wasabiridge.Priority) {
	if p >= a.topPriority || now-a.topPriorityAt >= 2*pressureSpan {
		a.topPriority, a.topPriorityAt = p, now
	}
}

// requiredLevel returns the level that the bucket must have to admit a request with a share
// of the limit.
func (a *account) requiredLevel(now wasabiridge.Millis, cost float64, p wasabiridge.Priority, share float64) float64 {
	burst := a.burst() * share
	reserved := 0.0
	if now < a.pressedUntil && p < a.topPriority {
		reserved = reservedFraction * burst
	}
	if reserved == 0 && cost <= smallFraction*burst && a.limit.Unit == wasabiridge.LimitTokens {
		return cost - debtFraction*burst
	}
	if share >= minDebtShare {
		cost = min(cost, max(1, largeFraction*burst))
	}
	return cost + reserved
}

// admits reports whether a request is admitted with a share of the limit.
func (a *account) admits(now wasabiridge.Millis, cost float64, p wasabiridge.Priority, share float64) bool {
	return a.level >= a.requiredLevel(now, cost, p, share)
}

// refuse records a refusal. It returns the time after which there is expected to be room,
// behind the requests that were refused before.
func (a *account) refuse(now wasabiridge.Millis, cost float64, p wasabiridge.Priority, share float64) wasabiridge.Millis {
	a.refused++
	a.pressedUntil = now + pressureSpan
	perMilli := a.perMilli() * share
	a.promised = max(0, a.promised-float64(now-a.promisedAt)*perMilli)
	a.promisedAt = now
	missing := max(0, a.requiredLevel(now, cost, p, share)-a.level)
	after := (missing + a.promised) / perMilli
	a.promised = min(a.promised+cost, float64(maxPromisedSpan)*perMilli)
	return wasabiridge.Millis(math.Ceil(min(after, float64(wasabiridge.Hour))))
}

// state returns the state of the account for a level, with a share of the limit.
func (a *account) state(level, share float64) wasabiridge.QuotaState {
	burst := a.burst() * share
	return wasabiridge.QuotaState{
		Unit: a.limit.Unit, Limit: a.burst(), Remaining: max(0, level),
		Reset: wasabiridge.Millis(math.Ceil(max(0, burst-level) / (a.perMilli() * share))),
	}
}
