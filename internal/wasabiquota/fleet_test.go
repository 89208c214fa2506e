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
	// step is the time between two ticks of an instance.
	step = 20 * wasabiridge.Millis(1)
	// window, overrun and slack are what the requirements allow over a limit: in any
	// window, the limit plus a tenth of it plus slack.
	window  = 8 * wasabiridge.Second
	overrun = 0.1
	slack   = 190_000.0
	// messageBytes is the size of a message without entries together with its answer,
	// entryBytes the size of one entry.
	messageBytes, entryBytes = 120, 16
)

// limiter is one design of rate limits, at one instance.
type limiter interface {
	// decide decides on a request and calls done once.
	decide(now wasabiridge.Millis, r wasabiridge.Request, done func(now wasabiridge.Millis, runs bool))
	tick(now wasabiridge.Millis)
	// receive handles a message, receiveAnswer the answer of another instance.
	receive(now wasabiridge.Millis, from int, message any) (answer any)
	receiveAnswer(now wasabiridge.Millis, from int, answer any)
	setLimits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount)
}

// fleet simulates instances and the messages between them in virtual time.
type fleet struct {
	now       wasabiridge.Millis
	random    *rand.Rand
	instances []*instance
	events    events
	order     uint64
	// newLimiter returns the limiter of an instance that starts.
	newLimiter func(f *fleet, i int) limiter
	// partitioned reports whether two instances cannot reach each other.
	partitioned func(a, b int) bool
	// active is the number of instances that callers are routed to, callers the number of
	// instances that callers reach; both count from the first instance.
	active, callers int
	// discoveryDelay is how long after its start an instance discovers the others.
	discoveryDelay wasabiridge.Millis
	// storedOwners are the owners in the platform's table, read shortly after a start.
	storedOwners []wasabiridge.InstanceID
	// lossRate is the probability that a message is lost or duplicated, and that it is
	// delayed by up to maxExtraDelay.
	lossRate      float64
	maxExtraDelay wasabiridge.Millis
	// accounts holds the limits in force.
	accounts []wasabiridge.ClientAccount
	// ran holds the requests that ran, by account.
	ran     map[wasabiridge.ClientAccountID][]run
	refused map[wasabiridge.ClientAccountID]int
	asked   map[wasabiridge.ClientAccountID]int
	// messages and bytes count what all instances have sent.
	messages, bytes int
	requests        int
}

type run struct {
	at   wasabiridge.Millis
	cost float64
}

type instance struct {
	limiter     limiter
	incarnation int
	up          bool
	startedAt   wasabiridge.Millis
	pausedUntil wasabiridge.Millis
	// clockSkew is how far the clock of the instance is ahead.
	clockSkew wasabiridge.Millis
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

func newFleet(seed uint64, n int, accounts []wasabiridge.ClientAccount, build func(f *fleet, i int) limiter) *fleet {
	f := &fleet{
		now: 1_000_000, active: math.MaxInt, callers: math.MaxInt, random: rand.New(rand.NewPCG(seed, 1)), newLimiter: build, accounts: accounts,
		partitioned: func(int, int) bool { return false },
		ran:         map[wasabiridge.ClientAccountID][]run{},
		refused:     map[wasabiridge.ClientAccountID]int{}, asked: map[wasabiridge.ClientAccountID]int{},
	}
	for range n {
		f.add()
	}
	return f
}

// add starts an additional instance.
func (f *fleet) add() {
	f.instances = append(f.instances, &instance{})
	f.start(len(f.instances) - 1)
}

func (f *fleet) schedule(at wasabiridge.Millis, do func()) {
	f.order++
	heap.Push(&f.events, event{at: max(at, f.now), order: f.order, do: do})
}

// start starts a process of an instance, with a new incarnation.
func (f *fleet) start(i int) {
	n := f.instances[i]
	n.incarnation, n.up, n.startedAt = n.incarnation+1, true, f.now
	n.limiter = f.newLimiter(f, i)
	n.limiter.setLimits(f.now+n.clockSkew, f.accounts)
	incarnation := n.incarnation
	if t, ok := n.limiter.(*runningTotals); ok && f.storedOwners != nil {
		f.schedule(f.now+10, func() {
			if n.up && n.incarnation == incarnation {
				t.table.Observe(f.now+n.clockSkew, wasabiridge.OwnersKnown{Instances: f.storedOwners})
			}
		})
	}
	var tick func()
	tick = func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		if f.now >= n.pausedUntil {
			n.limiter.tick(f.now + n.clockSkew)
		}
		f.schedule(f.now+step, tick)
	}
	f.schedule(f.now+wasabiridge.Millis(f.random.IntN(int(step))), tick)
}

func (f *fleet) kill(i int) { f.instances[i].up = false }

// adopt changes the limits, at each instance at a random time within a span.
func (f *fleet) adopt(accounts []wasabiridge.ClientAccount, within wasabiridge.Millis) {
	f.accounts = accounts
	for _, n := range f.instances {
		f.schedule(f.now+wasabiridge.Millis(f.random.IntN(int(within)+1)), func() {
			if n.up {
				n.limiter.setLimits(f.now+n.clockSkew, accounts)
			}
		})
	}
}

// delay draws how long a message takes.
func (f *fleet) delay() wasabiridge.Millis {
	d := 1 + wasabiridge.Millis(f.random.IntN(4))
	if f.maxExtraDelay > 0 && f.random.Float64() < f.lossRate {
		d += wasabiridge.Millis(f.random.IntN(int(f.maxExtraDelay)))
	}
	return d
}

// send sends a message to another instance. With probability lossRate it is lost or
// delivered twice.
func (f *fleet) send(from, to, bytes int, message any) {
	f.messages++
	f.bytes += messageBytes + bytes
	copies := 1
	if f.random.Float64() < f.lossRate {
		copies = 2 * f.random.IntN(2)
	}
	sender, incarnation := f.instances[from], f.instances[from].incarnation
	for range copies {
		f.schedule(f.now+f.delay(), func() { f.deliver(from, to, incarnation, sender, message) })
	}
}

func (f *fleet) deliver(from, to, incarnation int, sender *instance, message any) {
	n := f.instances[to]
	if !n.up || f.partitioned(from, to) {
		return
	}
	if f.now < n.pausedUntil {
		// A sender gives up after 500 ms.
		if n.pausedUntil-f.now < 500 {
			f.schedule(n.pausedUntil, func() { f.deliver(from, to, incarnation, sender, message) })
		}
		return
	}
	answer := n.limiter.receive(f.now+n.clockSkew, from, message)
	f.schedule(f.now+f.delay(), func() {
		if sender.up && sender.incarnation == incarnation && !f.partitioned(from, to) && f.now >= sender.pausedUntil {
			sender.limiter.receiveAnswer(f.now+sender.clockSkew, to, answer)
		}
	})
}

// request sends a request of an account to an instance.
func (f *fleet) request(i int, id wasabiridge.ClientAccountID, cost int) {
	n := f.instances[i]
	if !n.up || f.now < n.pausedUntil {
		return
	}
	f.requests++
	f.asked[id]++
	r := wasabiridge.Request{
		ID: wasabiridge.RequestID(fmt.Sprint(f.requests)), Account: id, Chain: wasabiridge.Chain{Tokens: cost},
	}
	n.limiter.decide(f.now+n.clockSkew, r, func(_ wasabiridge.Millis, runs bool) {
		if !runs {
			f.refused[id]++
			return
		}
		f.ran[id] = append(f.ran[id], run{at: f.now, cost: float64(cost)})
	})
}

// load sends requests of an account until a time, with a mean rate in tokens per second. to
// chooses the instance of each request.
func (f *fleet) load(id wasabiridge.ClientAccountID, tokens float64, until wasabiridge.Millis, to func() int) {
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		cost := f.drawCost()
		f.request(to(), id, cost)
		f.schedule(f.now+wasabiridge.Millis(f.random.ExpFloat64()*meanCost/tokens*float64(wasabiridge.Second)), next)
	}
	f.schedule(f.now+wasabiridge.Millis(f.random.Float64()*meanCost/tokens*float64(wasabiridge.Second)), next)
}

// meanCost is the mean of drawCost.
const meanCost = 0.15*17_000 + 0.85*383

// drawCost draws the tokens of a request. About one in seven is a long prompt.
func (f *fleet) drawCost() int {
	if f.random.Float64() < 0.15 {
		return int(min(93_100, 17_000*math.Exp(0.6*f.random.NormFloat64()-0.18)))
	}
	return 383
}

// runUntil runs all events up to a time.
func (f *fleet) runUntil(until wasabiridge.Millis) {
	for len(f.events) > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// anyOf returns a function that draws one of the first n instances.
func (f *fleet) anyOf(n int) func() int { return func() int { return f.random.IntN(n) } }

// maxWindow returns the largest sum of units that ran in any window from a time on: share
// is its ratio to the limit, beyond the number of units over what is allowed, negative if
// it is less.
func (f *fleet) maxWindow(id wasabiridge.ClientAccountID, limit wasabiridge.AccountLimit, from wasabiridge.Millis) (share, beyond float64) {
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

// unitsRunIn returns the units that ran in a span of time.
func (f *fleet) unitsRunIn(id wasabiridge.ClientAccountID, from, until wasabiridge.Millis) float64 {
	sum := 0.0
	for _, r := range f.ran[id] {
		if r.at >= from && r.at < until {
			sum += r.cost
		}
	}
	return sum
}

func limitedAccount(id string, rate float64) wasabiridge.ClientAccount {
	return wasabiridge.ClientAccount{
		ID: wasabiridge.ClientAccountID(id), Limit: &wasabiridge.AccountLimit{Rate: rate, Burst: rate, Unit: wasabiridge.LimitTokens},
	}
}
