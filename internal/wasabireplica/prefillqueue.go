package wasabireplica

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// maxQueuedPrompts bounds the prompts that are tracked per replica.
const maxQueuedPrompts = 256

// prefillQueue estimates the prompts that wait to be computed at one replica. A replica
// computes admitted prompts in the order of their arrival. It admits urgent ones first
// only when its memory or its slots are exhausted.
type prefillQueue struct {
	prompts []queuedPrompt
	// computedUntil is the time up to which the work of the replica has been simulated.
	computedUntil wasabiridge.Millis
	// slowness is how long the work takes now, as a multiple of the average of the pool.
	// Zero means that it is average.
	slowness float64
}

// queuedPrompt is a prompt whose first token is outstanding. Prompts of this instance
// have an attempt; those of other instances have the key of their last segment instead.
type queuedPrompt struct {
	attempt  wasabiridge.AttemptID
	key      uint64
	priority wasabiridge.Priority
	// remaining is the computing time that the prompt still needs at a replica of average
	// speed, in milliseconds. due is when its first token was expected.
	remaining float64
	due       wasabiridge.Millis
}

// advance simulates the computing of the replica until now. Prompts of other instances
// are removed when their work should be done; prompts of this instance stay until their
// answer arrives.
func (q *prefillQueue) advance(now wasabiridge.Millis) {
	elapsed := float64(now-q.computedUntil) / q.factor()
	if elapsed <= 0 {
		return
	}
	q.computedUntil = now
	done := false
	for i := range q.prompts {
		p := &q.prompts[i]
		took := min(p.remaining, elapsed)
		p.remaining -= took
		elapsed -= took
		done = done || p.remaining == 0 && p.attempt == 0
	}
	if done {
		q.prompts = slices.DeleteFunc(q.prompts, func(p queuedPrompt) bool { return p.remaining == 0 && p.attempt == 0 })
	}
}

// setSlowness sets how long work takes from now on, as a multiple of the average.
func (q *prefillQueue) setSlowness(now wasabiridge.Millis, slowness float64) {
	q.advance(now)
	q.slowness = slowness
}

func (q *prefillQueue) factor() float64 {
	if q.slowness == 0 {
		return 1
	}
	return q.slowness
}

// wait returns how long further work of a priority would wait, in milliseconds.
//
// An overdue first token of a prompt from this instance, of the same or a higher
// priority, shows that the replica is further behind than estimated: other instances
// have sent more, or its memory is full. How far it is behind is unknown, so the time
// that the token is overdue is added to the wait.
func (q *prefillQueue) wait(now wasabiridge.Millis, priority wasabiridge.Priority) float64 {
	q.advance(now)
	sum, overdue := 0.0, wasabiridge.Millis(0)
	for _, p := range q.prompts {
		sum += p.remaining
		if p.attempt != 0 && p.priority >= priority {
			overdue = max(overdue, now-p.due)
		}
	}
	return sum*q.factor() + float64(overdue)
}

// push appends a prompt to the queue.
func (q *prefillQueue) push(now wasabiridge.Millis, p queuedPrompt) {
	p.due = now + wasabiridge.Millis(q.wait(now, p.priority)+p.remaining*q.factor())
	if len(q.prompts) == maxQueuedPrompts {
		q.prompts = q.prompts[1:]
	}
	q.prompts = append(q.prompts, p)
}

// markStarted removes a prompt that has its first token, and the prompts of other
// instances before it, which must be done too. Prompts of this instance stay until
// their own answers arrive.
func (q *prefillQueue) markStarted(now wasabiridge.Millis, match func(queuedPrompt) bool) {
	q.advance(now)
	i := slices.IndexFunc(q.prompts, match)
	if i < 0 {
		return
	}
	kept := q.prompts[:0]
	for j, p := range q.prompts {
		if j > i || j < i && p.attempt != 0 {
			kept = append(kept, p)
		}
	}
	q.prompts = kept
}

// removePrompt removes a prompt that was cancelled.
func (q *prefillQueue) removePrompt(now wasabiridge.Millis, match func(queuedPrompt) bool) {
	q.advance(now)
	if i := slices.IndexFunc(q.prompts, match); i >= 0 {
		q.prompts = slices.Delete(q.prompts, i, i+1)
	}
}

func (q *prefillQueue) clear() { q.prompts = nil }
