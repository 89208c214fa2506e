package wasabishare

import (
	"math"
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxAccounts bounds the flows of a pool that are counted on their own.
	maxAccounts = 4096
	// idleSpan is after how long without a request a flow is dropped.
	idleSpan = 10 * wasabiridge.Second
	// evictionSamples is how many flows are compared to find a light one to evict.
	evictionSamples = 8
	// sizeClasses is the number of classes of request sizes, each of which is thinned on
	// its own. Without them requests that are larger than the others of their account
	// would be refused more often, or less often.
	sizeClasses = 4
	// guardSpan is how much of its allowed rate a flow may use at once, in seconds, and
	// guardRequests how many requests at least.
	guardSpan     = 0.25
	guardRequests = 4.0
	// guardFactor is by how much the guard exceeds the allowed rate.
	guardFactor = 1.25
)

// flowKey identifies the requests of one account and priority for a pool.
type flowKey struct {
	account  wasabiridge.ClientAccountID
	priority wasabiridge.Priority
}

// flow is the demand of one account for requests of one priority, and what it gets.
type flow struct {
	key      flowKey
	digest   uint32
	offered  rate
	admitted rate
	lastSeen wasabiridge.Millis
	// size is the mean work of a request.
	size    float64
	refused uint64
	// everywhere is the demand of the account at all instances, own that here, level the
	// limit of the account at all instances. They were computed with the shares.
	everywhere, own, level float64
	// named is what other instances say that the account asks for there, unnamed the number
	// of instances that may have requests of it and do not say so, and estimated what it
	// asks for at these. An account is light if no other instance names it, and it does not
	// ask for more than others that are not named.
	named, unnamed, estimated float64
	isLight                   bool
	// fraction is the part of the requests that is admitted, and guard the work per
	// second that is admitted here at most. Zero means no limit.
	fraction, guard float64
	// thinned sums up fraction for the requests of each class of size. A request is
	// admitted when the sum reaches one.
	thinned [sizeClasses]float64
	tokens  float64
	fillAt  wasabiridge.Millis
	// promises is the work that may be promised to returns, as of promisedAt.
	promises   float64
	promisedAt wasabiridge.Millis
	// lastRefused is the content of the request that was refused last.
	lastRefused wasabiridge.Fingerprint
}

func newFlow(key flowKey, now wasabiridge.Millis, random *rand.Rand) *flow {
	f := &flow{key: key, digest: AccountDigest(key.account), fraction: 1, fillAt: now}
	// Instances would otherwise admit the first requests of an account all together.
	phase := random.Float64()
	for i := range f.thinned {
		f.thinned[i] = phase
	}
	return f
}

func (f *flow) count(now wasabiridge.Millis, w float64) {
	f.offered.add(now, w)
	f.observeSize(w)
	f.lastSeen = now
}

// observeSize averages the work of a request over about sixteen.
func (f *flow) observeSize(w float64) {
	if f.size == 0 {
		f.size = w
	}
	f.size += (w - f.size) / 16
}

// class returns the class of a request by its size relative to that of others.
func (f *flow) class(w float64) int {
	switch {
	case w < f.size/2:
		return 0
	case w < 2*f.size:
		return 1
	case w < 8*f.size:
		return 2
	default:
		return 3
	}
}

// limit sets what the flow may get. A guard of zero means no limit.
func (f *flow) limit(now wasabiridge.Millis, fraction, guard float64) {
	f.fill(now)
	if f.guard == 0 && guard > 0 {
		f.tokens = f.burst(guard)
	}
	f.fraction, f.guard = fraction, guard
	f.tokens = min(f.tokens, f.burst(guard))
}

func (f *flow) burst(guard float64) float64 {
	return max(guardSpan*guardFactor*guard, guardRequests*f.size)
}

func (f *flow) fill(now wasabiridge.Millis) {
	if now <= f.fillAt {
		return
	}
	if f.guard > 0 {
		f.tokens = min(f.burst(f.guard), f.tokens+guardFactor*f.guard*float64(now-f.fillAt)/1000)
	}
	f.fillAt = now
}

// admits reports whether a request is within the share of its account. It counts the
// request; charge has to follow if it is served. A request that returns at its Retry-After time
// is admitted on account of later ones.
func (f *flow) admits(now wasabiridge.Millis, w float64, returns bool) bool {
	f.fill(now)
	if f.fraction >= 1 {
		return f.guard == 0 || f.tokens > 0
	}
	c := f.class(w)
	// What a flow did not use at once is not used later.
	f.thinned[c] = min(f.thinned[c]+f.fraction, 2)
	if returns && f.thinned[c] > -maxReturnDebt {
		return true
	}
	return f.thinned[c] >= 1 && (f.guard == 0 || f.tokens > 0)
}

// charge counts a request that is served.
func (f *flow) charge(now wasabiridge.Millis, w float64) {
	f.admitted.add(now, w)
	f.spend(now, w)
}

// spend deducts a request from what the flow may get.
func (f *flow) spend(now wasabiridge.Millis, w float64) {
	f.fill(now)
	if f.fraction < 1 {
		c := f.class(w)
		f.thinned[c] = max(f.thinned[c]-1, -maxReturnDebt-1)
	}
	if f.guard > 0 {
		f.tokens = max(f.tokens-w, -f.burst(f.guard)-w)
	}
}

// allowed returns the work per second that the flow may get here.
func (f *flow) allowed() float64 {
	if f.guard > 0 {
		return f.guard
	}
	return math.Inf(1)
}

// use returns which part of its limit the account asks for.
func (f *flow) use() float64 {
	if f.level <= 0 {
		return 0
	}
	return min(1, f.everywhere/f.level)
}
