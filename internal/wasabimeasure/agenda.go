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

// agenda holds tasks by time, and within a point in time by the order in
// which they were added.
type agenda struct {
	tasks tasks
	added uint64
}

func (a *agenda) add(at wasabiridge.Millis, do func()) {
	a.added++
	heap.Push(&a.tasks, task{at: at, order: a.added, do: do})
}

// next returns when the next task is due. The agenda must not be empty.
func (a *agenda) next() wasabiridge.Millis { return a.tasks[0].at }

// due takes a task out that is due. It returns nil when there is none.
func (a *agenda) due(now wasabiridge.Millis) func() {
	if len(a.tasks) == 0 || a.tasks[0].at > now {
		return nil
	}
	return heap.Pop(&a.tasks).(task).do
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
