package wasabiquota_test

import (
	"hash/fnv"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// lentFor is the term of what a home lends, lentWait how long a request waits for it.
	lentFor  = wasabiridge.Second
	lentWait = 300 * wasabiridge.Millis(1)
	// lentSilent is how long an instance may be without an answer.
	lentSilent = 400 * wasabiridge.Millis(1)
)

// lent is a design that was not chosen: one instance is the home of each account, and
// lends units with a term to those that ask.
type lent struct {
	fleet    *fleet
	self     int
	accounts map[wasabiridge.ClientAccountID]*lentAccount
	asked    map[int]wasabiridge.Millis
	pinged   wasabiridge.Millis
}

type lentAccount struct {
	share
	isHome   bool
	tokens   float64
	until    wasabiridge.Millis
	waiting  []lentRequest
	asked    wasabiridge.Millis
	lastUsed wasabiridge.Millis
}

type lentRequest struct {
	cost float64
	at   wasabiridge.Millis
	done func(wasabiridge.Millis, bool)
}

type lentAsk struct {
	account wasabiridge.ClientAccountID
	tokens  float64
}

type lentPing struct{}

func newLent(f *fleet, i int) way {
	return &lent{fleet: f, self: i, accounts: map[wasabiridge.ClientAccountID]*lentAccount{}, asked: map[int]wasabiridge.Millis{}}
}

func (w *lent) limits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount) {
	for _, a := range accounts {
		if s := w.accounts[a.ID]; s != nil {
			s.limit = *a.Limit
			continue
		}
		w.accounts[a.ID] = &lentAccount{share: share{limit: *a.Limit, at: now}}
	}
}

func (w *lent) silent(now wasabiridge.Millis, i int) bool {
	at := w.asked[i]
	return at > 0 && now-at >= lentSilent
}

func (w *lent) part(now wasabiridge.Millis) float64 {
	silent := 0
	for i := range w.fleet.nodes {
		if w.silent(now, i) {
			silent++
		}
	}
	return 1 - float64(silent)/float64(len(w.fleet.nodes))
}

func (w *lent) home(now wasabiridge.Millis, id wasabiridge.ClientAccountID) int {
	best, top := w.self, uint64(0)
	for i := range w.fleet.nodes {
		if w.silent(now, i) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(id) + string(instance(i))))
		if v := h.Sum64(); v >= top {
			best, top = i, v
		}
	}
	return best
}

func (w *lent) offer(now wasabiridge.Millis, r wasabiridge.Request, done func(wasabiridge.Millis, bool)) {
	a := w.accounts[r.Account]
	a.lastUsed = now
	a.waiting = append(a.waiting, lentRequest{cost: float64(r.Chain.Tokens), at: now, done: done})
	w.serve(now, r.Account, a)
}

// serve lets waiting requests run as far as what was lent goes, and asks for more.
func (w *lent) serve(now wasabiridge.Millis, id wasabiridge.ClientAccountID, a *lentAccount) {
	if now >= a.until {
		a.tokens = 0
	}
	for len(a.waiting) > 0 && a.tokens >= a.waiting[0].cost {
		a.tokens -= a.waiting[0].cost
		a.waiting[0].done(now, true)
		a.waiting = a.waiting[1:]
	}
	for len(a.waiting) > 0 && now-a.waiting[0].at >= lentWait {
		a.waiting[0].done(now, false)
		a.waiting = a.waiting[1:]
	}
	if len(a.waiting) == 0 || now-a.asked < 20 && a.asked > 0 {
		return
	}
	want := a.limit.Rate / float64(len(w.fleet.nodes)) / 20
	for _, r := range a.waiting {
		want += r.cost
	}
	a.asked = now
	home := w.home(now, id)
	if home == w.self {
		w.lend(now, id, a, w.grant(now, a, want))
		return
	}
	w.note(now, home)
	w.fleet.send(w.self, home, entryBytes, lentAsk{account: id, tokens: want})
}

func (w *lent) note(now wasabiridge.Millis, i int) {
	if w.asked[i] == 0 {
		w.asked[i] = now
	}
}

// grant takes units out of the bucket of an account whose home this is.
func (w *lent) grant(now wasabiridge.Millis, a *lentAccount, want float64) float64 {
	part := w.part(now)
	if !a.isHome {
		a.isHome, a.level, a.at = true, 0, now
	}
	a.lastUsed = now
	a.refill(now, part)
	got := min(want, max(0, a.level))
	if want > a.level && a.level >= a.limit.Burst*part/2 {
		got = min(want, 93_100)
	}
	a.level -= got
	return got
}

func (w *lent) lend(now wasabiridge.Millis, id wasabiridge.ClientAccountID, a *lentAccount, got float64) {
	if now >= a.until {
		a.tokens = 0
	}
	if got > 0 {
		a.tokens, a.until = a.tokens+got, now+lentFor
		w.serve(now, id, a)
	}
}

func (w *lent) tick(now wasabiridge.Millis) {
	homes := false
	for id, a := range w.accounts {
		w.serve(now, id, a)
		a.isHome = a.isHome && w.home(now, id) == w.self
		homes = homes || a.isHome && now-a.lastUsed < wasabiridge.Second
	}
	if homes && now-w.pinged >= 100 {
		w.pinged = now
		for i := range w.fleet.nodes {
			if i != w.self {
				w.note(now, i)
				w.fleet.send(w.self, i, 0, lentPing{})
			}
		}
	}
}

func (w *lent) take(now wasabiridge.Millis, from int, message any) any {
	delete(w.asked, from)
	ask, ok := message.(lentAsk)
	if !ok {
		return nil
	}
	return lentAsk{account: ask.account, tokens: w.grant(now, w.accounts[ask.account], ask.tokens)}
}

func (w *lent) answer(now wasabiridge.Millis, from int, answer any) {
	delete(w.asked, from)
	if got, ok := answer.(lentAsk); ok {
		w.lend(now, got.account, w.accounts[got.account], got.tokens)
	}
}
