package wasabifake

import (
	"github.com/wasabiridge/wasabiridge"
)

// Lost is a job that was inside an engine when it crashed.
type Lost struct {
	Job Job
	// Produced counts its output tokens until then, which may have reached
	// the caller.
	Produced int
}

// Crash ends the current life of the engine and returns the jobs inside.
func (e *Engine) Crash(now wasabiridge.Millis) []Lost {
	e.run(now)
	var lost []Lost
	for _, r := range e.queue {
		lost = append(lost, Lost{Job: r.job})
	}
	if e.prefilling != nil {
		lost = append(lost, Lost{Job: e.prefilling.job})
	}
	for _, r := range e.decoding {
		lost = append(lost, Lost{Job: r.job, Produced: r.produced(now)})
	}
	e.down = true
	e.queue, e.prefilling, e.decoding = nil, nil, nil
	e.events = nil
	e.cache = newCache(e.spec.CacheBlocks, e.emit)
	return lost
}

// Return starts the next life of a crashed engine, with a cold cache.
func (e *Engine) Return() {
	if !e.down {
		return
	}
	e.down = false
	e.incarnation++
	e.sequence = 0
	e.emit(wasabiridge.CacheCleared, 0)
}

// LoadWeights changes the weights and drops the cache, whose entries belong
// to the weights before.
func (e *Engine) LoadWeights(w wasabiridge.WeightsVersion) {
	e.spec.Weights = w
	e.cache = newCache(e.spec.CacheBlocks, e.emit)
	e.emit(wasabiridge.CacheCleared, 0)
}

// Load reports what is inside the engine now.
func (e *Engine) Load(now wasabiridge.Millis) wasabiridge.LoadReport {
	e.run(now)
	report := wasabiridge.LoadReport{
		Backend:     e.spec.ID,
		Incarnation: e.incarnation,
		Taken:       now,
		Running:     len(e.decoding),
		Waiting:     len(e.queue),
		Weights:     e.spec.Weights,
		Leaving:     e.leaving,
	}
	if e.prefilling != nil {
		report.Running++
	}
	report.WaitingTokens = int((e.backlog(now, e.queue)) * wasabiridge.Millis(e.spec.BlockTokens) / max(1, e.spec.Prefill))
	return report
}

// backlog estimates the prompt work of the running prompt and of the queued
// ones. Prompts that share blocks with each other count them once.
func (e *Engine) backlog(now wasabiridge.Millis, queue []running) wasabiridge.Millis {
	work := wasabiridge.Millis(0)
	coming := make(map[wasabiridge.BlockHash]bool)
	if e.prefilling != nil {
		work = max(0, e.prefillEnd-now)
		mark(coming, e.prefilling.job.Chain.Blocks)
	}
	for _, r := range queue {
		depth := e.depthWith(coming, r.job.Chain.Blocks)
		work += e.PrefillTime(r.job.Chain.Tokens - depth*e.spec.BlockTokens)
		mark(coming, r.job.Chain.Blocks)
	}
	return work
}

func mark(set map[wasabiridge.BlockHash]bool, blocks []wasabiridge.BlockHash) {
	for _, b := range blocks {
		set[b] = true
	}
}

func (e *Engine) depthWith(coming map[wasabiridge.BlockHash]bool, blocks []wasabiridge.BlockHash) int {
	for i, b := range blocks {
		if !e.cache.holds(b) && !coming[b] {
			return i
		}
	}
	return len(blocks)
}

// CachedTokens counts the tokens of a prompt that are cached now.
func (e *Engine) CachedTokens(c wasabiridge.Chain) int {
	if e.down {
		return 0
	}
	return e.cache.depth(c.Blocks) * e.spec.BlockTokens
}

// Forecast tells exactly what a job that is handed over now would meet: how
// long its prompt would wait for others, and how many of its tokens would be
// cached when its turn comes, unless they are evicted in between.
func (e *Engine) Forecast(now wasabiridge.Millis, c wasabiridge.Chain) (wait wasabiridge.Millis, cached int) {
	coming := make(map[wasabiridge.BlockHash]bool)
	if e.prefilling != nil {
		mark(coming, e.prefilling.job.Chain.Blocks)
	}
	for _, r := range e.queue {
		mark(coming, r.job.Chain.Blocks)
	}
	wait = e.backlog(now, e.queue)
	if len(e.decoding)+len(e.queue) >= e.spec.Slots {
		wait = max(wait, e.slotWait(now))
	}
	return wait, e.depthWith(coming, c.Blocks) * e.spec.BlockTokens
}

// slotWait is the time until a slot becomes free for a job behind the queue.
func (e *Engine) slotWait(now wasabiridge.Millis) wasabiridge.Millis {
	if len(e.decoding) == 0 {
		return 0
	}
	first := e.decoding[0].end
	for _, r := range e.decoding {
		first = min(first, r.end)
	}
	return max(0, first-now) * wasabiridge.Millis(1+len(e.queue))
}

// Produced counts the output tokens that an attempt has produced, for callers
// that stream them. It reports false when the attempt is not being decoded.
func (e *Engine) Produced(now wasabiridge.Millis, a wasabiridge.AttemptID) (int, bool) {
	for _, r := range e.decoding {
		if r.job.Attempt == a {
			return r.produced(now), true
		}
	}
	return 0, false
}

func (r running) produced(now wasabiridge.Millis) int {
	if r.end <= r.first {
		return r.job.OutputTokens
	}
	left := wasabiridge.Millis(r.job.OutputTokens - r.job.ResumeFrom)
	done := left * min(now-r.first, r.end-r.first) / (r.end - r.first)
	return r.job.ResumeFrom + int(done)
}

// TakeEvents returns the cache events since the last call.
func (e *Engine) TakeEvents() []wasabiridge.CacheEvent {
	events := e.events
	e.events = nil
	return events
}
