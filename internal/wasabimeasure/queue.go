package wasabimeasure

import (
	"container/heap"

	"github.com/wasabiridge/wasabiridge"
)

type task struct {
	at    wasabiridge.Millis
	order uint64
	do    func()
}

// taskQueue is a priority queue of tasks, ordered by due time. Tasks with the
// same due time run in the order in which they were added.
type taskQueue struct {
	tasks tasks
	added uint64
}

func (q *taskQueue) add(at wasabiridge.Millis, do func()) {
	q.added++
	heap.Push(&q.tasks, task{at: at, order: q.added, do: do})
}

// nextAt returns the due time of the earliest task. The queue must not be empty.
func (q *taskQueue) nextAt() wasabiridge.Millis { return q.tasks[0].at }

// popDue removes and returns the earliest task that is due at now, or nil if
// none is due.
func (q *taskQueue) popDue(now wasabiridge.Millis) func() {
	if len(q.tasks) == 0 || q.tasks[0].at > now {
		return nil
	}
	return heap.Pop(&q.tasks).(task).do
}

type tasks []task

func (t tasks) Len() int { return len(t) }

func (t tasks) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].order < t[j].order
}

func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *tasks) Push(x any) { *t = append(*t, x.(task)) }

// Pop implements heap.Interface.
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
