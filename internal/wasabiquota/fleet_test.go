package wasabiquota_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// step is the time between two looks of an instance at its clock.
	step = 20 * wasabiridge.Millis(1)
	// window, overrun and slack are what the users allow beyond a limit.
	window  = 8 * wasabiridge.Second
	overrun = 0.1
	slack   = 190_000.0
	// envelope and entryBytes are the bytes of a message with its answer and of one entry.
	envelope, entryBytes = 120, 16
)

// way is one design of a limit at one instance.
type way interface {
	// offer asks whether a request runs; done is told once.
	offer(now wasabiridge.Millis, r wasabiridge.Request, done func(now wasabiridge.Millis, runs bool))
	tick(now wasabiridge.Millis)
	// take takes a message, and answer what another instance answered.
	take(now wasabiridge.Millis, from int, message any) (answer any)
	answer(now wasabiridge.Millis, from int, answer any)
	limits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount)
}

// fleet is some instances in virtual time, with the messages between them.
type fleet struct {
	now    wasabiridge.Millis
	random *rand.Rand
	nodes  []*node
	events events
	order  uint64
	// make returns the design at an instance that starts.
	make func(f *fleet, i int) way
	// cut reports whether two instances are apart, loss how many messages are lost.
	cut func(a, b int) bool
	// active is to how many of the instances callers are sent, callers to how many they
	// come, the first ones.
	active, callers int
	// lists is how long after its start an instance knows the others.
	lists wasabiridge.Millis
	// owners are those that the platform's table names, read soon after a start.
	owners []wasabiridge.InstanceID
	loss   float64
	late   wasabiridge.Millis
	// accounts are the limits in force.
	accounts []wasabiridge.ClientAccount
	// ran are the requests that ran, by account.
	ran     map[wasabiridge.ClientAccountID][]run
	refused map[wasabiridge.ClientAccountID]int
	asked   map[wasabiridge.ClientAccountID]int
	// messages and bytes are what all instances sent.
	messages, bytes int
	requests        int
}

type run struct {
	at   wasabiridge.Millis
	cost float64
}

type node struct {
	way    way
	life   int
	up     bool
	began  wasabiridge.Millis
	frozen wasabiridge.Millis
	// skew is how far the clock of the instance is ahead.
	skew wasabiridge.Millis
}

type event struct {
	at    wasabiridge.Millis
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newFleet(seed uint64, n int, accounts []wasabiridge.ClientAccount, build func(f *fleet, i int) way) *fleet {
	f := &fleet{
		now: 1_000_000, active: math.MaxInt, callers: math.MaxInt, random: rand.New(rand.NewPCG(seed, 1)), make: build, accounts: accounts,
		cut:     func(int, int) bool { return false },
		ran:     map[wasabiridge.ClientAccountID][]run{},
		refused: map[wasabiridge.ClientAccountID]int{}, asked: map[wasabiridge.ClientAccountID]int{},
	}
	for range n {
		f.add()
	}
	return f
}

// add starts one more instance.
func (f *fleet) add() {
	f.nodes = append(f.nodes, &node{})
	f.start(len(f.nodes) - 1)
}

func (f *fleet) at(at wasabiridge.Millis, do func()) {
	f.order++
	heap.Push(&f.events, event{at: max(at, f.now), order: f.order, do: do})
}

// start lets an instance begin a life.
func (f *fleet) start(i int) {
	n := f.nodes[i]
	n.life, n.up, n.began = n.life+1, true, f.now
	n.way = f.make(f, i)
	n.way.limits(f.now+n.skew, f.accounts)
	life := n.life
	if t, ok := n.way.(*told); ok && f.owners != nil {
		f.at(f.now+10, func() {
			if n.up && n.life == life {
				t.table.Observe(f.now+n.skew, wasabiridge.OwnersKnown{Instances: f.owners})
			}
		})
	}
	var tick func()
	tick = func() {
		if n.life != life || !n.up {
			return
		}
		if f.now >= n.frozen {
			n.way.tick(f.now + n.skew)
		}
		f.at(f.now+step, tick)
	}
	f.at(f.now+wasabiridge.Millis(f.random.IntN(int(step))), tick)
}

func (f *fleet) kill(i int) { f.nodes[i].up = false }

// adopt puts other limits in force, at each instance within so long.
func (f *fleet) adopt(accounts []wasabiridge.ClientAccount, within wasabiridge.Millis) {
	f.accounts = accounts
	for _, n := range f.nodes {
		f.at(f.now+wasabiridge.Millis(f.random.IntN(int(within)+1)), func() {
			if n.up {
				n.way.limits(f.now+n.skew, accounts)
			}
		})
	}
}

// delay is how long a message is on its way.
func (f *fleet) delay() wasabiridge.Millis {
	d := 1 + wasabiridge.Millis(f.random.IntN(4))
	if f.late > 0 && f.random.Float64() < f.loss {
		d += wasabiridge.Millis(f.random.IntN(int(f.late)))
	}
	return d
}

// send hands a message to another instance, with some chance not at all or twice.
func (f *fleet) send(from, to, bytes int, message any) {
	f.messages++
	f.bytes += envelope + bytes
	copies := 1
	if f.random.Float64() < f.loss {
		copies = 2 * f.random.IntN(2)
	}
	sender, life := f.nodes[from], f.nodes[from].life
	for range copies {
		f.at(f.now+f.delay(), func() { f.deliver(from, to, life, sender, message) })
	}
}

func (f *fleet) deliver(from, to, life int, sender *node, message any) {
	n := f.nodes[to]
	if !n.up || f.cut(from, to) {
		return
	}
	if f.now < n.frozen {
		// Who sends does not wait for longer than that.
		if n.frozen-f.now < 500 {
			f.at(n.frozen, func() { f.deliver(from, to, life, sender, message) })
		}
		return
	}
	answer := n.way.take(f.now+n.skew, from, message)
	f.at(f.now+f.delay(), func() {
		if sender.up && sender.life == life && !f.cut(from, to) && f.now >= sender.frozen {
			sender.way.answer(f.now+sender.skew, to, answer)
		}
	})
}

// ask sends a request of an account to an instance.
func (f *fleet) ask(i int, id wasabiridge.ClientAccountID, cost int) {
	n := f.nodes[i]
	if !n.up || f.now < n.frozen {
		return
	}
	f.requests++
	f.asked[id]++
	r := wasabiridge.Request{
		ID: wasabiridge.RequestID(fmt.Sprint(f.requests)), Account: id, Chain: wasabiridge.Chain{Tokens: cost},
	}
	n.way.offer(f.now+n.skew, r, func(_ wasabiridge.Millis, runs bool) {
		if !runs {
			f.refused[id]++
			return
		}
		f.ran[id] = append(f.ran[id], run{at: f.now, cost: float64(cost)})
	})
}

// load sends requests of an account to instances from now on for a while, so many tokens
// a second in the mean.
func (f *fleet) load(id wasabiridge.ClientAccountID, tokens float64, until wasabiridge.Millis, to func() int) {
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		cost := f.cost()
		f.ask(to(), id, cost)
		f.at(f.now+wasabiridge.Millis(f.random.ExpFloat64()*meanCost/tokens*float64(wasabiridge.Second)), next)
	}
	f.at(f.now+wasabiridge.Millis(f.random.Float64()*meanCost/tokens*float64(wasabiridge.Second)), next)
}

// meanCost is the mean of cost.
const meanCost = 0.15*17_000 + 0.85*383

// cost draws the tokens of a request: one of seven is a long prompt.
func (f *fleet) cost() int {
	if f.random.Float64() < 0.15 {
		return int(min(93_100, 17_000*math.Exp(0.6*f.random.NormFloat64()-0.18)))
	}
	return 383
}

// play lets time pass.
func (f *fleet) play(until wasabiridge.Millis) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// anyOf returns a function that draws one of the first instances.
func (f *fleet) anyOf(n int) func() int { return func() int { return f.random.IntN(n) } }

// most returns the largest sum of what ran in any window from a time on, as a part of the
// limit, and by how much it passes what is allowed, negative if it does not.
func (f *fleet) most(id wasabiridge.ClientAccountID, limit wasabiridge.AccountLimit, from wasabiridge.Millis) (share, beyond float64) {
	runs := f.ran[id]
	slices.SortFunc(runs, func(a, b run) int { return int(a.at - b.at) })
	sum, first, top := 0.0, 0, 0.0
	for _, r := range runs {
		if r.at < from {
			first++
			continue
		}
		sum += r.cost
		for runs[first].at <= r.at-window {
			sum -= runs[first].cost
			first++
		}
		top = max(top, sum)
	}
	full := limit.Rate*float64(window/wasabiridge.Second) + limit.Burst
	return top / full, top - full*(1+overrun) - slack
}

// ranIn sums what ran in a span.
func (f *fleet) ranIn(id wasabiridge.ClientAccountID, from, until wasabiridge.Millis) float64 {
	sum := 0.0
	for _, r := range f.ran[id] {
		if r.at >= from && r.at < until {
			sum += r.cost
		}
	}
	return sum
}

func limited(id string, rate float64) wasabiridge.ClientAccount {
	return wasabiridge.ClientAccount{
		ID: wasabiridge.ClientAccountID(id), Limit: &wasabiridge.AccountLimit{Rate: rate, Burst: rate, Unit: wasabiridge.LimitTokens},
	}
}
