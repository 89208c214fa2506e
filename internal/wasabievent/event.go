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
//		events, count := splitter.Add(buffer[:n])
//		...
//		if err == io.EOF && splitter.Partial() > 0 {
//			return errCutOff
//		}
//	}
package wasabievent

import "bytes"

// byteOrderMark may stand before the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Splitter splits one stream. The zero value is ready to use. It is not safe for
// concurrent use.
type Splitter struct {
	// pending holds the bytes since the last whole event, behind the first returned bytes,
	// which Add has returned.
	pending  []byte
	returned int
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

// Add appends received bytes. It returns the bytes up to the end of the last whole event,
// which are valid until the next call, and the number of whole events in them.
func (s *Splitter) Add(data []byte) (events []byte, count int) {
	s.pending = append(s.pending[:copy(s.pending, s.pending[s.returned:])], data...)
	s.scanned -= s.returned
	s.line -= s.returned
	s.returned = 0
	for ; s.scanned < len(s.pending); s.scanned++ {
		if s.add(s.pending[s.scanned]) {
			count++
		}
	}
	return s.pending[:s.returned], count
}

// add scans the byte at scanned. It reports whether the byte completes an event.
func (s *Splitter) add(b byte) bool {
	complete := false
	if s.afterCR {
		complete = s.endCR(b == '\n')
		if b == '\n' {
			return complete
		}
	}
	switch b {
	case '\n':
		s.mixed = true
		return s.endLine(s.scanned, s.scanned+1) || complete
	case '\r':
		s.afterCR, s.held = true, s.begun && !s.mixed
		if !s.held {
			return s.endLine(s.scanned, s.scanned+1) || complete
		}
	}
	return complete
}

// endCR completes the line end that began with the CR before scanned. It reports whether
// that completes an event.
func (s *Splitter) endCR(lf bool) bool {
	held := s.held
	s.afterCR, s.held = false, false
	end, next := s.scanned-1, s.scanned
	if lf {
		next++
	} else {
		s.mixed = true
	}
	if held {
		return s.endLine(end, next)
	}
	s.line = next
	if s.afterEvent {
		s.returned = s.line
	}
	return false
}

// endLine ends the current line at an offset, with a line end up to next. It reports whether
// the line completed an event.
func (s *Splitter) endLine(end, next int) bool {
	line := s.pending[s.line:end]
	if !s.begun {
		line = bytes.TrimPrefix(line, byteOrderMark)
		s.begun = true
	}
	s.line = next
	s.afterEvent = len(line) == 0
	switch {
	case !s.afterEvent:
		s.inEvent = s.inEvent || line[0] != ':'
		return false
	case !s.inEvent:
		s.returned = s.line
		return false
	}
	s.returned, s.inEvent = s.line, false
	return true
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

// LastID returns the identifier that is stated last in whole events, or "".
func LastID(events []byte) string {
	id := ""
	events = bytes.TrimPrefix(events, byteOrderMark)
	for line := range bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
