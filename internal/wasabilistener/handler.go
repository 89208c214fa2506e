package wasabilistener

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Attach has a server report to the port what its connections do. Time limits of the server
// on heads and idle connections apply besides those of the port. Attach must be called before
// the server is used.
func (p *Port) Attach(server *http.Server) {
	server.Handler = p.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	server.ConnState = func(c net.Conn, s http.ConnState) {
		own := connOf(c)
		if own == nil {
			return
		}
		switch s {
		case http.StateIdle:
			p.move(own, stageIdle)
			// A caller that sends requests without waiting for responses must not use its
			// whole time slice.
			runtime.Gosched()
		case http.StateActive:
			if isMultiplexed(c) {
				own.multiplexed.Store(true)
				p.move(own, stageRunning)
			}
		}
	}
}

// isMultiplexed reports whether requests share a connection.
func isMultiplexed(c net.Conn) bool {
	secure, ok := c.(*tls.Conn)
	return ok && secure.ConnectionState().NegotiatedProtocol == "h2"
}

// connOf returns the connection of this package that carries c, or nil.
func connOf(c net.Conn) *conn {
	if secure, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secure.NetConn()
	}
	own, _ := c.(*conn)
	return own
}

// handler reports to the port when a request is complete and when its handler returns.
func (p *Port) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil || c.multiplexed.Load() {
			next.ServeHTTP(w, r)
			return
		}
		p.serve(c, next, w, r)
	})
}

// serve serves a request on a connection of its own.
func (p *Port) serve(c *conn, next http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		if !p.begin(c, stageRunning) {
			panic(http.ErrAbortHandler)
		}
		defer p.move(c, stageEnding)
		next.ServeHTTP(w, r)
		return
	}
	if !p.begin(c, stageBody) {
		panic(http.ErrAbortHandler)
	}
	if r.ContentLength > receiveBuffer {
		p.enlarge(c)
	}
	b := &body{ReadCloser: r.Body, port: p, conn: c}
	r.Body = b
	// Also when the handler panics to abort the response.
	defer func() {
		if b.ended.Load() {
			p.move(c, stageEnding)
			return
		}
		// net/http reads and discards the rest of the body.
		_ = c.SetReadDeadline(time.Now().Add(restTime))
	}()
	next.ServeHTTP(w, r)
}

// restTime is how long the rest of a body is waited for that its handler did not read.
const restTime = 5 * time.Second

// body is the body of a request. At its end the request is complete. If its connection is being
// closed then, Read panics with http.ErrAbortHandler: after an error the handler could still
// send a response, and the caller would take it for the answer.
type body struct {
	io.ReadCloser
	port  *Port
	conn  *conn
	ended atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.ended.CompareAndSwap(false, true) && !b.port.begin(b.conn, stageRunning) {
		panic(http.ErrAbortHandler)
	}
	return n, err
}
