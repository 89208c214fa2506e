package wasabiconn

import (
	"bytes"
	"net"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of one response. A buffer of the reader
	// may be read beyond them.
	maxHeadBytes = 16 << 10
	maxHeadLines = 128
)

// ErrMalformed means that a server sent bytes that are no response, or a response whose head
// exceeds its bounds. It is a subtype of wasabiridge.ErrOutcomeUnknown.
var ErrMalformed = wasabiridge.ErrOutcomeUnknown.NewSubtype("malformed_response")

var errHeadTooLarge = ErrMalformed.New("conn: head of a response exceeds %d bytes or %d lines", maxHeadBytes, maxHeadLines)

// headReader reads from a connection. While a head is expected, it bounds and checks what is read.
//
// The failure it guards against: a server sends a first line, or lines of a header, that never
// end. The reader of a response keeps all of a head, so the process exceeds its memory.
type headReader struct {
	net.Conn
	inHead       bool
	bytes, lines int
	checker      wasabihead.Checker
}

// begin starts the head of a response. Buffered are the bytes that were read before it. The error
// is of type wasabihead.ErrMalformed.
func (r *headReader) begin(buffered []byte) error {
	r.inHead, r.bytes, r.lines, r.checker = true, 0, 0, wasabihead.Checker{}
	return r.checker.Add(buffered)
}

// end ends it. What follows is bounded by its framing.
func (r *headReader) end() { r.inHead = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.Conn.Read(p)
	}
	if r.bytes >= maxHeadBytes || r.lines >= maxHeadLines {
		return 0, errHeadTooLarge
	}
	n, err := r.Conn.Read(p)
	r.bytes += n
	r.lines += bytes.Count(p[:n], []byte{'\n'})
	if failed := r.checker.Add(p[:n]); failed != nil {
		return 0, failed
	}
	return n, err
}
