package wasabireplica

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// lineMost bounds the prompts that are remembered of one replica.
const lineMost = 256

// line is the computing that waits at one replica, as far as it is known. A replica
// computes the prompts that it has admitted in the order in which they came; the
// urgent ones are only admitted first when its memory or its slots are full.
type line struct {
	waiting []waitingPrompt
	// at is up to when the replica is taken to have computed.
	at wasabiridge.Millis
}

// waitingPrompt is a prompt without a first token. Those of this instance have an
// attempt, those of others the key of their last part.
type waitingPrompt struct {
	attempt  wasabiridge.AttemptID
	key      uint64
	priority wasabiridge.Priority
	// left is the time that the replica still has to compute for it, in
	// milliseconds, due when the first token was expected.
	left float64
	due  wasabiridge.Millis
}

// advance lets the replica compute until now. What others sent is forgotten when
// it should be done; of what this instance sent, the answer tells.
func (l *line) advance(now wasabiridge.Millis) {
	elapsed := float64(now - l.at)
	if elapsed <= 0 {
		return
	}
	l.at = now
	done := false
	for i := range l.waiting {
		p := &l.waiting[i]
		took := min(p.left, elapsed)
		p.left -= took
		elapsed -= took
		done = done || p.left == 0 && p.attempt == 0
	}
	if done {
		l.waiting = slices.DeleteFunc(l.waiting, func(p waitingPrompt) bool { return p.left == 0 && p.attempt == 0 })
	}
}

// wait is how long further work of a priority would wait, in milliseconds.
//
// Prompts of this instance, as urgent or more so, whose first token is overdue show that the replica is
// further behind than is known here: others have sent more, or its memory is full.
// By how much is not known; the longer it has lasted, the longer it is taken to
// last.
func (l *line) wait(now wasabiridge.Millis, priority wasabiridge.Priority) float64 {
	l.advance(now)
	sum, overdue := 0.0, wasabiridge.Millis(0)
	for _, p := range l.waiting {
		sum += p.left
		if p.attempt != 0 && p.priority >= priority {
			overdue = max(overdue, now-p.due)
		}
	}
	return sum + float64(overdue)
}

// enter puts a prompt behind what waits.
func (l *line) enter(now wasabiridge.Millis, p waitingPrompt) {
	p.due = now + wasabiridge.Millis(l.wait(now, p.priority)+p.left)
	if len(l.waiting) == lineMost {
		l.waiting = l.waiting[1:]
	}
	l.waiting = append(l.waiting, p)
}

// begun notes the first token of a prompt. What others sent before it is done too;
// of what this instance sent, the answers tell.
func (l *line) begun(now wasabiridge.Millis, is func(waitingPrompt) bool) {
	l.advance(now)
	i := slices.IndexFunc(l.waiting, is)
	if i < 0 {
		return
	}
	kept := l.waiting[:0]
	for j, p := range l.waiting {
		if j > i || j < i && p.attempt != 0 {
			kept = append(kept, p)
		}
	}
	l.waiting = kept
}

// leave takes out a prompt that was given up.
func (l *line) leave(now wasabiridge.Millis, is func(waitingPrompt) bool) {
	l.advance(now)
	if i := slices.IndexFunc(l.waiting, is); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

func (l *line) clear() { l.waiting = nil }
