package wasabirelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

// moveTimeout limits one move of an answer. The stream of the caller pauses during the
// move; without it, the stream would be cut when the engine starts to load weights.
const moveTimeout = wasabiridge.Second

// oldStreamTimeout limits the time from a move until the end of the old stream. The engine
// closes the stream immediately, but the end may be lost in the network.
const oldStreamTimeout = 300 * wasabiridge.Millis(1)

const (
	// movePassInterval is the delay before another pass over the answers that could not be
	// moved. Meanwhile other answers end, and engines that did not respond return.
	movePassInterval = 150 * time.Millisecond
	// maxMovePasses is the maximum number of passes. Answers that are still not moved
	// after the last one run to their end where they are.
	maxMovePasses = 12
)

// TargetSelector selects the engine to which an answer is moved from an engine that is
// being drained. The attempt that produces the answer was sent by dispatch from. Engines in
// excluded have refused an answer and must not be selected. It reports false if no engine
// can take the answer.
type TargetSelector func(r wasabiridge.Request, from wasabiridge.Dispatch, excluded []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool)

// activeRuns holds the resumable streams that are being answered, by attempt. It is
// safe for concurrent use.
type activeRuns struct {
	mu       sync.Mutex
	attempts map[wasabiridge.AttemptID]*run
}

// run is an attempt whose answer is being streamed.
type run struct {
	request  wasabiridge.Request
	dispatch wasabiridge.Dispatch
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
	// move is the move of the answer, or nil if it is not being moved.
	move *pendingMove
}

// pendingMove is a move in flight. Moved may be read after done is closed; its zero
// value means that the move failed.
type pendingMove struct {
	done  chan struct{}
	moved wasabiridge.MigrationResult
}

func newActiveRuns() *activeRuns { return &activeRuns{attempts: map[wasabiridge.AttemptID]*run{}} }

// add registers an attempt whose answer has started.
func (l *activeRuns) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[r.dispatch.Attempt] = r
}

// at returns the attempts that run at an engine and are not being moved, in the order
// of their identifiers.
func (l *activeRuns) at(b wasabiridge.BackendServerID) []wasabiridge.AttemptID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wasabiridge.AttemptID
	for id, r := range l.attempts {
		if r.dispatch.Backend.ID == b && r.move == nil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// beginMove marks an answer as being moved. It returns nil if the answer has ended or
// is already being moved.
func (l *activeRuns) beginMove(id wasabiridge.AttemptID) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	if r == nil || r.move != nil {
		return nil
	}
	r.move = &pendingMove{done: make(chan struct{})}
	return r
}

// cancelMove ends the move of an answer that stays at its engine.
func (l *activeRuns) cancelMove(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(r.move.done)
	r.move = nil
}

// remove removes an attempt that has ended. It returns the move of its answer, or nil.
func (l *activeRuns) remove(id wasabiridge.AttemptID) *pendingMove {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	delete(l.attempts, id)
	if r == nil {
		return nil
	}
	return r.move
}

// MigrateAnswers moves the answers that run at an engine to the engines that
// selectTarget selects, one after the other, because the network link of an engine
// transfers one at a time. An answer that cannot be moved keeps running, and the move
// is tried again up to maxMovePasses times.
//
// An engine that did not take an answer is excluded for the rest of the pass. Otherwise,
// if the engine with the most free capacity does not respond, every answer is offered to
// it first, each offer takes 300 ms, and the load of the weights is delayed by seconds
// until the longest answer has ended.
func (l *Relay) MigrateAnswers(ctx context.Context, b wasabiridge.BackendServerID, selectTarget TargetSelector) {
	if l.options.Mover == nil {
		return
	}
	left := l.running.at(b)
	for range maxMovePasses {
		if left = l.movePass(ctx, left, selectTarget); len(left) == 0 {
			return
		}
		select {
		case <-time.After(movePassInterval):
		case <-ctx.Done():
			return
		}
	}
	l.counts.addMove("no place")
	l.options.Log.Info().Str(wasabilog.BackendField, string(b)).Int("answers", len(left)).Msg("Answers could not be moved and stay at their engine.")
}

// movePass tries to move each of the answers, and returns those that stay at their
// engine. An engine that did not take an answer is full or not responding, and is not
// tried again in this pass.
func (l *Relay) movePass(ctx context.Context, ids []wasabiridge.AttemptID, selectTarget TargetSelector) []wasabiridge.AttemptID {
	var left []wasabiridge.AttemptID
	var excluded []wasabiridge.BackendServerID
	for _, id := range ids {
		for {
			r := l.running.beginMove(id)
			if r == nil {
				break // The answer has ended or is already being moved.
			}
			to, ok := selectTarget(r.request, r.dispatch, excluded)
			if !ok {
				l.running.cancelMove(r)
				left = append(left, id)
				break
			}
			if err := l.move(ctx, r, to); err == nil {
				close(r.move.done)
				break
			}
			l.running.cancelMove(r)
			excluded = append(excluded, to.ID)
		}
	}
	return left
}

// move moves one answer, and counts and logs the outcome. It returns the errors of
// wasabiridge.RequestMigrator.
func (l *Relay) move(ctx context.Context, r *run, to wasabiridge.BackendServer) error {
	started := l.options.Clock.Now()
	timed, cancel := context.WithTimeout(ctx, moveTimeout.Duration())
	defer cancel()
	memory, err := l.options.Mover.Migrate(timed, wasabiridge.RequestMigration{Request: r.request.ID, From: r.dispatch.Backend, To: to})
	outcome := moveOutcome(err)
	if err == nil {
		r.move.moved = wasabiridge.MigrationResult{To: to, Handle: memory}
		time.AfterFunc(oldStreamTimeout.Duration(), func() { r.cancel(errFirstByteTimeout) })
	}
	l.counts.addMove(outcome)
	l.options.Log.Info().
		Str(wasabilog.RequestField, string(r.request.ID)).
		Uint64("attempt", uint64(r.dispatch.Attempt)).
		Str(wasabilog.BackendField, string(r.dispatch.Backend.ID)).
		Str("to", string(to.ID)).
		Uint64("weights", uint64(r.dispatch.Weights)).
		Int64("took_ms", int64(l.options.Clock.Now()-started)).
		Str("outcome", outcome).
		Msg("Move of an answer ended.")
	return err
}

func moveOutcome(err error) string {
	switch {
	case err == nil:
		return "moved"
	case errorx.IsOfType(err, wasabiridge.ErrNotFound):
		return "not running"
	case errorx.IsOfType(err, wasabiridge.ErrConflict):
		return "being moved"
	case errorx.IsOfType(err, wasabiridge.ErrUnavailable):
		return "refused"
	}
	return "unknown"
}

// takeMove waits for the move of an attempt that has ended, if there is one. It returns
// where the answer continues. If the answer is complete or the request has ended, the moved
// KV cache is released. The engine closes the stream of an answer that it has stopped, which
// proves no end of a response that ends with its connection.
func (x *exchange) takeMove(d wasabiridge.Dispatch, end wasabiridge.AttemptEnded) wasabiridge.MigrationResult {
	m := x.relay.running.remove(d.Attempt)
	if m == nil {
		return wasabiridge.MigrationResult{}
	}
	select {
	case <-m.done:
	case <-x.ctx.Done():
		return wasabiridge.MigrationResult{}
	}
	if m.moved.Handle == "" {
		return wasabiridge.MigrationResult{}
	}
	stopped := end.Result == wasabiridge.AttemptBroken || end.Result == wasabiridge.AttemptCompleted && end.Framing == wasabiridge.FramingClose
	if !stopped || x.ctx.Err() != nil {
		go x.relay.dropCache(d.Backend, m.moved.Handle)
		return wasabiridge.MigrationResult{}
	}
	return m.moved
}

// dropCache releases a moved KV cache that will not be used. If the call fails, the
// engines release it by themselves after some seconds.
func (l *Relay) dropCache(from wasabiridge.BackendServer, memory string) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout.Duration())
	defer cancel()
	if err := l.options.Mover.DropCache(ctx, from, memory); err != nil {
		l.options.Log.Debug().Err(err).Str(wasabilog.BackendField, string(from.ID)).Msg("Release of a moved KV cache failed.")
	}
}
