package wasabigateway

import (
	"context"
	"net/http"
	"sync"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

// exchange is one request from the decision to its settlement: the attempts
// that run for it and what the caller has got. The goroutine of the request
// writes to the caller; each attempt has a goroutine of its own.
type exchange struct {
	gateway *Gateway
	call    *call
	request wasabiridge.Request
	method  string
	path    string
	header  http.Header
	box     *wasabiloop.Mailbox
	out     *outlet
	// relay is set while the request is relayed. The goroutine of the request
	// owns it.
	relay *relay
	// attempts counts attempts that have not ended.
	attempts sync.WaitGroup

	mu     sync.Mutex
	ledger ledger
	// running lists the attempts that have not ended.
	running []runningAttempt
	// winner is the attempt whose output goes to the caller. Zero means that
	// the next one with output does.
	winner wasabiridge.AttemptID
	head   head
	// committed says that the caller has got the head of the answer.
	committed bool
	// finished says that the whole answer is in the outlet.
	finished bool
	// closed says that no attempt may answer any more.
	closed bool
	// endings are those that were handed over.
	endings ending
	// tokens counts output tokens that were handed over.
	tokens     int
	firstToken wasabiridge.Millis
	lastToken  wasabiridge.Millis
	usage      wasabiridge.Usage
}

type runningAttempt struct {
	id     wasabiridge.AttemptID
	cancel context.CancelFunc
}

func newExchange(g *Gateway, c *call, r *http.Request, request wasabiridge.Request) *exchange {
	limit := g.options.Limits.AnswerBytes
	if request.Stream {
		limit = g.options.Limits.StreamBytes
	}
	header := r.Header.Clone()
	header.Del("Authorization")
	header.Set(RequestIDHeader, string(c.id))
	return &exchange{
		gateway: g,
		call:    c,
		request: request,
		method:  r.Method,
		path:    r.URL.RequestURI(),
		header:  header,
		box:     wasabiloop.NewMailbox(),
		out:     newOutlet(limit),
	}
}

// start carries out a dispatch. Dispatches that would break a promise are
// answered as not run.
func (x *exchange) start(d wasabiridge.Dispatch) {
	ctx, cancel := context.WithCancel(context.Background())
	if why := x.admit(d, cancel); why != "" {
		cancel()
		x.gateway.options.Log.Error().
			Str(wasabilog.RequestField, string(x.call.id)).
			Str(wasabilog.BackendField, string(d.Backend.ID)).
			Msg("Attempt not started: " + why + ".")
		x.gateway.options.Loop.Post(endOf(d, wasabiridge.AttemptNotRun))
		return
	}
	a := x.attempt(d)
	x.gateway.work.Add(1)
	go func() {
		defer x.gateway.work.Done()
		defer x.attempts.Done()
		defer cancel()
		x.run(ctx, d, a)
	}()
}

// admit notes a new attempt. It returns why the attempt must not start, or
// nothing.
//
// The decisions already keep to these rules. They are checked once more here,
// where the bytes leave, because a mistake would show as a second booking or
// as an answer with a hole.
func (x *exchange) admit(d wasabiridge.Dispatch, cancel context.CancelFunc) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.closed:
		return "the request is over"
	case x.request.Action.NonIdempotent && (x.ledger.disposition() != wasabiridge.NotRun || len(x.running) > 0):
		return "a non-idempotent request may have run"
	case x.committed && !x.request.Action.Resume:
		return "the rule does not allow to resume"
	case d.ResumeFrom != x.tokens, x.committed && x.tokens == 0:
		return "it would not continue where the caller's answer ends"
	}
	x.attempts.Add(1)
	x.running = append(x.running, runningAttempt{id: d.Attempt, cancel: cancel})
	return ""
}

// run carries out an attempt and tells the decisions how it ended.
func (x *exchange) run(ctx context.Context, d wasabiridge.Dispatch, a wasabiridge.Attempt) {
	s := &sink{exchange: x, ctx: ctx, dispatch: d}
	end := x.send(ctx, a, s)
	end.Request = d.Request
	end.Attempt = d.Attempt
	end.Backend = d.Backend.ID
	if end.Result == wasabiridge.AttemptCompleted && !s.complete() {
		end.Result = wasabiridge.AttemptCancelled
	}
	end.Delivered = x.markEnded(s, end)
	x.gateway.options.Loop.Post(end)
	wake(x.out.ready)
}

// send hands an attempt to the runner. A claim may have been given up while
// the request waited, so a claimed request asks for the last time whether it
// may be sent.
func (x *exchange) send(ctx context.Context, a wasabiridge.Attempt, s *sink) wasabiridge.AttemptEnded {
	gate, ok := x.gateway.options.Claimer.(wasabiridge.ClaimGate)
	if !ok || !a.NonIdempotent {
		return x.gateway.options.Runner.Run(ctx, a, s)
	}
	if gate.BeginSend(a.Request) != nil {
		return endOf(s.dispatch, wasabiridge.AttemptNotRun)
	}
	end := x.gateway.options.Runner.Run(ctx, a, s)
	if end.Result == wasabiridge.AttemptNotRun {
		gate.SendNotRun(a.Request)
	}
	return end
}

// attempt puts together what is sent. The goroutine of the request calls it,
// because it drops the body when no further attempt can follow.
func (x *exchange) attempt(d wasabiridge.Dispatch) wasabiridge.Attempt {
	a := wasabiridge.Attempt{
		ID:            d.Attempt,
		Request:       d.Request,
		Account:       x.request.Account,
		Backend:       d.Backend,
		Method:        x.method,
		Path:          x.path,
		Header:        x.header,
		Body:          x.call.body.raw,
		Stream:        x.request.Stream,
		NonIdempotent: x.request.Action.NonIdempotent,
		Priority:      x.request.Action.Priority,
		Incarnation:   d.Incarnation,
		Blocks:        x.request.Chain.Blocks,
		ResumeFrom:    d.ResumeFrom,
	}
	if d.Backend.Kind == wasabiridge.BackendEngine {
		a.Body = x.call.body.withModel(servedModel(x.request.Action))
		a.CacheSalt = wasabiprefix.Salt(x.request.Chain.Root)
	}
	if d.ResumeFrom > 0 {
		a.Weights = d.Weights
	}
	return a
}

// servedModel returns the name under which engines serve the model of a rule.
// An adapter is served under its own name.
func servedModel(a wasabiridge.Action) wasabiridge.ModelID {
	if a.Adapter != "" {
		return wasabiridge.ModelID(a.Adapter)
	}
	return a.Model
}

func endOf(d wasabiridge.Dispatch, result wasabiridge.AttemptResult) wasabiridge.AttemptEnded {
	return wasabiridge.AttemptEnded{
		Request: d.Request,
		Attempt: d.Attempt,
		Backend: d.Backend.ID,
		Result:  result,
	}
}

func (x *exchange) markSent(id wasabiridge.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ledger.markSent(id)
}

// elect makes an attempt the one that answers. It reports false when another
// one does or when the request is over: a late answer ends here.
func (x *exchange) elect(s *sink) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed || x.winner != 0 {
		return false
	}
	x.winner = s.dispatch.Attempt
	if !x.committed {
		x.head = s.head
	}
	return true
}

// delivered counts tokens that were handed over.
func (x *exchange) delivered(tokens int) {
	now := x.gateway.options.Clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.firstToken == 0 {
		x.firstToken = now
	}
	x.lastToken = now
	x.tokens += tokens
}

// markEnding notes an ending that is handed over. It reports false when one was
// handed over before.
func (x *exchange) markEnding(e ending) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := e == endingNone || x.endings&e == 0
	x.endings |= e
	return first
}

// markEnded notes the end of an attempt and returns how many tokens the
// caller has, or none when the attempt was not the one that answered. What an
// attempt left in the outlet is dropped when the caller has seen nothing yet:
// the next attempt starts afresh.
func (x *exchange) markEnded(s *sink, end wasabiridge.AttemptEnded) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forgetRunning(end.Attempt)
	x.ledger.markEnded(end.Attempt, end.Result)
	if x.winner != end.Attempt {
		return 0
	}
	x.usage = end.Usage
	if end.Result == wasabiridge.AttemptCompleted {
		x.finished = true
		return x.tokens
	}
	x.winner = 0
	if x.committed {
		// Only a stream of tokens can be continued by another attempt.
		x.closed = x.closed || !x.head.events
		return x.tokens
	}
	x.tokens = 0
	x.endings = endingNone
	x.firstToken = 0
	x.out.discard()
	return 0
}

func (x *exchange) forgetRunning(id wasabiridge.AttemptID) {
	for i, a := range x.running {
		if a.id == id {
			x.running = append(x.running[:i], x.running[i+1:]...)
			return
		}
	}
}

// cancel gives up one attempt, or all when the identifier is zero.
func (x *exchange) cancel(id wasabiridge.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.running {
		if id == 0 || a.id == id {
			a.cancel()
		}
	}
}

// close lets no further attempt start or answer.
func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
}

func (x *exchange) disposition() wasabiridge.Disposition {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ledger.disposition()
}

func (x *exchange) hasRunning() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.running) > 0
}
