package wasabilistener

import (
	"net"
	"net/http"
)

// Abort ends a response that is incomplete, so that its caller cannot take it for complete.
// It does not return: it panics with http.ErrAbortHandler, which ends the handler.
//
// net/http closes the connection without the last chunk of the response. A response to
// HTTP/1.0 has no chunks and ends with its connection, so the connection is reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// Reset is like Abort, but always resets the connection, so that what was not sent yet is
// discarded instead of being kept for a caller that does not read.
func Reset(w http.ResponseWriter) {
	reset(w)
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response, if the response has one.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}
