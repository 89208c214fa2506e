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

// fleet is a Machine with simulated engines that carry out orders in virtual time.
type fleet struct {
	machine *wasabiupgrade.Machine
	now     wasabiridge.Millis
	wanted  wasabiridge.WeightsVersion
	grant   wasabilease.Grant
	serves  map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion
	// done is the time at which the load of an engine completes, and target the
	// version that it loads.
	done   map[wasabiridge.BackendServerID]wasabiridge.Millis
	target map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion
	// accepted is the number of orders that each engine has accepted. late holds
	// delayed orders, which are carried out if their condition holds at their time.
	accepted map[wasabiridge.BackendServerID]uint64
	late     []lateOrder
	// lose reports whether the order to an engine gets no answer. Such an order is
	// carried out after lateBy, or never if lateBy is zero.
	lose   func(id wasabiridge.BackendServerID) bool
	lateBy wasabiridge.Millis
	// incarnations holds the incarnations of the engines that report one.
	incarnations map[wasabiridge.BackendServerID]wasabiridge.Incarnation
	// unresponsive holds the engines that do not respond.
	unresponsive map[wasabiridge.BackendServerID]bool
	// listed is the list of the platform while it is not that of the engines. Nil is theirs.
	listed []wasabiridge.BackendEntry
	// misreport changes what the response to an order states of its outcome. Nil changes
	// nothing.
	misreport func(r *wasabiupgrade.OrderResult)
	// garble changes what an engine reports of its state. Nil changes nothing.
	garble  func(id wasabiridge.BackendServerID, s wasabiridge.EngineState) wasabiridge.EngineState
	orders  []wasabiupgrade.SendOrder
	updates []wasabiridge.BackoffUpdate
	loading int
}

type lateOrder struct {
	at    wasabiridge.Millis
	order wasabiupgrade.SendOrder
}

func newFleet(n int) *fleet {
	f := &fleet{
		machine: wasabiupgrade.NewMachine("self", wasabiupgrade.Timing{}), now: 1e6, wanted: 1,
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

// hold grants the lease with a fencing number for a minute.
func (f *fleet) hold(fencing wasabiridge.FencingNumber) {
	f.grant = wasabilease.Grant{Lease: "l", Fencing: fencing, Until: f.now + wasabiridge.Minute}
}

func (f *fleet) entries() []wasabiridge.BackendEntry {
	if f.listed != nil {
		return f.listed
	}
	var out []wasabiridge.BackendEntry
	for id, v := range f.serves {
		out = append(out, wasabiridge.BackendEntry{
			Server: wasabiridge.BackendServer{ID: id, Incarnation: f.incarnations[id]}, Weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: v},
		})
	}
	return out
}

// run advances the time by span, in ticks of 50 ms.
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
			Entries: f.entries(), Targets: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: f.wanted}, Grant: f.grant,
		})
	}
}

// accept starts to load for an order whose condition holds, unless the engine is loading.
// It reports whether the order was accepted.
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
		case wasabiupgrade.SendUpdate:
			f.updates = append(f.updates, x.Update)
		case wasabiupgrade.SendOrder:
			f.orders = append(f.orders, x)
			id := x.Server.ID
			result := wasabiupgrade.OrderResult{Backend: id, Model: x.Order.Model, Fencing: x.Order.Fencing, Unsure: true}
			switch {
			case f.lose == nil || !f.lose(id):
				result.Unsure = !f.accept(x)
			case f.lateBy > 0:
				f.late = append(f.late, lateOrder{at: f.now + f.lateBy, order: x})
			}
			if f.misreport != nil {
				f.misreport(&result)
			}
			f.handle(result)
		case wasabiupgrade.ReadState:
			id := x.Server.ID
			if f.unresponsive[id] {
				f.handle(wasabiupgrade.StateResult{Backend: id, Model: x.Model, Failed: true})
				continue
			}
			_, busy := f.done[id]
			state := wasabiridge.EngineState{Weights: f.serves[id], Loading: busy, Orders: f.accepted[id], Incarnation: f.incarnations[id]}
			if f.garble != nil {
				state = f.garble(id, state)
			}
			f.handle(wasabiupgrade.StateResult{Backend: id, Model: x.Model, State: state})
		}
	}
}

// left returns the number of engines that do not serve the target version.
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
		It(fmt.Sprintf("of %d replicas loads %d at a time and completes in time", n, c.most), func() {
			f := newFleet(n)
			f.hold(1)
			f.wanted = 2
			f.run(c.within)
			Expect(f.left()).To(BeZero())
			Expect(f.loading).To(Equal(c.most))
			Expect(f.orders).To(HaveLen(n))
		})
	}

	// Guards against rolls that last as long as the lease holder needs to look at all engines,
	// again for each one.
	It("of 9,530 replicas takes no longer than one of 44", func() {
		const n = 9530
		f := newFleet(n)
		f.hold(1)
		f.wanted = 2
		f.run(11000)
		Expect(f.left()).To(BeZero())
		Expect(f.loading).To(Equal(n / 5))
		Expect(f.orders).To(HaveLen(n))
	})

	It("notifies all instances before the order and after the load", func() {
		f := newFleet(1)
		f.hold(1)
		f.wanted = 2
		f.run(3000)
		Expect(f.updates).To(HaveLen(2))
		Expect(f.updates[0].Backoff).To(BeNumerically(">", 0))
		Expect(f.updates[1]).To(Equal(wasabiridge.BackoffUpdate{Backend: id(0), Model: model, Weights: 2}))
	})

	It("sends no order without the lease, and stops when the lease expires", func() {
		f := newFleet(9)
		f.wanted = 2
		f.run(2000)
		Expect(f.orders).To(BeEmpty())
		f.hold(1)
		f.grant.Until = f.now + 1500
		f.run(5000)
		Expect(len(f.orders)).To(BeNumerically("<", 5))
	})

	It("upgrades directly to the newest version", func() {
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

	// Target versions change every four seconds, faster than an upgrade of all replicas
	// completes. If replicas were upgraded in the order of their names, the last ones
	// would never be upgraded and would serve outdated weights.
	It("reaches every replica when target versions change quickly", func() {
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

	It("sends lost orders again", func() {
		f := newFleet(3)
		f.hold(1)
		f.wanted = 2
		f.lose = func(wasabiridge.BackendServerID) bool { return len(f.orders) <= 2 }
		f.run(14000)
		Expect(f.left()).To(BeZero())
	})

	// Half of the orders get no answer and are carried out seconds later. If each of them
	// kept one of two load slots for five seconds, replicas in backoff would be idle
	// meanwhile; with crashed engines in addition, half of the pool would be out of
	// service and all answers late.
	It("does not wait for delayed orders, and keeps few replicas in backoff meanwhile", func() {
		f := newFleet(12)
		f.hold(1)
		f.wanted = 2
		n := 0
		f.lateBy = 6000
		f.lose = func(wasabiridge.BackendServerID) bool { n++; return n%2 == 0 }
		f.run(11000)
		Expect(f.left()).To(BeZero())
		backoffs, most := map[wasabiridge.BackendServerID]bool{}, 0
		for _, update := range f.updates {
			backoffs[update.Backend] = update.Backoff > 0
			away := 0
			for _, inBackoff := range backoffs {
				if inBackoff {
					away++
				}
			}
			most = max(most, away)
		}
		Expect(most).To(BeNumerically("<=", 4))
	})

	// An order gets no answer and is carried out three seconds later. If the engine stayed
	// in backoff until then, it would be idle while the others are overloaded.
	It("lets a replica that has not answered its order serve until it loads", func() {
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
		inBackoff := func() bool {
			last := wasabiridge.BackoffUpdate{}
			for _, update := range f.updates {
				if update.Backend == lost {
					last = update
				}
			}
			return last.Backoff > 0
		}
		f.run(1000)
		Expect(lost).NotTo(BeEmpty())
		Expect(inBackoff()).To(BeFalse())
		f.run(2800)
		Expect(f.serves[lost]).To(BeEquivalentTo(1))
		Expect(inBackoff()).To(BeTrue(), "the replica has started to load")
		f.run(4000)
		Expect(f.left()).To(BeZero())
		Expect(inBackoff()).To(BeFalse())
	})

	// An order gets no answer, and the engine is upgraded twice meanwhile. If the first
	// order were carried out then, the engine would load old weights while all instances
	// assume that it serves the new ones.
	It("is not reverted by an order that is carried out late", func() {
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

	// handOver replaces the machine by one of another process that gets the released lease.
	handOver := func(f *fleet, to wasabiridge.InstanceID) {
		previous := wasabilease.Previous{Fencing: f.grant.Fencing, Holder: "before", Handover: f.machine.Handover(f.now)}
		f.machine = wasabiupgrade.NewMachine(to, wasabiupgrade.Timing{})
		f.hold(f.grant.Fencing + 1)
		f.grant.Previous = previous
	}
	// ordered returns the engines that got an order since the first ones.
	ordered := func(f *fleet, first int) map[wasabiridge.BackendServerID]bool {
		out := map[wasabiridge.BackendServerID]bool{}
		for _, o := range f.orders[first:] {
			out[o.Server.ID] = true
		}
		return out
	}

	// Two instances restart in turn. The first one has sent an engine an order, and so has the
	// second one while the first was away.
	It("does not order a replica again after the order of another holder, although both have restarted", func() {
		f := newFleet(6)
		f.hold(1)
		f.wanted = 2
		f.lose = func(wasabiridge.BackendServerID) bool { return true }
		f.run(500)
		first := ordered(f, 0)
		handOver(f, "other")
		before := len(f.orders)
		f.run(500)
		both := ordered(f, before)
		maps.DeleteFunc(both, func(id wasabiridge.BackendServerID, _ bool) bool { return !first[id] })
		Expect(both).NotTo(BeEmpty(), "the lease was released, so the next holder may order them")
		handOver(f, "self")
		before = len(f.orders)
		f.run(2000)
		third := ordered(f, before)
		Expect(third).NotTo(BeEmpty(), "the replicas that no two holders have ordered are not held up")
		for id := range both {
			Expect(third).NotTo(HaveKey(id))
		}
		f.lose = nil
		f.run(12000)
		Expect(f.left()).To(BeZero())
	})

	resumed := map[string]func(f *fleet){
		"that has not answered its order": func(f *fleet) { f.lose = func(wasabiridge.BackendServerID) bool { return true }; f.run(400) },
		"that is in backoff":              func(f *fleet) { f.run(200) },
	}
	for _, name := range slices.Sorted(maps.Keys(resumed)) {
		// An instance is cut off from the store during an upgrade. Another one orders the
		// replica, and the first one gets the lease again within the lease term.
		It("does not go on with the order of a replica "+name+" that another holder has ordered meanwhile", func() {
			f := newFleet(1)
			f.hold(1)
			f.wanted = 2
			resumed[name](f)
			before := len(f.orders)
			f.handle(wasabiupgrade.UpdateReceived{Backend: id(0), From: "other"})
			f.hold(3)
			f.lose = nil
			f.run(2900)
			Expect(f.orders[before:]).To(BeEmpty())
			f.run(5000)
			Expect(f.left()).To(BeZero())
		})
	}

	It("reports a handover that it cannot decode, and sends its orders", func() {
		f := newFleet(3)
		f.hold(2)
		f.grant.Previous = wasabilease.Previous{Fencing: 1, Holder: "other", Handover: "["}
		effects := f.machine.Handle(f.now, wasabiupgrade.Ticked{Grant: f.grant})
		Expect(effects).To(HaveLen(1))
		Expect(effects[0].(wasabiupgrade.Succeeded).Err).To(MatchError(And(ContainSubstring("other"), ContainSubstring("fencing number 1"))))
		f.wanted = 2
		f.run(8000)
		Expect(f.left()).To(BeZero())
	})

	// Two of nine engines do not respond when the target version changes. They must not
	// take the two load slots again and again while the others wait.
	It("does not wait for replicas that do not respond, and upgrades them once they do", func() {
		f := newFleet(9)
		f.hold(1)
		f.wanted = 2
		f.unresponsive = map[wasabiridge.BackendServerID]bool{id(0): true, id(1): true}
		f.run(6500)
		Expect(f.left()).To(Equal(2))
		for _, update := range f.updates {
			Expect(f.unresponsive).NotTo(HaveKey(update.Backend), "no update is sent about a replica that does not respond")
		}
		f.unresponsive = nil
		f.run(3500)
		Expect(f.left()).To(BeZero())
	})

	// An engine stops responding after its order. It must not keep one of two load slots
	// for five seconds.
	It("continues with other replicas if one stops responding while it loads", func() {
		f := newFleet(6)
		f.hold(1)
		f.wanted = 2
		f.run(400)
		fell := f.orders[0].Server.ID
		delete(f.done, fell)
		f.unresponsive = map[wasabiridge.BackendServerID]bool{fell: true}
		f.run(5500)
		Expect(f.left()).To(Equal(1))
	})

	// Without draining, the engines that load next would get long requests until their
	// backoff starts, and would have to finish these before the load.
	It("drains the next replicas before their backoff", func() {
		f := newFleet(9)
		f.hold(1)
		f.wanted = 2
		f.run(8000)
		Expect(f.left()).To(BeZero())
		drained := map[wasabiridge.BackendServerID]bool{}
		for _, update := range f.updates {
			if update.Drain > 0 {
				drained[update.Backend] = true
				Expect(update.Backoff).To(BeZero())
			}
		}
		Expect(drained).To(HaveLen(7), "all but the two that load immediately")
	})

	// An engine restarts under its name, during or after its upgrade, and serves the weights
	// that it had before. If the restart is not detected, the engine is assumed to be
	// upgraded and keeps old weights, or it rejects its order, whose condition counts the
	// orders that the earlier incarnation accepted.
	restarts := map[string]wasabiridge.Millis{"after its load": 7500, "in backoff": 100, "after its order": 700}
	for _, name := range slices.Sorted(maps.Keys(restarts)) {
		It("upgrades a replica that restarts under its name "+name, func() {
			f := newFleet(3)
			f.incarnations = map[wasabiridge.BackendServerID]wasabiridge.Incarnation{id(0): 10, id(1): 10, id(2): 10}
			f.hold(1)
			f.wanted = 2
			f.run(restarts[name])
			f.incarnations[id(0)] = 20
			f.serves[id(0)], f.accepted[id(0)] = 1, 0
			delete(f.done, id(0))
			f.run(9000)
			Expect(f.left()).To(BeZero())
		})
	}

	garbled := map[string]func(s *wasabiridge.EngineState){
		"a version far ahead": func(s *wasabiridge.EngineState) { s.Weights = 999_999 },
		"a version far ahead of a model": func(s *wasabiridge.EngineState) {
			s.Models = map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: 3}
		},
		"another model": func(s *wasabiridge.EngineState) {
			s.Models = map[wasabiridge.ModelID]wasabiridge.WeightsVersion{"x": 2}
		},
		"nothing": func(s *wasabiridge.EngineState) {
			*s = wasabiridge.EngineState{Models: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}}
		},
		"a load":      func(s *wasabiridge.EngineState) { s.Loading = true },
		"many orders": func(s *wasabiridge.EngineState) { s.Orders = 999_999 },
	}
	reads := map[string]int{"first": 1, "second": 2, "third": 3}
	for _, name := range slices.Sorted(maps.Keys(garbled)) {
		for _, which := range slices.Sorted(maps.Keys(reads)) {
			// Guards against a rollout that is complete by one wrong report, while the replica
			// keeps its old weights and is sent requests for others.
			It("upgrades a replica whose "+which+" report states "+name, func() {
				f := newFleet(3)
				f.hold(1)
				f.wanted = 2
				count := 0
				f.garble = func(of wasabiridge.BackendServerID, s wasabiridge.EngineState) wasabiridge.EngineState {
					if of == id(0) {
						if count++; count == reads[which] {
							garbled[name](&s)
						}
					}
					return s
				}
				f.run(15000)
				Expect(count).To(BeNumerically(">=", reads[which]))
				Expect(f.left()).To(BeZero())
				for _, u := range f.updates {
					Expect(u.Weights).To(BeNumerically("<=", 2))
				}
			})
		}
	}

	outcomes := map[string]wasabiupgrade.OrderResult{"accepted": {}, "refused": {Refused: true}, "unknown": {Unsure: true}}
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		for _, lost := range []bool{false, true} {
			// Guards against a rollout that stands still because the response to an order was none
			// to it. The order was carried out, or it was lost.
			It(fmt.Sprintf("upgrades a replica whose order counts as %s by a wrong response, lost %t", name, lost), func() {
				f := newFleet(3)
				f.hold(1)
				f.wanted = 2
				f.lose = func(of wasabiridge.BackendServerID) bool { return lost && of == id(0) && len(f.orders) < 3 }
				wrong := 0
				f.misreport = func(r *wasabiupgrade.OrderResult) {
					if r.Backend == id(0) && wrong == 0 {
						wrong++
						r.Refused, r.Unsure = outcomes[name].Refused, outcomes[name].Unsure
					}
				}
				f.run(12000)
				Expect(wrong).To(Equal(1))
				Expect(f.left()).To(BeZero())
			})
		}
	}

	// Guards against further orders to replicas that are upgraded, while their entries are old.
	It("orders each replica once while the list stays as it was", func() {
		f := newFleet(3)
		f.hold(1)
		f.listed = f.entries()
		f.wanted = 2
		f.run(40000)
		Expect(f.left()).To(BeZero())
		Expect(f.orders).To(HaveLen(3))
	})

	It("upgrades a new replica that has old weights", func() {
		f := newFleet(3)
		f.hold(1)
		f.wanted = 2
		f.run(5000)
		delete(f.serves, id(0))
		f.serves["reborn"] = 1
		f.run(3000)
		Expect(f.left()).To(BeZero())
	})

	// The holder of the lease is partitioned, and its last order is still in flight to a
	// replica when the next holder takes over. The next holder must not send an order to
	// the same replica yet.
	It("sends no order to a replica about which another instance has just sent an update", func() {
		f := newFleet(2)
		f.hold(7)
		f.wanted = 2
		f.handle(wasabiupgrade.UpdateReceived{Backend: id(0)})
		f.run(2900)
		for _, o := range f.orders {
			Expect(o.Server.ID).To(Equal(id(1)))
		}
		f.run(4000)
		Expect(f.left()).To(BeZero())
	})

	// Engines serve two models, whose versions are numbered independently. If the higher
	// number were used for both, an upgrade of the other model would never start, or
	// never be detected as complete.
	It("upgrades the models of one replica separately, one at a time", func() {
		m := wasabiupgrade.NewMachine("self", wasabiupgrade.Timing{})
		serves := map[wasabiridge.ModelID]wasabiridge.WeightsVersion{"a": 7, "b": 2}
		wanted := map[wasabiridge.ModelID]wasabiridge.WeightsVersion{"a": 8, "b": 3}
		grant := wasabilease.Grant{Lease: "l", Fencing: 1, Until: 1e9}
		loading, most := 0, 0
		for now := wasabiridge.Millis(1e6); now < 1e6+12000; now += 50 {
			entry := wasabiridge.BackendEntry{Server: wasabiridge.BackendServer{ID: "e"}, Weights: maps.Clone(serves)}
			events := []wasabiupgrade.Event{wasabiupgrade.Ticked{Entries: []wasabiridge.BackendEntry{entry}, Targets: wanted, Grant: grant}}
			for len(events) > 0 {
				e := events[0]
				events = events[1:]
				for _, effect := range slices.Clone(m.Handle(now, e)) {
					switch x := effect.(type) {
					case wasabiupgrade.SendOrder:
						loading++
						most = max(most, loading)
						events = append(events, wasabiupgrade.OrderResult{Backend: "e", Model: x.Order.Model, Fencing: 1})
					case wasabiupgrade.ReadState:
						if loading > 0 {
							serves[x.Model] = wanted[x.Model]
						}
						loading = 0
						events = append(events, wasabiupgrade.StateResult{Backend: "e", Model: x.Model, State: wasabiridge.EngineState{Models: maps.Clone(serves)}})
					}
				}
			}
		}
		Expect(serves).To(Equal(wanted))
		Expect(most).To(Equal(1))
	})

	It("sends no more orders with a fencing number that a replica rejected", func() {
		f := newFleet(3)
		f.hold(3)
		f.wanted = 2
		f.run(400)
		sent := len(f.orders)
		f.handle(wasabiupgrade.OrderResult{Backend: id(0), Model: model, Fencing: 3, Fenced: true})
		f.run(6000)
		Expect(f.orders).To(HaveLen(sent))
		f.hold(4)
		f.run(12000)
		Expect(f.left()).To(BeZero())
	})
})
