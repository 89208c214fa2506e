package wasabiquota_test

import (
	"hash/fnv"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// leaseTerm is how long leased units may be used, maxLeaseWait how long a request waits
	// for them.
	leaseTerm    = wasabiridge.Second
	maxLeaseWait = 300 * wasabiridge.Millis(1)
	// leaseSilentAfter is how long a message may stay unanswered before an instance counts
	// as silent.
	leaseSilentAfter = 400 * wasabiridge.Millis(1)
)

// leased is a design for comparison: one instance is the home of each account, and leases
// units to the instances that ask for them.
type leased struct {
	fleet         *fleet
	self          int
	accounts      map[wasabiridge.ClientAccountID]*leasedAccount
	awaitingSince map[int]wasabiridge.Millis
	pingedAt      wasabiridge.Millis
}

type leasedAccount struct {
	bucket
	isHome    bool
	tokens    float64
	until     wasabiridge.Millis
	waiting   []waitingRequest
	queriedAt wasabiridge.Millis
	lastUsed  wasabiridge.Millis
}

type waitingRequest struct {
	cost float64
	at   wasabiridge.Millis
	done func(wasabiridge.Millis, bool)
}

type leaseMessage struct {
	account wasabiridge.ClientAccountID
	tokens  float64
}

type leasePing struct{}

func newLeased(f *fleet, i int) limiter {
	return &leased{fleet: f, self: i, accounts: map[wasabiridge.ClientAccountID]*leasedAccount{}, awaitingSince: map[int]wasabiridge.Millis{}}
}

func (w *leased) setLimits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount) {
	for _, a := range accounts {
		if s := w.accounts[a.ID]; s != nil {
			s.limit = *a.Limit
			continue
		}
		w.accounts[a.ID] = &leasedAccount{bucket: bucket{limit: *a.Limit, at: now}}
	}
}

func (w *leased) silent(now wasabiridge.Millis, i int) bool {
	at := w.awaitingSince[i]
	return at > 0 && now-at >= leaseSilentAfter
}

func (w *leased) usableShare(now wasabiridge.Millis) float64 {
	silent := 0
	for i := range w.fleet.instances {
		if w.silent(now, i) {
			silent++
		}
	}
	return 1 - float64(silent)/float64(len(w.fleet.instances))
}

func (w *leased) home(now wasabiridge.Millis, id wasabiridge.ClientAccountID) int {
	best, top := w.self, uint64(0)
	for i := range w.fleet.instances {
		if w.silent(now, i) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(id) + string(instanceID(i))))
		if v := h.Sum64(); v >= top {
			best, top = i, v
		}
	}
	return best
}

func (w *leased) decide(now wasabiridge.Millis, r wasabiridge.Request, done func(wasabiridge.Millis, bool)) {
	a := w.accounts[r.Account]
	a.lastUsed = now
	a.waiting = append(a.waiting, waitingRequest{cost: float64(r.Chain.Tokens), at: now, done: done})
	w.serve(now, r.Account, a)
}

// serve admits waiting requests as far as the leased units suffice, and requests more units
// from the home.
func (w *leased) serve(now wasabiridge.Millis, id wasabiridge.ClientAccountID, a *leasedAccount) {
	if now >= a.until {
		a.tokens = 0
	}
	for len(a.waiting) > 0 && a.tokens >= a.waiting[0].cost {
		a.tokens -= a.waiting[0].cost
		a.waiting[0].done(now, true)
		a.waiting = a.waiting[1:]
	}
	for len(a.waiting) > 0 && now-a.waiting[0].at >= maxLeaseWait {
		a.waiting[0].done(now, false)
		a.waiting = a.waiting[1:]
	}
	if len(a.waiting) == 0 || now-a.queriedAt < 20 && a.queriedAt > 0 {
		return
	}
	want := a.limit.Rate / float64(len(w.fleet.instances)) / 20
	for _, r := range a.waiting {
		want += r.cost
	}
	a.queriedAt = now
	home := w.home(now, id)
	if home == w.self {
		w.addLease(now, id, a, w.grant(now, a, want))
		return
	}
	w.noteSent(now, home)
	w.fleet.send(w.self, home, entryBytes, leaseMessage{account: id, tokens: want})
}

func (w *leased) noteSent(now wasabiridge.Millis, i int) {
	if w.awaitingSince[i] == 0 {
		w.awaitingSince[i] = now
	}
}

// grant takes units out of the bucket of an account whose home this instance is.
func (w *leased) grant(now wasabiridge.Millis, a *leasedAccount, want float64) float64 {
	share := w.usableShare(now)
	if !a.isHome {
		a.isHome, a.level, a.at = true, 0, now
	}
	a.lastUsed = now
	a.refill(now, share)
	got := min(want, max(0, a.level))
	if want > a.level && a.level >= a.limit.Burst*share/2 {
		got = min(want, 93_100)
	}
	a.level -= got
	return got
}

func (w *leased) addLease(now wasabiridge.Millis, id wasabiridge.ClientAccountID, a *leasedAccount, got float64) {
	if now >= a.until {
		a.tokens = 0
	}
	if got > 0 {
		a.tokens, a.until = a.tokens+got, now+leaseTerm
		w.serve(now, id, a)
	}
}

func (w *leased) tick(now wasabiridge.Millis) {
	homes := false
	for id, a := range w.accounts {
		w.serve(now, id, a)
		a.isHome = a.isHome && w.home(now, id) == w.self
		homes = homes || a.isHome && now-a.lastUsed < wasabiridge.Second
	}
	if homes && now-w.pingedAt >= 100 {
		w.pingedAt = now
		for i := range w.fleet.instances {
			if i != w.self {
				w.noteSent(now, i)
				w.fleet.send(w.self, i, 0, leasePing{})
			}
		}
	}
}

func (w *leased) receive(now wasabiridge.Millis, from int, message any) any {
	delete(w.awaitingSince, from)
	query, ok := message.(leaseMessage)
	if !ok {
		return nil
	}
	return leaseMessage{account: query.account, tokens: w.grant(now, w.accounts[query.account], query.tokens)}
}

func (w *leased) receiveAnswer(now wasabiridge.Millis, from int, answer any) {
	delete(w.awaitingSince, from)
	if got, ok := answer.(leaseMessage); ok {
		w.addLease(now, got.account, w.accounts[got.account], got.tokens)
	}
}
