package wasabiquota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxRefusals bounds the refusals that wait to be logged. Further ones are only
	// counted.
	maxRefusals = 64
	// histogramBuckets is the number of equal bins for the used part of a burst.
	histogramBuckets = 10
)

// Counts are totals since the start of the process.
type Counts struct {
	// Refused counts requests over a limit, Unlogged those of them without a log line.
	Refused, Unlogged uint64
}

// Refusal is a refusal, with the values that it was decided by.
type Refusal struct {
	Request wasabiridge.RequestID
	Account wasabiridge.ClientAccountID
	Limit   wasabiridge.AccountLimit
	// Cost is the units of the request, Level what was left in the bucket, UsableShare
	// the share of the limit that this instance could use, Known whether the level
	// accounted for all instances.
	Cost, Level, UsableShare float64
	Known                    bool
	RetryAfter               wasabiridge.Millis
	// Unresponsive names the instances that have not answered in time. Oldest is the
	// age of the oldest last answer among all other instances.
	Unresponsive []wasabiridge.InstanceID
	Oldest       wasabiridge.Millis
	// Owners is the ownership as this instance knew it.
	Owners Owners
}

func (t *Table) addRefusal(now wasabiridge.Millis, r wasabiridge.Request, a *account, cost float64, after wasabiridge.Millis) {
	if len(t.refusals) >= maxRefusals {
		t.counts.Unlogged++
		return
	}
	n := Refusal{
		Request: r.ID, Account: r.Account, Limit: a.limit, Cost: cost, Level: a.level, UsableShare: t.accountShare(now, a, t.usableShare(now)), Known: a.levelKnown,
		RetryAfter: after, Unresponsive: t.Unresponsive(now), Owners: t.Ownership(now),
	}
	for _, p := range t.peers {
		n.Oldest = max(n.Oldest, now-p.answeredAt)
	}
	t.refusals = append(t.refusals, n)
}

// TakeRefusals returns the refusals since the last call.
func (t *Table) TakeRefusals() []Refusal {
	out := t.refusals
	t.refusals = nil
	return out
}

// Counts returns totals since the start of the process.
func (t *Table) Counts() Counts { return t.counts }

// recordUse adds the used part of the burst to the histogram when a request is admitted.
func (t *Table) recordUse(a *account, share float64) {
	used := 1 - a.level/(a.burst()*share)
	t.useHistogram[min(max(int(used*histogramBuckets), 0), histogramBuckets-1)]++
}

// UsageHistogram returns a histogram of admitted requests by the used part of their
// account's burst, in equal bins from none to all of it.
func (t *Table) UsageHistogram() []uint64 { return slices.Clone(t.useHistogram[:]) }

// Entry is the state of an account with a limit.
type Entry struct {
	Account wasabiridge.ClientAccountID
	Limit   wasabiridge.AccountLimit
	// Level is what is left of the burst, negative for a debt. SpentHere is the number
	// of units spent at this instance since its start, Refused the number of requests
	// that this instance refused. Known says that Level accounts for all instances.
	Level, SpentHere float64
	Refused          uint64
	Known            bool
	// Totals are the last totals received from the other instances.
	Totals []Total
}

// Total is the number of units that another instance has spent since its start.
// Unresponsive says that the instance has not answered in time.
type Total struct {
	Instance     wasabiridge.InstanceID
	Spent        int64
	Unresponsive bool
}

// Entries returns the state of all accounts with a limit, ordered by name.
func (t *Table) Entries(now wasabiridge.Millis) []Entry {
	t.advance(now)
	out := make([]Entry, 0, len(t.accounts))
	for id, a := range t.accounts {
		a.refill(t, now)
		e := Entry{Account: id, Limit: a.limit, Level: a.level, SpentHere: a.spentHere, Refused: a.refused, Known: a.levelKnown}
		for _, peer := range slices.Sorted(maps.Keys(a.peerTotals)) {
			p := t.peers[peer]
			e.Totals = append(e.Totals, Total{Instance: peer, Spent: a.peerTotals[peer].spent, Unresponsive: p != nil && p.isSilent(now)})
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// UsableShare returns the share of every limit that this instance can use.
func (t *Table) UsableShare(now wasabiridge.Millis) float64 {
	t.advance(now)
	return t.usableShare(now)
}
