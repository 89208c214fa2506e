package wasabibackend

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	relayBufferBytes = 16 << 10
	// drainBytes and drainTime limit how much is read, and for how long, after
	// the end of an answer so that its connection can be reused.
	drainBytes = 4 << 10
	drainTime  = 100 * time.Millisecond
)

var relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

// appendLine appends JSON as one line. In JSON a line break is just white space,
// but it would break the framing of the server-sent event when the payload is
// written to the caller.
func appendLine(to, payload []byte) []byte {
	start := len(to)
	to = append(to, payload...)
	for i := start; i < len(to); i++ {
		if to[i] == '\n' || to[i] == '\r' {
			to[i] = ' '
		}
	}
	return to
}

func (x *exchange) setUsage(c chunk) {
	if !c.hasUsage {
		return
	}
	x.ended.Usage.PromptTokens = c.usage.PromptTokens
	x.ended.Usage.CachedTokens = c.usage.CachedTokens
	x.ended.Usage.OutputTokens = c.usage.OutputTokens
}

// relayBuffered buffers the answer of an engine until it is complete, so that
// the caller has received nothing if the engine dies before that. A successful
// answer must be a JSON object: an engine whose handler ends before it wrote a
// byte leaves an empty 200 response that net/http considers complete.
func (x *exchange) relayBuffered(resp *http.Response) wasabiridge.AttemptResult {
	if wasabiridge.FramingOf(resp) == wasabiridge.FramingClose {
		return wasabiridge.AttemptBroken
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(x.opts.MaxAnswerBytes)+1))
	if err != nil || len(data) > x.opts.MaxAnswerBytes {
		return wasabiridge.AttemptBroken
	}
	tokens := 0
	if resp.StatusCode == http.StatusOK {
		c, ok := decodeChunk(string(data))
		if found := x.bodyFault(c, ok); found != "" || c.failed {
			if found != "" {
				x.report(wasabiridge.PartBody, found)
			}
			return wasabiridge.AttemptBroken
		}
		x.setUsage(c)
		tokens = c.usage.OutputTokens
	}
	if !x.head(resp, true) || !x.chunk(tokens, data) {
		return wasabiridge.AttemptBroken
	}
	return wasabiridge.AttemptCompleted
}

// bodyFault returns why a body of status 200 is no answer to the request, or "". An error of the
// engine is none. ok is set if the body is a JSON object.
func (x *exchange) bodyFault(c chunk, ok bool) fault {
	switch {
	case !ok:
		return faultObject
	case c.failed:
		return ""
	case x.attempt.Stream:
		return faultAnswer
	case !isCompletion(x.attempt):
		return ""
	case !c.choices:
		return faultChoices
	}
	return c.completionFault()
}

// relayUnparsed passes the answer of a server that is not an engine to the sink
// as its bytes arrive. An answer that ends with its connection looks complete wherever the
// server ended, so it is never accepted as complete.
func (x *exchange) relayUnparsed(resp *http.Response) wasabiridge.AttemptResult {
	if !x.head(resp, true) {
		return wasabiridge.AttemptBroken
	}
	buffer := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buffer)
	for {
		n, err := resp.Body.Read(buffer[:])
		if n > 0 && !x.chunk(0, buffer[:n]) {
			return wasabiridge.AttemptBroken
		}
		if err == io.EOF && wasabiridge.FramingOf(resp) != wasabiridge.FramingClose {
			return wasabiridge.AttemptCompleted
		}
		if err != nil {
			return wasabiridge.AttemptBroken
		}
	}
}

// drain reads up to drainBytes after the end of an answer. If the server has not
// ended the response within drainTime, the request is cancelled, which closes
// the connection.
func (x *exchange) drain(body io.Reader) {
	timer := time.AfterFunc(drainTime, x.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, drainBytes)
}
