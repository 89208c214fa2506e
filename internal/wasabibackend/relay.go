package wasabibackend

import (
	"io"
	"net/http"
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
