package wasabicore

import (
	"container/heap"

	"github.com/wasabiridge/wasabiridge"
)

type timerKind uint8

const (
	// timerJoin places a request that waited for another one to compute its prefix.
	timerJoin timerKind = iota
	// timerHedge starts a second attempt if the first has produced no token.
	timerHedge
	// timerRetryPlacement places a request again that found no available server.
	timerRetryPlacement
)

type timer struct {
	at wasabiridge.Millis
	// order is the tie-breaker for timers that are due at the same time: they
	// fire in the order in which they were set.
	order   uint64
	kind    timerKind
	request wasabiridge.RequestID
	attempt wasabiridge.AttemptID
	why     placeReason
}

// timers is a queue of timers, ordered by time.
type timers struct {
	heap timerHeap
	next uint64
}

func (t *timers) add(at wasabiridge.Millis, x timer) {
	t.next++
	x.at = at
	x.order = t.next
	heap.Push(&t.heap, x)
}

func (t *timers) due(now wasabiridge.Millis) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return timer{}, false
	}
	x, ok := heap.Pop(&t.heap).(timer)
	return x, ok
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	if t, ok := x.(timer); ok {
		*h = append(*h, t)
	}
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (c *Core) fireTimers(now wasabiridge.Millis) {
	for {
		t, ok := c.timers.due(now)
		if !ok {
			return
		}
		rs := c.requests[t.request]
		if rs == nil || rs.answered {
			continue
		}
		switch t.kind {
		case timerJoin:
			c.place(now, rs, placeAfterJoin)
		case timerRetryPlacement:
			c.retryPlacement(now, rs, t.why)
		case timerHedge:
			c.hedge(now, rs, t.attempt)
		}
	}
}

// retryPlacement places a request again for which no server was available.
func (c *Core) retryPlacement(now wasabiridge.Millis, rs *requestState, why placeReason) {
	if rs.running() > 0 {
		return
	}
	// The deadline of the request applies to the first byte. A stream that is
	// to be resumed waits until resumeBy instead.
	until := rs.request.Deadline
	if why == placeResume {
		until = rs.resumeBy
	}
	if until > 0 && now >= until {
		c.refuse(now, rs, wasabiridge.RefusedDeadline, defaultRetryAfter)
		return
	}
	c.place(now, rs, why)
}

// hedge starts a second attempt at another server if the first one is still running
// and has produced no token.
func (c *Core) hedge(now wasabiridge.Millis, rs *requestState, id wasabiridge.AttemptID) {
	a := rs.find(id)
	if a == nil || a.ended || a.firstToken || rs.running() != 1 || len(rs.attempts) >= c.options.MaxAttempts {
		return
	}
	pool, ok := c.config.Pool(rs.request.Action.Pool)
	if !ok || c.quarantineVerdict(now, rs) != wasabiridge.QuarantineFree || !c.options.Limiter.MayRetry(now, rs.request) {
		return
	}
	before := rs.excluded
	rs.excluded = append(before[:len(before):len(before)], a.backend)
	p, found, _ := c.choose(now, rs, pool)
	rs.excluded = before
	if found {
		c.dispatch(now, rs, pool.ID, p, placeHedge)
	}
}
