package wasabiquota_test

import (
	"fmt"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// told is the design of the product: running totals told to each other.
type told struct {
	fleet   *fleet
	self    int
	table   *wasabiquota.Table
	attempt wasabiridge.AttemptID
	waking  bool
	looks   int
}

// looksEvery is after how many steps an instance looks whether the others should be told.
const looksEvery = 5

// names are those of all instances of any fleet.
var names = func() (out [400]wasabiridge.InstanceID) {
	for i := range out {
		out[i] = wasabiridge.InstanceID(fmt.Sprintf("i%04d", i))
	}
	return out
}()

func instance(i int) wasabiridge.InstanceID { return names[i] }

func newTold(f *fleet, i int) way {
	n := f.nodes[i]
	return &told{fleet: f, self: i, table: wasabiquota.New(wasabiquota.Options{
		Self: instance(i), Life: wasabiridge.Incarnation(f.now + n.skew), Started: f.now + n.skew,
	})}
}

func (w *told) limits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount) {
	w.table.Observe(now, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: accounts}})
}

func (w *told) offer(now wasabiridge.Millis, r wasabiridge.Request, done func(wasabiridge.Millis, bool)) {
	if !w.table.Judge(now, r).Allowed {
		done(now, false)
		return
	}
	w.attempt++
	w.table.Sent(now, r, w.attempt)
	w.table.Observe(now, wasabiridge.AttemptSent{Request: r.ID, Attempt: w.attempt})
	w.table.Observe(now, wasabiridge.AttemptEnded{Request: r.ID, Attempt: w.attempt, Result: wasabiridge.AttemptCompleted})
	done(now, true)
	// Long prompts are told at once, with what is told of their placement.
	if r.Chain.Tokens > 2000 && !w.waking {
		w.waking = true
		life := w.fleet.nodes[w.self].life
		w.fleet.at(w.fleet.now+4, func() {
			w.waking = false
			if n := w.fleet.nodes[w.self]; n.up && n.life == life && w.fleet.now >= n.frozen {
				w.tell(w.fleet.now + n.skew)
			}
		})
	}
}

func (w *told) tick(now wasabiridge.Millis) {
	w.table.Observe(now, wasabiridge.Ticked{})
	if w.looks++; w.looks%looksEvery != 1 {
		return
	}
	// One that knows nobody takes it that callers are sent here.
	known := wasabiridge.ActiveKnown{Instances: []wasabiridge.InstanceID{instance(w.self)}, Known: 1}
	if w.fleet.now-w.fleet.nodes[w.self].began >= w.fleet.lists {
		known = wasabiridge.ActiveKnown{Known: len(w.fleet.nodes)}
		for i, n := range w.fleet.nodes {
			if n.up && i < w.fleet.active {
				known.Instances = append(known.Instances, instance(i))
			}
		}
	}
	w.table.Observe(now, known)
	if w.table.IsDue(now) {
		w.tell(now)
	}
	for _, id := range w.table.Strangers(now) {
		w.fleet.send(w.self, slices.Index(names[:], id), 0, w.table.Hello(now))
	}
	for _, id := range w.table.Newcomers() {
		all := w.table.All(now)
		w.fleet.send(w.self, slices.Index(names[:], id), entryBytes*len(all.Uses), all)
	}
}

func (w *told) tell(now wasabiridge.Millis) {
	news := w.table.TakeNews(now)
	if len(news.Uses) == 0 {
		return
	}
	for i := range w.fleet.nodes {
		if i == w.self {
			continue
		}
		w.table.Observe(now, wasabiridge.PeerTold{To: instance(i)})
		w.fleet.send(w.self, i, entryBytes*len(news.Uses), news)
	}
}

func (w *told) take(now wasabiridge.Millis, from int, message any) any {
	news := message.(wasabiridge.News)
	w.table.Observe(now, news.UsesHeard())
	return nil
}

func (w *told) answer(now wasabiridge.Millis, from int, _ any) {
	w.table.Observe(now, wasabiridge.PeerHeard{From: instance(from)})
}
