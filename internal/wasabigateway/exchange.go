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

// exchange is the state of one request from its submission to the decision loop
// until its outcome is recorded: its attempts and what was written to the
// caller. The request's goroutine writes to the caller; each attempt runs in
// its own goroutine.
type exchange struct {
	gateway *Gateway
	call    *call
	request wasabiridge.Request
	method  string
	path    string
	header  http.Header
	mailbox *wasabiloop.Mailbox
	out     *outputBuffer
	// relay is set while the answer is relayed to the caller. It belongs to the
	// request's goroutine.
	relay *relay
	// attempts counts the attempts that have not ended.
	attempts sync.WaitGroup

	mu        sync.Mutex
	execution execution
	// running lists the attempts that have not ended.
	running []runningAttempt
	// winner is the attempt whose output goes to the caller. Zero means that
	// the next attempt to produce output becomes the winner.
	winner wasabiridge.AttemptID
	head   head
	// committed is set once the status and header of the answer are written to
	// the caller.
	committed bool
	// finished is set once the complete answer is in the output buffer.
	finished bool
	// closed is set once no attempt may start or produce output any more.
	closed bool
	// finalPayloads are the kinds of final payloads that were passed to the
	// caller.
	finalPayloads finalPayload
	// tokens counts the output tokens that were passed to the caller.
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
		mailbox: wasabiloop.NewMailbox(),
		out:     newOutputBuffer(limit),
	}
}

// start starts the attempt of a dispatch. A dispatch that admit rejects is
// reported to the decision loop as not run.
func (x *exchange) start(d wasabiridge.Dispatch) {
	ctx, cancel := context.WithCancel(context.Background())
	if reason := x.admit(d, cancel); reason != "" {
		cancel()
		x.gateway.options.Log.Error().
			Str(wasabilog.RequestField, string(x.call.id)).
			Str(wasabilog.BackendField, string(d.Backend.ID)).
			Msg("Attempt not started: " + reason + ".")
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

// admit registers a new attempt. It returns the reason why the attempt must not
// start, or an empty string.
//
// The decision loop follows the same rules. They are checked again at the point
// of sending, because a violation would execute a non-idempotent request twice
// or lose part of an answer.
func (x *exchange) admit(d wasabiridge.Dispatch, cancel context.CancelFunc) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.closed:
		return "the request has ended"
	case x.request.Action.NonIdempotent && (x.execution.disposition() != wasabiridge.NotRun || len(x.running) > 0):
		return "the request is not idempotent and may have run"
	case x.committed && !x.request.Action.Resume:
		return "the answer has begun and the rule does not allow resuming it"
	case d.ResumeFrom != x.tokens, x.committed && x.tokens == 0:
		return "its resume position does not match the output that the caller has received"
	}
	x.attempts.Add(1)
	x.running = append(x.running, runningAttempt{id: d.Attempt, cancel: cancel})
	return ""
}

// run executes an attempt and reports its result to the decision loop.
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
	signal(x.out.hasData)
}

// send passes an attempt to the runner. The claim of a request may have been
// given up while the request was queued, so a claimed request is checked with
// the ClaimGate right before it is sent.
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
		gate.RecordNotRun(a.Request)
	}
	return end
}

// attempt builds the attempt for a dispatch. It must be called by the request's
// goroutine, which releases the body once no further attempt can follow.
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

// servedModel returns the model name to send to engines. An adapter is served
// under its own name.
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
	x.execution.markSent(id)
}

// elect makes the attempt of s the winner. It reports false when another
// attempt is the winner or the exchange is closed, so that late output of an
// abandoned attempt is dropped.
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

// delivered counts output tokens that were written to the output buffer, and
// the times of the first and of the last.
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

// markFinalPayload records a final payload. It reports false if one of the same
// kind was passed on before.
func (x *exchange) markFinalPayload(e finalPayload) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := e == finalNone || x.finalPayloads&e == 0
	x.finalPayloads |= e
	return first
}

// markEnded records the end of an attempt. It returns how many tokens the
// caller has, or zero when the attempt was not the winner. If nothing was
// written to the caller yet, the attempt's output is discarded and the next
// attempt starts from the beginning.
func (x *exchange) markEnded(s *sink, end wasabiridge.AttemptEnded) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forgetRunning(end.Attempt)
	x.execution.markEnded(end.Attempt, end.Result)
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
		// Only a token stream of an engine can be resumed by another attempt.
		x.closed = x.closed || !x.head.events
		return x.tokens
	}
	x.tokens = 0
	x.finalPayloads = finalNone
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

// cancel cancels one attempt, or all attempts when id is zero.
func (x *exchange) cancel(id wasabiridge.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.running {
		if id == 0 || a.id == id {
			a.cancel()
		}
	}
}

// close prevents further attempts from starting or producing output.
func (x *exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
}

func (x *exchange) disposition() wasabiridge.Disposition {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.execution.disposition()
}

func (x *exchange) hasRunning() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.running) > 0
}
