package wasabireplica

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxWaiting bounds the requests that wait for a slot of a brittle server.
	maxWaiting = 256
	// slotWaitFactor is how long a request may wait for a slot, as a fraction of its
	// first-byte target.
	slotWaitFactor = 0.25
	// maxAssessed is the number of requests of a pool that are assessed when a slot may have
	// become free.
	maxAssessed = 4
)

// waitingRequest is a request that waits for a slot until a time.
type waitingRequest struct {
	request wasabiridge.Request
	until   wasabiridge.Millis
}

// precedes reports whether a is to be served before b: the more urgent first, and then by
// arrival.
func (a waitingRequest) precedes(b waitingRequest) bool {
	return a.request.Action.Priority > b.request.Action.Priority
}

// slotQueue holds the requests that wait for a slot of a brittle server, in the order in which
// they are to be served.
//
// A part of a few slots is often taken while the slots of other instances are free. Requests
// that wait for a moment use it nearly all of the time.
type slotQueue struct {
	entries []waitingRequest
	// refusal is how the request is refused that was last dropped, refused.
	refusal wasabiridge.Admission
	refused wasabiridge.RequestID
}

// mayWait returns until when a request that found no free slot may wait for one. It reports
// false if it would probably wait for longer.
func (l *Limiter) mayWait(now wasabiridge.Millis, r wasabiridge.Request) (until wasabiridge.Millis, ok bool) {
	pl := l.placer.pools[r.Action.Pool]
	// Where accounts share a pool, requests wait in the order of their shares instead.
	if pl == nil || l.placer.options.BoundWaits || r.Origin != nil || len(l.queue.entries) >= maxWaiting {
		return 0, false
	}
	if _, brittle := pl.refusalsAllowed(); !brittle {
		return 0, false
	}
	slots := l.placer.ownSlots(now, pl)
	wait := slotWaitFactor * engineTarget(r)
	if until = now + wasabiridge.Millis(wait); r.Deadline > 0 {
		until = min(until, r.Deadline)
	}
	return until, slots > 0 && float64(l.queue.count(pl.config.ID)+1)*pl.meanDuration/float64(slots) <= wait
}

// ownSlots returns the number of slots of the usable servers of a pool that this instance may
// use while they are brittle.
func (p *Placer) ownSlots(now wasabiridge.Millis, pl *pool) int {
	sum := 0
	for _, r := range pl.replicas {
		if r.gone || r.leaving || now < r.pausedUntil || now < r.backoffUntil || !r.isAvailable(now) {
			continue
		}
		part, _ := p.rateGroup.Part(r.server.ID, max(1, r.slotCount()))
		sum += part
	}
	return sum
}

// add puts a request behind those that precede it or are as urgent.
func (q *slotQueue) add(w waitingRequest) {
	at := len(q.entries)
	for at > 0 && w.precedes(q.entries[at-1]) {
		at--
	}
	q.entries = slices.Insert(q.entries, at, w)
}

func (q *slotQueue) count(id wasabiridge.PoolID) int {
	n := 0
	for _, w := range q.entries {
		if w.request.Action.Pool == id {
			n++
		}
	}
	return n
}

// Next implements wasabiridge.Limiter. It returns a waiting request for which a server has a
// slot now.
func (l *Limiter) Next(now wasabiridge.Millis) (wasabiridge.Request, bool) {
	assessed := map[wasabiridge.PoolID]int{}
	for i, w := range l.queue.entries {
		id := w.request.Action.Pool
		if assessed[id] >= maxAssessed {
			continue
		}
		assessed[id]++
		if l.Assess(now, w.request).Verdict == wasabiridge.Admitted {
			l.queue.entries = slices.Delete(l.queue.entries, i, i+1)
			return w.request, true
		}
	}
	return wasabiridge.Request{}, false
}

// Expired implements wasabiridge.Limiter. It returns a request that has waited too long.
func (l *Limiter) Expired(now wasabiridge.Millis) (wasabiridge.Request, bool) {
	i := slices.IndexFunc(l.queue.entries, func(w waitingRequest) bool { return w.until <= now })
	if i < 0 {
		return wasabiridge.Request{}, false
	}
	r := l.queue.entries[i].request
	l.queue.entries = slices.Delete(l.queue.entries, i, i+1)
	l.queue.refusal, l.queue.refused = l.Assess(now, r), r.ID
	if l.queue.refusal.Verdict == wasabiridge.Admitted {
		l.queue.refusal = wasabiridge.Admission{Verdict: wasabiridge.Rejected, Reason: wasabiridge.RefusedOverload, RetryAfter: minRetryAfter}
	}
	return r, true
}

// Refusal implements wasabiridge.ExpiryRefuser.
func (l *Limiter) Refusal(id wasabiridge.RequestID) (wasabiridge.Admission, bool) {
	return l.queue.refusal, id == l.queue.refused && id != ""
}

// Withdraw implements wasabiridge.Limiter.
func (l *Limiter) Withdraw(id wasabiridge.RequestID) {
	l.queue.entries = slices.DeleteFunc(l.queue.entries, func(w waitingRequest) bool { return w.request.ID == id })
}
