package wasabirelay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
	// chunks counts the pieces of the answer that have arrived.
	chunks atomic.Uint64

	// move is the move of the answer, or nil if it is not being moved. This and the
	// following fields are protected by activeRuns.mu.
	move *pendingMove
	// mayBeStopped is set while the engine may have stopped the run because it was asked to
	// move it. The end of a response that has no length proves nothing then.
	mayBeStopped bool
	// moved is where the answer continues if its stream ends before the answer is complete.
	moved wasabiridge.MigrationResult
	// movedChunks is the value of chunks when moved was set.
	movedChunks uint64
}

// isStopped reports whether the answer continues elsewhere. An engine that kept the KV cache
// of the run but goes on sending has not stopped it.
func (r *run) isStopped() bool {
	if r.moved.Handle == "" {
		return false
	}
	return r.moved.To.ID != r.dispatch.Backend.ID || r.chunks.Load() == r.movedChunks
}

// pendingMove is a move in flight.
type pendingMove struct {
	done chan struct{}
	// mayBeStopped is that of the run before the move.
	mayBeStopped bool
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

// beginMove marks an answer as being moved. It returns nil if the answer has ended, is
// already being moved, or was stopped by an earlier move.
func (l *activeRuns) beginMove(id wasabiridge.AttemptID) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	if r == nil || r.move != nil || r.isStopped() {
		return nil
	}
	r.move = &pendingMove{done: make(chan struct{}), mayBeStopped: r.mayBeStopped}
	return r
}

// orderStop records that the engine is about to be asked to move the answer. It reports
// false if the answer has ended meanwhile.
//
// The failure it guards against: the engine stops the run before it responds, and the
// stream may end before the response to the move is known.
func (l *activeRuns) orderStop(r *run) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts[r.dispatch.Attempt] != r {
		return false
	}
	r.mayBeStopped = true
	return true
}

// endMove ends the move of an answer with the result of the request to its engine.
func (l *activeRuns) endMove(r *run, moved wasabiridge.MigrationResult, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		r.moved, r.movedChunks = moved, r.chunks.Load()
	} else if !mayHaveStopped(err) {
		r.mayBeStopped = r.move.mayBeStopped
	}
	l.release(r)
}

// cancelStopped ends the attempt of a run that its engine has stopped.
func (l *activeRuns) cancelStopped(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.isStopped() {
		r.cancel(errFirstByteTimeout)
	}
}

// cancelMove ends a move that was not requested from the engine.
func (l *activeRuns) cancelMove(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(r)
}

// release makes the answer available for another move. The mutex must be held.
func (l *activeRuns) release(r *run) {
	close(r.move.done)
	r.move = nil
}

// remove removes an attempt that has ended. It returns its run and the move in flight; both
// may be nil.
func (l *activeRuns) remove(id wasabiridge.AttemptID) (*run, *pendingMove) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	delete(l.attempts, id)
	if r == nil {
		return nil, nil
	}
	return r, r.move
}

// result returns where the answer of a run continues, if it was moved, and whether its
// engine may have stopped it.
func (l *activeRuns) result(r *run) (moved wasabiridge.MigrationResult, mayBeStopped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.moved, r.mayBeStopped
}

// mayHaveStopped reports whether an engine may have stopped a run although the migration
// failed.
func mayHaveStopped(err error) bool {
	return !errorx.IsOfType(err, wasabiridge.ErrNotFound) && !errorx.IsOfType(err, wasabiridge.ErrUnavailable)
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
			if l.move(ctx, r, to) == nil {
				break
			}
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
	if !l.running.orderStop(r) {
		l.running.cancelMove(r)
		return nil
	}
	moved, err := l.options.Mover.Migrate(timed, wasabiridge.RequestMigration{Request: r.request.ID, From: r.dispatch.Backend, To: to})
	l.running.endMove(r, moved, err)
	outcome := moveOutcome(err)
	if err == nil {
		if moved.To.ID == r.dispatch.Backend.ID {
			outcome = "stopped"
		}
		time.AfterFunc(oldStreamTimeout.Duration(), func() { l.running.cancelStopped(r) })
	}
	l.counts.addMove(outcome)
	l.options.Log.Info().
		Str(wasabilog.RequestField, string(r.request.ID)).
		Uint64("attempt", uint64(r.dispatch.Attempt)).
		Str(wasabilog.BackendField, string(r.dispatch.Backend.ID)).
		Str("to", string(to.ID)).
		Uint64("weights", uint64(r.dispatch.Weights)).
		Uint64("chunks", r.chunks.Load()).
		Int64("took_ms", int64(l.options.Clock.Now()-started)).
		Str("outcome", outcome).
		AnErr("error", err).
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
		return "not sent"
	case errorx.IsOfType(err, wasabiridge.ErrMigrationRefused):
		return "refused"
	}
	return "unknown"
}

// takeMove completes the result of an attempt whose run the engine was asked to move. An
// engine closes the stream of a run that it stops, so that the end of a response without a
// length proves nothing from the moment at which the move was requested. The run then
// continues where its KV cache is, or is resumed like any stream that broke off. If the
// answer is complete or the request has ended, the moved KV cache is released.
func (x *exchange) takeMove(d wasabiridge.Dispatch, end *wasabiridge.AttemptEnded) {
	r, move := x.relay.running.remove(d.Attempt)
	if r == nil {
		return
	}
	if end.Result == wasabiridge.AttemptCompleted && end.Framing != wasabiridge.FramingClose {
		if _, requested := x.relay.running.result(r); requested {
			go x.relay.releaseMove(r, move)
		}
		return
	}
	if move != nil {
		select {
		case <-move.done:
			move = nil
		case <-x.ctx.Done():
		}
	}
	moved, mayBeStopped := x.relay.running.result(r)
	if !mayBeStopped {
		return
	}
	if end.Result == wasabiridge.AttemptCompleted {
		x.relay.counts.addUnproven(moved.Handle != "")
		end.Result = wasabiridge.AttemptBroken
	}
	if end.Result != wasabiridge.AttemptBroken || x.ctx.Err() != nil {
		go x.relay.releaseMove(r, move)
		return
	}
	if end.Malformed.Cause != "" && moved.To.ID == d.Backend.ID {
		// What the server sends is not to be trusted.
		go x.relay.releaseMove(r, move)
		return
	}
	end.Stopped = !end.ServerCrashed && end.Malformed.Cause == ""
	if end.Stopped || moved.To.ID != d.Backend.ID {
		end.Moved = moved
	}
}

// releaseMove waits for a move in flight, which may be nil, and releases the KV cache of a
// run that does not continue.
func (l *Relay) releaseMove(r *run, move *pendingMove) {
	if move != nil {
		<-move.done
	}
	if moved, _ := l.running.result(r); moved.Handle != "" {
		l.dropCache(r.dispatch.Backend, moved.Handle)
	}
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
