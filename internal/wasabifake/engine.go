// Package wasabifake models backend servers without any I/O: a model engine
// with a bounded prefix cache, prefill, decode, slots, a queue, load reports,
// cache events, crashes and cold returns.
//
// The model is driven by the time that its callers hand in, which may be
// virtual or real. It is meant for tests and measurements.
//
// What is modelled: prompts are computed one after another at a fixed cost
// for each block that is not cached; answers are decoded side by side, slower
// when more of them run; a request holds a slot from the start of its prompt
// to the end of its answer; a full queue refuses. What is not modelled:
// networks, machines, and the memory that running answers take.
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

// Spec describes a backend server. It is an immutable value.
type Spec struct {
	ID          wasabiridge.BackendServerID
	BlockTokens int
	// CacheBlocks bounds the prefix cache. Zero means no cache.
	CacheBlocks int
	// Slots bounds how many requests run at once. Zero means 1.
	Slots int
	// QueueLimit bounds how many requests wait inside the server. Zero means
	// no bound.
	QueueLimit int
	// Prefill is the time to compute one block of a prompt.
	Prefill wasabiridge.Millis
	// Decode is the time between two tokens when the server is idle. It
	// doubles when all slots are taken.
	Decode  wasabiridge.Millis
	Weights wasabiridge.WeightsVersion
}

// Job is one attempt handed to an engine.
type Job struct {
	Attempt  wasabiridge.AttemptID
	Request  wasabiridge.RequestID
	Priority wasabiridge.Priority
	Chain    wasabiridge.Chain
	// OutputTokens is the length of the answer.
	OutputTokens int
	// ResumeFrom counts output tokens that need not be produced again.
	ResumeFrom int
}

// OutputKind tells what an engine did.
type OutputKind uint8

// Kinds of outputs.
const (
	// Started says that the prompt is being computed from now on.
	Started OutputKind = iota
	// FirstToken says that the prompt is computed and the answer begins.
	FirstToken
	// Completed says that the whole answer was produced.
	Completed
)

// Output is something that an engine did at a point in time.
type Output struct {
	At   wasabiridge.Millis
	Kind OutputKind
	Job  Job
	// Usage is whole for Completed. Before that it has no output tokens.
	Usage wasabiridge.Usage
}

type running struct {
	job     Job
	cached  int
	arrived uint64
	// first and end are zero while the prompt is being computed.
	first wasabiridge.Millis
	end   wasabiridge.Millis
}

// Engine is a model of one backend server. It is not safe for concurrent use.
type Engine struct {
	spec        Spec
	incarnation wasabiridge.Incarnation
	down        bool
	leaving     bool
	cache       *cache
	arrivals    uint64
	queue       []running
	prefilling  *running
	prefillEnd  wasabiridge.Millis
	decoding    []running
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

// Incarnation returns the current life of the engine.
func (e *Engine) Incarnation() wasabiridge.Incarnation { return e.incarnation }

// Down reports whether the engine is crashed.
func (e *Engine) Down() bool { return e.down }

// Leave makes the engine ask for no new work in its load reports. It still
// takes what comes.
func (e *Engine) Leave() { e.leaving = true }

// Submit hands over an attempt. It reports false when the engine is down or
// its queue is full; nothing ran then.
func (e *Engine) Submit(now wasabiridge.Millis, j Job) bool {
	e.run(now)
	if e.down || (e.spec.QueueLimit > 0 && len(e.queue) >= e.spec.QueueLimit) {
		return false
	}
	e.arrivals++
	e.queue = append(e.queue, running{job: j, arrived: e.arrivals})
	sort.SliceStable(e.queue, func(a, b int) bool {
		return e.queue[a].job.Priority > e.queue[b].job.Priority
	})
	e.start(now)
	return true
}

// Cancel gives an attempt up. It reports false when the engine does not know
// the attempt, or not any more.
func (e *Engine) Cancel(now wasabiridge.Millis, a wasabiridge.AttemptID) bool {
	e.run(now)
	if e.prefilling != nil && e.prefilling.job.Attempt == a {
		e.prefilling = nil
		e.start(now)
		return true
	}
	for _, list := range []*[]running{&e.queue, &e.decoding} {
		for i, r := range *list {
			if r.job.Attempt == a {
				*list = append((*list)[:i], (*list)[i+1:]...)
				e.start(now)
				return true
			}
		}
	}
	return false
}

// NextAt returns when the engine next does something on its own. It reports
// false when the engine is idle.
func (e *Engine) NextAt() (wasabiridge.Millis, bool) {
	if len(e.outputs) > 0 {
		return e.outputs[0].At, true
	}
	return e.next()
}

func (e *Engine) next() (wasabiridge.Millis, bool) {
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

// Advance moves the engine to the given time and returns what it did, in
// order of time. Outputs of the past are returned once.
func (e *Engine) Advance(now wasabiridge.Millis) []Output {
	e.run(now)
	out := e.outputs
	e.outputs = nil
	return out
}

func (e *Engine) run(now wasabiridge.Millis) {
	for {
		at, ok := e.next()
		if !ok || at > now {
			return
		}
		e.finishDecodes(at)
		if e.prefilling != nil && e.prefillEnd <= at {
			e.finishPrefill(at)
		}
		e.start(at)
	}
}

func (e *Engine) start(now wasabiridge.Millis) {
	if e.down || e.prefilling != nil || len(e.queue) == 0 || len(e.decoding) >= e.spec.Slots {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	blocks := r.job.Chain.Blocks
	depth := e.cache.depth(blocks)
	e.cache.touch(blocks, depth)
	r.cached = depth * e.spec.BlockTokens
	e.prefilling = &r
	e.prefillEnd = now + e.PrefillTime(r.job.Chain.Tokens-r.cached)
	e.output(now, Started, r)
}

// PrefillTime returns how long it takes to compute tokens of a prompt.
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
	left := wasabiridge.Millis(max(0, r.job.OutputTokens-r.job.ResumeFrom))
	busy := wasabiridge.Millis(len(e.decoding) + 1)
	r.first = at
	r.end = at + left*e.spec.Decode*(wasabiridge.Millis(e.spec.Slots)+busy)/wasabiridge.Millis(e.spec.Slots)
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

func (e *Engine) output(at wasabiridge.Millis, kind OutputKind, r running) {
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
