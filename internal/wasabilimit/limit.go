// Package wasabilimit decides when requests may be sent, in which order they
// leave the queue, and which are rejected.
//
// # Admission
//
// Each backend server has an adaptive limit on the requests that it holds, so
// that requests wait in this process, where account shares and priorities
// apply, and not inside the server. A request is admitted at once if there is
// room. Otherwise it is queued: weighted fair queueing applies between
// priorities and, within a priority, between accounts, over the expected cost
// of the requests in tokens. Each priority has four times the share of the next
// lower one, so that no priority starves.
//
// A request is rejected as not run if its expected wait exceeds a share of its
// deadline. The rejection carries the time after which the queue is expected to
// be short enough.
//
// An account whose demand is far above its share is held to its share as soon
// as requests wait inside the servers, so that it does not lengthen the waits
// of other accounts. Retries are paid from a budget that first attempts fill.
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
// A Limiter is deterministic. It is not safe for concurrent use.
package wasabilimit

import (
	"github.com/wasabiridge/wasabiridge"
)

// Defaults of Options and of rule settings.
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

// Options configures a Limiter. The zero value of each field means its default.
type Options struct {
	// Instances is the number of instances that share the backend servers,
	// until an InstancesCounted event changes it. Zero means 1.
	Instances int
	// TargetWaiting is the number of requests that may wait inside a backend
	// server.
	TargetWaiting int
	// Overcommit is the number of requests beyond its limit that a server may
	// receive, to make use of its cache.
	Overcommit float64
	// WaitShare is the maximum expected wait of a request, as a share of the
	// time until its deadline.
	WaitShare float64
	// ExcessMaxWaiting and ExcessMinFree are the conditions under which an account may
	// exceed its share: fewer than ExcessMaxWaiting requests wait inside a server on
	// average, and at least the share ExcessMinFree of the sum of all limits is free.
	ExcessMaxWaiting float64
	ExcessMinFree    float64
	// RetryShare is the number of retries that each first attempt adds to the
	// budget. RetryBurst is the maximum budget.
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
	set(&o.ExcessMaxWaiting, defaultQuiet)
	set(&o.ExcessMinFree, defaultReserve)
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
	attempts map[wasabiridge.AttemptID]sentAttempt
	// open holds the requests that are queued, or released and not yet sent.
	open   map[wasabiridge.RequestID]*item
	costs  costs
	budget budget
	queued map[wasabiridge.RuleID]int
	// byDeadline is ordered by deadline. Items that left the queue stay in it
	// until they reach the top.
	byDeadline deadlines
	// predictedLate are the requests that the last review predicted to miss
	// their deadlines.
	predictedLate []*item
	// order lists the pools by name, so that decisions do not depend on map
	// iteration order.
	order    []*pool
	nextPool int
	reviewed wasabiridge.Millis
	// reviewedAccounts is when the demand of accounts was last compared with
	// their shares.
	reviewedAccounts wasabiridge.Millis
}

var _ wasabiridge.Limiter = (*Limiter)(nil)

type sentAttempt struct {
	backend wasabiridge.BackendServerID
	request wasabiridge.Request
}

// New returns a Limiter without pools.
func New(o Options) *Limiter {
	o = o.withDefaults()
	return &Limiter{
		options:  o,
		pools:    make(map[wasabiridge.PoolID]*pool),
		shares:   make(map[wasabiridge.ClientAccountID]float64),
		servers:  make(map[wasabiridge.BackendServerID]*server),
		attempts: make(map[wasabiridge.AttemptID]sentAttempt),
		open:     make(map[wasabiridge.RequestID]*item),
		queued:   make(map[wasabiridge.RuleID]int),
		costs:    newCosts(),
		budget:   newBudget(o),
	}
}

// setInstances sets the number of instances that share the backend servers.
func (l *Limiter) setInstances(n int) {
	l.options.Instances = max(1, n)
	for _, p := range l.order {
		p.refresh()
	}
}

// Offer admits a request if there is room, queues it if its expected wait is
// acceptable, and otherwise rejects it.
func (l *Limiter) Offer(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Admission {
	p, ok := l.pools[r.Action.Pool]
	if !ok || !p.serving() {
		// Without a server to wait for, the request is admitted so that its
		// caller is answered at once.
		return wasabiridge.Admission{Verdict: wasabiridge.Admitted}
	}
	it := &item{request: r, cost: l.costs.expect(r), pool: p, account: p.account(r.Account, l.shares[r.Account])}
	it.account.demand.add(now, it.cost)
	if p.mayRelease(now, it.account) && p.nextItem(now) == nil {
		l.release(now, it)
		return wasabiridge.Admission{Verdict: wasabiridge.Admitted}
	}
	limit := r.Action.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	wait := p.queue.wait(now, it, p.capacity.estimate)
	maxWait := l.maxWait(now, r)
	if wait > maxWait || l.queued[r.Rule] >= limit {
		return wasabiridge.Admission{
			Verdict:    wasabiridge.Rejected,
			Reason:     wasabiridge.RefusedOverload,
			RetryAfter: retryAfter(wait, maxWait),
		}
	}
	l.enqueue(now, it)
	return wasabiridge.Admission{Verdict: wasabiridge.Queued}
}

// maxWait returns the maximum expected wait of a request.
func (l *Limiter) maxWait(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Millis {
	left := r.Deadline - now
	if r.Deadline == 0 {
		left = defaultDeadline
	}
	return wasabiridge.Millis(l.options.WaitShare * float64(left))
}

// retryAfter returns when a queue with the given wait is expected to be short
// enough.
func retryAfter(wait, maxWait wasabiridge.Millis) wasabiridge.Millis {
	return min(max(wasabiridge.Second, wait-maxWait/2), wasabiridge.Minute)
}

func (l *Limiter) enqueue(now wasabiridge.Millis, it *item) {
	it.queued = true
	l.open[it.request.ID] = it
	l.queued[it.request.Rule]++
	l.byDeadline.push(it)
	it.pool.queue.enqueue(now, it)
}

func (l *Limiter) dequeue(it *item) {
	it.queued = false
	l.queued[it.request.Rule]--
	it.pool.queue.remove(it)
}

// release releases a request. It counts against the room of its pool until it
// is sent or withdrawn.
func (l *Limiter) release(now wasabiridge.Millis, it *item) {
	it.pool.released++
	it.pool.charge(now, it)
	l.open[it.request.ID] = it
}

// Next returns the next queued request of a pool with room. Pools are served
// round-robin.
func (l *Limiter) Next(now wasabiridge.Millis) (wasabiridge.Request, bool) {
	for range l.order {
		p := l.order[l.nextPool%len(l.order)]
		if it := p.nextItem(now); it != nil {
			l.dequeue(it)
			l.release(now, it)
			return it.request, true
		}
		l.nextPool++
	}
	return wasabiridge.Request{}, false
}

// Expired removes and returns a queued request whose deadline has passed or is
// predicted to be missed.
func (l *Limiter) Expired(now wasabiridge.Millis) (wasabiridge.Request, bool) {
	it := l.byDeadline.due(now)
	for it == nil && len(l.predictedLate) > 0 {
		it, l.predictedLate = l.predictedLate[0], l.predictedLate[1:]
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

// Withdraw removes a request that is queued, or released and not yet sent.
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

// HasRoom reports whether a backend server may receive one more attempt. An
// unknown server has room.
func (l *Limiter) HasRoom(_ wasabiridge.Millis, b wasabiridge.BackendServer) bool {
	s, ok := l.servers[b.ID]
	return !ok || s.hasRoom()
}

// Sent counts an attempt against the limit of its backend server. A first
// attempt also adds to the retry budget.
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
	l.attempts[a] = sentAttempt{backend: b, request: r}
	s.sent(now)
}

// MayRetry reports whether the budget allows a retry, and deducts it.
func (l *Limiter) MayRetry(_ wasabiridge.Millis, r wasabiridge.Request) bool {
	return l.budget.spend(r.ID)
}

// Limit returns the current limit of a backend server, for status pages. It is
// 0 for an unknown server.
func (l *Limiter) Limit(b wasabiridge.BackendServerID) int {
	if s, ok := l.servers[b]; ok {
		return int(s.limit)
	}
	return 0
}

// Queued returns the number of queued requests.
func (l *Limiter) Queued() int {
	sum := 0
	for _, p := range l.order {
		sum += p.queue.length
	}
	return sum
}
