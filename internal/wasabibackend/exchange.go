package wasabibackend

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// exchange is one attempt on its way. One goroutine owns it.
type exchange struct {
	ctx        context.Context
	cancel     context.CancelFunc
	opts       Options
	attempt    wasabiridge.Attempt
	sink       wasabiridge.AttemptSink
	ended      wasabiridge.AttemptEnded
	wantsUsage bool
	sent       bool
	sinkFailed bool
}

// run sends the attempt and relays its answer.
func (x *exchange) run(transport http.RoundTripper) wasabiridge.AttemptResult {
	body, ok := extendBody(x.attempt)
	if !ok || (x.attempt.ResumeFrom > 0 && x.attempt.Weights == 0) {
		// A resumed answer of unknown weights could not be checked.
		return wasabiridge.AttemptNotRun
	}
	x.wantsUsage = body.wantsUsage
	x.attempt.Body = nil
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.markSent() }}
	var req *http.Request
	var err error
	if req, err = newRequest(httptrace.WithClientTrace(x.ctx, trace), x.attempt); err != nil {
		return wasabiridge.AttemptNotRun
	}
	sent := setBody(req, body.data, x.attempt.NonIdempotent)
	var resp *http.Response
	if resp, err = transport.RoundTrip(req); err != nil {
		return x.unanswered()
	}
	defer resp.Body.Close()
	sent.release()
	return x.relay(resp)
}

// markSent runs before a connection gets its first byte. net/http calls it
// in the goroutine of RoundTrip.
func (x *exchange) markSent() {
	if x.sent {
		return
	}
	x.sent = true
	x.sink.Sent()
}

// unanswered tells what is known of an attempt without an answer. Only when no
// connection was had is it certain that nothing ran.
func (x *exchange) unanswered() wasabiridge.AttemptResult {
	if x.sent {
		return wasabiridge.AttemptBroken
	}
	return wasabiridge.AttemptNotRun
}

func (x *exchange) relay(resp *http.Response) wasabiridge.AttemptResult {
	x.ended.Usage.Weights = wasabiridge.WeightsVersion(version(resp, wasabiridge.HeaderWeights))
	x.ended.Usage.Incarnation = wasabiridge.Incarnation(version(resp, wasabiridge.HeaderIncarnation))
	x.readOverload(resp)
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(wasabiridge.HeaderDisposition) == wasabiridge.NotRun.String() {
		x.drain(resp.Body)
		return wasabiridge.AttemptNotRun
	}
	if x.attempt.Backend.Kind != wasabiridge.BackendEngine {
		return x.relayPieces(resp)
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		x.drain(resp.Body)
		return wasabiridge.AttemptBroken
	}
	if resp.StatusCode == http.StatusOK && !x.answersAsAsked(resp) {
		return wasabiridge.AttemptBroken
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return x.relayEvents(resp)
	}
	return x.relayWhole(resp)
}

func version(resp *http.Response, name string) uint64 {
	v, err := strconv.ParseUint(resp.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

func (x *exchange) readOverload(resp *http.Response) {
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return
	}
	x.ended.Overloaded = true
	seconds, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return
	}
	x.ended.RetryAfter = wasabiridge.Millis(seconds) * wasabiridge.Second
}

// answersAsAsked reports whether the engine kept to the weights and the resume
// point. An engine that does not know the extensions would begin a resumed
// answer from its first token, and the caller would read tokens twice; it
// gives itself away by leaving out the header that repeats the resume point.
func (x *exchange) answersAsAsked(resp *http.Response) bool {
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

// head hands over status and header. It reports false when the attempt is
// given up.
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

// chunk hands over a payload. A late answer of an abandoned attempt ends
// here: once the context is done nothing reaches the sink.
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
