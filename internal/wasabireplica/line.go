package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// lineMost bounds the long prompts that are remembered of one replica.
const lineMost = 256

// line is the computing that waits at one replica, as far as it is known. Long
// prompts are remembered one by one, in the order in which they were sent: the
// first token of one shows that those before it are done too, and what is
// given up makes room.
type line struct {
	waiting []waitingPrompt
	// idleAt is when all of it is expected to be done, in milliseconds.
	idleAt float64
}

// waitingPrompt is a long prompt without a first token. Those of this instance
// have an attempt, those of others the key of their last part.
type waitingPrompt struct {
	attempt wasabiridge.AttemptID
	key     uint64
	work    float64
}

// wait is how long further work would wait, in milliseconds.
func (l *line) wait(now wasabiridge.Millis) float64 {
	return max(0, l.idleAt-float64(now))
}

// add puts work behind what waits.
func (l *line) add(now wasabiridge.Millis, work float64) {
	l.idleAt = max(l.idleAt, float64(now)) + work
}

// enter puts a long prompt behind what waits.
func (l *line) enter(now wasabiridge.Millis, p waitingPrompt) {
	if len(l.waiting) == lineMost {
		l.waiting = l.waiting[1:]
	}
	l.waiting = append(l.waiting, p)
	l.add(now, p.work)
}

// begun notes the first token of a prompt: it and those before it are done.
func (l *line) begun(now wasabiridge.Millis, is func(waitingPrompt) bool) {
	for i, p := range l.waiting {
		if is(p) {
			l.waiting = l.waiting[i+1:]
			l.recount(now)
			return
		}
	}
}

// leave takes out a prompt that was given up.
func (l *line) leave(now wasabiridge.Millis, is func(waitingPrompt) bool) {
	for i, p := range l.waiting {
		if is(p) {
			l.waiting = append(l.waiting[:i:i], l.waiting[i+1:]...)
			l.idleAt = max(float64(now), l.idleAt-p.work)
			return
		}
	}
}

func (l *line) recount(now wasabiridge.Millis) {
	l.idleAt = float64(now)
	for _, p := range l.waiting {
		l.idleAt += p.work
	}
}

func (l *line) clear() {
	l.waiting, l.idleAt = nil, 0
}
