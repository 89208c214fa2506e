package wasabibackend

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
	"github.com/wasabiridge/wasabiridge/internal/wasabinotice"
)

// exchange is the state of one attempt in flight. It is used by one goroutine.
type exchange struct {
	ctx        context.Context
	cancel     context.CancelFunc
	opts       Options
	attempt    wasabiridge.Attempt
	sink       wasabiridge.AttemptSink
	ended      wasabiridge.AttemptEnded
	wantsUsage bool
	limit      outputLimit
	sent       bool
	// reused is set if the connection carried another request before.
	reused     bool
	sinkFailed bool
}

// run sends the attempt and relays the answer to the sink.
func (x *exchange) run(transport http.RoundTripper) wasabiridge.AttemptResult {
	body, ok := extendBody(x.attempt)
	if !ok || (x.attempt.ResumeFrom > 0 && x.attempt.Weights == 0) {
		// Without the weights version of the first part, the router could not
		// check that the resumed part was computed with the same weights.
		return wasabiridge.AttemptNotRun
	}
	x.wantsUsage, x.limit = body.wantsUsage, body.limit
	x.attempt.Body = nil
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		x.reused = c.Reused
		x.markSent()
	}}
	var req *http.Request
	var err error
	if req, err = newRequest(httptrace.WithClientTrace(x.ctx, trace), x.attempt); err != nil {
		return wasabiridge.AttemptNotRun
	}
	sent := setBody(req, body.data, x.attempt.NonIdempotent)
	var resp *http.Response
	if resp, err = transport.RoundTrip(req); err != nil {
		if errorx.IsOfType(err, wasabihead.ErrMalformed) {
			x.report(wasabiridge.PartHead, faultHead)
		}
		return x.resultWithoutResponse()
	}
	defer resp.Body.Close()
	sent.release()
	return x.relay(resp)
}

// markSent notifies the sink that the request is about to be written to a
// connection. net/http calls it in the goroutine of RoundTrip; further calls
// have no effect.
func (x *exchange) markSent() {
	if x.sent {
		return
	}
	x.sent = true
	x.sink.Sent()
}

// resultWithoutResponse returns the result of an attempt for which no response
// header arrived. Only when no connection was obtained is it certain that the
// request did not run.
func (x *exchange) resultWithoutResponse() wasabiridge.AttemptResult {
	if x.sent {
		return wasabiridge.AttemptBroken
	}
	return wasabiridge.AttemptNotRun
}

// relay passes the response to the sink, unless it is a refusal or a failure
// that the router handles itself.
func (x *exchange) relay(resp *http.Response) wasabiridge.AttemptResult {
	x.ended.Usage.Weights = wasabiridge.WeightsVersion(version(resp, wasabiridge.HeaderWeights))
	x.ended.Usage.Incarnation = wasabiridge.Incarnation(version(resp, wasabiridge.HeaderIncarnation))
	x.readOverload(resp)
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(wasabiridge.HeaderDisposition) == wasabiridge.NotRun.String() {
		x.drain(resp.Body)
		if !x.isProven(resp) {
			return wasabiridge.AttemptBroken
		}
		return wasabiridge.AttemptNotRun
	}
	if x.attempt.Backend.Kind != wasabiridge.BackendEngine {
		return x.relayUnparsed(resp)
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		x.drain(resp.Body)
		return wasabiridge.AttemptBroken
	}
	if resp.StatusCode == http.StatusOK && !x.versionsMatch(resp) {
		return wasabiridge.AttemptBroken
	}
	events := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	if !x.isAnswer(resp.StatusCode, events) {
		x.report(wasabiridge.PartHead, faultAnswer)
		return wasabiridge.AttemptBroken
	}
	if events {
		return x.relayEvents(resp)
	}
	return x.relayBuffered(resp)
}

// isAnswer reports whether a response with a status, which is a stream of events or not, may be
// the answer to the request: 200 or an error of the request, and a stream only if one was asked for.
func (x *exchange) isAnswer(status int, events bool) bool {
	if events && status != http.StatusOK {
		return false
	}
	if !isCompletion(x.attempt) {
		return true
	}
	return status >= http.StatusBadRequest || status == http.StatusOK && (x.attempt.Stream || !events)
}

// report reports that a part of the response is malformed.
func (x *exchange) report(part wasabiridge.ResponsePart, cause fault) {
	x.observe(wasabiridge.ResponseMalformed{Part: part, Cause: string(cause)})
}

// reportEvent reports bytes of a stream that are no part of the answer.
func (x *exchange) reportEvent(cause fault, size int) {
	e := wasabiridge.MalformedEvent{Cause: string(cause), Delivered: x.ended.Delivered, Bytes: size}
	if cause != faultBehind {
		x.ended.Malformed = e
	}
	x.observe(wasabiridge.ResponseMalformed{Part: wasabiridge.PartEvent, Cause: string(cause), Event: e})
}

func (x *exchange) observe(e wasabiridge.ResponseMalformed) {
	if x.opts.Observe == nil {
		return
	}
	e.Backend, e.Request = x.attempt.Backend.ID, x.attempt.Request
	x.opts.Observe(e)
}

// isProven reports whether a refusal belongs to this attempt.
//
// The failure it guards against: a faulty server sends a refusal behind a complete answer. It
// arrives while the next request of the connection runs.
func (x *exchange) isProven(resp *http.Response) bool {
	id := x.attempt.Header.Get(wasabiridge.HeaderRequest)
	return !x.reused || id != "" && resp.Header.Get(wasabiridge.HeaderRequest) == id
}

// version returns the number in a response header, or zero when it is missing or
// malformed.
func version(resp *http.Response, name string) uint64 {
	v, err := strconv.ParseUint(resp.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

// readOverload records a 429 or 503 response and its Retry-After time.
func (x *exchange) readOverload(resp *http.Response) {
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	x.ended.Overloaded = true
	// A malformed time counts as none: the response still says that the server is full.
	x.ended.RetryAfter, _, _ = wasabinotice.RetryAfter(resp.Header)
}

// versionsMatch reports whether the engine used the requested weights and
// resumed at the requested token. An engine that does not implement the resume
// extension starts a resumed answer at its first token, and the caller would
// receive tokens twice; such an engine is recognized by the missing response
// header that repeats the resume point.
func (x *exchange) versionsMatch(resp *http.Response) bool {
	a := x.attempt
	if got := x.ended.Usage.Weights; a.Weights != 0 && got != 0 && got != a.Weights {
		return false
	}
	if a.ResumeFrom == 0 {
		return true
	}
	return resp.Header.Get(wasabiridge.HeaderResumedFrom) == strconv.Itoa(a.ResumeFrom) &&
		x.ended.Usage.Weights == a.Weights
}

// head passes the status and the header to the sink. It returns false when the
// attempt was cancelled or the sink failed.
func (x *exchange) head(resp *http.Response, keepLength bool) bool {
	if x.ctx.Err() != nil {
		return false
	}
	h := forwardable(resp.Header)
	h.Del(wasabiridge.HeaderDisposition)
	if !keepLength {
		h.Del("Content-Length")
	}
	if err := x.sink.Head(resp.StatusCode, h); err != nil {
		x.sinkFailed = true
		return false
	}
	return true
}

// chunk passes a payload to the sink. Once the context is done it passes nothing
// more, so that late data of a cancelled attempt does not reach the caller. It
// returns false when the attempt was cancelled or the sink failed.
func (x *exchange) chunk(tokens int, data []byte) bool {
	if x.ctx.Err() != nil {
		return false
	}
	if err := x.sink.Chunk(tokens, data); err != nil {
		x.sinkFailed = true
		return false
	}
	x.ended.Delivered += tokens
	return true
}
