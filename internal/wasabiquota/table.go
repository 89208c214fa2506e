// Package wasabiquota keeps client accounts to their limits over all instances.
//
// # One bucket, counted everywhere
//
// Each instance keeps, for each client account, the one bucket of all instances: it
// fills with the account's rate up to its burst, and everything that runs anywhere is
// taken out of it. Instances tell each other what they have let run since their starts.
// What is told is a running total, so messages may be lost, doubled or late. An attempt
// is charged when it is sent to a server and given back when it did not run.
//
// # Instances that are not heard
//
// What an instance that does not answer lets run is not known. Each of n owners owns an
// n-th of every limit. Those that hear each other share the parts that they own together;
// the parts of the others stay untouched until they are heard, or have been silent for
// lapseAfter. Two sides of a partition therefore never let run more than the limit between
// them, once they have seen it.
//
// Owners are the instances that callers are sent to. All of them agree on who they are: an
// instance counts on one side of a partition only if everybody on the other side divides by
// it. Others ask the owners what is left before they let anything run, and go by the part
// that these have.
//
// # Starts
//
// An instance that starts, or that stood still, does not know what was spent. It lets run
// its own part of the limit until another instance tells it what is left, or until a
// second has passed. Who owned a part before is kept in the platform's table; without that
// an instance that knows nobody yet counts itself as one of manyInstances.
//
// # Who is let in
//
// A request is let in when the bucket holds its cost, or half of the burst if it costs
// more; the bucket may then be in debt. After a refusal, requests of lower priority leave
// a part of the burst to those of the highest. Small requests may run into a bounded debt,
// so that they do not wait behind a large one.
//
// # Usage
//
//	keeper := wasabiquota.NewKeeper(wasabiquota.KeeperOptions{Self: "pos-1", Clock: clock, ...})
//	core := wasabicore.New(wasabicore.Options{Quota: keeper.Table(), ...})
//	keeper.Join(wasabiloop.New(wasabiloop.Options{Decider: core, Clock: clock}))
//	go keeper.Run(ctx)
//
// A Table decides; it is deterministic and not safe for concurrent use. A Keeper drives it.
package wasabiquota

import (
	"github.com/wasabiridge/wasabiridge"
)

const (
	// manyInstances is how many instances one that has just started counts with at least.
	manyInstances = 128
	// stableAfter is how long the number of instances must have been the same for it to be
	// believed after a start.
	stableAfter = 200 * wasabiridge.Millis(1)
	// settleAfter is how long an instance that starts or stood still goes by its own part
	// of a limit if nobody tells it more.
	settleAfter = wasabiridge.Second
	// aloneAfter is how long after its start an instance that knows of no others takes it
	// that there are none.
	aloneAfter = 5 * wasabiridge.Second
	// silentAfter is how long a message to an instance may be without an answer before
	// its part is left untouched.
	silentAfter = 400 * wasabiridge.Millis(1)
	// stallMost is how long the table may not be asked anything before it takes it that
	// the process stood still.
	stallMost = 500 * wasabiridge.Millis(1)
	// strayShare is what an instance that owns no part and hears nobody lets run, as a
	// part of an equal share of all instances.
	strayShare = 0.1
	// lapseAfter is how long the part of a silent instance is left untouched.
	lapseAfter = wasabiridge.Minute
	// firstMessages is by which of its messages an instance must have been heard for
	// all that it has let run to be known.
	firstMessages = 16
	// idleAfter is how long an instance that no callers are sent to lets nothing run
	// before it owns no part any more.
	idleAfter = 10 * wasabiridge.Second
)

// Options set up a Table. The zero value works.
type Options struct {
	// Self names this instance, Life its life.
	Self wasabiridge.InstanceID
	Life wasabiridge.Incarnation
	// Started is the time of the start.
	Started wasabiridge.Millis
	// Alone says that there are no other instances.
	Alone bool
}

// Table implements wasabiridge.Quota. See the package comment.
type Table struct {
	options  Options
	peers    map[wasabiridge.InstanceID]*peer
	accounts map[wasabiridge.ClientAccountID]*account
	charges  map[wasabiridge.AttemptID]charge
	// untold are the accounts of which the others do not know all that ran here.
	untold map[wasabiridge.ClientAccountID]*account
	// last is up to when parts were reckoned.
	last wasabiridge.Millis
	// partNow is the part of all limits that may be used here as of partAt.
	partNow float64
	partAt  wasabiridge.Millis
	// heard is the integral over time of the part of all limits that the instances in
	// touch own, in milliseconds.
	heard float64
	// configured says that a configuration was adopted before.
	configured bool
	// owner says that this instance owns a part of every limit, as the others know. active
	// says that callers are sent here, used when something last ran.
	owner, active bool
	used          wasabiridge.Millis
	// seat is the place of this instance among the owners, wants whether it is to be one
	// and wasMember whether it was in any set.
	seat             seat
	wants, wasMember bool
	// change is the number of the present set, since changedAt, view the view of it. agreed
	// says that all its members have the same view, unseated that the set or the view may
	// have changed.
	change, view     uint64
	changedAt        wasabiridge.Millis
	agreed, unseated bool
	// met says that another instance was heard, ownersMet that one was that owns a part.
	met, ownersMet bool
	// asking is when this instance last wanted to be told all that is known.
	asking wasabiridge.Millis
	// newcomers are instances that want to be told all that is known.
	newcomers map[wasabiridge.InstanceID]bool
	// former are the instances that owned a part before the start. Nil means that it is not
	// known.
	former map[wasabiridge.InstanceID]bool
	// forgot is when it was last not known what was spent. Zero means that it is known.
	forgot wasabiridge.Millis
	// known is how many instances there are at most, counted how many there were last, and
	// countedAt since when.
	counted   int
	countedAt wasabiridge.Millis
	known     int
	sequence  uint64
	taken     wasabiridge.Millis
	counts    Counts
	histogram [histogramSize]uint64
	notes     []Note
}

// charge is an attempt that has not ended.
type charge struct {
	account wasabiridge.ClientAccountID
	cost    float64
	sent    bool
}

var _ wasabiridge.Quota = (*Table)(nil)

// New returns a Table that knows no limits and no other instances.
func New(o Options) *Table {
	return &Table{
		options: o, last: o.Started, owner: o.Alone,
		peers:    map[wasabiridge.InstanceID]*peer{},
		accounts: map[wasabiridge.ClientAccountID]*account{},
		charges:  map[wasabiridge.AttemptID]charge{},
		untold:   map[wasabiridge.ClientAccountID]*account{},

		newcomers: map[wasabiridge.InstanceID]bool{},
	}
}

// Judge implements wasabiridge.Quota.
func (t *Table) Judge(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.QuotaVerdict {
	a := t.accounts[r.Account]
	if a == nil {
		return wasabiridge.QuotaVerdict{Allowed: true}
	}
	t.advance(now)
	if !t.owner && !t.options.Alone && a.known && now-a.usedAt >= idleAfter && t.isSettled(now) {
		t.ask(now, a)
	}
	a.refill(t, now)
	a.meet(now, r.Action.Priority)
	cost, part := a.limit.Cost(r), t.partOf(now, a, t.part(now))
	if a.admits(now, cost, r.Action.Priority, part) {
		t.observeUse(a, part)
		return wasabiridge.QuotaVerdict{Allowed: true, State: a.state(a.level-cost, part)}
	}
	t.counts.Refused++
	after := a.refuse(now, cost, r.Action.Priority, part)
	t.note(now, r, a, cost, after)
	return wasabiridge.QuotaVerdict{RetryAfter: after, State: a.state(a.level, part)}
}

// Sent implements wasabiridge.Quota.
func (t *Table) Sent(now wasabiridge.Millis, r wasabiridge.Request, id wasabiridge.AttemptID) {
	a := t.accounts[r.Account]
	if a == nil {
		return
	}
	t.advance(now)
	a.refill(t, now)
	cost := a.limit.Cost(r)
	t.charges[id] = charge{account: r.Account, cost: cost}
	t.used = now
	t.spend(r.Account, a, cost)
	a.usedAt = now
}

// Observe implements wasabiridge.Quota.
func (t *Table) Observe(now wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.AttemptSent:
		if c, ok := t.charges[e.Attempt]; ok {
			c.sent = true
			t.charges[e.Attempt] = c
		}
	case wasabiridge.AttemptEnded:
		t.ended(now, e)
	case wasabiridge.ConfigAdopted:
		t.adopt(now, e.Config.Accounts)
	case wasabiridge.UsesHeard, wasabiridge.PeerHeard, wasabiridge.PeerTold, wasabiridge.PeerEnded, wasabiridge.ActiveKnown:
		t.advance(now)
		t.observePeer(now, e)
		// What is known of the others has changed.
		t.partAt = 0
	case wasabiridge.OwnersKnown:
		t.remember(now, e.Instances)
	case wasabiridge.Ticked:
		t.advance(now)
		t.settle(now)
	}
}

// observePeer takes an event that concerns other instances.
func (t *Table) observePeer(now wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.UsesHeard:
		t.hear(now, e)
	case wasabiridge.PeerHeard:
		t.hearPeer(now, e.From)
	case wasabiridge.PeerTold:
		if p := t.peers[e.To]; p != nil && p.asked == 0 {
			p.asked = now
		}
	case wasabiridge.PeerEnded:
		t.end(e.ID)
	case wasabiridge.ActiveKnown:
		t.know(now, e)
	}
}

// ended gives back what did not run: no byte was sent, or the server said so.
func (t *Table) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	c, ok := t.charges[e.Attempt]
	if !ok {
		return
	}
	delete(t.charges, e.Attempt)
	if a := t.accounts[c.account]; a != nil && (e.Result == wasabiridge.AttemptNotRun || !c.sent && e.Result != wasabiridge.AttemptCompleted) {
		t.advance(now)
		a.refill(t, now)
		t.spend(c.account, a, -c.cost)
	}
}

// spend takes units out of a bucket, or gives them back, and lets the others know.
func (t *Table) spend(id wasabiridge.ClientAccountID, a *account, cost float64) {
	a.spend(cost)
	t.untold[id] = a
}

// advance reckons which part of the limits the instances in touch owned until now.
func (t *Table) advance(now wasabiridge.Millis) {
	elapsed := now - t.last
	if elapsed <= 0 {
		return
	}
	if elapsed > stallMost {
		t.stalled(now, elapsed)
		t.last = now
		return
	}
	t.heard += float64(elapsed) * t.part(now)
	for _, p := range t.peers {
		if p.isSilent(now) {
			p.missed += float64(elapsed) / t.owners(now)
		}
	}
	t.last = now
	t.lapse(now)
}
