// Package wasabilimit decides when requests may be sent, in which order they
// leave the queue, and which are turned down early.
//
// # Ways
//
// Each backend server has a learned limit on the requests inside it, so that
// what has to wait waits here, where shares and priorities count, and not
// inside the server. A request that finds room goes at once. Otherwise it is
// queued: priorities, and within a priority accounts, take turns by weighted
// fair queueing over the tokens that their requests are expected to cost.
// Each level of priority has four times the share of the one below, so that
// none starves.
//
// A request is refused at once, as not run, when its account's queue would
// not drain within a part of the request's deadline. The refusal tells when
// the queue is expected to be short enough.
//
// An account that asks for far more than its share gets no more than that as
// soon as requests wait inside the servers, so that others do not wait longer
// for its sake. Retries draw on a
// budget that is earned by first attempts.
//
// # Usage
//
//	limiter := wasabilimit.New(wasabilimit.Options{Instances: 9})
//	limiter.Observe(now, wasabiridge.ConfigAdopted{Config: cfg})
//	switch a := limiter.Offer(now, request); a.Verdict {
//	case wasabiridge.Admitted:
//		// Place it, then call Sent.
//	}
//
// A Limiter is deterministic and not safe for concurrent use.
package wasabilimit

import (
	"github.com/wasabiridge/wasabiridge"
)

// Defaults of Options and of settings of rules.
const (
	defaultQueueLimit    = 256
	defaultDeadline      = 30 * wasabiridge.Second
	defaultWaitShare     = 0.3
	defaultTargetWaiting = 5
	defaultOvercommit    = 16
	defaultQuiet         = 0.1
	defaultReserve       = 0.3
	defaultRetryShare    = 0.1
	defaultRetryBurst    = 10
)

// Options sets up a Limiter. The zero value of each field means its default.
type Options struct {
	// Instances is how many routers share the backend servers, until
	// InstancesCounted says otherwise. Zero means 1.
	Instances int
	// TargetWaiting is how many requests may wait inside a backend server.
	TargetWaiting int
	// Overcommit is how many requests beyond its limit a server may get, for
	// the sake of what it has cached.
	Overcommit float64
	// WaitShare is the part of a request's deadline that it may be expected
	// to wait.
	WaitShare float64
	// Quiet and Reserve say when an account above its share may have more:
	// while fewer than Quiet requests wait inside a server on average, and at
	// least the part Reserve of all limits is free.
	Quiet   float64
	Reserve float64
	// RetryShare is how many retries each first attempt earns; RetryBurst is
	// how many may be saved up.
	RetryShare float64
	RetryBurst float64
}

func (o Options) withDefaults() Options {
	set := func(v *float64, to float64) {
		if *v == 0 {
			*v = to
		}
	}
	o.Instances = max(1, o.Instances)
	if o.TargetWaiting == 0 {
		o.TargetWaiting = defaultTargetWaiting
	}
	set(&o.WaitShare, defaultWaitShare)
	set(&o.Overcommit, defaultOvercommit)
	set(&o.Quiet, defaultQuiet)
	set(&o.Reserve, defaultReserve)
	set(&o.RetryShare, defaultRetryShare)
	set(&o.RetryBurst, defaultRetryBurst)
	return o
}

// Limiter implements wasabiridge.Limiter.
type Limiter struct {
	options  Options
	pools    map[wasabiridge.PoolID]*pool
	shares   map[wasabiridge.ClientAccountID]float64
	servers  map[wasabiridge.BackendServerID]*server
	attempts map[wasabiridge.AttemptID]sending
	// open holds requests that are queued, or released and not sent yet.
	open   map[wasabiridge.RequestID]*item
	costs  costs
	budget budget
	queued map[wasabiridge.RuleID]int
	// late is ordered by deadline. Items that left the queue stay in it until
	// they come to the top.
	late deadlines
	// hopeless were found in the last review.
	hopeless []*item
	// order lists the pools by name, so that no iteration over a map decides.
	order    []*pool
	turn     int
	reviewed wasabiridge.Millis
	// reviewedAccounts is when accounts were last compared with their shares.
	reviewedAccounts wasabiridge.Millis
}

var _ wasabiridge.Limiter = (*Limiter)(nil)

type sending struct {
	backend wasabiridge.BackendServerID
	request wasabiridge.Request
}

// New returns a Limiter that knows no pools yet.
func New(o Options) *Limiter {
	o = o.withDefaults()
	return &Limiter{
		options:  o,
		pools:    make(map[wasabiridge.PoolID]*pool),
		shares:   make(map[wasabiridge.ClientAccountID]float64),
		servers:  make(map[wasabiridge.BackendServerID]*server),
		attempts: make(map[wasabiridge.AttemptID]sending),
		open:     make(map[wasabiridge.RequestID]*item),
		queued:   make(map[wasabiridge.RuleID]int),
		costs:    newCosts(),
		budget:   newBudget(o),
	}
}

// setInstances takes how many routers share the backend servers now.
func (l *Limiter) setInstances(n int) {
	l.options.Instances = max(1, n)
	for _, p := range l.order {
		p.refresh()
	}
}

// Offer admits a request that finds room, queues one that is worth its wait,
// and rejects the rest.
func (l *Limiter) Offer(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Admission {
	p, ok := l.pools[r.Action.Pool]
	if !ok || !p.serving() {
		// Without a server to wait for, the caller's answer must not wait.
		return wasabiridge.Admission{Verdict: wasabiridge.Admitted}
	}
	it := &item{request: r, cost: l.costs.expect(r), pool: p, account: p.account(r.Account, l.shares[r.Account])}
	it.account.asked.add(now, it.cost)
	if p.mayRelease(now, it.account) && p.turn(now) == nil {
		l.release(now, it)
		return wasabiridge.Admission{Verdict: wasabiridge.Admitted}
	}
	limit := r.Action.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	wait := p.line.wait(now, it, p.capacity.known)
	worth := l.worth(now, r)
	if wait > worth || l.queued[r.Rule] >= limit {
		return wasabiridge.Admission{
			Verdict:    wasabiridge.Rejected,
			Reason:     wasabiridge.RefusedOverload,
			RetryAfter: comeBack(wait, worth),
		}
	}
	l.enqueue(now, it)
	return wasabiridge.Admission{Verdict: wasabiridge.Queued}
}

// worth is how long a request may be expected to wait.
func (l *Limiter) worth(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Millis {
	left := r.Deadline - now
	if r.Deadline == 0 {
		left = defaultDeadline
	}
	return wasabiridge.Millis(l.options.WaitShare * float64(left))
}

// comeBack is when a queue that takes wait to drain is short enough again.
func comeBack(wait, worth wasabiridge.Millis) wasabiridge.Millis {
	return min(max(wasabiridge.Second, wait-worth/2), wasabiridge.Minute)
}

func (l *Limiter) enqueue(now wasabiridge.Millis, it *item) {
	it.queued = true
	l.open[it.request.ID] = it
	l.queued[it.request.Rule]++
	l.late.push(it)
	it.pool.line.enqueue(now, it)
}

func (l *Limiter) dequeue(it *item) {
	it.queued = false
	l.queued[it.request.Rule]--
	it.pool.line.remove(it)
}

// release lets a request go. It counts against the room of its pool until it
// is sent or withdrawn.
func (l *Limiter) release(now wasabiridge.Millis, it *item) {
	it.pool.released++
	it.pool.charge(now, it)
	l.open[it.request.ID] = it
}

// Next returns the queued request whose turn it is in a pool with room. Pools
// take turns.
func (l *Limiter) Next(now wasabiridge.Millis) (wasabiridge.Request, bool) {
	for range l.order {
		p := l.order[l.turn%len(l.order)]
		if it := p.turn(now); it != nil {
			l.dequeue(it)
			l.release(now, it)
			return it.request, true
		}
		l.turn++
	}
	return wasabiridge.Request{}, false
}

// Expired returns a queued request whose deadline passed, or whose turn will
// not come before it.
func (l *Limiter) Expired(now wasabiridge.Millis) (wasabiridge.Request, bool) {
	it := l.late.due(now)
	for it == nil && len(l.hopeless) > 0 {
		it, l.hopeless = l.hopeless[0], l.hopeless[1:]
		if !it.queued {
			it = nil
		}
	}
	if it == nil {
		return wasabiridge.Request{}, false
	}
	l.dequeue(it)
	delete(l.open, it.request.ID)
	return it.request, true
}

// Withdraw forgets a request that is queued, or released and not sent.
func (l *Limiter) Withdraw(id wasabiridge.RequestID) {
	it, ok := l.open[id]
	if !ok {
		return
	}
	delete(l.open, id)
	if it.queued {
		l.dequeue(it)
		return
	}
	it.pool.released--
}

// HasRoom reports whether a backend server may get one more attempt. A server
// that is not known yet has room.
func (l *Limiter) HasRoom(_ wasabiridge.Millis, b wasabiridge.BackendServer) bool {
	s, ok := l.servers[b.ID]
	return !ok || s.hasRoom()
}

// Sent counts an attempt against its backend server, and a first attempt
// towards the retry budget.
func (l *Limiter) Sent(now wasabiridge.Millis, r wasabiridge.Request, a wasabiridge.AttemptID, b wasabiridge.BackendServerID) {
	if it, ok := l.open[r.ID]; ok && !it.queued {
		delete(l.open, r.ID)
		it.pool.released--
		l.budget.earn()
	}
	s, ok := l.servers[b]
	if !ok {
		return
	}
	l.attempts[a] = sending{backend: b, request: r}
	s.sent(now)
}

// MayRetry spends a retry of the budget when there is one.
func (l *Limiter) MayRetry(_ wasabiridge.Millis, r wasabiridge.Request) bool {
	return l.budget.spend(r.ID)
}

// Limit returns the learned limit of a backend server, for status pages. It
// is 0 for an unknown server.
func (l *Limiter) Limit(b wasabiridge.BackendServerID) int {
	if s, ok := l.servers[b]; ok {
		return int(s.limit)
	}
	return 0
}

// Queued returns how many requests wait.
func (l *Limiter) Queued() int {
	sum := 0
	for _, p := range l.order {
		sum += p.line.length
	}
	return sum
}
