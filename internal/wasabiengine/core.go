package wasabiengine

import (
	"sync"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

const (
	// historyLimit bounds the cache events kept for subscribers. Older ones
	// are dropped, which subscribers see as a gap.
	historyLimit = 4096
	// batchLimit bounds the cache events in one message.
	batchLimit = 256
)

// core drives the model of an engine by the clock. It is safe for concurrent
// use.
type core struct {
	clock wasabiridge.Clock

	mu      sync.Mutex
	model   *wasabifake.Engine
	waiters map[wasabiridge.AttemptID]*waiter
	// names maps cached blocks to what callers call them.
	names   map[wasabiridge.BlockHash]wasabiridge.BlockHash
	lastID  wasabiridge.AttemptID
	wake    chan struct{}
	history []wasabiridge.CacheEvent
	// changed is closed and replaced whenever the history grows.
	changed chan struct{}
	// loseEvents counts events that are to be lost on their way.
	loseEvents int
	loading    bool
	// loads numbers the loads of weights.
	loads   uint64
	fencing wasabiridge.FencingNumber
	role    string
	stop    chan struct{}
	stopped chan struct{}
}

// waiter is an answer that waits for the model.
type waiter struct {
	id    wasabiridge.AttemptID
	first chan struct{}
	// usage is set before first is closed.
	usage wasabiridge.Usage
	// whole is set under the core's lock when all tokens are produced.
	whole bool
	// names are the caller's names of the prompt's blocks, or nil.
	names []wasabiridge.BlockHash
}

func newCore(clock wasabiridge.Clock, spec wasabifake.Spec) *core {
	c := &core{
		clock:   clock,
		model:   wasabifake.NewEngine(spec),
		waiters: make(map[wasabiridge.AttemptID]*waiter),
		names:   make(map[wasabiridge.BlockHash]wasabiridge.BlockHash),
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go c.drive()
	return c
}

// close ends the goroutine that drives the model.
func (c *core) close() {
	close(c.stop)
	<-c.stopped
}

// drive moves the model whenever it has something to do.
func (c *core) drive() {
	defer close(c.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-c.wake:
		case <-timer.C:
		}
		if wait, ok := c.advance(); ok {
			timer.Reset(wait.Duration())
		}
	}
}

// advance lets the model catch up with the clock and returns how long it then
// has nothing to do. It reports false when the model is idle.
func (c *core) advance() (wasabiridge.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, out := range c.model.Advance(now) {
		c.dispatch(out)
	}
	c.collect()
	at, ok := c.model.NextAt()
	return max(0, at-now), ok
}

func (c *core) dispatch(out wasabifake.Output) {
	w, ok := c.waiters[out.Job.Attempt]
	if !ok {
		return
	}
	switch out.Kind {
	case wasabifake.FirstToken:
		w.usage = out.Usage
		for i, name := range w.names {
			c.names[out.Job.Chain.Blocks[i]] = name
		}
		close(w.first)
	case wasabifake.Completed:
		w.whole = true
	}
}

// collect takes the model's cache events into the history.
func (c *core) collect() {
	events := c.model.TakeEvents()
	for i := range events {
		events[i].Block = c.rename(events[i])
	}
	if lost := min(c.loseEvents, len(events)); lost > 0 {
		c.loseEvents -= lost
		events = events[lost:]
	}
	if len(events) == 0 {
		return
	}
	c.history = append(c.history, events...)
	if over := len(c.history) - historyLimit; over > 0 {
		c.history = append(c.history[:0], c.history[over:]...)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// rename returns the name under which a block is published.
func (c *core) rename(e wasabiridge.CacheEvent) wasabiridge.BlockHash {
	name, ok := c.names[e.Block]
	if e.Kind == wasabiridge.BlockEvicted {
		delete(c.names, e.Block)
	}
	if !ok {
		return e.Block
	}
	return name
}

// eventsAfter returns kept events of an incarnation behind a sequence number,
// and a channel that is closed when there are more.
func (c *core) eventsAfter(life wasabiridge.Incarnation, sequence uint64) ([]wasabiridge.CacheEvent, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := 0
	for start < len(c.history) && c.history[start].Incarnation == life && c.history[start].Sequence <= sequence {
		start++
	}
	end := min(len(c.history), start+batchLimit)
	return append([]wasabiridge.CacheEvent(nil), c.history[start:end]...), c.changed
}

// newest names the last event that is kept.
func (c *core) newest() (wasabiridge.Incarnation, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.history) == 0 {
		return 0, 0
	}
	last := c.history[len(c.history)-1]
	return last.Incarnation, last.Sequence
}

// submit hands a job to the model. It reports false when the model is down,
// loading or full; nothing ran then.
func (c *core) submit(j wasabifake.Job, names []wasabiridge.BlockHash) (*waiter, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	j.Attempt = c.lastID
	w := &waiter{id: j.Attempt, first: make(chan struct{}), names: names}
	if c.loading || !c.model.Submit(c.clock.Now(), j) {
		return nil, false
	}
	c.waiters[w.id] = w
	c.poke()
	return w, true
}

// release forgets an answer and cancels what is left of it.
func (c *core) release(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, w.id)
	c.model.Cancel(c.clock.Now(), w.id)
	c.poke()
}

// available counts the output tokens that may be written, of end.
func (c *core) available(w *waiter, end int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.whole {
		return end
	}
	n, ok := c.model.Produced(c.clock.Now(), w.id)
	if !ok {
		return 0
	}
	return min(n, end)
}

// poke wakes the driver. The ring holds one: a wake that waits is enough.
func (c *core) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *core) crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.model.Crash(c.clock.Now())
	c.waiters = make(map[wasabiridge.AttemptID]*waiter)
	c.names = make(map[wasabiridge.BlockHash]wasabiridge.BlockHash)
	c.history = nil
	c.loading = false
}

func (c *core) revive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.model.Return()
	c.poke()
}

func (c *core) load() wasabiridge.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.model.Load(c.clock.Now())
}

// versions returns the incarnation and the weights that serve now.
func (c *core) versions() (wasabiridge.Incarnation, wasabiridge.WeightsVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.model.Incarnation(), c.model.Spec().Weights
}
