package wasabinode

import (
	"context"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabireach"
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
	// changed is called when a path was lost or restored. detached reports whether none is
	// left.
	changed func(pool wasabiridge.PoolID, lost, detached bool)

	// reporting is held while changed is called.
	reporting sync.Mutex

	mu     sync.Mutex
	byPool map[wasabiridge.PoolID]*path
}

// path is the path to the servers of one pool.
type path struct {
	tracker *wasabireach.Tracker
	// confirmedAt is when a connection was last opened for a check.
	confirmedAt wasabiridge.Millis
	// hangs is set if the last failed check got no response.
	hangs bool
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
	s.path.tracker.Sent(s.reach.clock.Now(), s.attempt.ID, s.attempt.Backend.ID)
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

// inDoubt reports whether another instance should be asked to serve a request for a pool,
// although this instance counts as having a path to it.
func (r *reach) inDoubt(pool wasabiridge.PoolID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byPool[pool]
	return p != nil && p.tracker.InDoubt(r.clock.Now())
}

// servedElsewhere records whether another instance relayed the response of a server of a pool.
func (r *reach) servedElsewhere(pool wasabiridge.PoolID, served bool) {
	r.mu.Lock()
	p := r.byPool[pool]
	if p == nil {
		r.mu.Unlock()
		return
	}
	if !served {
		p.tracker.NotServedElsewhere()
		r.mu.Unlock()
		return
	}
	before, _ := p.tracker.Detached()
	now := r.clock.Now()
	changed := p.tracker.ServedElsewhere(now)
	if changed {
		r.giveUp(p)
	}
	r.mu.Unlock()
	if changed {
		r.report(pool, true, now-before, wasabireach.Result{})
	}
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

// isSilent reports whether attempts at the servers of a pool would wait in vain: checks get no
// response, and nothing has arrived lately.
func (r *reach) isSilent(pool wasabiridge.PoolID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byPool[pool]
	return p != nil && p.hangs && p.tracker.Silent(r.clock.Now())
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
