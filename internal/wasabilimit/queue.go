package wasabilimit

import (
	"math"
	"sort"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// priorityWeightRatio is the ratio between the shares of adjacent
	// priorities when requests of both wait.
	priorityWeightRatio = 4.0
	// maxPriorityLevel bounds the absolute value of priorities, so that weights
	// stay finite.
	maxPriorityLevel = 8
	// minRateWait is how long a flow must have waited before its observed drain
	// rate is used instead of its share.
	minRateWait = 2 * wasabiridge.Second
	// drainRateMargin is the factor by which a queue is assumed to be faster
	// than observed before its requests are given up. Rates of few requests are
	// inaccurate.
	drainRateMargin = 2
)

// item is a request that is queued, or released and not yet sent.
type item struct {
	request wasabiridge.Request
	cost    float64
	pool    *pool
	account *account
	queued  bool
}

// flow is the queue of one account within a class, in order of arrival.
type flow struct {
	id      wasabiridge.ClientAccountID
	account *account
	queue   []*item
	cost    float64
	// start is the virtual start time of the next request.
	start float64
	// drain is the rate at which the flow's requests are released. waitingSince
	// is when the flow last became non-empty.
	drain        rate
	waitingSince wasabiridge.Millis
}

// class holds the flows of one priority.
type class struct {
	priority wasabiridge.Priority
	weight   float64
	flows    map[wasabiridge.ClientAccountID]*flow
	// backlog lists the flows with queued requests.
	backlog []*flow
	cost    float64
	start   float64
	// virtual is the virtual time: the start of the flow that was served last.
	virtual float64
}

// fairQueue is the queue of a pool. It applies start-time fair queueing between
// priorities, and within each priority between accounts. A lower priority has a
// smaller share, but never none, so that it does not starve.
type fairQueue struct {
	classes []*class
	virtual float64
	length  int
}

func (l *fairQueue) class(p wasabiridge.Priority) *class {
	i := sort.Search(len(l.classes), func(i int) bool { return l.classes[i].priority <= p })
	if i < len(l.classes) && l.classes[i].priority == p {
		return l.classes[i]
	}
	level := min(max(int(p), -maxPriorityLevel), maxPriorityLevel)
	c := &class{priority: p, weight: math.Pow(priorityWeightRatio, float64(level)), flows: make(map[wasabiridge.ClientAccountID]*flow)}
	l.classes = append(l.classes, nil)
	copy(l.classes[i+1:], l.classes[i:])
	l.classes[i] = c
	return c
}

func (c *class) flow(it *item) *flow {
	id := it.request.Account
	f, ok := c.flows[id]
	if !ok {
		f = &flow{id: id}
		c.flows[id] = f
	}
	f.account = it.account
	return f
}

func (l *fairQueue) enqueue(now wasabiridge.Millis, it *item) {
	c := l.class(it.request.Action.Priority)
	f := c.flow(it)
	if len(c.backlog) == 0 {
		c.start = max(c.start, l.virtual)
	}
	if len(f.queue) == 0 {
		f.start = max(f.start, c.virtual)
		f.waitingSince = now
		c.backlog = append(c.backlog, f)
	}
	f.queue = append(f.queue, it)
	f.cost += it.cost
	c.cost += it.cost
	l.length++
	it.account.open++
}

func (l *fairQueue) remove(it *item) {
	c := l.class(it.request.Action.Priority)
	f := c.flow(it)
	for i, x := range f.queue {
		if x == it {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			break
		}
	}
	f.cost -= it.cost
	c.cost -= it.cost
	l.length--
	it.account.open--
	if len(f.queue) > 0 {
		return
	}
	f.cost = 0
	for i, b := range c.backlog {
		if b == f {
			c.backlog = append(c.backlog[:i], c.backlog[i+1:]...)
			break
		}
	}
	if len(c.backlog) == 0 {
		c.cost = 0
	}
}

// charge advances the virtual times for a released request.
func (l *fairQueue) charge(now wasabiridge.Millis, it *item) {
	c := l.class(it.request.Action.Priority)
	f := c.flow(it)
	f.start = max(f.start, c.virtual)
	c.virtual = f.start
	f.start += it.cost / it.account.share
	f.drain.add(now, it.cost)
	c.start = max(c.start, l.virtual)
	l.virtual = c.start
	c.start += it.cost / c.weight
}

// next returns the request to serve next among the accounts that may release
// one, or nil.
func (l *fairQueue) next(may func(*account) bool) *item {
	var first *class
	var nextFlow *flow
	for _, c := range l.classes {
		if first != nil && c.start >= first.start {
			continue
		}
		if f := c.next(may); f != nil {
			first, nextFlow = c, f
		}
	}
	if nextFlow == nil {
		return nil
	}
	return nextFlow.queue[0]
}

func (c *class) next(may func(*account) bool) *flow {
	var best *flow
	for _, f := range c.backlog {
		if (best == nil || f.start < best.start) && may(f.account) {
			best = f
		}
	}
	return best
}

// wait estimates how long an additional request would wait, when the queue
// drains at the given rate.
func (l *fairQueue) wait(now wasabiridge.Millis, it *item, perMilli float64) wasabiridge.Millis {
	c := l.class(it.request.Action.Priority)
	f := c.flow(it)
	drainRate := f.drain.perMilli(now)
	if len(f.queue) == 0 || now < f.waitingSince+minRateWait {
		drainRate = max(drainRate, l.share(c, f)*perMilli)
	}
	if drainRate <= 0 {
		return 0
	}
	return wasabiridge.Millis((f.cost + it.cost) / drainRate)
}

// predictedLate returns the queued requests that would miss their deadlines at
// the recent drain rate, the last of each account first. Their waits were
// acceptable on arrival, but the pool has become slower since.
func (l *fairQueue) predictedLate(now wasabiridge.Millis, perMilli float64) []*item {
	var found []*item
	for _, c := range l.classes {
		for _, f := range c.backlog {
			drainRate := drainRateMargin * max(f.drain.perMilli(now), l.share(c, f)*perMilli)
			if now < f.waitingSince+minRateWait || drainRate <= 0 {
				continue
			}
			ahead := f.cost
			for i := len(f.queue) - 1; i >= 0; i-- {
				it := f.queue[i]
				if left := it.request.Deadline - now; it.request.Deadline > 0 && ahead/drainRate > float64(left) {
					found = append(found, it)
				}
				ahead -= it.cost
			}
		}
	}
	return found
}

// share returns the minimum share of the queue's drain rate that a flow
// receives, as long as the same flows wait.
func (l *fairQueue) share(c *class, f *flow) float64 {
	weights, shares := 0.0, 0.0
	for _, x := range l.classes {
		if len(x.backlog) > 0 || x == c {
			weights += x.weight
		}
	}
	for _, x := range c.backlog {
		shares += x.account.share
	}
	if len(f.queue) == 0 {
		shares += f.account.share
	}
	return c.weight / weights * f.account.share / shares
}

// prune removes flows without requests and without a virtual-time debt.
func (l *fairQueue) prune(now wasabiridge.Millis) {
	for _, c := range l.classes {
		for id, f := range c.flows {
			if len(f.queue) == 0 && f.start <= c.virtual && f.drain.perMilli(now) < idleDemand/float64(rateDecay) {
				delete(c.flows, id)
			}
		}
	}
}
