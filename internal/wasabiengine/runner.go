package wasabiengine

import (
	"sync"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

const (
	// eventLogLimit is the number of cache events kept for subscribers. Older
	// events are dropped, which subscribers detect by the gap in the sequence.
	eventLogLimit = 4096
	// batchLimit is the maximum number of cache events in one message.
	batchLimit = 256
)

// modelRunner advances a simulated engine with the clock, so that its outputs
// happen in real time. It is safe for concurrent use.
type modelRunner struct {
	clock wasabiridge.Clock

	mu      sync.Mutex
	model   *wasabifake.Engine
	pending map[wasabiridge.AttemptID]*pendingAnswer
	// blockNames maps the hashes of cached blocks to the hashes that callers
	// sent for them in block_hashes.
	blockNames map[wasabiridge.BlockHash]wasabiridge.BlockHash
	lastID     wasabiridge.AttemptID
	wake       chan struct{}
	eventLog   []wasabiridge.CacheEvent
	// changed is closed and replaced whenever events are appended to eventLog.
	changed chan struct{}
	// eventsToDrop is how many of the next cache events are dropped.
	eventsToDrop int
	loading      bool
	// lastLoadID is the ID of the latest load of weights.
	lastLoadID uint64
	fencing    wasabiridge.FencingNumber
	role       string
	stop       chan struct{}
	stopped    chan struct{}
}

// pendingAnswer is an answer that the model is still producing.
type pendingAnswer struct {
	id    wasabiridge.AttemptID
	first chan struct{}
	// usage is set before first is closed.
	usage wasabiridge.Usage
	// completed is set when all tokens are produced. It is guarded by the mutex
	// of the modelRunner.
	completed bool
	// blockNames are the hashes that the caller sent for the blocks of the
	// prompt, or nil.
	blockNames []wasabiridge.BlockHash
}

func newModelRunner(clock wasabiridge.Clock, spec wasabifake.Spec) *modelRunner {
	r := &modelRunner{
		clock:      clock,
		model:      wasabifake.NewEngine(spec),
		pending:    make(map[wasabiridge.AttemptID]*pendingAnswer),
		blockNames: make(map[wasabiridge.BlockHash]wasabiridge.BlockHash),
		wake:       make(chan struct{}, 1),
		changed:    make(chan struct{}),
		stop:       make(chan struct{}),
		stopped:    make(chan struct{}),
	}
	go r.drive()
	return r
}

// close stops the goroutine that drives the model and waits for its end.
func (r *modelRunner) close() {
	close(r.stop)
	<-r.stopped
}

// drive advances the model when its next output is due or it was changed.
func (r *modelRunner) drive() {
	defer close(r.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.stop:
			return
		case <-r.wake:
		case <-timer.C:
		}
		if wait, ok := r.advance(); ok {
			timer.Reset(wait.Duration())
		}
	}
}

// advance advances the model to the current time and returns the time until its
// next output. It reports false when the model is idle.
func (r *modelRunner) advance() (wasabiridge.Millis, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, out := range r.model.Advance(now) {
		r.dispatch(out)
	}
	r.collectEvents()
	at, ok := r.model.NextAt()
	return max(0, at-now), ok
}

func (r *modelRunner) dispatch(out wasabifake.Output) {
	p, ok := r.pending[out.Job.Attempt]
	if !ok {
		return
	}
	switch out.Kind {
	case wasabifake.FirstToken:
		p.usage = out.Usage
		for i, name := range p.blockNames {
			r.blockNames[out.Job.Chain.Blocks[i]] = name
		}
		close(p.first)
	case wasabifake.Completed:
		p.completed = true
	}
}

// collectEvents appends new cache events of the model to the event log.
func (r *modelRunner) collectEvents() {
	events := r.model.TakeEvents()
	for i := range events {
		events[i].Block = r.publishedName(events[i])
	}
	if dropped := min(r.eventsToDrop, len(events)); dropped > 0 {
		r.eventsToDrop -= dropped
		events = events[dropped:]
	}
	if len(events) == 0 {
		return
	}
	r.eventLog = append(r.eventLog, events...)
	if over := len(r.eventLog) - eventLogLimit; over > 0 {
		r.eventLog = append(r.eventLog[:0], r.eventLog[over:]...)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// publishedName returns the hash under which the block of an event is published:
// the one that a caller sent for it, or the engine's own.
func (r *modelRunner) publishedName(e wasabiridge.CacheEvent) wasabiridge.BlockHash {
	name, ok := r.blockNames[e.Block]
	if e.Kind == wasabiridge.BlockEvicted {
		delete(r.blockNames, e.Block)
	}
	if !ok {
		return e.Block
	}
	return name
}

// eventsAfter returns at most batchLimit events of the log that follow the given
// sequence number of the given incarnation, and a channel that is closed when
// events are appended. If the log starts with another incarnation or a later
// event, the result starts at the beginning of the log.
func (r *modelRunner) eventsAfter(incarnation wasabiridge.Incarnation, sequence uint64) ([]wasabiridge.CacheEvent, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := 0
	for start < len(r.eventLog) && r.eventLog[start].Incarnation == incarnation && r.eventLog[start].Sequence <= sequence {
		start++
	}
	end := min(len(r.eventLog), start+batchLimit)
	return append([]wasabiridge.CacheEvent(nil), r.eventLog[start:end]...), r.changed
}

// newestEvent returns the incarnation and sequence number of the latest event, or
// zeros if there is none.
func (r *modelRunner) newestEvent() (wasabiridge.Incarnation, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.eventLog) == 0 {
		return 0, 0
	}
	last := r.eventLog[len(r.eventLog)-1]
	return last.Incarnation, last.Sequence
}

// submit submits a job to the model. It reports false if the model is down or
// loading weights, or its queue is full. The job did not run then.
func (r *modelRunner) submit(j wasabifake.Job, blockNames []wasabiridge.BlockHash) (*pendingAnswer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	j.Attempt = r.lastID
	p := &pendingAnswer{id: j.Attempt, first: make(chan struct{}), blockNames: blockNames}
	if r.loading || !r.model.Submit(r.clock.Now(), j) {
		return nil, false
	}
	r.pending[p.id] = p
	r.wakeDriver()
	return p, true
}

// release removes an answer and cancels its job if that has not completed.
func (r *modelRunner) release(p *pendingAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, p.id)
	r.model.Cancel(r.clock.Now(), p.id)
	r.wakeDriver()
}

// available returns how many of the output tokens, at most end, are produced.
func (r *modelRunner) available(p *pendingAnswer, end int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.completed {
		return end
	}
	n, ok := r.model.Produced(r.clock.Now(), p.id)
	if !ok {
		return 0
	}
	return min(n, end)
}

// wakeDriver makes drive advance the model. The channel holds one signal, which
// is enough for any number of changes.
func (r *modelRunner) wakeDriver() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *modelRunner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Crash(r.clock.Now())
	r.pending = make(map[wasabiridge.AttemptID]*pendingAnswer)
	r.blockNames = make(map[wasabiridge.BlockHash]wasabiridge.BlockHash)
	r.eventLog = nil
	r.loading = false
}

func (r *modelRunner) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model.Restart()
	r.wakeDriver()
}

func (r *modelRunner) load() wasabiridge.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.Load(r.clock.Now())
}

// versions returns the current incarnation and weights version.
func (r *modelRunner) versions() (wasabiridge.Incarnation, wasabiridge.WeightsVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model.Incarnation(), r.model.Spec().Weights
}
