package wasabirelay

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
)

const (
	// heldBytes bounds an answer that is held back until it is whole, so that
	// another attempt may take its place. A larger one is handed on as it
	// comes.
	heldBytes = 256 << 10
	// finalMargin is how long before the end of the caller's time its answer
	// is given: one that comes with the end is not read any more.
	finalMargin = 15 * wasabiridge.Millis(1)
)

var errSilent = wasabiridge.ErrSilent.New("relay: no byte in time")

// exchange is one request from the decision to its answer. The goroutine of
// the request owns it.
type exchange struct {
	*call
	request wasabiridge.Request
	header  http.Header
	box     *wasabiloop.Mailbox
	// ctx ends with the caller and with the request's time.
	ctx context.Context
	// disposition is what may be said of the request as a whole.
	disposition wasabiridge.Disposition
	// began says that the caller has the head of the answer.
	began bool
	// status and held are an answer that is held back.
	status int
	head   http.Header
	held   []byte
	// events counts the events that the caller has, lastEvent names the last.
	events    int
	lastEvent string
	backend   wasabiridge.BackendServerID
	attempts  int
	firstByte wasabiridge.Millis
}

func newExchange(c *call) *exchange {
	c.named = c.fingerprint()
	return &exchange{
		call: c, request: c.request(), header: c.relay.options.Protocol.Forward(c.r.Header), box: wasabiloop.NewMailbox(),
		lastEvent: c.asked.LastEvent,
	}
}

// request returns what the decisions need to know.
func (c *call) request() wasabiridge.Request {
	root := wasabiridge.CacheRoot{Model: c.asked.Model, Sharing: c.view.Sharing}
	if c.account.Isolated {
		root.Account, root.Sharing = c.account.ID, ""
	}
	r := wasabiridge.Request{
		ID: c.asked.ID, Account: c.account.ID, Method: c.r.Method, Path: c.r.URL.Path, Host: hostOf(c.r), Model: c.asked.Model,
		MaxTokens: c.asked.MaxTokens, Stream: c.rule.Then.Stream, Arrived: c.arrived, Deadline: c.until,
		EndsWithCaller: true, Fingerprint: c.named,
	}.WithRule(c.rule).WithChain(wasabiridge.Chain{
		Root: root, Blocks: c.asked.Blocks, Lengths: c.asked.Lengths, Tokens: c.asked.PromptTokens,
	})
	if c.account.Priority != nil {
		r = r.WithPriority(*c.account.Priority)
	}
	if split := c.rule.Then.Split; len(split) > 0 {
		r = r.WithPool(choosePool(split, c.asked.ID))
	}
	return r
}

// fingerprint names what the request asks.
func (c *call) fingerprint() wasabiridge.Fingerprint {
	return c.relay.options.Names.Name(wasabifingerprint.Content{
		Account: c.account.ID, Method: c.r.Method, Host: hostOf(c.r), Path: c.r.URL.RequestURI(), Model: c.asked.Model, Body: c.body, Blocks: c.asked.Blocks,
	})
}

// run carries out what the decisions want until the caller has its answer. A
// broken answer ends in a panic with http.ErrAbortHandler, which breaks the
// connection: an end that looks clean would pass for a whole answer.
func (x *exchange) run() {
	o := x.relay.options
	if err := o.Loop.Submit(x.request, x.box); err != nil {
		x.refuse(*x.notRun("too many requests wait here"))
		return
	}
	defer o.Loop.Forget(x.request.ID)
	left := x.until - finalMargin - o.Clock.Now()
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithTimeout(x.r.Context(), left.Duration())
	defer cancel()
	control := http.NewResponseController(x.w)
	// A writer without deadlines is one of a test.
	_ = control.SetWriteDeadline(time.Now().Add((x.until - o.Clock.Now() + wasabiridge.Second).Duration()))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for {
		select {
		case effect, ok := <-x.box.Effects():
			if !ok {
				x.giveUp(wasabiridge.Refuse{Reason: wasabiridge.RefusedBroken})
				return
			}
			if x.carryOut(effect) {
				return
			}
		case <-x.ctx.Done():
			x.timeOver()
			return
		}
	}
}

// carryOut carries out one effect. It reports whether the request is over.
func (x *exchange) carryOut(effect wasabiridge.Effect) bool {
	switch e := effect.(type) {
	case wasabiridge.Dispatch:
		return x.try(e)
	case wasabiridge.Refuse:
		x.giveUp(e)
		return true
	}
	return false
}

// try runs an attempt and tells the decisions how it ended. It reports whether
// the request is over.
func (x *exchange) try(d wasabiridge.Dispatch) bool {
	x.attempts++
	x.backend = d.Backend.ID
	x.logPlaced(d)
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	s := &sink{exchange: x, dispatch: d, cut: cancel}
	if d.FirstByte > 0 {
		s.silence = time.AfterFunc(d.FirstByte.Duration(), func() { cancel(errSilent) })
		defer s.silence.Stop()
	}
	before, began := x.disposition, x.relay.options.Clock.Now()
	end := wasabiridge.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Backend: d.Backend.ID, Result: wasabiridge.AttemptNotRun}
	if !x.request.Action.NonIdempotent || before == wasabiridge.NotRun {
		end = x.relay.options.Runner.Run(ctx, x.attempt(d), s)
	}
	x.logFailed(end, began)
	if end.Result == wasabiridge.AttemptNotRun {
		x.disposition = before
	}
	whole := end.Result == wasabiridge.AttemptCompleted
	if whole {
		x.disposition = wasabiridge.Ran
	}
	if whole && x.mayImprove(d) {
		// Another server may still answer with success; this answer waits.
		end.Result, end.Failed = wasabiridge.AttemptBroken, true
		whole = false
	} else if !whole && !x.began {
		// A part of an answer is none to hand on.
		x.status, x.head, x.held = 0, nil, nil
	}
	end.Moved = x.takeMove(d, end)
	x.relay.options.Loop.Post(end)
	switch {
	case whole:
		x.finish()
		return true
	case x.ctx.Err() != nil:
		x.timeOver()
		return true
	}
	return false
}

// mayImprove reports whether the answer is a failure of the server's own in
// place of which another server may give a success.
func (x *exchange) mayImprove(d wasabiridge.Dispatch) bool {
	return !x.began && x.status >= http.StatusInternalServerError && x.request.Action.Retry && x.attempts < x.request.Action.Attempts && !d.Hedge
}

// attempt puts together what is sent.
func (x *exchange) attempt(d wasabiridge.Dispatch) wasabiridge.Attempt {
	a := wasabiridge.Attempt{
		ID: d.Attempt, Request: d.Request, Account: x.request.Account, Backend: d.Backend,
		Method: x.r.Method, Path: x.r.URL.RequestURI(), Header: x.header, Body: x.body, Host: x.r.Host, Model: x.request.Model,
		Stream: x.request.Stream, NonIdempotent: x.request.Action.NonIdempotent, Priority: x.request.Action.Priority,
		Weights: d.Weights, ResumeFrom: d.ResumeFrom, LastEvent: x.lastEvent,
		FetchFrom: d.FetchFrom, SaveTo: d.SaveTo, MemoryFrom: d.MemoryFrom, Until: x.until,
	}
	if x.account.ID != "" {
		a.MaySend = x.proven
	}
	if x.request.Model != "" {
		root := x.request.Chain.Root
		root.Weights = d.Weights
		a.CacheSalt = wasabiprefix.ShortSalt(root)
	}
	return a
}

// finish hands on what was held back. The answer is whole then.
func (x *exchange) finish() {
	if !x.began {
		x.begin()
	}
	if len(x.held) > 0 {
		_, _ = x.w.Write(x.held)
	}
	x.log("Request answered.", OutcomeAnswered, "")
}

// begin writes the head of the answer to the caller.
func (x *exchange) begin() {
	x.began = true
	h := x.w.Header()
	for name, values := range x.head {
		h[name] = values
	}
	x.w.WriteHeader(x.status)
}

// giveUp gives the caller its final negative answer.
func (x *exchange) giveUp(e wasabiridge.Refuse) {
	switch {
	case x.began:
		x.cut(string(e.Reason))
	case x.status > 0:
		// A server's own failure is an answer, and a better one than ours.
		x.finish()
	case x.disposition == wasabiridge.NotRun && e.Reason == wasabiridge.RefusedQuarantined:
		// It would be refused again, so nothing invites it back.
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Cause: string(e.Reason)})
	case x.disposition == wasabiridge.NotRun && e.Reason == wasabiridge.RefusedQuota:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalLimited, Cause: string(e.Reason), RetryAfter: x.comeBackApart(e.RetryAfter)})
	case x.disposition == wasabiridge.NotRun:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Cause: string(e.Reason), RetryAfter: x.comeBack(e.RetryAfter)})
	default:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalBroken, Cause: string(e.Reason)})
	}
}

// timeOver ends a request whose caller has left or whose time has passed.
func (x *exchange) timeOver() {
	x.relay.options.Loop.Post(wasabiridge.CallerGone{Request: x.request.ID})
	switch {
	case x.r.Context().Err() != nil:
		x.log("Caller left.", OutcomeGone, "")
		// Nobody reads the connection any more.
		panic(http.ErrAbortHandler)
	case x.began:
		x.cut("deadline")
	case x.status > 0:
		x.finish()
	case x.disposition == wasabiridge.NotRun:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Cause: "deadline", RetryAfter: x.comeBack(0)})
	default:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalTimeout, Cause: "deadline"})
	}
}

// cut breaks an answer off of which the caller has a part.
func (x *exchange) cut(cause string) {
	x.log("Answer cut.", OutcomeCut, cause)
	panic(http.ErrAbortHandler)
}
