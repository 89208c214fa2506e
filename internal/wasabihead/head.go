// Package wasabihead decides whether the head of a response is one of HTTP/1.1. Everything that
// reads responses asks it before it uses a status or a field.
//
// The parser of net/http accepts more than the protocol allows: any three characters that are a
// number as a status, and blanks in the names of fields. A server of net/http cannot write such a
// status, so it closes the connection of its caller without an answer, and it drops such a field.
// A length whose name ends in a blank frames a body for some readers and not for others, which
// allows response smuggling (RFC 9112, section 5.1). A line that begins with a blank changes the
// value of the field before it (section 5.2).
//
// # Usage
//
//	var c wasabihead.Checker
//	n, err := conn.Read(buffer)
//	if failed := c.Add(buffer[:n]); failed != nil {
//		return failed
//	}
package wasabihead

import (
	"net/http"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// ErrMalformed means that bytes are no head of a response. It is a subtype of
// wasabiridge.ErrOutcomeUnknown, since a server that sent them may have run the request.
var ErrMalformed = wasabiridge.ErrOutcomeUnknown.NewSubtype("malformed_head")

const (
	// versionPrefix begins a first line. A digit and a blank follow.
	versionPrefix = "HTTP/1."
	// statusStart is the index of the status in a first line, and statusEnd that behind it.
	statusStart = len(versionPrefix) + 2
	statusEnd   = statusStart + 3
	// minStatus and maxStatus are the bounds of final statuses.
	minStatus, maxStatus = 200, 599
)

// Checker checks the head of one response. Its zero value expects the first line.
type Checker struct {
	// line and column are the indexes of the next byte.
	line, column int
	status       int
	// named is set behind the name of a field, and returned behind a carriage return.
	named, returned bool
	done            bool
	failed          error
}

// Add checks the next bytes of a head, and ignores those behind it. Its error is of type
// ErrMalformed, and so are those of all further calls.
func (c *Checker) Add(data []byte) error {
	for _, b := range data {
		if c.done || c.failed != nil {
			break
		}
		if cause := c.next(b); cause != "" {
			c.failed = ErrMalformed.New("head: line %d, byte %d (%q): %s", c.line+1, c.column+1, b, cause)
		}
	}
	return c.failed
}

// next checks a byte. It returns why the byte cannot stand there, or an empty text.
func (c *Checker) next(b byte) string {
	switch {
	case b == '\n':
		return c.endLine()
	case c.returned:
		return "carriage return within a line"
	case b == '\r':
		c.returned = true
		return ""
	}
	if cause := c.checkByte(b); cause != "" {
		return cause
	}
	c.column++
	return ""
}

// endLine checks a line as a whole and begins the next one.
func (c *Checker) endLine() string {
	switch {
	case c.line == 0 && c.column < statusEnd:
		return "first line without a version and a status"
	case c.line > 0 && c.column == 0:
		c.done = true
	case c.line > 0 && !c.named:
		return "line without a colon"
	}
	c.line++
	c.column, c.named, c.returned = 0, false, false
	return ""
}

// checkByte checks a byte that does not end a line.
func (c *Checker) checkByte(b byte) string {
	if c.line == 0 {
		return c.checkFirst(b)
	}
	return c.checkField(b)
}

// checkField checks a byte of a field.
func (c *Checker) checkField(b byte) string {
	switch {
	case c.named && isControl(b):
		return "control byte in the value of a field"
	case c.named || isToken(b):
	case c.column == 0 && (b == ' ' || b == '\t'):
		return "line folding"
	case c.column == 0 || b != ':':
		return "byte in the name of a field, or no name"
	default:
		c.named = true
	}
	return ""
}

// checkFirst checks a byte of the first line.
func (c *Checker) checkFirst(b byte) string {
	switch i := c.column; {
	case i < len(versionPrefix) && b != versionPrefix[i], i == len(versionPrefix) && !isDigit(b):
		return "version is not HTTP/1"
	case i < statusStart-1:
	case i == statusStart-1, i == statusEnd:
		if b != ' ' {
			return "no single blank before or behind the status"
		}
	case i < statusEnd:
		if !isDigit(b) {
			return "status is not a number of three digits"
		}
		c.status = 10*c.status + int(b-'0')
		if i == statusEnd-1 && !isInterim(c.status) && !isFinal(c.status) {
			return "status is outside the protocol"
		}
	case isControl(b):
		return "control byte in a reason"
	}
	return ""
}

// CheckFields checks the names and values of fields that were parsed, such as those of a trailer.
// Its error is of type ErrMalformed.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r > 0x7f || !isToken(byte(r)) }) {
			return ErrMalformed.New("head: %q is no name of a field", name)
		}
		for _, value := range values {
			if hasControl(value) {
				return ErrMalformed.New("head: control byte in the value %q of field %s", value, name)
			}
		}
	}
	return nil
}

// hasControl reports whether a value, or a status with its reason, has a control byte.
func hasControl(text string) bool {
	return strings.ContainsFunc(text, func(r rune) bool { return r <= 0x7f && isControl(byte(r)) })
}

// isInterim reports whether another response follows one with the status. 101 is none, as no
// request asks for another protocol.
func isInterim(status int) bool {
	return status >= 100 && status < minStatus && status != http.StatusSwitchingProtocols
}

// isFinal reports whether a status is one of final responses.
func isFinal(status int) bool { return status >= minStatus && status <= maxStatus }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// tokens holds which bytes may stand in the name of a field.
var tokens = func() (out [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		out[b] = true
	}
	return out
}()

// isToken reports whether a byte may stand in the name of a field.
func isToken(b byte) bool { return tokens[b] }

// isControl reports whether a byte is a control character other than a tab.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }
