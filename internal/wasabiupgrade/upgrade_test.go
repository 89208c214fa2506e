package wasabiupgrade_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/internal/wasabiupgrade"
)

func TestUpgrade(t *testing.T) { wasabitest.Run(t, "upgrade") }

const model wasabiridge.ModelID = "m"

// fleet is a machine with engines that carry out orders in virtual time.
type fleet struct {
	machine *wasabiupgrade.Machine
	now     wasabiridge.Millis
	wanted  wasabiridge.WeightsVersion
	grant   wasabilease.Grant
	serves  map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion
	// done is when an order is carried out, target what it asks for.
	done   map[wasabiridge.BackendServerID]wasabiridge.Millis
	target map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion
	// accepted counts the orders of each engine. late are orders that are to be
	// carried out at a time if their condition holds then.
	accepted map[wasabiridge.BackendServerID]uint64
	late     []lateOrder
	// lose leaves the orders without an answer for which it reports true. They
	// are carried out after lateBy, or never when that is zero.
	lose   func(id wasabiridge.BackendServerID) bool
	lateBy wasabiridge.Millis
	// born are the starts of the engines, where they tell them.
	born map[wasabiridge.BackendServerID]wasabiridge.Incarnation
	// dark engines do not answer.
	dark    map[wasabiridge.BackendServerID]bool
	orders  []wasabiupgrade.SendOrder
	rests   []wasabiridge.RestNews
	loading int
}

type lateOrder struct {
	at    wasabiridge.Millis
	order wasabiupgrade.SendOrder
}

func newFleet(n int) *fleet {
	f := &fleet{
		machine: wasabiupgrade.NewMachine(wasabiupgrade.Timing{}), now: 1e6, wanted: 1,
		serves: map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion{}, done: map[wasabiridge.BackendServerID]wasabiridge.Millis{},
		target: map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion{}, accepted: map[wasabiridge.BackendServerID]uint64{},
	}
	for i := range n {
		f.serves[id(i)] = 1
	}
	return f
}

func id(i int) wasabiridge.BackendServerID {
	return wasabiridge.BackendServerID(fmt.Sprintf("e%02d", i))
}

func (f *fleet) hold(fencing wasabiridge.FencingNumber) {
	f.grant = wasabilease.Grant{Lease: "l", Fencing: fencing, Until: f.now + wasabiridge.Minute}
}

func (f *fleet) entries() []wasabiridge.BackendEntry {
	var out []wasabiridge.BackendEntry
	for id, v := range f.serves {
		out = append(out, wasabiridge.BackendEntry{
			Server: wasabiridge.BackendServer{ID: id, Incarnation: f.born[id]}, Weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: v},
		})
	}
	return out
}

// run lets time pass in ticks of 50 ms.
func (f *fleet) run(span wasabiridge.Millis) {
	for end := f.now + span; f.now < end; f.now += 50 {
		for id, at := range f.done {
			if f.now >= at {
				f.serves[id] = f.target[id]
				delete(f.done, id)
			}
		}
		f.late = slices.DeleteFunc(f.late, func(l lateOrder) bool {
			if f.now >= l.at {
				f.accept(l.order)
			}
			return f.now >= l.at
		})
		f.loading = max(f.loading, len(f.done))
		f.handle(wasabiupgrade.Ticked{
			Entries: f.entries(), Wanted: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: f.wanted}, Grant: f.grant,
		})
	}
}

// accept carries out an order whose condition holds, unless the engine loads.
func (f *fleet) accept(x wasabiupgrade.SendOrder) bool {
	id := x.Server.ID
	if _, busy := f.done[id]; busy || x.Order.Conditional && x.Order.After != f.accepted[id] {
		return false
	}
	f.accepted[id]++
	f.done[id], f.target[id] = f.now+1100, x.Order.Weights
	return true
}

func (f *fleet) handle(e wasabiupgrade.Event) {
	for _, effect := range slices.Clone(f.machine.Handle(f.now, e)) {
		switch x := effect.(type) {
		case wasabiupgrade.Tell:
			f.rests = append(f.rests, x.News)
		case wasabiupgrade.SendOrder:
			f.orders = append(f.orders, x)
			id := x.Server.ID
			result := wasabiupgrade.Ordered{Backend: id, Model: x.Order.Model, Fencing: x.Order.Fencing, Unsure: true}
			switch {
			case f.lose == nil || !f.lose(id):
				result.Unsure = !f.accept(x)
			case f.lateBy > 0:
				f.late = append(f.late, lateOrder{at: f.now + f.lateBy, order: x})
			}
			f.handle(result)
		case wasabiupgrade.ReadState:
			id := x.Server.ID
			if f.dark[id] {
				f.handle(wasabiupgrade.StateRead{Backend: id, Model: x.Model, Failed: true})
				continue
			}
			_, busy := f.done[id]
			f.handle(wasabiupgrade.StateRead{Backend: id, Model: x.Model, State: wasabiridge.EngineState{
				Weights: f.serves[id], Loading: busy, Orders: f.accepted[id], Incarnation: f.born[id],
			}})
		}
	}
}

func (f *fleet) left() int {
	n := 0
	for _, v := range f.serves {
		if v < f.wanted {
			n++
		}
	}
	return n
}

var _ = Describe("An upgrade", func() {
	sizes := map[int]struct {
		most   int
		within wasabiridge.Millis
	}{1: {1, 2000}, 2: {1, 4000}, 9: {2, 8000}, 44: {8, 11000}}
	for n, c := range sizes {
		It(fmt.Sprintf("of %d replicas loads %d at once and is soon done", n, c.most), func() {
			f := newFleet(n)
			f.hold(1)
			f.wanted = 2
			f.run(c.within)
			Expect(f.left()).To(BeZero())
			Expect(f.loading).To(Equal(c.most))
			Expect(f.orders).To(HaveLen(n))
		})
	}

	It("tells all instances before the order, and after the load", func() {
		f := newFleet(1)
		f.hold(1)
		f.wanted = 2
		f.run(3000)
		Expect(f.rests).To(HaveLen(2))
		Expect(f.rests[0].Resting).To(BeNumerically(">", 0))
		Expect(f.rests[1]).To(Equal(wasabiridge.RestNews{Backend: id(0), Model: model, Weights: 2}))
	})

	It("gives no order without the lease, and stops when it ends", func() {
		f := newFleet(9)
		f.wanted = 2
		f.run(2000)
		Expect(f.orders).To(BeEmpty())
		f.hold(1)
		f.grant.Until = f.now + 1500
		f.run(5000)
		Expect(len(f.orders)).To(BeNumerically("<", 5))
	})

	It("goes straight to the newest version", func() {
		f := newFleet(9)
		f.hold(1)
		f.wanted = 2
		f.run(2000)
		f.wanted = 5
		f.run(12000)
		Expect(f.left()).To(BeZero())
		for _, o := range f.orders {
			Expect(o.Order.Weights).To(Or(BeEquivalentTo(2), BeEquivalentTo(5)))
		}
	})

	// Story: versions are named every four seconds, less than an upgrade takes.
	// With replicas ordered by name, the last ones never had their turn and
	// served weights that were replaced long ago.
	It("reaches every replica in turn when versions follow each other quickly", func() {
		f := newFleet(9)
		f.hold(1)
		named := map[wasabiridge.WeightsVersion]wasabiridge.Millis{1: f.now}
		for v := wasabiridge.WeightsVersion(2); v < 8; v++ {
			f.wanted = v
			named[v] = f.now
			f.run(4000)
			for id, serves := range f.serves {
				Expect(f.now-named[min(serves+1, v)]).To(BeNumerically("<", 9500), string(id))
			}
		}
	})

	It("orders again what was lost or is late", func() {
		f := newFleet(3)
		f.hold(1)
		f.wanted = 2
		f.lose = func(wasabiridge.BackendServerID) bool { return len(f.orders) <= 2 }
		f.run(14000)
		Expect(f.left()).To(BeZero())
	})

	// Story: half of the orders get no answer and are carried out seconds later.
	// Each of them held one of two places to load for five seconds, while others
	// stood by without work; with engines crashed besides, half of the pool was
	// away, and every answer late.
	It("does not wait for orders that are late, and leaves few away meanwhile", func() {
		f := newFleet(12)
		f.hold(1)
		f.wanted = 2
		n := 0
		f.lateBy = 6000
		f.lose = func(wasabiridge.BackendServerID) bool { n++; return n%2 == 0 }
		f.run(11000)
		Expect(f.left()).To(BeZero())
		resting, most := map[wasabiridge.BackendServerID]bool{}, 0
		for _, news := range f.rests {
			resting[news.Backend] = news.Resting > 0
			away := 0
			for _, rests := range resting {
				if rests {
					away++
				}
			}
			most = max(most, away)
		}
		Expect(most).To(BeNumerically("<=", 4))
	})

	// Story: an order gets no answer, and is carried out three seconds later. The engine
	// was left alone all that time, with nothing to do, while the others were full.
	It("lets a replica serve on that has not answered its order, until it loads", func() {
		f := newFleet(4)
		f.hold(1)
		f.wanted = 2
		f.lateBy = 3000
		lost := wasabiridge.BackendServerID("")
		f.lose = func(id wasabiridge.BackendServerID) bool {
			if lost == "" {
				lost = id
			}
			return id == lost
		}
		rests := func() bool {
			last := wasabiridge.RestNews{}
			for _, news := range f.rests {
				if news.Backend == lost {
					last = news
				}
			}
			return last.Resting > 0
		}
		f.run(1000)
		Expect(lost).NotTo(BeEmpty())
		Expect(rests()).To(BeFalse())
		f.run(2800)
		Expect(f.serves[lost]).To(BeEquivalentTo(1))
		Expect(rests()).To(BeTrue(), "it has begun to load")
		f.run(4000)
		Expect(f.left()).To(BeZero())
		Expect(rests()).To(BeFalse())
	})

	// Story: an order gets no answer. The engine is upgraded twice meanwhile.
	// Then the first order is carried out and brings the old weights back, on an
	// engine that everybody takes for new.
	It("is not undone by an order that is carried out late", func() {
		f := newFleet(3)
		f.hold(1)
		f.wanted = 2
		f.lateBy = 9000
		first := true
		f.lose = func(wasabiridge.BackendServerID) bool { lost := first; first = false; return lost }
		f.run(4000)
		f.wanted = 3
		f.run(12000)
		Expect(f.late).To(BeEmpty())
		Expect(f.left()).To(BeZero())
	})

	// Story: two of nine engines are dark when new weights are named. They took the
	// two places to load again and again, and the others waited.
	It("does not wait for replicas that do not answer, and brings them up when they do", func() {
		f := newFleet(9)
		f.hold(1)
		f.wanted = 2
		f.dark = map[wasabiridge.BackendServerID]bool{id(0): true, id(1): true}
		f.run(6500)
		Expect(f.left()).To(Equal(2))
		for _, news := range f.rests {
			Expect(f.dark).NotTo(HaveKey(news.Backend), "nobody is told of a replica that does not answer")
		}
		f.dark = nil
		f.run(3500)
		Expect(f.left()).To(BeZero())
	})

	// Story: an engine goes dark under its order. It held one of two places for five
	// seconds.
	It("goes on beside a replica that falls silent while it loads", func() {
		f := newFleet(6)
		f.hold(1)
		f.wanted = 2
		f.run(400)
		fell := f.orders[0].Server.ID
		delete(f.done, fell)
		f.dark = map[wasabiridge.BackendServerID]bool{fell: true}
		f.run(5500)
		Expect(f.left()).To(Equal(1))
	})

	// Story: an engine that is next to load is given long work until the last moment,
	// and must finish it first.
	It("lets those that come next take light work only, before they rest", func() {
		f := newFleet(9)
		f.hold(1)
		f.wanted = 2
		f.run(8000)
		Expect(f.left()).To(BeZero())
		eased := map[wasabiridge.BackendServerID]bool{}
		for _, news := range f.rests {
			if news.Easing > 0 {
				eased[news.Backend] = true
				Expect(news.Resting).To(BeZero())
			}
		}
		Expect(eased).To(HaveLen(7), "all but the two that load at once")
	})

	// Story: an engine that has been upgraded, or is about to be, starts again under its
	// name with the weights that it had before. Taken for the same, it passed for
	// upgraded and kept old weights; an order that counted on what it had accepted
	// before was refused.
	restarts := map[string]wasabiridge.Millis{"after its load": 7500, "while it rests": 100, "under its order": 700}
	for _, name := range slices.Sorted(maps.Keys(restarts)) {
		It("brings a replica up that starts again under its name "+name, func() {
			f := newFleet(3)
			f.born = map[wasabiridge.BackendServerID]wasabiridge.Incarnation{id(0): 10, id(1): 10, id(2): 10}
			f.hold(1)
			f.wanted = 2
			f.run(restarts[name])
			f.born[id(0)] = 20
			f.serves[id(0)], f.accepted[id(0)] = 1, 0
			delete(f.done, id(0))
			f.run(9000)
			Expect(f.left()).To(BeZero())
		})
	}

	It("brings a replica up that came back with old weights", func() {
		f := newFleet(3)
		f.hold(1)
		f.wanted = 2
		f.run(5000)
		delete(f.serves, id(0))
		f.serves["reborn"] = 1
		f.run(3000)
		Expect(f.left()).To(BeZero())
	})

	// Story: the holder of the lease is cut off. Its last order is on its way to
	// a replica when the next holder orders the same replica; the replica is
	// ordered by two holders in turn.
	It("leaves a replica alone of which another instance told a moment ago", func() {
		f := newFleet(2)
		f.hold(7)
		f.wanted = 2
		f.handle(wasabiupgrade.Heard{Backend: id(0)})
		f.run(2900)
		for _, o := range f.orders {
			Expect(o.Server.ID).To(Equal(id(1)))
		}
		f.run(4000)
		Expect(f.left()).To(BeZero())
	})

	// Story: engines serve two models, whose versions are numbered apart. Taking
	// the higher number for that of both, an upgrade of the other model would
	// never begin, or never be seen to end.
	It("tells the models of one replica apart, and orders one at a time", func() {
		m := wasabiupgrade.NewMachine(wasabiupgrade.Timing{})
		serves := map[wasabiridge.ModelID]wasabiridge.WeightsVersion{"a": 7, "b": 2}
		wanted := map[wasabiridge.ModelID]wasabiridge.WeightsVersion{"a": 8, "b": 3}
		grant := wasabilease.Grant{Lease: "l", Fencing: 1, Until: 1e9}
		loading, most := 0, 0
		for now := wasabiridge.Millis(1e6); now < 1e6+12000; now += 50 {
			entry := wasabiridge.BackendEntry{Server: wasabiridge.BackendServer{ID: "e"}, Weights: maps.Clone(serves)}
			events := []wasabiupgrade.Event{wasabiupgrade.Ticked{Entries: []wasabiridge.BackendEntry{entry}, Wanted: wanted, Grant: grant}}
			for len(events) > 0 {
				e := events[0]
				events = events[1:]
				for _, effect := range slices.Clone(m.Handle(now, e)) {
					switch x := effect.(type) {
					case wasabiupgrade.SendOrder:
						loading++
						most = max(most, loading)
						events = append(events, wasabiupgrade.Ordered{Backend: "e", Model: x.Order.Model, Fencing: 1})
					case wasabiupgrade.ReadState:
						if loading > 0 {
							serves[x.Model] = wanted[x.Model]
						}
						loading = 0
						events = append(events, wasabiupgrade.StateRead{Backend: "e", Model: x.Model, State: wasabiridge.EngineState{Models: maps.Clone(serves)}})
					}
				}
			}
		}
		Expect(serves).To(Equal(wanted))
		Expect(most).To(Equal(1))
	})

	It("stops for good under a fencing number that a replica refused", func() {
		f := newFleet(3)
		f.hold(3)
		f.wanted = 2
		f.run(400)
		sent := len(f.orders)
		f.handle(wasabiupgrade.Ordered{Backend: id(0), Model: model, Fencing: 3, Fenced: true})
		f.run(6000)
		Expect(f.orders).To(HaveLen(sent))
		f.hold(4)
		f.run(12000)
		Expect(f.left()).To(BeZero())
	})
})
