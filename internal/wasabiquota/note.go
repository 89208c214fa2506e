package wasabiquota

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// notesMost bounds the refusals that wait to be logged. What comes beyond is counted.
	notesMost = 64
	// histogramSize is into how many equal parts the used share of a burst is sorted.
	histogramSize = 10
)

// Counts are totals since the start.
type Counts struct {
	// Refused counts requests beyond a limit, Unlogged those of them without a log line.
	Refused, Unlogged uint64
}

// Note is a refusal, with what it was decided by.
type Note struct {
	Request wasabiridge.RequestID
	Account wasabiridge.ClientAccountID
	Limit   wasabiridge.AccountLimit
	// Cost is what the request counts as, Level what was left, Part which part of the
	// limit could be used here, Known whether the level was that of all instances.
	Cost, Level, Part float64
	Known             bool
	RetryAfter        wasabiridge.Millis
	// Silent names the instances that have not answered, Oldest is how old the news of
	// the others is at most.
	Silent []wasabiridge.InstanceID
	Oldest wasabiridge.Millis
	// Owners is what was known of the owners.
	Owners Owners
}

func (t *Table) note(now wasabiridge.Millis, r wasabiridge.Request, a *account, cost float64, after wasabiridge.Millis) {
	if len(t.notes) >= notesMost {
		t.counts.Unlogged++
		return
	}
	n := Note{
		Request: r.ID, Account: r.Account, Limit: a.limit, Cost: cost, Level: a.level, Part: t.partOf(now, a, t.part(now)), Known: a.known,
		RetryAfter: after, Silent: t.Silent(now), Owners: t.Ownership(now),
	}
	for _, p := range t.peers {
		n.Oldest = max(n.Oldest, now-p.heard)
	}
	t.notes = append(t.notes, n)
}

// TakeNotes returns the refusals since the last time.
func (t *Table) TakeNotes() []Note {
	out := t.notes
	t.notes = nil
	return out
}

// Counts returns totals since the start.
func (t *Table) Counts() Counts { return t.counts }

// observeUse sorts the used share of a burst at an admission.
func (t *Table) observeUse(a *account, part float64) {
	used := 1 - a.level/(a.burst()*part)
	t.histogram[min(max(int(used*histogramSize), 0), histogramSize-1)]++
}

// Use returns how many requests were let in by the used share of their account's burst,
// in equal parts from none to all of it.
func (t *Table) Use() []uint64 { return slices.Clone(t.histogram[:]) }

// Entry is what is known of an account with a limit.
type Entry struct {
	Account wasabiridge.ClientAccountID
	Limit   wasabiridge.AccountLimit
	// Level is what is left of the burst, negative for a debt, Own what ran here since
	// the start, Refused how many requests were refused here.
	Level, Own float64
	Refused    uint64
	Known      bool
	// Totals are what the other instances have told.
	Totals []Total
}

// Total is what another instance has let run since its start.
type Total struct {
	Instance wasabiridge.InstanceID
	Spent    int64
	Silent   bool
}

// Entries returns what is known of all accounts with a limit, ordered by name.
func (t *Table) Entries(now wasabiridge.Millis) []Entry {
	t.advance(now)
	out := make([]Entry, 0, len(t.accounts))
	for id, a := range t.accounts {
		a.refill(t, now)
		e := Entry{Account: id, Limit: a.limit, Level: a.level, Own: a.own, Refused: a.refused, Known: a.known}
		for _, peer := range slices.Sorted(maps.Keys(a.peers)) {
			p := t.peers[peer]
			e.Totals = append(e.Totals, Total{Instance: peer, Spent: a.peers[peer].spent, Silent: p != nil && p.isSilent(now)})
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// Part returns the part of every limit that can be used here.
func (t *Table) Part(now wasabiridge.Millis) float64 {
	t.advance(now)
	return t.part(now)
}
