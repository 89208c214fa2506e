package wasabiquota

import (
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// tellAfter is the shortest time between two messages while something may be close
	// to its limit, calmAfter the time otherwise.
	tellAfter = 100 * wasabiridge.Millis(1)
	calmAfter = 500 * wasabiridge.Millis(1)
	// calmShare is the part of the burst above which an account is calm, untoldShare the
	// part that all instances together may have let run without telling.
	calmShare   = 0.75
	untoldShare = 0.25
	// repeatAfter is when what has changed is told once more, in case it was lost.
	repeatAfter = 300 * wasabiridge.Millis(1)
	// tellers is how many instances tell a newcomer all that is known.
	tellers = 2
	// helloAfter is the time between two messages to an instance that was never heard.
	helloAfter = 500 * wasabiridge.Millis(1)
	// heartbeatAfter is how long an owner may be quiet before it is asked whether it is
	// still there.
	heartbeatAfter = wasabiridge.Second
)

// isTold reports whether the others know what ran here, as far as can be known.
func (a *account) isTold() bool { return a.own == a.told && a.repeated }

// isCalm reports whether it does no harm if the others hear later what ran here.
func (a *account) isCalm(own float64) bool {
	return a.known && a.level >= calmShare*a.burst() && math.Abs(a.own-a.told) <= untoldShare*a.burst()*own
}

// mustTell reports whether an account belongs into a message.
func (a *account) mustTell(now wasabiridge.Millis, own float64) bool {
	switch since := now - a.toldAt; {
	case a.own != a.told:
		return since >= calmAfter || !a.isCalm(own)
	case a.repeated:
		return false
	default:
		return since >= repeatAfter
	}
}

// IsDue reports whether the other instances should be told now.
func (t *Table) IsDue(now wasabiridge.Millis) bool {
	since := now - t.taken
	if since < tellAfter || len(t.peers) == 0 {
		return false
	}
	own := t.own(now)
	for _, a := range t.untold {
		if a.mustTell(now, own) {
			return true
		}
	}
	return false
}

// Strangers returns the instances that should be told that this one is there, because it
// is not known whether they still are, ordered by name.
//
// The failures it guards against: instances without requests do not know each other, and
// the first requests of an account find only one instance's part of its limit; or they are
// cut off without seeing it, and each lets run a whole burst.
func (t *Table) Strangers(now wasabiridge.Millis) []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	if !t.IsLimiting() {
		return nil
	}
	for id, p := range t.peers {
		quiet := t.owner && p.active && p.met && now-p.heard >= heartbeatAfter
		unheard := !p.met && !p.ended || p.isSilent(now) || p.isIdle(now) || t.wantsAll(now)
		if !t.tellsView(p) && !quiet && !unheard || p.greeted > 0 && now-p.greeted < helloAfter {
			continue
		}
		p.greeted = now
		p.viewCount++
		if quiet && p.asked == 0 {
			p.asked = now
		}
		out = append(out, id)
	}
	t.partAt = 0
	slices.Sort(out)
	return out
}

// wantsAll reports whether this instance should be told all that is known.
func (t *Table) wantsAll(now wasabiridge.Millis) bool {
	return !t.owner && (t.active || t.asking > 0 && now-t.asking < settleAfter)
}

// Newcomers returns the instances that want to be told all that is known, as far as this
// one is among those that tell them, ordered by name.
func (t *Table) Newcomers() []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for id := range t.newcomers {
		if t.owner && t.isTeller(id) {
			out = append(out, id)
		}
	}
	clear(t.newcomers)
	slices.Sort(out)
	return out
}

// isTeller reports whether this is one of the instances that tell another one all that is
// known. All instances that hear the same others agree on them.
func (t *Table) isTeller(id wasabiridge.InstanceID) bool {
	own, ahead := rank(id, t.options.Self), 0
	for other, p := range t.peers {
		if other != id && p.part > 0 && !p.ended && p.isInTouch(t.last) && rank(id, other) > own {
			ahead++
		}
	}
	return ahead < tellers
}

// rank orders the instances that may tell another one.
func rank(id, teller wasabiridge.InstanceID) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(teller))
}

// All returns what a newcomer should be told: all accounts of which anything is known.
func (t *Table) All(now wasabiridge.Millis) wasabiridge.News {
	t.advance(now)
	t.sequence++
	news := t.Hello(now)
	news.Whole = true
	for _, id := range slices.Sorted(maps.Keys(t.accounts)) {
		a := t.accounts[id]
		a.refill(t, now)
		// What is not known here must not be taken for untouched.
		news.Whole = news.Whole && a.known
		if a.known && (a.own != 0 || len(a.peers) > 0) {
			news.Uses = append(news.Uses, wasabiridge.UseNews{Account: id, Spent: int64(math.Ceil(a.own)), Level: int64(a.level), LevelKnown: true})
		}
	}
	return news
}

// Hello returns the message to strangers.
func (t *Table) Hello(now wasabiridge.Millis) wasabiridge.News {
	return wasabiridge.News{
		From: t.options.Self, Life: t.options.Life, Sequence: t.sequence, Part: t.knownPart(now), Change: t.change, View: t.view,
	}
}

// TakeNews returns what the other instances should be told. It is empty when nothing has
// run for a while.
func (t *Table) TakeNews(now wasabiridge.Millis) wasabiridge.News {
	t.advance(now)
	own := t.own(now)
	news := t.Hello(now)
	news.Sequence = 0
	for _, id := range slices.Sorted(maps.Keys(t.untold)) {
		a := t.untold[id]
		if !a.mustTell(now, own) {
			continue
		}
		a.refill(t, now)
		a.repeated = a.own == a.told
		a.told, a.toldAt = a.own, now
		if a.isTold() {
			delete(t.untold, id)
		}
		use := wasabiridge.UseNews{Account: id, Spent: int64(math.Ceil(a.own))}
		if a.known {
			use.Level, use.LevelKnown = int64(a.level), true
		}
		news.Uses = append(news.Uses, use)
	}
	if len(news.Uses) > 0 && now-t.taken >= tellAfter {
		t.taken = now
	}
	if len(news.Uses) > 0 {
		t.sequence++
		news.Sequence = t.sequence
	}
	return news
}

// hear takes what another instance has let run.
func (t *Table) hear(now wasabiridge.Millis, e wasabiridge.UsesHeard) {
	if len(e.Uses) == 0 && !e.Whole && e.Part == 0 {
		t.newcomers[e.From] = true
	}
	if len(e.Uses) == 0 && t.peers[e.From] == nil {
		// One that lets nothing run owns no part.
		return
	}
	p := t.meet(now, e.From)
	if !p.lives(e.Life, e.Sequence) {
		return
	}
	t.unseated = t.unseated || e.Change > p.change
	p.hearView(e)
	p.part = e.Part
	t.ownersMet = t.ownersMet || e.Part > 0
	if len(e.Uses) > 0 {
		p.used = now
	}
	for _, use := range e.Uses {
		a := t.accounts[use.Account]
		if a == nil {
			continue
		}
		a.refill(t, now)
		a.take(e.From, total{life: e.Life, sequence: e.Sequence, spent: use.Spent, missed: p.missed}, p.whole)
		if !a.known && use.LevelKnown {
			// What ran here lately may not have reached the sender yet.
			a.know(t, now, min(float64(use.Level)-(a.own-a.told), a.burst()*t.part(now)))
		}
	}
	t.hearPeer(now, e.From)
	if e.Whole {
		t.learn(now, e.Uses)
	}
}

// learn takes accounts that are not named for untouched.
func (t *Table) learn(now wasabiridge.Millis, named []wasabiridge.UseNews) {
	touched := map[wasabiridge.ClientAccountID]bool{}
	for _, use := range named {
		touched[use.Account] = true
	}
	for id, a := range t.accounts {
		if !a.known && !touched[id] {
			a.know(t, now, a.burst()*t.part(now))
		}
	}
}
