package wasabitest

import (
	"container/heap"

	"github.com/wasabiridge/wasabiridge"
)

// Agenda holds steps of a simulation by time, and within a point in time by
// the order in which they were added. The zero value is empty. It is not safe
// for concurrent use.
type Agenda struct {
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

// Add plans a step.
func (a *Agenda) Add(at wasabiridge.Millis, run func()) {
	a.added++
	heap.Push(&a.steps, step{at: at, order: a.added, run: run})
}

// Run carries out all steps up to a point in time, also those that are added
// meanwhile. Before each step it calls moved with the step's time.
func (a *Agenda) Run(until wasabiridge.Millis, moved func(wasabiridge.Millis)) {
	for len(a.steps) > 0 && a.steps[0].at <= until {
		next := heap.Pop(&a.steps).(step)
		moved(next.at)
		next.run()
	}
}
