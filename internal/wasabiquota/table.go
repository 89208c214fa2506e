// Package wasabiquota enforces the rate limits of client accounts across all instances.
//
// # One token bucket per account, replicated
//
// Each instance keeps, for each client account, a copy of one token bucket for all
// instances: it fills with the account's rate up to its burst, and the cost of everything
// that runs at any instance is taken out of it. Instances send each other how much they
// have spent since their starts. These are running totals, so updates may be lost,
// duplicated or late. An attempt is charged when it is sent to a server and refunded when
// it did not run.
//
// # Instances that do not answer
//
// What a silent instance spends is not known. Each of n owners owns an n-th share of every
// limit. Owners that reach each other use the shares that they own together; the shares of
// the others are withheld until they answer, or have been silent for expireAfter.
// Therefore the two sides of a partition never admit more than the limit between them once
// they have detected the partition.
//
// Owners are the instances that callers are routed to. All of them agree on the set of
// owners: an instance counts on one side of a partition only if everybody on the other
// side divides by it. Instances that are not owners request the levels from the owners
// before they admit anything, and use the share that the owners announce.
//
// # Starts
//
// An instance that starts, or that was paused, does not know what was spent. It uses only
// its own share of the limit until another instance sends it the levels, or until a second
// has passed. The previous owners are stored in the platform's table; without that list an
// instance that does not know any others yet assumes that there are minAssumedInstances.
//
// # Admission
//
// A request is admitted when the bucket holds its cost, or half of the burst if it costs
// more than that; the bucket may then be in debt. After a refusal, requests of lower
// priority leave a part of the burst to those of the highest. Small requests may run into a
// bounded debt, so that they do not wait behind a large one.
//
// # Usage
//
//	controller := wasabiquota.NewController(wasabiquota.ControllerOptions{Self: "pos-1", Clock: clock, ...})
//	core := wasabicore.New(wasabicore.Options{Quota: controller.Table(), ...})
//	controller.SetLoop(wasabiloop.New(wasabiloop.Options{Decider: core, Clock: clock}))
//	go controller.Run(ctx)
//
// A Table makes the decisions; it is deterministic and not safe for concurrent use. A
// Controller connects it to the other instances.
package wasabiquota

import (
	"github.com/wasabiridge/wasabiridge"
)

const (
	// minAssumedInstances is the lowest number of instances that an instance assumes right
	// after its start.
	minAssumedInstances = 128
	// stableAfter is how long the number of instances must have been the same to be relied
	// on after a start.
	stableAfter = 200 * wasabiridge.Millis(1)
	// settleAfter is how long an instance uses only its own share of a limit after a start
	// or a pause, unless it receives the levels earlier.
	settleAfter = wasabiridge.Second
	// aloneAfter is how long after its start an instance that knows of no others assumes
	// that there are none.
	aloneAfter = 5 * wasabiridge.Second
	// silentAfter is how long a message may stay unanswered before the instance counts as
	// silent and its share is withheld.
	silentAfter = 400 * wasabiridge.Millis(1)
	// maxTickGap is the longest time between two calls of the table before it assumes that
	// the process was paused.
	maxTickGap = 500 * wasabiridge.Millis(1)
	// isolatedFraction is what an instance may use that owns no share and reaches no owner,
	// as a part of an equal share of all instances.
	isolatedFraction = 0.1
	// expireAfter is how long the share of a silent instance is withheld.
	expireAfter = wasabiridge.Minute
	// firstMessages bounds the sequence number of the first received update of a process
	// for its total to count as received from the start on.
	firstMessages = 16
	// idleAfter is how long an instance that callers are not routed to must have spent
	// nothing before it gives up its share.
	idleAfter = 10 * wasabiridge.Second
)

// Options configure a Table. The zero value works.
type Options struct {
	// Self names this instance, Incarnation is the incarnation of its process.
	Self        wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	// Started is when the process started.
	Started wasabiridge.Millis
	// Alone says that there are no other instances.
	Alone bool
}

// Table implements wasabiridge.Quota. See the package documentation.
type Table struct {
	options  Options
	peers    map[wasabiridge.InstanceID]*peer
	accounts map[wasabiridge.ClientAccountID]*account
	charges  map[wasabiridge.AttemptID]charge
	// unannounced holds the accounts with uses that have not been sent to the others twice.
	unannounced map[wasabiridge.ClientAccountID]*account
	// advancedAt is the time up to which the integrals over time have been computed.
	advancedAt wasabiridge.Millis
	// cachedShare is the usable share of all limits as of cachedShareAt. Zero as
	// cachedShareAt invalidates it.
	cachedShare   float64
	cachedShareAt wasabiridge.Millis
	// shareIntegral is the integral over time of the usable share of all limits, in
	// milliseconds.
	shareIntegral float64
	// configured says that a configuration has been applied before.
	configured bool
	// owner says that this instance owns a share of every limit, as agreed with the others.
	// active says that callers are routed here, usedAt is when something was last sent.
	owner, active bool
	usedAt        wasabiridge.Millis
	// membership is the place of this instance among the owners. wantsOwnership says that
	// it is to be an owner, wasMember that it has been in any set of owners.
	membership                membership
	wantsOwnership, wasMember bool
	// change is the number of the present set of owners, in use since changedAt, and view
	// the hash of the set. agreed says that all members have the same view, membershipDirty
	// that the set or the view may have changed and must be computed again.
	change, view            uint64
	changedAt               wasabiridge.Millis
	agreed, membershipDirty bool
	// contacted says that any other instance has answered, ownerContacted that one that
	// owns a share has.
	contacted, ownerContacted bool
	// snapshotRequestedAt is when this instance last requested the levels of all accounts.
	snapshotRequestedAt wasabiridge.Millis
	// snapshotRequests holds the instances that request the levels of all accounts.
	snapshotRequests map[wasabiridge.InstanceID]bool
	// previousOwners holds the instances that owned a share before the start. Nil means
	// that they are not known.
	previousOwners map[wasabiridge.InstanceID]bool
	// levelsUnknownSince is when levels were last marked as unknown. Zero means that they
	// are known.
	levelsUnknownSince wasabiridge.Millis
	// instanceCount is the last reported number of instances, unchanged since
	// instanceCountAt, maxInstanceCount the largest number reported so far.
	instanceCount    int
	instanceCountAt  wasabiridge.Millis
	maxInstanceCount int
	sequence         uint64
	announcedAt      wasabiridge.Millis
	counts           Counts
	useHistogram     [histogramBuckets]uint64
	refusals         []Refusal
}

// charge is an attempt in flight.
type charge struct {
	account wasabiridge.ClientAccountID
	cost    float64
	sent    bool
}

var _ wasabiridge.Quota = (*Table)(nil)

// New returns a Table without limits that knows of no other instances.
func New(o Options) *Table {
	return &Table{
		options: o, advancedAt: o.Started, owner: o.Alone,
		peers:       map[wasabiridge.InstanceID]*peer{},
		accounts:    map[wasabiridge.ClientAccountID]*account{},
		charges:     map[wasabiridge.AttemptID]charge{},
		unannounced: map[wasabiridge.ClientAccountID]*account{},

		snapshotRequests: map[wasabiridge.InstanceID]bool{},
	}
}

// Check implements wasabiridge.Quota.
func (t *Table) Check(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.QuotaVerdict {
	a := t.accounts[r.Account]
	if a == nil {
		return wasabiridge.QuotaVerdict{Allowed: true}
	}
	t.advance(now)
	if !t.owner && !t.options.Alone && a.levelKnown && now-a.usedAt >= idleAfter && t.isSettled(now) {
		t.requestLevels(now, a)
	}
	a.refill(t, now)
	a.notePriority(now, r.Action.Priority)
	cost, share := a.limit.Cost(r), t.accountShare(now, a, t.usableShare(now))
	if a.admits(now, cost, r.Action.Priority, share) {
		t.recordUse(a, share)
		return wasabiridge.QuotaVerdict{Allowed: true, State: a.state(a.level-cost, share)}
	}
	t.counts.Refused++
	after := a.refuse(now, cost, r.Action.Priority, share)
	t.addRefusal(now, r, a, cost, after)
	return wasabiridge.QuotaVerdict{RetryAfter: after, State: a.state(a.level, share)}
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
	t.usedAt = now
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
	case wasabiridge.UsageReceived, wasabiridge.PeerReachable, wasabiridge.PeerUpdateSent, wasabiridge.PeerEnded, wasabiridge.ActiveKnown:
		t.advance(now)
		t.observePeer(now, e)
		// The event may have changed which owners are reachable.
		t.cachedShareAt = 0
	case wasabiridge.OwnersKnown:
		t.setPreviousOwners(now, e.Instances)
	case wasabiridge.Ticked:
		t.advance(now)
		t.assumeLevels(now)
	}
}

// observePeer handles an event that concerns other instances.
func (t *Table) observePeer(now wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.UsageReceived:
		t.receiveUses(now, e)
	case wasabiridge.PeerReachable:
		t.markAnswered(now, e.From)
	case wasabiridge.PeerUpdateSent:
		if p := t.peers[e.To]; p != nil && p.awaitingSince == 0 {
			p.awaitingSince = now
		}
	case wasabiridge.PeerEnded:
		t.markEnded(e.ID)
	case wasabiridge.ActiveKnown:
		t.setActive(now, e)
	}
}

// ended returns the units of an attempt that did not run: no byte of it was sent, or the
// server reported that it did not run.
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

// spend takes units out of a bucket, or returns them, and schedules an update on the
// account.
func (t *Table) spend(id wasabiridge.ClientAccountID, a *account, cost float64) {
	a.spend(cost)
	t.unannounced[id] = a
}

// advance computes the integrals over time up to now, and expires peers. After a gap of
// more than maxTickGap it assumes that the process was paused.
func (t *Table) advance(now wasabiridge.Millis) {
	elapsed := now - t.advancedAt
	if elapsed <= 0 {
		return
	}
	if elapsed > maxTickGap {
		t.resetAfterPause(now, elapsed)
		t.advancedAt = now
		return
	}
	t.shareIntegral += float64(elapsed) * t.usableShare(now)
	for _, p := range t.peers {
		if p.isSilent(now) {
			p.withheld += float64(elapsed) / t.ownerCount(now)
		}
	}
	t.advancedAt = now
	t.expirePeers(now)
}
