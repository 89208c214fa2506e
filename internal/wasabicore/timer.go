package wasabicore

import (
	"container/heap"

	"github.com/wasabiridge/wasabiridge"
)

type timerKind uint8

const (
	// timerJoin sends a request that waited for a prefix being computed.
	timerJoin timerKind = iota
	// timerHedge starts a second attempt when the first gave no token.
	timerHedge
	// timerRoom places a request again that found no room anywhere.
	timerRoom
)

type timer struct {
	at wasabiridge.Millis
	// order breaks ties, so that timers of the same time fire in the order
	// in which they were set.
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
		en := c.requests[t.request]
		if en == nil || en.answered {
			continue
		}
		switch t.kind {
		case timerJoin:
			c.place(now, en, placeAfterJoin)
		case timerRoom:
			c.placeInRoom(now, en, t.why)
		case timerHedge:
			c.hedge(now, en, t.attempt)
		}
	}
}

func (c *Core) placeInRoom(now wasabiridge.Millis, en *entry, why placeReason) {
	if en.running() > 0 {
		return
	}
	// The deadline bounds the wait before the first byte. A stream that is to
	// be continued is bounded by its own time.
	until := en.request.Deadline
	if why == placeResume {
		until = en.resumeBy
	}
	if until > 0 && now >= until {
		c.refuse(now, en, wasabiridge.RefusedDeadline, defaultRetryAfter)
		return
	}
	c.place(now, en, why)
}

// hedge starts a second attempt beside one that gave no token for long.
func (c *Core) hedge(now wasabiridge.Millis, en *entry, id wasabiridge.AttemptID) {
	a := en.find(id)
	if a == nil || a.over || a.firstToken || en.running() != 1 || len(en.attempts) >= c.options.MaxAttempts {
		return
	}
	pool, ok := c.config.Pool(en.request.Action.Pool)
	if !ok || c.standing(now, en) != wasabiridge.StandingFree || !c.options.Limiter.MayRetry(now, en.request) {
		return
	}
	before := en.excluded
	en.excluded = append(before[:len(before):len(before)], a.backend)
	p, found, _ := c.choose(now, en, pool)
	en.excluded = before
	if found {
		c.dispatch(now, en, p, placeHedge)
	}
}
