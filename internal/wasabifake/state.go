package wasabifake

import (
	"github.com/wasabiridge/wasabiridge"
)

// LostJob is a job that was queued or running in an engine when it crashed.
type LostJob struct {
	Job Job
	// Produced is the number of output tokens until the crash, which the caller
	// may have received.
	Produced int
}

// Crash ends the current incarnation: the cache, unread events and all jobs are
// lost. It returns the jobs. The engine stays down until Restart.
func (e *Engine) Crash(now wasabiridge.Millis) []LostJob {
	e.advanceTo(now)
	var lost []LostJob
	for _, r := range e.queue {
		lost = append(lost, LostJob{Job: r.job})
	}
	if e.prefilling != nil {
		lost = append(lost, LostJob{Job: e.prefilling.job})
	}
	for _, r := range e.decoding {
		lost = append(lost, LostJob{Job: r.job, Produced: r.produced(now)})
	}
	e.down = true
	e.queue, e.prefilling, e.decoding = nil, nil, nil
	e.events = nil
	e.cache = newCache(e.spec.CacheBlocks, e.emit)
	return lost
}

// Restart restarts a crashed engine as the next incarnation, with an empty cache.
// It does nothing if the engine is not down.
func (e *Engine) Restart() {
	if !e.down {
		return
	}
	e.down = false
	e.incarnation++
	e.sequence = 0
	e.emit(wasabiridge.CacheCleared, 0)
}

// LoadWeights changes the weights version and clears the cache, whose entries are
// valid for the previous weights only.
func (e *Engine) LoadWeights(w wasabiridge.WeightsVersion) {
	e.spec.Weights = w
	e.cache = newCache(e.spec.CacheBlocks, e.emit)
	e.emit(wasabiridge.CacheCleared, 0)
}

// Load returns a load report at the given time.
func (e *Engine) Load(now wasabiridge.Millis) wasabiridge.LoadReport {
	e.advanceTo(now)
	report := wasabiridge.LoadReport{
		Backend:     e.spec.ID,
		Incarnation: e.incarnation,
		MeasuredAt:  now,
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

// backlog returns the time to finish the current prompt and to compute the queued
// ones. Blocks that several of these prompts share are counted once.
func (e *Engine) backlog(now wasabiridge.Millis, queue []jobState) wasabiridge.Millis {
	work := wasabiridge.Millis(0)
	expected := make(map[wasabiridge.BlockHash]bool)
	if e.prefilling != nil {
		work = max(0, e.prefillEnd-now)
		addBlocks(expected, e.prefilling.job.Chain.Blocks)
	}
	for _, r := range queue {
		cachedBlocks := e.prefixWith(expected, r.job.Chain.Blocks)
		work += e.PrefillTime(r.job.Chain.Tokens - cachedBlocks*e.spec.BlockTokens)
		addBlocks(expected, r.job.Chain.Blocks)
	}
	return work
}

func addBlocks(set map[wasabiridge.BlockHash]bool, blocks []wasabiridge.BlockHash) {
	for _, b := range blocks {
		set[b] = true
	}
}

func (e *Engine) prefixWith(expected map[wasabiridge.BlockHash]bool, blocks []wasabiridge.BlockHash) int {
	for i, b := range blocks {
		if !e.cache.contains(b) && !expected[b] {
			return i
		}
	}
	return len(blocks)
}

// CachedTokens returns how many leading tokens of a prompt are cached.
func (e *Engine) CachedTokens(c wasabiridge.Chain) int {
	if e.down {
		return 0
	}
	return e.cache.cachedPrefix(c.Blocks) * e.spec.BlockTokens
}

// Forecast returns how long the prompt of a job that is submitted now would wait
// for others, and how many of its tokens would be cached when its computation
// starts, provided that none are evicted until then. If no slot is free, wait is
// an estimate.
func (e *Engine) Forecast(now wasabiridge.Millis, c wasabiridge.Chain) (wait wasabiridge.Millis, cached int) {
	expected := make(map[wasabiridge.BlockHash]bool)
	if e.prefilling != nil {
		addBlocks(expected, e.prefilling.job.Chain.Blocks)
	}
	for _, r := range e.queue {
		addBlocks(expected, r.job.Chain.Blocks)
	}
	wait = e.backlog(now, e.queue)
	if len(e.decoding)+len(e.queue) >= e.spec.Slots {
		wait = max(wait, e.slotWait(now))
	}
	return wait, e.prefixWith(expected, c.Blocks) * e.spec.BlockTokens
}

// slotWait estimates the time until a slot becomes free for a job at the end of
// the queue: the time until the first answer completes, once for each job.
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

// Produced returns how many output tokens an attempt has produced, including those
// before ResumeFrom. It reports false if the attempt is not being decoded.
func (e *Engine) Produced(now wasabiridge.Millis, a wasabiridge.AttemptID) (int, bool) {
	for _, r := range e.decoding {
		if r.job.Attempt == a {
			return r.produced(now), true
		}
	}
	return 0, false
}

func (r jobState) produced(now wasabiridge.Millis) int {
	if r.end <= r.first {
		return r.job.OutputTokens
	}
	remaining := wasabiridge.Millis(r.job.OutputTokens - r.job.ResumeFrom)
	done := remaining * min(now-r.first, r.end-r.first) / (r.end - r.first)
	return r.job.ResumeFrom + int(done)
}

// TakeEvents returns the cache events since the last call.
func (e *Engine) TakeEvents() []wasabiridge.CacheEvent {
	events := e.events
	e.events = nil
	return events
}
