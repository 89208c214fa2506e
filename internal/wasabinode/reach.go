package wasabinode

import (
	"context"
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
	probeTimeout = 400 * time.Millisecond
)

// reach determines whether this instance has a path to the backend servers, from the
// attempts that it runs and from connections that it opens. It is safe for concurrent
// use.
type reach struct {
	log    zerolog.Logger
	clock  wasabiridge.Clock
	runner wasabiridge.AttemptRunner
	// prober is nil if the platform has none. The instance then counts as connected.
	prober wasabiridge.BackendProber
	// servers returns the backend servers of all pools.
	servers func() []wasabiridge.BackendServer

	mu      sync.Mutex
	tracker *wasabireach.Tracker
}

var _ wasabiridge.AttemptRunner = (*reach)(nil)

func newReach(r wasabiridge.AttemptRunner, clock wasabiridge.Clock, seed uint64, log zerolog.Logger, servers func() []wasabiridge.BackendServer) *reach {
	prober, _ := r.(wasabiridge.BackendProber)
	return &reach{log: log, clock: clock, runner: r, prober: prober, servers: servers, tracker: wasabireach.New(seed)}
}

// Run implements wasabiridge.AttemptRunner.
func (r *reach) Run(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	ended := r.runner.Run(ctx, a, &reachSink{AttemptSink: sink, reach: r, attempt: a.ID})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Ended(r.clock.Now(), ended)
	return ended
}

// reachSink records when an attempt is sent and when its answer arrives.
type reachSink struct {
	wasabiridge.AttemptSink
	reach   *reach
	attempt wasabiridge.AttemptID
}

// Sent implements wasabiridge.AttemptSink.
func (s *reachSink) Sent() {
	s.reach.mu.Lock()
	s.reach.tracker.Sent(s.reach.clock.Now(), s.attempt)
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
	s.reach.tracker.Received(s.reach.clock.Now(), s.attempt)
}

// watch checks the path to the backend servers whenever a check is due, until the context
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
		case <-ctx.Done():
			return
		}
		if sample := r.dueSample(); len(sample) > 0 {
			r.check(ctx, sample)
		}
	}
}

// dueSample returns the servers of the check that is due, or none.
func (r *reach) dueSample() []wasabiridge.BackendServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.tracker.Due(r.clock.Now()) {
		return nil
	}
	return r.tracker.Check(r.servers())
}

// check opens a connection to each server of a sample.
func (r *reach) check(ctx context.Context, sample []wasabiridge.BackendServer) {
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
	now := r.clock.Now()
	r.mu.Lock()
	since, _ := r.tracker.Detached()
	changed := r.tracker.Checked(now, result)
	_, detached := r.tracker.Detached()
	r.mu.Unlock()
	if changed {
		r.log.Warn().Bool("detached", detached).Int("connected", result.Connected).Int("failed", result.Failed).
			Int64("lasted_ms", int64(now-since)).Msg("Path to the backend servers changed.")
	}
}

// detached reports whether this instance has no path to any backend server.
func (r *reach) detached() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, detached := r.tracker.Detached()
	return detached
}

// lines returns metrics lines: for how long the instance has had no path to the servers.
func (r *reach) lines(now wasabiridge.Millis) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, detached := r.tracker.Detached()
	if !detached {
		since = now
	}
	return []string{line("backends_detached_ms", int64(now-since))}
}

// backendServers returns the backend servers of all pools of the active configuration.
func (n *Node) backendServers() []wasabiridge.BackendServer {
	var out []wasabiridge.BackendServer
	for _, pool := range n.activeConfig.Load().config.Pools {
		out = append(out, pool.Backends...)
	}
	return out
}
