package wasabilimit

import (
	"math"
	"sort"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// classStep is how many times the share of one level of priority that of
	// the next one is, when requests of both wait.
	classStep = 4.0
	// maxLevel bounds the levels in either direction, so that shares stay
	// finite.
	maxLevel = 8
	// settleTime is how long a flow must wait before the rate of its turns
	// says more than its share.
	settleTime = 2 * wasabiridge.Second
	// hopelessDoubt is how many times faster than it looks a queue is taken to
	// be before a request in it is given up. Rates of few requests are rough.
	hopelessDoubt = 2
)

// item is a request that is queued, or released and not sent yet.
type item struct {
	request wasabiridge.Request
	cost    float64
	pool    *pool
	account *account
	queued  bool
}

// flow is one account's queue within a class, in order of arrival.
type flow struct {
	id      wasabiridge.ClientAccountID
	account *account
	queue   []*item
	cost    float64
	// start is the virtual time at which the next request begins.
	start float64
	// drain is how fast the flow got its turns, waiting since when its queue
	// began to fill.
	drain   rate
	waiting wasabiridge.Millis
}

// class holds the queues of one priority.
type class struct {
	priority wasabiridge.Priority
	weight   float64
	flows    map[wasabiridge.ClientAccountID]*flow
	// backlog lists flows with queued requests.
	backlog []*flow
	cost    float64
	start   float64
	// virtual is the start of the flow that went last.
	virtual float64
}

// line is the queue of a pool: start-time fair queueing between priorities,
// and within each between accounts. A lower priority has a smaller share, but
// always has one, so that nothing starves.
type line struct {
	classes []*class
	virtual float64
	length  int
}

func (l *line) class(p wasabiridge.Priority) *class {
	i := sort.Search(len(l.classes), func(i int) bool { return l.classes[i].priority <= p })
	if i < len(l.classes) && l.classes[i].priority == p {
		return l.classes[i]
	}
	level := min(max(int(p), -maxLevel), maxLevel)
	c := &class{priority: p, weight: math.Pow(classStep, float64(level)), flows: make(map[wasabiridge.ClientAccountID]*flow)}
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

func (l *line) enqueue(now wasabiridge.Millis, it *item) {
	c := l.class(it.request.Action.Priority)
	f := c.flow(it)
	if len(c.backlog) == 0 {
		c.start = max(c.start, l.virtual)
	}
	if len(f.queue) == 0 {
		f.start = max(f.start, c.virtual)
		f.waiting = now
		c.backlog = append(c.backlog, f)
	}
	f.queue = append(f.queue, it)
	f.cost += it.cost
	c.cost += it.cost
	l.length++
	it.account.open++
}

func (l *line) remove(it *item) {
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

// charge moves the virtual times on for a request that goes.
func (l *line) charge(now wasabiridge.Millis, it *item) {
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

// next returns the request whose turn it is among those that may go, or nil.
func (l *line) next(may func(*account) bool) *item {
	var first *class
	var turn *flow
	for _, c := range l.classes {
		if first != nil && c.start >= first.start {
			continue
		}
		if f := c.next(may); f != nil {
			first, turn = c, f
		}
	}
	if turn == nil {
		return nil
	}
	return turn.queue[0]
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

// wait estimates how long a further request would wait, when the line drains
// at the given rate.
func (l *line) wait(now wasabiridge.Millis, it *item, perMilli float64) wasabiridge.Millis {
	c := l.class(it.request.Action.Priority)
	f := c.flow(it)
	turns := f.drain.perMilli(now)
	if len(f.queue) == 0 || now < f.waiting+settleTime {
		turns = max(turns, l.share(c, f)*perMilli)
	}
	if turns <= 0 {
		return 0
	}
	return wasabiridge.Millis((f.cost + it.cost) / turns)
}

// hopeless returns queued requests whose turn will not come before their
// deadline at the rate of late, the last of each account first. They were
// worth their wait when they came, but the pool has become slower since.
func (l *line) hopeless(now wasabiridge.Millis, perMilli float64) []*item {
	var found []*item
	for _, c := range l.classes {
		for _, f := range c.backlog {
			turns := hopelessDoubt * max(f.drain.perMilli(now), l.share(c, f)*perMilli)
			if now < f.waiting+settleTime || turns <= 0 {
				continue
			}
			ahead := f.cost
			for i := len(f.queue) - 1; i >= 0; i-- {
				it := f.queue[i]
				if left := it.request.Deadline - now; it.request.Deadline > 0 && ahead/turns > float64(left) {
					found = append(found, it)
				}
				ahead -= it.cost
			}
		}
	}
	return found
}

// share is the part of the line's rate that a flow has at least, while the
// same flows wait.
func (l *line) share(c *class, f *flow) float64 {
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

// prune forgets flows without requests whose debt is paid.
func (l *line) prune(now wasabiridge.Millis) {
	for _, c := range l.classes {
		for id, f := range c.flows {
			if len(f.queue) == 0 && f.start <= c.virtual && f.drain.perMilli(now) < idleUse/float64(rateDecay) {
				delete(c.flows, id)
			}
		}
	}
}
