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

// moveTimeout bounds one move of an answer. The callers of a stream wait
// meanwhile; without the move they would be cut when the engine goes.
const moveTimeout = wasabiridge.Second

// movedEnd is how long the stream of an answer that was stopped may take to end.
// The engine closes it at once; only its end can be lost on the way.
const movedEnd = 300 * wasabiridge.Millis(1)

const (
	// movePause is the time between two tries to move an answer for which there was
	// no place: those that run elsewhere end, and engines that were dark are back.
	movePause = 150 * time.Millisecond
	// movePasses is how often it is tried. An engine that waits for its answers
	// longer than that waits for their end.
	movePasses = 12
)

// Refuge chooses where an answer may go on that must leave an engine, and that could
// not go to some others. It reports false when there is no such place.
type Refuge func(r wasabiridge.Request, weights wasabiridge.WeightsVersion, not []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool)

// running are the streams whose answers run, by attempt. It is safe for
// concurrent use.
type running struct {
	mu       sync.Mutex
	attempts map[wasabiridge.AttemptID]*run
}

// run is an attempt whose answer runs.
type run struct {
	request  wasabiridge.Request
	dispatch wasabiridge.Dispatch
	// cut ends the attempt.
	cut context.CancelCauseFunc
	// moving is the move of the answer. Nil means that there is none.
	moving *moving
}

// moving is a move under way. What it brought may be read after done is closed.
type moving struct {
	done  chan struct{}
	moved wasabiridge.Moved
}

func newRunning() *running { return &running{attempts: map[wasabiridge.AttemptID]*run{}} }

// add notes that an attempt's answer runs.
func (l *running) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[r.dispatch.Attempt] = r
}

// at returns the answers that run at an engine, the first first.
func (l *running) at(b wasabiridge.BackendServerID) []wasabiridge.AttemptID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wasabiridge.AttemptID
	for id, r := range l.attempts {
		if r.dispatch.Backend.ID == b && r.moving == nil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// begin marks an answer as being moved. It returns nil when it has ended or is
// being moved.
func (l *running) begin(id wasabiridge.AttemptID) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	if r == nil || r.moving != nil {
		return nil
	}
	r.moving = &moving{done: make(chan struct{})}
	return r
}

// stay notes that an answer was not moved.
func (l *running) stay(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(r.moving.done)
	r.moving = nil
}

// end notes that an attempt has ended, and returns its move, or nil.
func (l *running) end(id wasabiridge.AttemptID) *moving {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.attempts[id]
	delete(l.attempts, id)
	if r == nil {
		return nil
	}
	return r.moving
}

// MoveAway moves the answers that run at an engine to where refuge says, one after
// the other: an engine's link carries one at a time. An answer that cannot be
// moved runs on, and is tried again for a while.
//
// The failure it guards against: the emptiest engine has gone dark. Each answer is
// sent there in turn, each try takes 300 ms, and when the engines' link is free at
// last the load still waits seconds for the longest answer.
func (l *Relay) MoveAway(ctx context.Context, b wasabiridge.BackendServerID, refuge Refuge) {
	if l.options.Mover == nil {
		return
	}
	left := l.running.at(b)
	for range movePasses {
		if left = l.movePass(ctx, left, refuge); len(left) == 0 {
			return
		}
		select {
		case <-time.After(movePause):
		case <-ctx.Done():
			return
		}
	}
	l.counts.move("no place")
	l.options.Log.Info().Str(wasabilog.BackendField, string(b)).Int("answers", len(left)).Msg("Answers stay.")
}

// movePass tries to move some answers once, and returns those that run on where they
// are. An engine that did not take one is not tried again in this pass: it is full or
// dark.
func (l *Relay) movePass(ctx context.Context, ids []wasabiridge.AttemptID, refuge Refuge) []wasabiridge.AttemptID {
	var left []wasabiridge.AttemptID
	var not []wasabiridge.BackendServerID
	for _, id := range ids {
		for {
			r := l.running.begin(id)
			if r == nil {
				break // It has ended, or is being moved.
			}
			to, ok := refuge(r.request, r.dispatch.Weights, not)
			if !ok {
				l.running.stay(r)
				left = append(left, id)
				break
			}
			if err := l.move(ctx, r, to); err == nil {
				close(r.moving.done)
				break
			}
			l.running.stay(r)
			not = append(not, to.ID)
		}
	}
	return left
}

// move moves one answer and notes what became of it. Its errors are those of
// wasabiridge.RunMover.
func (l *Relay) move(ctx context.Context, r *run, to wasabiridge.BackendServer) error {
	began := l.options.Clock.Now()
	timed, cancel := context.WithTimeout(ctx, moveTimeout.Duration())
	defer cancel()
	memory, err := l.options.Mover.MoveRun(timed, wasabiridge.RunMove{Request: r.request.ID, From: r.dispatch.Backend, To: to})
	outcome := moveOutcome(err)
	if err == nil {
		r.moving.moved = wasabiridge.Moved{To: to, Memory: memory}
		time.AfterFunc(movedEnd.Duration(), func() { r.cut(errSilent) })
	}
	l.counts.move(outcome)
	l.options.Log.Info().
		Str(wasabilog.RequestField, string(r.request.ID)).
		Uint64("attempt", uint64(r.dispatch.Attempt)).
		Str(wasabilog.BackendField, string(r.dispatch.Backend.ID)).
		Str("to", string(to.ID)).
		Uint64("weights", uint64(r.dispatch.Weights)).
		Int64("took_ms", int64(l.options.Clock.Now()-began)).
		Str("outcome", outcome).
		Msg("Answer moved.")
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

// takeMove takes how the move of an attempt that has ended came out. A broken
// answer goes on where its memory is; otherwise the memory is given back.
func (x *exchange) takeMove(d wasabiridge.Dispatch, end wasabiridge.AttemptEnded) wasabiridge.Moved {
	m := x.relay.running.end(d.Attempt)
	if m == nil {
		return wasabiridge.Moved{}
	}
	select {
	case <-m.done:
	case <-x.ctx.Done():
		return wasabiridge.Moved{}
	}
	if m.moved.Memory == "" {
		return wasabiridge.Moved{}
	}
	if end.Result != wasabiridge.AttemptBroken || x.ctx.Err() != nil {
		go x.relay.dropRun(d.Backend, m.moved.Memory)
		return wasabiridge.Moved{}
	}
	return m.moved
}

// dropRun gives memory back that nobody will use. Failing that, the engines do so
// after some seconds.
func (l *Relay) dropRun(from wasabiridge.BackendServer, memory string) {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout.Duration())
	defer cancel()
	if err := l.options.Mover.DropRun(ctx, from, memory); err != nil {
		l.options.Log.Debug().Err(err).Str(wasabilog.BackendField, string(from.ID)).Msg("Moved memory not given back.")
	}
}
