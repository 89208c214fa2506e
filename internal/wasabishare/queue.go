package wasabishare

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxWaiting bounds the requests that wait for a pool.
	maxWaiting = 256
	// waitPart is the part of its first-byte target that a request waits at most, and
	// defaultTarget the target of requests that have none.
	waitPart      = 0.5
	defaultTarget = 500 * wasabiridge.Millis(1)
	// maxSizes is how many requests are assessed for one that leaves the queue. Each is
	// less than half as large as the one before.
	maxSizes = 4
)

// waiting is a request that waits for a server with capacity.
type waiting struct {
	request wasabiridge.Request
	flow    *flow
	work    float64
	// returns reports that the request comes at a time that may be its Retry-After time.
	returns bool
	until   wasabiridge.Millis
	// number is the tie-breaker: it counts requests in the order of their arrival.
	number uint64
}

// precedes reports whether a is to be served before b: the more urgent first, then
// accounts by how much of their share they ask for, then requests that were promised
// capacity.
func (a *waiting) precedes(b *waiting) bool {
	if x, y := a.flow.key.priority, b.flow.key.priority; x != y {
		return x > y
	}
	if x, y := a.flow.use(), b.flow.use(); x != y {
		return x < y
	}
	if a.returns != b.returns {
		return a.returns
	}
	if a.until != b.until {
		return a.until < b.until
	}
	return a.number < b.number
}

// queue holds the requests that wait for a pool.
type queue struct {
	entries []waiting
	// displaced are those that had to leave for others.
	displaced []waiting
}

// add puts a request into the queue. If the queue is full, the last in order leaves it.
func (q *queue) add(w waiting) {
	q.entries = append(q.entries, w)
	if len(q.entries) <= maxWaiting {
		return
	}
	last := 0
	for i := range q.entries {
		if q.entries[last].precedes(&q.entries[i]) {
			last = i
		}
	}
	q.displaced = append(q.displaced, q.entries[last])
	q.remove(last)
}

func (q *queue) remove(i int) {
	q.entries[i] = q.entries[len(q.entries)-1]
	q.entries[len(q.entries)-1] = waiting{}
	q.entries = q.entries[:len(q.entries)-1]
}

// yields reports whether a request has to wait for one in the queue. Those that are much
// larger may wait for want of memory or computing time that the request does not need.
func (q *queue) yields(w *waiting) bool {
	return slices.ContainsFunc(q.entries, func(e waiting) bool { return e.work <= 2*w.work && e.precedes(w) })
}

func (q *queue) holds(f *flow) bool {
	return slices.ContainsFunc(q.entries, func(e waiting) bool { return e.flow == f })
}

// take removes and returns the first request, in the order of the queue, that can be
// served.
func (q *queue) take(canServe func(wasabiridge.Request) bool) (waiting, bool) {
	limit, first := 0.0, 0
	for range maxSizes {
		first = -1
		for i := range q.entries {
			if limit > 0 && q.entries[i].work >= limit {
				continue
			}
			if first < 0 || q.entries[i].precedes(&q.entries[first]) {
				first = i
			}
		}
		if first < 0 {
			return waiting{}, false
		}
		if w := q.entries[first]; canServe(w.request) {
			q.remove(first)
			return w, true
		}
		limit = q.entries[first].work / 2
	}
	return waiting{}, false
}

// expired removes and returns a request that has waited too long.
func (q *queue) expired(now wasabiridge.Millis) (waiting, bool) {
	if n := len(q.displaced); n > 0 {
		w := q.displaced[n-1]
		q.displaced = q.displaced[:n-1]
		return w, true
	}
	for i := range q.entries {
		if w := q.entries[i]; w.until <= now {
			q.remove(i)
			return w, true
		}
	}
	return waiting{}, false
}

func (q *queue) withdraw(id wasabiridge.RequestID) {
	if i := slices.IndexFunc(q.entries, func(w waiting) bool { return w.request.ID == id }); i >= 0 {
		q.remove(i)
	}
}

// waitUntil returns until when a request may wait.
func waitUntil(now wasabiridge.Millis, r wasabiridge.Request) wasabiridge.Millis {
	until := min(now, max(r.Arrived, now-target(r))) + wasabiridge.Millis(waitPart*float64(target(r)))
	if r.Deadline > 0 {
		until = min(until, r.Deadline)
	}
	return until
}
