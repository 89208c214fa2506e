package wasabitest

import (
	"container/heap"

	"github.com/wasabiridge/wasabiridge"
)

// EventQueue is a queue of the steps of a simulation, ordered by time. Steps at the same
// time run in the order in which they were added. The zero value is empty. It is
// not safe for concurrent use.
type EventQueue struct {
	steps steps
	added uint64
}

type step struct {
	at    wasabiridge.Millis
	order uint64
	run   func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// Schedule schedules run at the given time.
func (a *EventQueue) Schedule(at wasabiridge.Millis, run func()) {
	a.added++
	heap.Push(&a.steps, step{at: at, order: a.added, run: run})
}

// Run runs all steps up to and including until, also those that are added
// meanwhile. Before each step it calls moved with the time of the step, so that the
// caller can advance its clock.
func (a *EventQueue) Run(until wasabiridge.Millis, moved func(wasabiridge.Millis)) {
	for len(a.steps) > 0 && a.steps[0].at <= until {
		next := heap.Pop(&a.steps).(step)
		moved(next.at)
		next.run()
	}
}
