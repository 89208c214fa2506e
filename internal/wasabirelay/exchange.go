package wasabirelay

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifingerprint"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered until it is
	// complete, so that it can be replaced by the answer of another attempt. A
	// larger answer is streamed to the caller.
	maxBufferedBytes = 128 << 10
	// finalMargin is the time before the caller's deadline at which the final
	// answer is sent. Callers do not read answers that arrive at the deadline.
	finalMargin = 15 * wasabiridge.Millis(1)
)

var errFirstByteTimeout = wasabiridge.ErrFirstByteTimeout.New("relay: backend server sent no byte within the time limit")

// exchange processes one request from its submission to the decider until it is
// answered. It is owned by the goroutine of the request.
type exchange struct {
	*call
	request wasabiridge.Request
	header  http.Header
	box     *wasabiloop.Mailbox
	// ctx ends when the caller disconnects or the request's deadline is near.
	ctx context.Context
	// disposition is the disposition of the whole request, over all attempts.
	disposition wasabiridge.Disposition
	// headSent is set when the status and header have been written to the caller.
	headSent bool
	// status, head and buffered are those of the current answer. Status is 0 if there
	// is none.
	status   int
	head     http.Header
	buffered []byte
	// events is the number of stream events sent to the caller, and lastEvent the
	// identifier of the last one.
	events    int
	lastEvent string
	// software is that of the server which sent the last of these events.
	software wasabiridge.SoftwareVersion
	// begun holds where other instances were notified that the stream begins.
	begun    begun
	backend  wasabiridge.BackendServerID
	attempts int
	// possibleRuns counts the attempts after which the request may have run.
	possibleRuns int
	firstByte    wasabiridge.Millis
	// framing and partialEvent are those of the last attempt's response.
	framing      wasabiridge.Framing
	partialEvent int
	// response is what is known of that response.
	response wasabiridge.ResponseEvidence
	// malformed is the first event of the stream that belongs to no run, if there was one, and
	// malformedAt the server that sent it.
	malformed   wasabiridge.MalformedEvent
	malformedAt wasabiridge.BackendServerID
	// outcome is that of the request, once it was logged. A refusal leaves it empty.
	outcome string
}

func newExchange(c *call) *exchange {
	c.fingerprint = c.computeFingerprint()
	return &exchange{
		call: c, request: c.request(), header: c.relay.options.Protocol.Forward(c.r.Header), box: wasabiloop.NewMailbox(),
		lastEvent: c.parsed.LastEvent,
	}
}

// request returns the request in the form that the decider takes.
func (c *call) request() wasabiridge.Request {
	root := wasabiridge.CacheRoot{Model: c.parsed.Model, Sharing: c.view.Sharing}
	if c.account.Isolated {
		root.Account, root.Sharing = c.account.ID, ""
	}
	r := wasabiridge.Request{
		ID: c.parsed.ID, Account: c.account.ID, Method: c.r.Method, Path: wasabirule.PathOf(c.r), Host: hostOf(c.r), Model: c.parsed.Model,
		Bytes: len(c.body), MaxTokens: c.parsed.MaxTokens, Stream: c.rule.Then.Stream, Arrived: c.arrived, Deadline: c.until,
		EndsWithCaller: true, Fingerprint: c.fingerprint,
	}.WithRule(c.rule).WithChain(wasabiridge.Chain{
		Root: root, Blocks: c.parsed.Blocks, Lengths: c.parsed.Lengths, Tokens: c.parsed.PromptTokens,
	})
	if c.account.Priority != nil {
		r = r.WithPriority(*c.account.Priority)
	}
	if c.received != nil && c.received.Attempts > 0 {
		r = r.WithAttempts(c.received.Attempts)
	}
	if split := c.rule.Then.Split; len(split) > 0 {
		r = r.WithPool(choosePool(split, c.parsed.ID))
	}
	return r
}

// computeFingerprint returns the keyed hash of the request's content.
func (c *call) computeFingerprint() wasabiridge.Fingerprint {
	return c.relay.options.Hasher.Fingerprint(wasabifingerprint.Content{
		Account: c.account.ID, Method: c.r.Method, Host: hostOf(c.r), Path: wasabirule.TargetOf(c.r), Model: c.parsed.Model, Body: c.body, Blocks: c.parsed.Blocks,
	})
}

// run submits the request to the decider and carries out the effects until the
// caller has its answer. If an answer breaks off after its head was sent, run panics
// with http.ErrAbortHandler to abort the connection, because the caller would take a
// regular end for a complete answer.
func (x *exchange) run() {
	defer x.logMalformed()
	o := x.relay.options
	left := x.until - finalMargin - o.Clock.Now()
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithTimeout(x.r.Context(), left.Duration())
	defer cancel()
	x.held.OnCut(cancel)
	control := http.NewResponseController(x.w)
	// The error is ignored, because the response writers of tests may not support
	// deadlines.
	_ = control.SetWriteDeadline(time.Now().Add((x.until - o.Clock.Now() + wasabiridge.Second).Duration()))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if x.forward() {
		return
	}
	if x.isIsolated() {
		x.refuse(*x.notRun(reasonNoPath))
		return
	}
	if refusal := x.findOrigin(); refusal != nil {
		x.refuse(*refusal)
		return
	}
	if err := o.Loop.Submit(x.request, x.box); err != nil {
		x.refuse(*x.notRun("too many requests wait here"))
		return
	}
	defer o.Loop.CloseMailbox(x.request.ID)
	for {
		select {
		case effect, ok := <-x.box.Effects():
			if !ok {
				x.fail(wasabiridge.Refuse{Reason: wasabiridge.RefusedBroken})
				return
			}
			if x.carryOut(effect) {
				return
			}
		case <-x.ctx.Done():
			x.contextDone()
			return
		}
	}
}

// carryOut carries out one effect. It reports whether the request has ended.
func (x *exchange) carryOut(effect wasabiridge.Effect) bool {
	switch e := effect.(type) {
	case wasabiridge.Dispatch:
		return x.runAttempt(e)
	case wasabiridge.Refuse:
		if !x.mayForwardRefused(e.Reason) || !x.forward() {
			x.fail(e)
		}
		return true
	}
	return false
}

// finish writes the buffered rest of a complete answer to the caller.
func (x *exchange) finish() {
	if !x.headSent {
		x.sendHead()
	}
	if len(x.buffered) > 0 {
		x.held.Begin()
		_, _ = x.w.Write(x.buffered)
		x.held.End()
	}
	if x.held.WasCut() {
		x.reset()
	}
	x.log("Request answered.", OutcomeAnswered, "")
}

// sendHead writes the status and header of the answer to the caller.
func (x *exchange) sendHead() {
	x.headSent = true
	h := x.w.Header()
	for name, values := range x.head {
		h[name] = values
	}
	x.w.WriteHeader(x.status)
}

// fail ends a request that the decider refused, with the answer that fits its state.
func (x *exchange) fail(e wasabiridge.Refuse) {
	switch {
	case x.headSent:
		x.abort(string(e.Reason))
	case x.status > 0:
		// An error response of a backend server tells the caller more than a
		// refusal of the router.
		x.finish()
	case x.disposition == wasabiridge.NotRun && (e.Reason == wasabiridge.RefusedQuarantined || e.Reason == wasabiridge.RefusedSoftwareGone):
		// No Retry-After time: a repeat would be refused as well.
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Reason: string(e.Reason)})
	case x.disposition == wasabiridge.NotRun && e.Reason == wasabiridge.RefusedQuota:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalLimited, Reason: string(e.Reason), RetryAfter: x.cappedRetryAfter(e.RetryAfter)})
	case x.disposition == wasabiridge.NotRun && e.Reason == wasabiridge.RefusedShare:
		// The time is not spread further: each refused request has been given a time of
		// its own at which there is capacity for it.
		x.logShare(e)
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Reason: string(e.Reason), RetryAfter: e.RetryAfter})
	case x.disposition == wasabiridge.NotRun && e.Reason == wasabiridge.RefusedServerPause:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Reason: string(e.Reason), RetryAfter: x.cappedRetryAfter(e.RetryAfter)})
	case x.disposition == wasabiridge.NotRun:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Reason: string(e.Reason), RetryAfter: x.retryAfter(e.RetryAfter)})
	default:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalBroken, Reason: string(e.Reason)})
	}
}

// contextDone ends a request whose caller disconnected or whose deadline was reached.
func (x *exchange) contextDone() {
	x.relay.options.Loop.Post(wasabiridge.CallerGone{Request: x.request.ID})
	switch {
	case x.held.WasCut():
		x.reset()
	case x.r.Context().Err() != nil:
		x.log("Caller disconnected before the answer was complete.", OutcomeCallerGone, "")
		// The connection is closed, so no answer can be written.
		panic(http.ErrAbortHandler)
	case x.headSent:
		x.abort("deadline")
	case x.status > 0:
		x.finish()
	case x.disposition == wasabiridge.NotRun:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Reason: "deadline", RetryAfter: x.retryAfter(0)})
	default:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalTimeout, Reason: "deadline"})
	}
}

// abort cuts off an answer of which a part was already sent to the caller.
func (x *exchange) abort(cause string) {
	x.log("Answer cut off before its end.", OutcomeCut, cause)
	wasabilistener.Abort(x.w, x.r)
}
