package wasabibackend

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabievent"
)

// eventBufferBytes is the size of the reads of a stream. Each open stream holds a buffer.
const eventBufferBytes = 4 << 10

// maxTail is the number of payloads that are kept from the usage on.
const maxTail = 8

// eventRelay relays the events of one response of an engine.
type eventRelay struct {
	*exchange
	splitter wasabievent.Splitter
	// silence ends the attempt when the next event is late.
	silence *time.Timer
	// line holds the payload that is passed to the sink.
	line []byte
	// id identifies the completion, from the first payload that names one.
	id string
	// ids counts the output tokens up to here that were counted by their identifiers, and
	// those before the response.
	ids int
	// tail holds the payloads from the usage on, until the end marker shows that the answer
	// does not go on, and usage what it then is.
	tail  []tailPayload
	usage chunk
	// begun is set after the first block of the response.
	begun bool
	// complete is set by the end marker.
	complete bool
}

// tailPayload is a payload that is kept until the end of the stream.
type tailPayload struct {
	data []byte
	// usage is set if it contains usage.
	usage bool
}

// relayEvents passes an event stream to the sink. The stream is complete only
// when its end marker arrived: an engine that exits before the end marker and
// closes its connection in an orderly way leaves an EOF that looks like the end
// of an answer.
func (x *exchange) relayEvents(resp *http.Response) wasabiridge.AttemptResult {
	if !x.head(resp, false) {
		return wasabiridge.AttemptBroken
	}
	// An engine that hangs keeps its connection open, and the caller would wait
	// for ever. The timer runs while the next event is awaited; it is stopped
	// while the sink writes, so that a slow caller does not count as a hang.
	r := &eventRelay{exchange: x, ids: x.attempt.ResumeFrom, silence: time.AfterFunc(x.opts.StreamIdleTimeout.Duration(), x.cancel)}
	r.silence.Stop()
	defer r.silence.Stop()
	if !r.readAll(resp.Body) {
		return wasabiridge.AttemptBroken
	}
	return wasabiridge.AttemptCompleted
}

// readAll reads events up to the end marker. It returns false if the stream ended before it, or
// has bytes that belong to no event.
func (r *eventRelay) readAll(body io.Reader) bool {
	buffer := make([]byte, eventBufferBytes)
	for {
		n, err := body.Read(buffer)
		blocks := r.splitter.Add(buffer[:n])
		for i, block := range blocks {
			if !r.take(block) {
				return false
			}
			if r.complete {
				return !r.goesOn(blocks[i+1:], body, buffer)
			}
		}
		if size := len(r.splitter.Rest()); size > r.opts.MaxEventBytes {
			return r.reject(faultSize, size)
		}
		if err != nil {
			return false
		}
	}
}

// goesOn reads what follows the end marker, as much as drain would, and reports whether the
// answer goes on there, so that the marker was none. The given blocks are the first that follow it.
func (r *eventRelay) goesOn(blocks []wasabievent.Block, body io.Reader, buffer []byte) bool {
	timer := time.AfterFunc(drainTime, r.cancel)
	defer timer.Stop()
	body = io.LimitReader(body, drainBytes)
	behind := 0
	for {
		for _, block := range blocks {
			if r.isNext(block) {
				r.reject(faultMarker, len(block.Text))
				return true
			}
			if block.Event {
				behind += len(block.Text)
			}
		}
		n, err := body.Read(buffer)
		blocks = r.splitter.Add(buffer[:n])
		if err != nil && len(blocks) == 0 {
			break
		}
	}
	if behind += r.splitter.Partial(); behind > 0 {
		r.reportEvent(faultBehind, behind)
	}
	return false
}

// reject reports bytes that are no part of the answer. It returns false, as the attempt is over.
func (r *eventRelay) reject(cause fault, size int) bool {
	r.reportEvent(cause, size)
	return false
}

// isNext reports whether an event has choices that are the next ones of the completion.
func (r *eventRelay) isNext(block wasabievent.Block) bool {
	data, fault := wasabievent.Data(block.Text)
	if fault != "" {
		return false
	}
	c, ok := decodeChunk(string(data))
	return ok && !c.failed && c.choices && r.check(c) == ""
}

// take passes on the payload of an event. It returns false if the attempt is over.
func (r *eventRelay) take(block wasabievent.Block) bool {
	text := block.Text
	if !r.begun {
		text = wasabievent.TrimMark(text)
		r.begun = true
	}
	if !block.Event {
		return true
	}
	if len(text) > r.opts.MaxEventBytes {
		return r.reject(faultSize, len(text))
	}
	data, line := wasabievent.Data(text)
	if line != "" {
		return r.reject(fault(line), len(text))
	}
	switch string(data) {
	case endMarker:
		r.complete = true
		return r.passTail()
	case "":
		return true
	}
	c, ok := decodeChunk(string(data))
	if !ok {
		return r.reject(faultObject, len(text))
	}
	if c.failed {
		return false
	}
	if found := r.check(c); found != "" {
		return r.reject(found, len(text))
	}
	if len(r.tail) > 0 || c.hasUsage && !c.choices {
		r.keep(c, data)
		return true
	}
	r.setUsage(c)
	return r.pass(c.tokens, data)
}

// check returns why a payload is not the next one of the completion, or "".
func (r *eventRelay) check(c chunk) fault {
	if found := c.completionFault(); found != "" {
		return found
	}
	if r.id == "" {
		r.id = strings.Clone(c.id)
	}
	if c.id != "" && c.id != r.id {
		return faultID
	}
	if r.ids += c.ids; c.ids > 0 && !r.limit.allows(r.ids) {
		return faultLimit
	}
	switch {
	case len(r.tail) > 0 && c.choices:
		return faultUsage
	case len(r.tail) >= maxTail:
		return faultTail
	}
	return ""
}

// keep keeps a payload without choices until the end of the stream.
func (r *eventRelay) keep(c chunk, data []byte) {
	r.silence.Stop()
	r.tail = append(r.tail, tailPayload{data: bytes.Clone(data), usage: c.hasUsage})
	if c.hasUsage {
		r.usage = c
	}
	r.silence.Reset(r.opts.StreamIdleTimeout.Duration())
}

// passTail passes on what was kept. Usage is kept back from callers that did not ask for it.
func (r *eventRelay) passTail() bool {
	r.setUsage(r.usage)
	for _, p := range r.tail {
		if (!p.usage || r.wantsUsage) && !r.pass(0, p.data) {
			return false
		}
	}
	return true
}

// pass passes a payload to the sink.
func (r *eventRelay) pass(tokens int, data []byte) bool {
	r.line = appendLine(r.line[:0], data)
	r.silence.Stop()
	if !r.chunk(tokens, r.line) {
		return false
	}
	r.silence.Reset(r.opts.StreamIdleTimeout.Duration())
	return true
}
