// Package wasabirate keeps all instances together to the rate that a backend server in
// need names in its answers.
//
// Few instances send to such a server: as many that each of them may send some requests
// a second, by rendezvous hashing over those that callers are sent to. Each of them takes
// an equal part of the rate, one request at a time. So what they send together does not
// depend on news that may be lost or late, and a rate that is smaller than the number of
// instances is still kept.
//
// What a server says holds until it says otherwise. An answer without a limit ends it only
// if its request was sent after the limit was heard, because answers overtake each other.
//
// # Usage
//
//	group := wasabirate.NewGroup("router-1")
//	group.Set(now, instances)
//	var limit wasabirate.Limit
//	limit.Name(now, asked, 5.9)
//	if limit.Wait(now, "server-1", group) == 0 {
//		limit.Take(now, "server-1", group)
//		send()
//	}
//
// Nothing here is safe for concurrent use.
package wasabirate

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// leastRate is sent to a server that takes less, in requests a second, so that its
	// answers tell when it takes more.
	leastRate = 0.5
	// sendersPerRate is how many instances send for each request a second.
	sendersPerRate = 2
	// lapse is how long a limit holds that no answer names any more, and how long an
	// instance waits at most that sends nothing.
	lapse = 10 * wasabiridge.Second
	// look is when an instance that sends nothing may look again.
	look = wasabiridge.Second
)

// Limit is what one server said of its limit, and what this instance has left of its
// part. The zero Limit is none.
type Limit struct {
	limited bool
	rate    float64
	// heard is when the limit was heard last, lifted when the request was sent whose
	// answer ended it.
	heard, lifted wasabiridge.Millis
	// credit is how many requests may be sent, as of a time. It is negative after
	// requests that could not wait.
	credit float64
	at     wasabiridge.Millis
	share  share
}

// share is the part of an instance, for a rate and a state of the group.
type share struct {
	rate    float64
	version uint64
	part    float64
}

// Name takes that the answer to a request that was sent at a time names a limit, and
// reports whether there was none before.
func (l *Limit) Name(now, asked wasabiridge.Millis, rate float64) bool {
	return l.name(now, asked, now, rate)
}

// Hear takes the same from another instance. Its word may have been under way for long,
// so that it is only known to be as new as the request.
func (l *Limit) Hear(now, asked wasabiridge.Millis, rate float64) {
	l.name(now, asked, asked, rate)
}

func (l *Limit) name(now, asked, heard wasabiridge.Millis, rate float64) bool {
	if !l.limited && asked <= l.lifted && l.lifted > 0 {
		return false
	}
	began := !l.limited
	if began {
		l.credit, l.at = 0, now
	}
	l.limited, l.rate, l.heard = true, max(rate, leastRate), max(l.heard, heard)
	return began
}

// Lift takes that the answer to a request that was sent at a time names no limit, and
// reports whether that ends one.
func (l *Limit) Lift(asked wasabiridge.Millis) bool {
	if !l.limited || asked <= l.heard {
		return false
	}
	l.limited, l.lifted = false, asked
	return true
}

// Rate returns the limit, in requests a second, and whether there is one.
func (l *Limit) Rate(now wasabiridge.Millis) (float64, bool) {
	if l.limited && now-l.heard >= lapse {
		l.limited = false
	}
	return l.rate, l.limited
}

// Wait returns when this instance may send the next request. Zero means now.
func (l *Limit) Wait(now wasabiridge.Millis, server wasabiridge.BackendServerID, g *Group) wasabiridge.Millis {
	if _, limited := l.Rate(now); !limited {
		return 0
	}
	part := l.refill(now, server, g)
	switch {
	case l.credit >= 1:
		return 0
	case part == 0:
		return look
	}
	return wasabiridge.Millis(math.Ceil((1 - l.credit) / part * float64(wasabiridge.Second)))
}

// Take counts a request that is sent.
func (l *Limit) Take(now wasabiridge.Millis, server wasabiridge.BackendServerID, g *Group) {
	if _, limited := l.Rate(now); limited {
		l.refill(now, server, g)
		l.credit--
	}
}

// refill adds the credit of the time that has passed and returns the part, in requests a
// second.
func (l *Limit) refill(now wasabiridge.Millis, server wasabiridge.BackendServerID, g *Group) float64 {
	if l.share.version != g.version || l.share.rate != l.rate {
		l.share = share{rate: l.rate, version: g.version, part: g.part(server, l.rate)}
	}
	if now > l.at {
		l.credit = min(1, l.credit+l.share.part*float64(now-l.at)/float64(wasabiridge.Second))
		l.at = now
	}
	return l.share.part
}
