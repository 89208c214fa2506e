// Package wasabirate keeps all instances together within what an overloaded backend server
// takes: the rate that it reports in its answers, or its slots.
//
// Only a few instances send to a server with a rate: one for each request per second. They
// are chosen by rendezvous hashing over the instances that serve callers, and each takes an
// equal share of the rate, one request at a time. Slots are divided in the same way. So the
// totals do not depend on updates between instances, which may be lost or late, and even a
// rate below the number of instances is kept.
//
// What a server reports holds until it reports otherwise. See Statement.
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
	// there are enough instances, each of them sends one request every second.
	sendersPerRate = 1
	// recheckInterval is the longest wait of an instance that has no share of the rate, after
	// which it checks again.
	recheckInterval = wasabiridge.Second
)

// Limit is the rate limit that one server has reported, and the remaining share of this
// instance. The zero value has no limit.
type Limit struct {
	statement Statement
	rate      float64
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
// reports whether there was no limit before.
func (l *Limit) Report(now, sentAt wasabiridge.Millis, rate float64) bool {
	isNew := l.statement.Report(now, sentAt)
	l.set(now, rate, isNew)
	return isNew
}

// Receive records a limit that another instance has received.
func (l *Limit) Receive(now, sentAt wasabiridge.Millis, rate float64) {
	l.set(now, rate, l.statement.Receive(sentAt))
}

func (l *Limit) set(now wasabiridge.Millis, rate float64, isNew bool) {
	if !l.statement.Holds() {
		return
	}
	if isNew {
		l.credit, l.at = 0, now
	}
	l.rate = max(rate, leastRate)
}

// Clear records that the answer to a request sent at sentAt reports no limit. It reports
// whether that ends a limit.
func (l *Limit) Clear(sentAt wasabiridge.Millis) bool { return l.statement.Clear(sentAt) }

// Rate returns the limit, in requests per second, and whether there is one.
func (l *Limit) Rate() (float64, bool) { return l.rate, l.statement.Holds() }

// Age returns how long ago the limit was last received.
func (l *Limit) Age(now wasabiridge.Millis) wasabiridge.Millis { return l.statement.Age(now) }

// Wait returns how long this instance has to wait before it may send the next request.
// Zero means that it may send now.
func (l *Limit) Wait(now wasabiridge.Millis, server wasabiridge.BackendServerID, g *Group) wasabiridge.Millis {
	if !l.statement.Holds() {
		return 0
	}
	share := l.refill(now, server, g)
	if l.credit >= 1 {
		return 0
	}
	wait := recheckInterval
	if share > 0 {
		wait = wasabiridge.Millis(math.Ceil((1 - l.credit) / share * float64(wasabiridge.Second)))
	}
	return min(wait, l.statement.ProbeWait(now, g.Rank(server)))
}

// RecordSent counts a request that is sent.
func (l *Limit) RecordSent(now wasabiridge.Millis, server wasabiridge.BackendServerID, g *Group) {
	if !l.statement.Holds() {
		return
	}
	l.refill(now, server, g)
	if l.credit < 1 {
		l.statement.RecordProbe(now)
	}
	l.credit--
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
