package wasabinode

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabireach"
)

const (
	// reachInterval is how often it is determined whether the path to the backend
	// servers has to be checked.
	reachInterval = 100 * time.Millisecond
	// probeTimeout bounds opening a connection for a check.
	probeTimeout = 300 * time.Millisecond
	// confirmedTime is how long a connection that was opened for a check proves that
	// this instance has a path to the servers of the pool.
	confirmedTime = 300 * wasabiridge.Millis(1)
	// confirmingServers is the number of servers to which connections are opened to
	// confirm a path.
	confirmingServers = 3
)

// reach determines to the servers of which pools this instance has a path, from the
// attempts that it runs and from connections that it opens. It is safe for concurrent
// use.
type reach struct {
	log    zerolog.Logger
	clock  wasabiridge.Clock
	runner wasabiridge.AttemptRunner
	// prober is nil if the platform has none. The instance then has a path to all pools.
	prober wasabiridge.BackendProber
	seed   uint64
	// pools returns the pools of the active configuration, and poolOf that of a server.
	pools  func() []wasabiridge.Pool
	poolOf func(b wasabiridge.BackendServerID) (wasabiridge.Pool, bool)
	// changed is called when a path was lost or restored. detached tells whether none is
	// left.
	changed func(pool wasabiridge.PoolID, lost, detached bool)

	mu     sync.Mutex
	byPool map[wasabiridge.PoolID]*path
}

// path is the path to the servers of one pool.
type path struct {
	tracker *wasabireach.Tracker
	// confirmedAt is when a connection was last opened for a check.
	confirmedAt wasabiridge.Millis
	// unanswered holds how to cancel the idempotent attempts that have no byte of an
	// answer yet.
	unanswered map[wasabiridge.AttemptID]context.CancelCauseFunc
}

var _ wasabiridge.AttemptRunner = (*reach)(nil)

var errPathLost = wasabiridge.ErrFirstByteTimeout.New("node: the path to the backend servers is lost")

// path returns the path to a pool. The mutex must be held.
func (r *reach) path(id wasabiridge.PoolID) *path {
	p := r.byPool[id]
	if p == nil {
		if r.byPool == nil {
			r.byPool = map[wasabiridge.PoolID]*path{}
		}
		p = &path{tracker: wasabireach.New(r.seed), unanswered: map[wasabiridge.AttemptID]context.CancelCauseFunc{}}
		r.byPool[id] = p
	}
	return p
}

// Run implements wasabiridge.AttemptRunner. An idempotent attempt that is unanswered when
// the path to its pool is found to be lost ends at once.
func (r *reach) Run(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	pool, known := r.poolOf(a.Backend.ID)
	if !known || r.prober == nil {
		return r.runner.Run(ctx, a, sink)
	}
	r.mu.Lock()
	p := r.path(pool.ID)
	r.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s := &reachSink{AttemptSink: sink, reach: r, path: p, attempt: a, cancel: cancel}
	ended := r.runner.Run(ctx, a, s)
	if ended.ServerCrashed && !r.confirm(ctx, pool, p, a.Backend.ID) {
		ended.ServerCrashed = false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(p.unanswered, a.ID)
	p.tracker.Ended(r.clock.Now(), ended)
	return ended
}

// confirm reports whether this instance has a path to a server of the pool other than the
// given one. It opens connections unless a check has done so just before.
//
// It guards against a request being blocked because its connections were reset and new
// ones refused on the way, which looks as if each server had ended under the request.
func (r *reach) confirm(ctx context.Context, pool wasabiridge.Pool, p *path, except wasabiridge.BackendServerID) bool {
	r.mu.Lock()
	confirmed := p.confirmedAt > 0 && r.clock.Now()-p.confirmedAt <= confirmedTime
	r.mu.Unlock()
	var others []wasabiridge.BackendServer
	for _, i := range rand.Perm(len(pool.Backends)) {
		if b := pool.Backends[i]; b.ID != except && len(others) < confirmingServers {
			others = append(others, b)
		}
	}
	return confirmed || len(others) == 0 || r.probe(ctx, p, others).Connected > 0
}

// reachSink records when an attempt is sent and when its answer arrives.
type reachSink struct {
	wasabiridge.AttemptSink
	reach   *reach
	path    *path
	attempt wasabiridge.Attempt
	cancel  context.CancelCauseFunc
}

// Sent implements wasabiridge.AttemptSink.
func (s *reachSink) Sent() {
	s.reach.mu.Lock()
	s.path.tracker.Sent(s.reach.clock.Now(), s.attempt.ID)
	if !s.attempt.NonIdempotent {
		s.path.unanswered[s.attempt.ID] = s.cancel
	}
	s.reach.mu.Unlock()
	s.AttemptSink.Sent()
}

// Head implements wasabiridge.AttemptSink.
func (s *reachSink) Head(status int, h http.Header) error {
	s.received()
	return s.AttemptSink.Head(status, h)
}

// Chunk implements wasabiridge.AttemptSink.
func (s *reachSink) Chunk(tokens int, data []byte) error {
	s.received()
	return s.AttemptSink.Chunk(tokens, data)
}

func (s *reachSink) received() {
	s.reach.mu.Lock()
	defer s.reach.mu.Unlock()
	delete(s.path.unanswered, s.attempt.ID)
	s.path.tracker.Received(s.reach.clock.Now(), s.attempt.ID)
}

// watch checks the paths to the backend servers whenever a check is due, until the context
// ends.
func (r *reach) watch(ctx context.Context) {
	if r.prober == nil {
		return
	}
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.startChecks(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// startChecks starts the checks that are due, and forgets pools that the configuration
// does not have any more.
func (r *reach) startChecks(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pools := r.pools()
	now := r.clock.Now()
	known := 0
	for _, pool := range pools {
		p := r.byPool[pool.ID]
		if p == nil {
			continue
		}
		known++
		if !p.tracker.Due(now) {
			continue
		}
		if sample := p.tracker.Check(pool.Backends); len(sample) > 0 {
			go r.check(ctx, pool.ID, p, sample)
		}
	}
	if known == len(r.byPool) {
		return
	}
	for id := range r.byPool {
		if !hasPool(pools, id) {
			delete(r.byPool, id)
		}
	}
}

func hasPool(pools []wasabiridge.Pool, id wasabiridge.PoolID) bool {
	for _, p := range pools {
		if p.ID == id {
			return true
		}
	}
	return false
}

// probe opens a connection to each of some servers of a pool.
func (r *reach) probe(ctx context.Context, p *path, sample []wasabiridge.BackendServer) wasabireach.Result {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	connected := make(chan bool, len(sample))
	for _, b := range sample {
		go func() { connected <- r.prober.Probe(ctx, b) }()
	}
	var result wasabireach.Result
	for range sample {
		if <-connected {
			result.Connected++
		} else {
			result.Failed++
		}
	}
	if result.Connected > 0 {
		r.mu.Lock()
		p.confirmedAt = r.clock.Now()
		r.mu.Unlock()
	}
	return result
}

// check probes a sample of the servers of a pool and acts on what that shows.
func (r *reach) check(ctx context.Context, pool wasabiridge.PoolID, p *path, sample []wasabiridge.BackendServer) {
	result := r.probe(ctx, p, sample)
	now := r.clock.Now()
	r.mu.Lock()
	before, _ := p.tracker.Detached()
	changed := p.tracker.Checked(now, result)
	_, lost := p.tracker.Detached()
	if changed && lost {
		for id, cancel := range p.unanswered {
			cancel(errPathLost)
			delete(p.unanswered, id)
		}
		// The paths to the other pools may be lost unnoticed if nothing is sent there.
		for _, other := range r.pools() {
			r.path(other.ID).tracker.Suspect()
		}
	}
	detached := r.allLost()
	r.mu.Unlock()
	if !changed {
		return
	}
	r.log.Warn().Str("pool", string(pool)).Bool("lost", lost).Bool("detached", detached).Int("connected", result.Connected).
		Int("failed", result.Failed).Int64("lasted_ms", int64(now-before)).Msg("Path to the backend servers changed.")
	r.changed(pool, lost, detached)
}

// allLost reports whether the paths to all pools with servers are lost. The mutex must be
// held.
func (r *reach) allLost() bool {
	found := false
	for _, pool := range r.pools() {
		if len(pool.Backends) == 0 {
			continue
		}
		if !r.lost(pool.ID) {
			return false
		}
		found = true
	}
	return found
}

// lost reports whether the path to the servers of a pool is lost. The mutex must be held.
func (r *reach) lost(pool wasabiridge.PoolID) bool {
	p := r.byPool[pool]
	if p == nil {
		return false
	}
	_, lost := p.tracker.Detached()
	return lost
}

// enginesLost reports whether the path to a pool of engines is lost.
func (r *reach) enginesLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pool := range r.pools() {
		if len(pool.Backends) > 0 && pool.Backends[0].Kind == wasabiridge.BackendEngine && r.lost(pool.ID) {
			return true
		}
	}
	return false
}

// detached reports whether this instance has no path to any backend server.
func (r *reach) detached() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allLost()
}

// isLost reports whether the path to the servers of a pool is lost.
func (r *reach) isLost(pool wasabiridge.PoolID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost(pool)
}

// lines returns metrics lines: for how long each path has been lost.
func (r *reach) lines(now wasabiridge.Millis) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, p := range r.byPool {
		since, lost := p.tracker.Detached()
		if !lost {
			since = now
		}
		out = append(out, line("path_lost_ms{pool=\""+string(id)+"\"}", int64(now-since)))
	}
	return out
}
