package wasabishare

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
)

// Options configures a Limiter. Gauge and Next are required.
type Options struct {
	Self wasabiridge.InstanceID
	// Gauge measures the pools.
	Gauge wasabiridge.PoolGauge
	// Next decides whether servers have capacity for a request.
	Next wasabiridge.Limiter
	// Seed is the seed of all random numbers. It should differ between instances.
	Seed uint64
}

// Limiter implements wasabiridge.Limiter. It is not safe for concurrent use.
type Limiter struct {
	options   Options
	random    *rand.Rand
	startedAt wasabiridge.Millis
	started   bool
	serving   []wasabiridge.InstanceID
	// pools are in the order in which they became known.
	pools   []*pool
	byID    map[wasabiridge.PoolID]*pool
	weights map[uint32]float64
	// nextUpdateAt is when the next message is due.
	nextUpdateAt wasabiridge.Millis
	// paidUntil is the time up to which messages have used the bandwidth, and sent their
	// number.
	paidUntil wasabiridge.Millis
	sent      int
	// attempts are the attempts of admitted requests that have sent no byte yet.
	attempts map[wasabiridge.AttemptID]openAttempt
	// refusal is how the request is refused that Expired returned last.
	refusal   wasabiridge.Admission
	refusalOf wasabiridge.RequestID
	number    uint64
	droppedAt wasabiridge.Millis
	// isKnown is scratch space.
	isKnown []bool
}

// openAttempt is an attempt whose first byte is awaited.
type openAttempt struct {
	pool *pool
	flow *flow
	due  wasabiridge.Millis
}

var (
	_ wasabiridge.Limiter       = (*Limiter)(nil)
	_ wasabiridge.ExpiryRefuser = (*Limiter)(nil)
)

// New returns a Limiter. It panics if Gauge or Next is nil, because that is a programming
// error.
func New(o Options) *Limiter {
	if o.Gauge == nil || o.Next == nil {
		panic("share: Options.Gauge and Options.Next must not be nil")
	}
	return &Limiter{
		options:  o,
		random:   rand.New(rand.NewPCG(o.Seed, uint64(AccountDigest(wasabiridge.ClientAccountID(o.Self))))),
		byID:     map[wasabiridge.PoolID]*pool{},
		weights:  map[uint32]float64{},
		attempts: map[wasabiridge.AttemptID]openAttempt{},
	}
}

func (l *Limiter) start(now wasabiridge.Millis) {
	if !l.started {
		l.started, l.startedAt = true, now
	}
}

// pool returns the state of a pool.
func (l *Limiter) pool(id wasabiridge.PoolID) *pool {
	p := l.byID[id]
	if p == nil {
		p = newPool(id)
		l.byID[id] = p
		l.pools = append(l.pools, p)
	}
	return p
}

// weight returns the weight of an account when capacity is divided.
func (l *Limiter) weight(account uint32) float64 {
	if w, ok := l.weights[account]; ok {
		return w
	}
	return 1
}

// Next returns a waiting request for which some server has capacity now.
func (l *Limiter) Next(now wasabiridge.Millis) (wasabiridge.Request, bool) {
	for _, p := range l.pools {
		if len(p.queue.entries) == 0 {
			continue
		}
		w, ok := p.queue.take(func(r wasabiridge.Request) bool {
			return l.fits(now, p, r)
		})
		if ok {
			w.flow.admitted.add(now, w.work)
			return w.request, true
		}
	}
	return l.options.Next.Next(now)
}

// Expired returns a waiting request that has waited too long. Refusal returns how it is
// refused.
func (l *Limiter) Expired(now wasabiridge.Millis) (wasabiridge.Request, bool) {
	for _, p := range l.pools {
		if w, ok := p.queue.expired(now); ok {
			p.correction.fail(p, w.flow)
			l.refusal, l.refusalOf = l.refuse(now, p, w.flow, w.request, w.work), w.request.ID
			return w.request, true
		}
	}
	return l.options.Next.Expired(now)
}

// Refusal implements wasabiridge.ExpiryRefuser.
func (l *Limiter) Refusal(id wasabiridge.RequestID) (wasabiridge.Admission, bool) {
	return l.refusal, id == l.refusalOf && id != ""
}

// Withdraw implements wasabiridge.Limiter.
func (l *Limiter) Withdraw(id wasabiridge.RequestID) {
	for _, p := range l.pools {
		p.queue.withdraw(id)
	}
	l.options.Next.Withdraw(id)
}

// HasRoom implements wasabiridge.Limiter.
func (l *Limiter) HasRoom(now wasabiridge.Millis, b wasabiridge.BackendServer) bool {
	return l.options.Next.HasRoom(now, b)
}

// MayRetry implements wasabiridge.Limiter. The retry budget bounds further attempts, which
// are not asked for a share again.
func (l *Limiter) MayRetry(now wasabiridge.Millis, r wasabiridge.Request) bool {
	return l.options.Next.MayRetry(now, r)
}

// Sent implements wasabiridge.Limiter.
func (l *Limiter) Sent(now wasabiridge.Millis, r wasabiridge.Request, a wasabiridge.AttemptID, b wasabiridge.BackendServerID) {
	if p := l.byID[r.Action.Pool]; p != nil && p.isShared(now) && r.Action.FirstByteTarget > 0 {
		if f := p.flows[flowKey{account: r.Account, priority: r.Action.Priority}]; f != nil {
			l.attempts[a] = openAttempt{pool: p, flow: f, due: r.Arrived + r.Action.FirstByteTarget}
		}
	}
	l.options.Next.Sent(now, r, a, b)
}
