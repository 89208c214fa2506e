package wasabinode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
	"github.com/wasabiridge/wasabiridge/internal/wasabireach"
)

const (
	// reachInterval is how often it is determined whether the path to the backend
	// servers has to be checked.
	reachInterval = 100 * time.Millisecond
	// noPathInterval is the same while nothing was sent to any pool.
	noPathInterval = 250 * time.Millisecond
	// probeTimeout bounds opening a connection for a check.
	probeTimeout = 300 * time.Millisecond
	// hangTime is the time from which a failed check counts as one that got no response,
	// and not as one that was refused.
	hangTime = 200 * wasabiridge.Millis(1)
	// confirmedTime is how long a connection that was opened for a check proves that
	// this instance has a path to the servers of the pool.
	confirmedTime = 300 * wasabiridge.Millis(1)
	// confirmingServers is the number of servers to which connections are opened to
	// confirm a path.
	confirmingServers = 3
)

// watch checks the paths to the backend servers whenever a check is due, until the context
// ends.
func (r *reach) watch(ctx context.Context) {
	if r.prober == nil {
		return
	}
	ticker := wasabipulse.New(reachInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			interval := reachInterval
			if !r.startChecks(ctx) {
				interval = noPathInterval
			}
			ticker.Next(interval)
		case <-ctx.Done():
			return
		}
	}
}

// startChecks starts the checks that are due, and forgets pools that the configuration
// does not have any more. It reports whether requests were sent to any pool.
func (r *reach) startChecks(ctx context.Context) bool {
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
		return known > 0
	}
	for id := range r.byPool {
		if !hasPool(pools, id) {
			delete(r.byPool, id)
		}
	}
	return known > 0
}

func hasPool(pools []wasabiridge.Pool, id wasabiridge.PoolID) bool {
	for _, p := range pools {
		if p.ID == id {
			return true
		}
	}
	return false
}

// probe opens a connection to each of some servers of a pool. Where connections forward
// no data, it asks for an answer.
func (r *reach) probe(ctx context.Context, p *path, sample []wasabiridge.BackendServer) wasabireach.Result {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r.mu.Lock()
	probe := r.prober.Probe
	if p.tracker.Mute() {
		probe = r.prober.Ask
	}
	r.mu.Unlock()
	began := r.clock.Now()
	connected := make(chan bool, len(sample))
	for _, b := range sample {
		go func() { connected <- probe(ctx, b) }()
	}
	var result wasabireach.Result
	for range sample {
		if <-connected {
			result.Connected++
		} else {
			result.Failed++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.Connected > 0 {
		p.confirmedAt = r.clock.Now()
	} else {
		p.hangs = r.clock.Now()-began >= hangTime
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
		r.giveUp(p)
	}
	r.mu.Unlock()
	if changed {
		r.report(pool, lost, now-before, result)
	}
}

// giveUp ends the idempotent attempts that wait for an answer over a lost path. The paths to
// the other pools may be lost unnoticed if nothing is sent there, so they are checked. The
// mutex must be held.
func (r *reach) giveUp(p *path) {
	for id, cancel := range p.unanswered {
		cancel(errPathLost)
		delete(p.unanswered, id)
	}
	now := r.clock.Now()
	for _, other := range r.pools() {
		r.path(other.ID).tracker.Suspect()
		if p.tracker.Mute() {
			r.path(other.ID).tracker.Doubt(now)
		}
	}
}

// report logs and reports that a path was lost or restored, with the time for which the
// state before lasted and the result of the check.
func (r *reach) report(pool wasabiridge.PoolID, lost bool, lasted wasabiridge.Millis, result wasabireach.Result) {
	// Checks of several pools may end at the same time. The one that reports last must
	// report the latest state.
	r.reporting.Lock()
	defer r.reporting.Unlock()
	detached := r.detached()
	r.log.Warn().Str("pool", string(pool)).Bool("lost", lost).Bool("detached", detached).Int("connected", result.Connected).
		Int("failed", result.Failed).Int64("lasted_ms", int64(lasted)).Msg("Path to the backend servers changed.")
	r.changed(pool, lost, detached)
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
