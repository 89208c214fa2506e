package wasabiquota

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// startShare is the part of the burst that all instances together have at a start,
	// when it is not known what was spent before.
	startShare = 0.25
	// largeShare is the part of the burst that a request needs that costs more. It leaves
	// a debt.
	largeShare = 0.5
	// largePart is the part of the limit that must be known for a request to leave a debt.
	// Each of many instances that hear nobody would leave one.
	largePart = 0.5
	// smallShare is the part of the burst up to which a request is small, and debtShare
	// the part up to which small ones may run into debt.
	smallShare = 0.05
	debtShare  = 0.25
	// keptShare is the part of the burst that requests of lower priority leave to others,
	// for pressedFor after a refusal.
	keptShare  = 0.25
	pressedFor = wasabiridge.Second
	// debtSpan and waitSpan bound a debt, and what refused requests were promised, by
	// what the rate earns in that time.
	debtSpan = 4 * wasabiridge.Second
	waitSpan = 2 * wasabiridge.Second
)

// total is what a peer has let run for an account.
type total struct {
	life     wasabiridge.Incarnation
	sequence uint64
	spent    int64
	// missed is the peer's missed part when this was told.
	missed float64
}

// account is the bucket of a client account.
type account struct {
	limit wasabiridge.AccountLimit
	// level is what is left as of at, when the table's integral was heard.
	level float64
	at    wasabiridge.Millis
	heard float64
	// known says that the level is that of all instances. Until then only share of the
	// limit is used.
	known bool
	share float64
	// reserved is the part of the burst that is held back for silent instances.
	reserved float64
	// usedAt is when something last ran here.
	usedAt wasabiridge.Millis
	// own is what ran here since the start, told what of it the others know.
	own, told float64
	// toldAt is when that was told, repeated whether it was told once more.
	toldAt   wasabiridge.Millis
	repeated bool
	peers    map[wasabiridge.InstanceID]total
	// top is the highest priority that was lately met, topAt when.
	top   wasabiridge.Priority
	topAt wasabiridge.Millis
	// pressed is until when something was lately refused, promised what refused requests
	// were told to come back for, as of promisedAt.
	pressed    wasabiridge.Millis
	promised   float64
	promisedAt wasabiridge.Millis
	refused    uint64
}

// perMilli is what the limit earns in a millisecond.
func (a *account) perMilli() float64 { return a.limit.Rate / float64(wasabiridge.Second) }

// burst is the depth of the bucket. It holds one unit at least.
func (a *account) burst() float64 { return max(a.limit.Burst, 1) }

// forget takes it that nothing is known of what was spent.
func (a *account) forget(now wasabiridge.Millis, share float64) {
	a.known, a.share = false, share
	a.at = now
	start := max(a.burst()*startShare, 1) * share
	a.level = min(max(a.level, 0), start)
	if a.own == 0 {
		a.level = start
	}
}

// refill earns what the limit has brought since the last time.
func (a *account) refill(t *Table, now wasabiridge.Millis) {
	part, earned := t.part(now), t.heard-a.heard
	if !a.known {
		part = t.shareOf(now, a)
		earned = float64(now-a.at) * part
	}
	a.at, a.heard = now, t.heard
	if a.known {
		a.reserve(1 - part)
	}
	a.level = min(a.level+earned*a.perMilli(), a.burst()*part)
}

// reserve holds back a part of the burst. It is not given back when silent instances are
// heard again: what they let run is heard of some moments later.
//
// The failure it guards against: instances are cut off while an account rushes. Until it
// is seen, each side lets run the whole burst; those that are silent are taken to have had
// their part of it.
func (a *account) reserve(part float64) {
	a.level -= max(0, part-a.reserved) * a.burst()
	a.reserved = part
}

// know takes a level for that of all instances.
func (a *account) know(t *Table, now wasabiridge.Millis, level float64) {
	a.known, a.level, a.at, a.heard, a.reserved = true, level, now, t.heard, 1-t.part(now)
}

// change takes another limit.
func (a *account) change(limit wasabiridge.AccountLimit) {
	if limit.Unit != a.limit.Unit {
		a.level = limit.Burst * max(0, a.level) / a.burst()
	}
	a.limit = limit
	a.level = min(a.level, a.burst())
	a.promised = 0
}

// spend takes units out of the bucket for something that runs here, or gives them back.
func (a *account) spend(cost float64) {
	a.own += cost
	a.level -= cost
	a.repeated = false
}

// take takes out what a peer has let run. What was left untouched for it while it was
// silent was taken out already.
//
// The failure it guards against: an instance that has just started hears for the first
// time what another one has let run for hours, and refuses what is well below the limit.
func (a *account) take(id wasabiridge.InstanceID, next total, whole bool) {
	before, met := a.peers[id]
	if met && before.life == next.life && next.sequence <= before.sequence {
		return
	}
	a.peers[id] = next
	met = met && before.life == next.life
	if !a.known || !met && !whole {
		return
	}
	spent := float64(next.spent)
	if met {
		spent -= float64(before.spent)
		if spent > 0 {
			spent = max(0, spent-(next.missed-before.missed)*a.perMilli())
		}
	}
	a.level = max(a.level-spent, -float64(debtSpan)*a.perMilli()-a.burst())
}

// meet notes a priority.
func (a *account) meet(now wasabiridge.Millis, p wasabiridge.Priority) {
	if p >= a.top || now-a.topAt >= 2*pressedFor {
		a.top, a.topAt = p, now
	}
}

// need is what the bucket must hold for a request to be let in, with a part of the limit.
func (a *account) need(now wasabiridge.Millis, cost float64, p wasabiridge.Priority, part float64) float64 {
	burst := a.burst() * part
	kept := 0.0
	if now < a.pressed && p < a.top {
		kept = keptShare * burst
	}
	if kept == 0 && cost <= smallShare*burst && a.limit.Unit == wasabiridge.LimitTokens {
		return cost - debtShare*burst
	}
	if part >= largePart {
		cost = min(cost, max(1, largeShare*burst))
	}
	return cost + kept
}

// admits reports whether a request is let in.
func (a *account) admits(now wasabiridge.Millis, cost float64, p wasabiridge.Priority, part float64) bool {
	return a.level >= a.need(now, cost, p, part)
}

// refuse notes that a request is refused. It returns when there is expected to be room,
// behind those that were refused before.
func (a *account) refuse(now wasabiridge.Millis, cost float64, p wasabiridge.Priority, part float64) wasabiridge.Millis {
	a.refused++
	a.pressed = now + pressedFor
	perMilli := a.perMilli() * part
	a.promised = max(0, a.promised-float64(now-a.promisedAt)*perMilli)
	a.promisedAt = now
	missing := max(0, a.need(now, cost, p, part)-a.level)
	after := (missing + a.promised) / perMilli
	a.promised = min(a.promised+cost, float64(waitSpan)*perMilli)
	return wasabiridge.Millis(math.Ceil(min(after, float64(wasabiridge.Hour))))
}

// state tells how the account stands with a level, of a part of the limit.
func (a *account) state(level, part float64) wasabiridge.QuotaState {
	burst := a.burst() * part
	return wasabiridge.QuotaState{
		Unit: a.limit.Unit, Limit: a.burst(), Remaining: max(0, level),
		Reset: wasabiridge.Millis(math.Ceil(max(0, burst-level) / (a.perMilli() * part))),
	}
}
