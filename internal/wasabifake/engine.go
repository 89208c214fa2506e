// Package wasabifake simulates backend servers without any I/O: a model engine
// with a bounded prefix cache, prefill, decode, slots, a queue, load reports,
// cache events, crashes and restarts with an empty cache.
//
// Time is passed in by the caller and may be virtual or real. The package is meant
// for tests and measurements.
//
// Prompts are computed one at a time at a fixed cost for each block that is not
// cached. Answers are decoded concurrently, more slowly the more of them run. A
// request occupies a slot from the start of its prompt to the end of its answer.
// Requests are refused while the queue is full. Networks, machines and the memory
// that answers take during decoding are not modelled.
//
// # Usage
//
//	e := wasabifake.NewEngine(wasabifake.Spec{ID: "answer-1", CacheBlocks: 160, Slots: 32})
//	e.Submit(now, wasabifake.Job{Attempt: 1, Chain: chain, OutputTokens: 100})
//	for at, ok := e.NextAt(); ok; at, ok = e.NextAt() {
//		for _, out := range e.Advance(at) {
//			fmt.Println(out.At, out.Kind, out.Job.Request)
//		}
//	}
package wasabifake

import (
	"sort"

	"github.com/wasabiridge/wasabiridge"
)

// Spec configures an Engine. It is an immutable value.
type Spec struct {
	ID wasabiridge.BackendServerID
	// BlockTokens is the size of a cache block. Zero means 2048.
	BlockTokens int
	// CacheBlocks is the capacity of the prefix cache. Zero means no cache.
	CacheBlocks int
	// Slots is the maximum number of requests that run at once. Zero means 1.
	Slots int
	// QueueLimit is the maximum number of waiting requests. Zero means no
	// limit.
	QueueLimit int
	// Prefill is the time to compute one block of a prompt.
	Prefill wasabiridge.Millis
	// Decode is the time for one output token in an idle server. The time grows
	// linearly with the number of answers that are being decoded when decoding
	// starts, to twice Decode when all slots are taken.
	Decode  wasabiridge.Millis
	Weights wasabiridge.WeightsVersion
}

// Job is one attempt at a request, as submitted to an engine.
type Job struct {
	Attempt  wasabiridge.AttemptID
	Request  wasabiridge.RequestID
	Priority wasabiridge.Priority
	Chain    wasabiridge.Chain
	// OutputTokens is the length of the answer.
	OutputTokens int
	// ResumeFrom is the number of leading output tokens that are not produced
	// again.
	ResumeFrom int
}

// OutputKind is the kind of an Output.
type OutputKind uint8

// Kinds of outputs.
const (
	// Started means that the engine starts to compute the prompt.
	Started OutputKind = iota
	// FirstToken means that the prompt is computed and decoding starts.
	FirstToken
	// Completed means that the complete answer was produced.
	Completed
)

// Output is an event in the processing of a job.
type Output struct {
	At   wasabiridge.Millis
	Kind OutputKind
	Job  Job
	// Usage has a token count for the output only if Kind is Completed.
	Usage wasabiridge.Usage
}

type jobState struct {
	job     Job
	cached  int
	arrived uint64
	// first and end are zero while the prompt is being computed.
	first wasabiridge.Millis
	end   wasabiridge.Millis
}

// Engine simulates one backend server. It is not safe for concurrent use.
type Engine struct {
	spec        Spec
	incarnation wasabiridge.Incarnation
	down        bool
	leaving     bool
	cache       *cache
	lastArrival uint64
	queue       []jobState
	prefilling  *jobState
	prefillEnd  wasabiridge.Millis
	decoding    []jobState
	outputs     []Output
	events      []wasabiridge.CacheEvent
	sequence    uint64
}

// NewEngine returns an idle engine in its first incarnation.
func NewEngine(s Spec) *Engine {
	if s.Slots == 0 {
		s.Slots = 1
	}
	if s.BlockTokens == 0 {
		s.BlockTokens = 2048
	}
	e := &Engine{spec: s, incarnation: 1}
	e.cache = newCache(s.CacheBlocks, e.emit)
	return e
}

func (e *Engine) emit(kind wasabiridge.CacheEventKind, b wasabiridge.BlockHash) {
	e.sequence++
	e.events = append(e.events, wasabiridge.CacheEvent{
		Backend: e.spec.ID, Incarnation: e.incarnation, Sequence: e.sequence, Kind: kind, Block: b,
	})
}

// Spec returns the description of the engine.
func (e *Engine) Spec() Spec { return e.spec }

// Incarnation returns the current incarnation of the engine, starting at 1. Each
// Restart increments it.
func (e *Engine) Incarnation() wasabiridge.Incarnation { return e.incarnation }

// Down reports whether the engine has crashed and was not restarted.
func (e *Engine) Down() bool { return e.down }

// SetLeaving sets the leaving flag of the load reports, which requests that no new
// work is placed here. The engine still accepts jobs.
func (e *Engine) SetLeaving() { e.leaving = true }

// Submit queues a job behind those of the same or a higher priority and starts it
// if possible. It reports false if the engine is down or its queue is full; the
// job did not run then.
func (e *Engine) Submit(now wasabiridge.Millis, j Job) bool {
	e.advanceTo(now)
	if e.down || (e.spec.QueueLimit > 0 && len(e.queue) >= e.spec.QueueLimit) {
		return false
	}
	e.lastArrival++
	e.queue = append(e.queue, jobState{job: j, arrived: e.lastArrival})
	sort.SliceStable(e.queue, func(a, b int) bool {
		return e.queue[a].job.Priority > e.queue[b].job.Priority
	})
	e.startNext(now)
	return true
}

// Cancel removes an attempt that is queued or running. It reports false if there
// is none, for instance because it has completed.
func (e *Engine) Cancel(now wasabiridge.Millis, a wasabiridge.AttemptID) bool {
	e.advanceTo(now)
	if e.prefilling != nil && e.prefilling.job.Attempt == a {
		e.prefilling = nil
		e.startNext(now)
		return true
	}
	for _, list := range []*[]jobState{&e.queue, &e.decoding} {
		for i, r := range *list {
			if r.job.Attempt == a {
				*list = append((*list)[:i], (*list)[i+1:]...)
				e.startNext(now)
				return true
			}
		}
	}
	return false
}

// NextAt returns the time of the next output or state change. It reports false
// when the engine is idle.
func (e *Engine) NextAt() (wasabiridge.Millis, bool) {
	if len(e.outputs) > 0 {
		return e.outputs[0].At, true
	}
	return e.nextCompletion()
}

func (e *Engine) nextCompletion() (wasabiridge.Millis, bool) {
	at, ok := wasabiridge.Millis(0), false
	if e.prefilling != nil {
		at, ok = e.prefillEnd, true
	}
	for _, r := range e.decoding {
		if !ok || r.end < at {
			at, ok = r.end, true
		}
	}
	return at, ok
}

// Advance advances the engine to the given time and returns the outputs up to
// then, in order of time. Each output is returned once.
func (e *Engine) Advance(now wasabiridge.Millis) []Output {
	e.advanceTo(now)
	out := e.outputs
	e.outputs = nil
	return out
}

func (e *Engine) advanceTo(now wasabiridge.Millis) {
	for {
		at, ok := e.nextCompletion()
		if !ok || at > now {
			return
		}
		e.finishDecodes(at)
		if e.prefilling != nil && e.prefillEnd <= at {
			e.finishPrefill(at)
		}
		e.startNext(at)
	}
}

func (e *Engine) startNext(now wasabiridge.Millis) {
	if e.down || e.prefilling != nil || len(e.queue) == 0 || len(e.decoding) >= e.spec.Slots {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	blocks := r.job.Chain.Blocks
	cachedBlocks := e.cache.cachedPrefix(blocks)
	e.cache.touch(blocks, cachedBlocks)
	r.cached = cachedBlocks * e.spec.BlockTokens
	e.prefilling = &r
	e.prefillEnd = now + e.PrefillTime(r.job.Chain.Tokens-r.cached)
	e.output(now, Started, r)
}

// PrefillTime returns the time to compute that many tokens of a prompt, at least
// 1 ms.
func (e *Engine) PrefillTime(tokens int) wasabiridge.Millis {
	if tokens <= 0 {
		return 1
	}
	return max(1, wasabiridge.Millis(tokens)*e.spec.Prefill/wasabiridge.Millis(e.spec.BlockTokens))
}

func (e *Engine) finishPrefill(at wasabiridge.Millis) {
	r := *e.prefilling
	e.prefilling = nil
	e.cache.store(r.job.Chain.Blocks)
	remaining := wasabiridge.Millis(max(0, r.job.OutputTokens-r.job.ResumeFrom))
	active := wasabiridge.Millis(len(e.decoding) + 1)
	r.first = at
	r.end = at + remaining*e.spec.Decode*(wasabiridge.Millis(e.spec.Slots)+active)/wasabiridge.Millis(e.spec.Slots)
	e.decoding = append(e.decoding, r)
	e.output(at, FirstToken, r)
	e.finishDecodes(at)
}

func (e *Engine) finishDecodes(at wasabiridge.Millis) {
	kept := e.decoding[:0]
	for _, r := range e.decoding {
		if r.end > at {
			kept = append(kept, r)
			continue
		}
		e.output(r.end, Completed, r)
	}
	e.decoding = kept
}

func (e *Engine) output(at wasabiridge.Millis, kind OutputKind, r jobState) {
	u := wasabiridge.Usage{
		PromptTokens: r.job.Chain.Tokens,
		CachedTokens: r.cached,
		Incarnation:  e.incarnation,
		Weights:      e.spec.Weights,
	}
	if kind == Completed {
		u.OutputTokens = r.job.OutputTokens
	}
	e.outputs = append(e.outputs, Output{At: at, Kind: kind, Job: r.job, Usage: u})
}
