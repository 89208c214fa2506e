package wasabilimit

import (
	"container/heap"

	"github.com/wasabiridge/wasabiridge"
)

// deadlines is a heap of items, ordered by deadline.
type deadlines []*item

func (d *deadlines) push(it *item) {
	if it.request.Deadline > 0 {
		heap.Push(d, it)
	}
}

// due removes and returns a queued item whose deadline has passed, or returns
// nil. It also discards items that are no longer queued.
func (d *deadlines) due(now wasabiridge.Millis) *item {
	for len(*d) > 0 {
		it := (*d)[0]
		if it.queued && it.request.Deadline > now {
			return nil
		}
		heap.Pop(d)
		if it.queued {
			return it
		}
	}
	return nil
}

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].request.Deadline < d[j].request.Deadline }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*item)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
