package wasabiquota

import (
	"github.com/wasabiridge/wasabiridge"
)

// adopt takes the limits of a configuration. A limit that is lowered binds at once.
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
			a.change(*limit)
		}
	}
	for id := range t.accounts {
		if !kept[id] {
			delete(t.accounts, id)
			delete(t.untold, id)
		}
	}
	t.configured = true
}

// newAccount returns the bucket of an account. At a start it is not known what was
// spent before; a limit that is new begins with its burst.
func (t *Table) newAccount(now wasabiridge.Millis, limit wasabiridge.AccountLimit) *account {
	a := &account{limit: limit, peers: map[wasabiridge.InstanceID]total{}, at: now, heard: t.heard, repeated: true}
	if t.configured {
		a.known, a.level = true, a.burst()
		return a
	}
	a.forget(now, t.own(now))
	t.forgot = max(1, now)
	return a
}

// stalled forgets what was known before the process stood still.
//
// The failure it guards against: an instance is frozen, goes on with what was left when
// it was, and lets it run once more beside what the others have let run meanwhile.
func (t *Table) stalled(now, elapsed wasabiridge.Millis) {
	if elapsed >= lapseAfter && !t.options.Alone {
		// The others divide this instance's part by now.
		t.wants, t.owner, t.unseated = false, false, true
		t.seat.become(false)
		t.retire()
	}
	for _, p := range t.peers {
		p.asked = max(1, now-silentAfter)
	}
	for _, a := range t.accounts {
		a.forget(now, t.own(now))
	}
	t.forgot = max(1, now)
}

// ask lets the others tell what is left of an account at which nothing ran here lately.
//
// The failure it guards against: callers are sent to instances that were not among those
// that tell each other what runs. Each would begin with a full bucket of its own.
func (t *Table) ask(now wasabiridge.Millis, a *account) {
	if len(t.peers) == 0 {
		return
	}
	a.forget(now, t.stray(now))
	t.forgot = max(1, now)
	for _, p := range t.peers {
		p.greeted = 0
	}
	t.asking = now
}

// remember takes which instances owned a part before the start.
func (t *Table) remember(now wasabiridge.Millis, owners []wasabiridge.InstanceID) {
	if t.owner {
		return
	}
	t.advance(now)
	t.partAt = 0
	t.former = map[wasabiridge.InstanceID]bool{}
	for _, id := range owners {
		t.former[id] = true
	}
	if t.met || t.isSettled(now) {
		return
	}
	for _, a := range t.accounts {
		a.refill(t, now)
		if !a.known && a.own == 0 {
			a.forget(now, t.own(now))
		}
	}
}

// settle lets all accounts go by the whole limit that nobody has told more about in time.
func (t *Table) settle(now wasabiridge.Millis) {
	if t.forgot == 0 || now-t.forgot < settleAfter || !t.isSettled(now) {
		return
	}
	t.forgot = 0
	for _, a := range t.accounts {
		a.refill(t, now)
		if !a.known {
			a.know(t, now, a.level)
		}
	}
}
