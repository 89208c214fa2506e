// Package wasabievent splits streams of server-sent events into whole events and keeps
// their bytes as they are.
//
// An event ends with an empty line. A line ends with LF, CRLF or CR, and a line that begins
// with a colon is a comment, which belongs to no event. A stream that ends within an event
// was cut off, however its response was framed. So was one that ends with a CR although all
// its lines before ended in CRLF.
//
// # Usage
//
//	var splitter wasabievent.Splitter
//	for {
//		n, err := body.Read(buffer)
//		for _, block := range splitter.Add(buffer[:n]) {
//			...
//		}
//		if err == io.EOF && splitter.Partial() > 0 {
//			return errCutOff
//		}
//	}
package wasabievent

import (
	"bytes"
	"errors"
	"mime"
	"net/http"
)

// byteOrderMark may stand before the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// IsStream reports whether the body of a response is a stream of events.
func IsStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)) && kind == "text/event-stream"
}

// TrimMark returns a text without the byte order mark that may stand before it.
func TrimMark(text []byte) []byte { return bytes.TrimPrefix(text, byteOrderMark) }

// Block is a whole event with the comments before it, or comments and an empty line, which
// belong to no event.
type Block struct {
	Text  []byte
	Event bool
}

// Splitter splits one stream. The zero value is ready to use. It is not safe for
// concurrent use.
type Splitter struct {
	// pending holds the bytes since the last whole event, behind the first returned bytes,
	// which Add has returned.
	pending  []byte
	returned int
	// blocks are those that end within the bytes that Add has added.
	blocks []Block
	// scanned and line are the offsets of the first byte that was not scanned and of the
	// current line.
	scanned, line int
	// inEvent is set when the current event has a line that is no comment.
	inEvent bool
	// afterCR is set when the last byte was a CR, whose line end may include an LF, and
	// afterEvent when that line end completed an event.
	afterCR, afterEvent bool
	// held is set when that line is not ended before the next byte, because all lines
	// before ended in CRLF. mixed is set when one did not.
	held, mixed bool
	// begun is set after the first line of the stream.
	begun bool
}

// Add appends received bytes. It returns what is whole by now, which is valid until the next
// call.
func (s *Splitter) Add(data []byte) []Block {
	s.pending = append(s.pending[:copy(s.pending, s.pending[s.returned:])], data...)
	s.scanned -= s.returned
	s.line -= s.returned
	s.returned = 0
	s.blocks = s.blocks[:0]
	for ; s.scanned < len(s.pending); s.scanned++ {
		s.add(s.pending[s.scanned])
	}
	return s.blocks
}

// add scans the byte at scanned.
func (s *Splitter) add(b byte) {
	if s.afterCR {
		s.endCR(b == '\n')
		if b == '\n' {
			return
		}
	}
	switch b {
	case '\n':
		s.mixed = true
		s.endLine(s.scanned, s.scanned+1)
	case '\r':
		s.afterCR, s.held = true, s.begun && !s.mixed
		if !s.held {
			s.endLine(s.scanned, s.scanned+1)
		}
	}
}

// endCR completes the line end that began with the CR before scanned.
func (s *Splitter) endCR(lf bool) {
	held := s.held
	s.afterCR, s.held = false, false
	end, next := s.scanned-1, s.scanned
	if lf {
		next++
	} else {
		s.mixed = true
	}
	if held {
		s.endLine(end, next)
		return
	}
	s.line = next
	if s.afterEvent {
		s.endBlock(false)
	}
}

// endLine ends the current line at an offset, with a line end up to next.
func (s *Splitter) endLine(end, next int) {
	line := s.pending[s.line:end]
	if !s.begun {
		line = bytes.TrimPrefix(line, byteOrderMark)
		s.begun = true
	}
	s.line = next
	s.afterEvent = len(line) == 0
	if !s.afterEvent {
		s.inEvent = s.inEvent || line[0] != ':'
		return
	}
	s.endBlock(s.inEvent)
	s.inEvent = false
}

// endBlock ends a block before the current line.
func (s *Splitter) endBlock(event bool) {
	if s.returned < s.line {
		s.blocks = append(s.blocks, Block{Text: s.pending[s.returned:s.line], Event: event})
	}
	s.returned = s.line
}

// Rest returns the bytes behind the last whole event.
func (s *Splitter) Rest() []byte { return s.pending[s.returned:] }

// Partial returns the number of bytes of an event that has begun and is not whole. Whole
// comment lines behind the last event count as none.
func (s *Splitter) Partial() int {
	if !s.inEvent && s.line == len(s.pending) {
		return 0
	}
	return len(s.Rest())
}
