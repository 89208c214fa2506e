// Package wasabirate keeps all instances together within the rate that an overloaded
// backend server reports in its answers.
//
// Only a few instances send to such a server: two for each request per second of the
// rate, so that none has to wait long for its share. They are chosen by rendezvous
// hashing over the instances that serve callers, and each takes an equal share of the
// rate, one request at a time. So their total does not depend on updates between
// instances, which may be lost or late, and even a rate below the number of instances
// is kept.
//
// A reported limit holds until the server reports otherwise. Since answers may arrive
// out of order, an answer without a limit ends the limit only if its request was sent
// after the limit was received.
//
// # Usage
//
//	group := wasabirate.NewGroup("router-1")
//	group.SetInstances(now, instances)
//	var limit wasabirate.Limit
//	limit.Report(now, sentAt, 5.9)
//	if limit.Wait(now, "server-1", group) == 0 {
//		limit.RecordSent(now, "server-1", group)
//		send()
//	}
//
// The types of this package are not safe for concurrent use.
package wasabirate

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// leastRate is the rate, in requests per second, that a server receives even if it
	// takes less, so that its answers show when it takes more.
	leastRate = 0.5
	// sendersPerRate is the number of sending instances for each request per second. If
	// there are enough instances, each of them sends one request every two seconds.
	sendersPerRate = 2
	// limitExpiry is how long a limit holds that no answer reports any more. It also
	// bounds how long an instance goes without sending.
	limitExpiry = 10 * wasabiridge.Second
	// recheckInterval is the wait of an instance that has no share of the rate, after
	// which it checks again.
	recheckInterval = wasabiridge.Second
)

// Limit is the rate limit that one server has reported, and the remaining share of this
// instance. The zero value has no limit.
type Limit struct {
	limited bool
	rate    float64
	// receivedAt is when the limit was last received. liftedAt is the sending time of
	// the request whose answer ended the limit.
	receivedAt, liftedAt wasabiridge.Millis
	// credit is the number of requests that may be sent, as of the time at. It is
	// negative after requests that were sent without credit.
	credit      float64
	at          wasabiridge.Millis
	cachedShare cachedShare
}

// cachedShare caches the share of this instance for a rate and a version of the group.
type cachedShare struct {
	rate    float64
	version uint64
	share   float64
}

// Report records a limit reported by the answer to a request that was sent at sentAt. It
// reports whether there was no limit before. It ignores the answer to a request that
// was sent no later than the one whose answer ended the last limit.
func (l *Limit) Report(now, sentAt wasabiridge.Millis, rate float64) bool {
	return l.set(now, sentAt, now, rate)
}

// Receive records a limit that another instance has received. The update may have been in
// flight for long, so the limit is only known to be as recent as the request.
func (l *Limit) Receive(now, sentAt wasabiridge.Millis, rate float64) {
	l.set(now, sentAt, sentAt, rate)
}

func (l *Limit) set(now, sentAt, receivedAt wasabiridge.Millis, rate float64) bool {
	if !l.limited && sentAt <= l.liftedAt && l.liftedAt > 0 {
		return false
	}
	isNew := !l.limited
	if isNew {
		l.credit, l.at = 0, now
	}
	l.limited, l.rate, l.receivedAt = true, max(rate, leastRate), max(l.receivedAt, receivedAt)
	return isNew
}

// Clear records that the answer to a request sent at sentAt reports no limit. It reports
// whether that ends a limit.
func (l *Limit) Clear(sentAt wasabiridge.Millis) bool {
	if !l.limited || sentAt <= l.receivedAt {
		return false
	}
	l.limited, l.liftedAt = false, sentAt
	return true
}

// Rate returns the limit, in requests per second, and whether there is one.
func (l *Limit) Rate(now wasabiridge.Millis) (float64, bool) {
	if l.limited && now-l.receivedAt >= limitExpiry {
		l.limited = false
	}
	return l.rate, l.limited
}

// Age returns how long ago the limit was last received.
func (l *Limit) Age(now wasabiridge.Millis) wasabiridge.Millis { return now - l.receivedAt }

// Wait returns how long this instance has to wait before it may send the next request.
// Zero means that it may send now.
func (l *Limit) Wait(now wasabiridge.Millis, server wasabiridge.BackendServerID, g *Group) wasabiridge.Millis {
	if _, limited := l.Rate(now); !limited {
		return 0
	}
	share := l.refill(now, server, g)
	switch {
	case l.credit >= 1:
		return 0
	case share == 0:
		return recheckInterval
	}
	return wasabiridge.Millis(math.Ceil((1 - l.credit) / share * float64(wasabiridge.Second)))
}

// RecordSent counts a request that is sent.
func (l *Limit) RecordSent(now wasabiridge.Millis, server wasabiridge.BackendServerID, g *Group) {
	if _, limited := l.Rate(now); limited {
		l.refill(now, server, g)
		l.credit--
	}
}

// refill adds the credit for the elapsed time and returns the share of this instance,
// in requests per second.
func (l *Limit) refill(now wasabiridge.Millis, server wasabiridge.BackendServerID, g *Group) float64 {
	if l.cachedShare.version != g.version || l.cachedShare.rate != l.rate {
		l.cachedShare = cachedShare{rate: l.rate, version: g.version, share: g.share(server, l.rate)}
	}
	if now > l.at {
		l.credit = min(1, l.credit+l.cachedShare.share*float64(now-l.at)/float64(wasabiridge.Second))
		l.at = now
	}
	return l.cachedShare.share
}
