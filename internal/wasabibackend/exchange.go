package wasabibackend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/wasabiridge/wasabiridge"
)

const (
	pieceBytes = 16 << 10
	// drainBytes and drainTime bound what is read after the end of an
	// answer, so that its connection can be used again.
	drainBytes = 4 << 10
	drainTime  = 100 * time.Millisecond
)

var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

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
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.markSent() }}
	var req *http.Request
	var err error
	if req, err = newRequest(httptrace.WithClientTrace(x.ctx, trace), x.attempt, body.data); err != nil {
		return wasabiridge.AttemptNotRun
	}
	var resp *http.Response
	if resp, err = transport.RoundTrip(req); err != nil {
		return x.unanswered()
	}
	defer resp.Body.Close()
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

// relayEvents hands over an event stream. The stream is whole only when its
// end marker came; an engine that dies cleanly before it leaves an EOF that
// looks like the end of an answer.
func (x *exchange) relayEvents(resp *http.Response) wasabiridge.AttemptResult {
	if !x.head(resp, false) {
		return wasabiridge.AttemptBroken
	}
	// An engine that hangs keeps its connection open and would leave the
	// caller waiting for ever. The silence is timed from event to event; the
	// time in which the caller reads does not count.
	silence := time.AfterFunc(x.opts.Silence.Duration(), x.cancel)
	silence.Stop()
	defer silence.Stop()
	var buffer []byte
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: x.opts.EventBytes}) {
		if err != nil {
			return wasabiridge.AttemptBroken
		}
		if event.Data == endMarker {
			x.drain(resp.Body)
			return wasabiridge.AttemptCompleted
		}
		if event.Data == "" {
			continue
		}
		c, ok := decodeChunk(event.Data)
		if !ok || c.failed {
			return wasabiridge.AttemptBroken
		}
		x.takeUsage(c)
		if c.hasUsage && !c.choices && !x.wantsUsage {
			continue
		}
		buffer = appendLine(buffer[:0], event.Data)
		silence.Stop()
		if !x.chunk(c.tokens, buffer) {
			return wasabiridge.AttemptBroken
		}
		silence.Reset(x.opts.Silence.Duration())
	}
	return wasabiridge.AttemptBroken
}

// appendLine appends JSON as one line. Line ends inside JSON are white space,
// but they would break the frame of the event when it is written again.
func appendLine(to []byte, payload string) []byte {
	start := len(to)
	to = append(to, payload...)
	for i := start; i < len(to); i++ {
		if to[i] == '\n' || to[i] == '\r' {
			to[i] = ' '
		}
	}
	return to
}

func (x *exchange) takeUsage(c chunk) {
	if !c.hasUsage {
		return
	}
	x.ended.Usage.PromptTokens = c.usage.PromptTokens
	x.ended.Usage.CachedTokens = c.usage.CachedTokens
	x.ended.Usage.OutputTokens = c.usage.OutputTokens
}

// relayWhole holds an engine's answer back until it is whole, so that an
// engine that dies on the way leaves nothing that the caller has seen. A
// success must be a JSON object: an engine that ends its handler before it
// wrote a byte leaves an empty 200 that net/http takes as whole.
func (x *exchange) relayWhole(resp *http.Response) wasabiridge.AttemptResult {
	if closeDelimited(resp) {
		return wasabiridge.AttemptBroken
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(x.opts.AnswerBytes)+1))
	if err != nil || len(data) > x.opts.AnswerBytes {
		return wasabiridge.AttemptBroken
	}
	tokens := 0
	if resp.StatusCode == http.StatusOK {
		c, ok := decodeChunk(string(data))
		if !ok || c.failed || x.attempt.Stream {
			return wasabiridge.AttemptBroken
		}
		x.takeUsage(c)
		tokens = c.usage.OutputTokens
	}
	if !x.head(resp, true) || !x.chunk(tokens, data) {
		return wasabiridge.AttemptBroken
	}
	return wasabiridge.AttemptCompleted
}

// relayPieces hands over the answer of a plain service as it comes.
func (x *exchange) relayPieces(resp *http.Response) wasabiridge.AttemptResult {
	if !x.head(resp, true) {
		return wasabiridge.AttemptBroken
	}
	piece := pieces.Get().(*[pieceBytes]byte)
	defer pieces.Put(piece)
	for {
		n, err := resp.Body.Read(piece[:])
		if n > 0 && !x.chunk(0, piece[:n]) {
			return wasabiridge.AttemptBroken
		}
		if err == io.EOF && !closeDelimited(resp) {
			return wasabiridge.AttemptCompleted
		}
		if err != nil {
			return wasabiridge.AttemptBroken
		}
	}
}

// closeDelimited reports whether only the end of the connection ends the
// answer. Such an answer looks whole wherever its sender died, so it is never
// taken as whole.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// drain reads what little may be left of an answer. A backend server that
// keeps the connection open after the end is cut off.
func (x *exchange) drain(body io.Reader) {
	timer := time.AfterFunc(drainTime, x.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, drainBytes)
}
