package wasabishare

import (
	"math"
	"math/bits"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// minReturn is the least time of Retry-After, and
	// maxReturnPart the part of its time left that Retry-After is at most.
	minReturn     = 40 * wasabiridge.Millis(1)
	maxReturnPart = 0.3
	// defaultTimeLeft is assumed for requests without a deadline.
	defaultTimeLeft = wasabiridge.Second
	// returnPart is the part of what a flow may get that is promised to returns. New
	// requests of the flow get the rest.
	returnPart = 0.3
	// returnReserve is the part of its target that a request needs after its return, apart
	// from its own work, to be served in time.
	returnReserve = 0.25
	// earlyReturn and lateReturn are by how much a return may miss its time.
	earlyReturn = 10 * wasabiridge.Millis(1)
	lateReturn  = 90 * wasabiridge.Millis(1)
	// returnPeriods is the least period of the return times of a request, as a multiple of
	// its target. Requests that come at such a time by chance are that part of all.
	returnPeriods = 6
	// minReturnFraction is the part of its requests that an account gets at least for
	// returns to be promised. With less, requests that come at their time by chance use
	// it up.
	minReturnFraction = 0.15
	// maxReturnDebt is by how many requests returns may exceed what a flow gets.
	maxReturnDebt = 2
)

// returnPeriod returns the period of the times at which a request may return, which is a
// power of two.
func returnPeriod(r wasabiridge.Request) wasabiridge.Millis {
	return wasabiridge.Millis(1) << bits.Len64(uint64(returnPeriods*target(r)-1))
}

func target(r wasabiridge.Request) wasabiridge.Millis {
	if r.Action.FirstByteTarget <= 0 {
		return defaultTarget
	}
	return r.Action.FirstByteTarget
}

// sinceReturnTime returns how long ago the last time was at which a request may return. The
// times follow from the content of the request, so that every instance recognises a return
// without a message.
func sinceReturnTime(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Millis {
	period := returnPeriod(r)
	phase := wasabiridge.Millis(ReturnDigest(r.Fingerprint)) & (period - 1)
	return (now - phase) & (period - 1)
}

// isReturn reports whether a request arrives at a time at which it may return.
func (f *flow) isReturn(now wasabiridge.Millis, r wasabiridge.Request) bool {
	if r.Fingerprint == 0 || f.fraction >= 1 {
		return false
	}
	return sinceReturnTime(now+earlyReturn, r) <= earlyReturn+lateReturn
}

// promise returns after which time a refused request finds capacity. Zero means that there
// is none in time.
func (l *Limiter) promise(now wasabiridge.Millis, p *pool, f *flow, r wasabiridge.Request, w float64) wasabiridge.Millis {
	perSecond := returnPart * f.allowed()
	if math.IsInf(perSecond, 1) {
		perSecond = returnPart * p.capacity / float64(max(1, p.known))
	}
	f.fillPromises(now, perSecond)
	latest := now + wasabiridge.Millis(maxReturnPart*float64(timeLeft(now, r)))
	if f.promises <= 0 || latest < now+minReturn {
		return 0
	}
	at := now + minReturn + wasabiridge.Millis(l.random.Float64()*float64(latest-now-minReturn))
	if f.fraction < 1 {
		if at = f.returnTime(now, p, r, w); at > latest {
			return 0
		}
	}
	f.promises -= w
	return at - now
}

// returnTime returns the next time at which a request above the share of its account may
// return. What such an account gets later is asked for by its next requests as well, and
// they would be in time. So the request only gets a Retry-After time if it will be in time, too,
// or if the shortage has been so short that it may be over by then.
func (f *flow) returnTime(now wasabiridge.Millis, p *pool, r wasabiridge.Request, w float64) wasabiridge.Millis {
	if r.Fingerprint == 0 || f.fraction < minReturnFraction {
		return math.MaxInt64
	}
	// Requests with the same content have the same return times, at which new ones would
	// take the place of those that return.
	repeated := r.Fingerprint == f.lastRefused
	f.lastRefused = r.Fingerprint
	if repeated {
		return math.MaxInt64
	}
	at := now + minReturn - 1
	at += returnPeriod(r) - sinceReturnTime(at, r)
	inTime := r.Arrived + wasabiridge.Millis((1-returnReserve)*float64(target(r))-w)
	if at > inTime && float64(now-p.shortSince) > maxReturnPart*float64(timeLeft(now, r)) {
		return math.MaxInt64
	}
	return at
}

// fillPromises adds what may be promised to returns. A flow may promise one request at
// once.
func (f *flow) fillPromises(now wasabiridge.Millis, perSecond float64) {
	passed := float64(now-max(f.promisedAt, now-wasabiridge.Minute)) / 1000
	f.promisedAt = now
	f.promises = min(max(1, guardSpan*perSecond), f.promises+perSecond*passed)
}

func timeLeft(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Millis {
	if r.Deadline <= 0 {
		return defaultTimeLeft
	}
	return max(0, r.Deadline-now)
}
