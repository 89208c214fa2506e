// Package wasabilistener accepts connections of callers for net/http.
//
// # Requests that came while the process stood still
//
// net/http bounds the time to read a header, from the moment at which a connection
// is accepted, or the next request may come. The time goes on while the process is
// stopped, and what a caller sends meanwhile waits in the system. When the process
// goes on, the deadline has passed: the connection would be closed on a request
// that was never read, and its caller hears nothing at all. Here a read whose
// deadline has passed still takes what has already come.
//
// # Usage
//
//	socket, err := net.Listen("tcp", address)
//	if err != nil {
//		return err
//	}
//	err = server.Serve(wasabilistener.New(socket))
package wasabilistener

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// lateReads bounds the reads beyond one deadline. With the buffers of net/http they
// hold the longest header that is read at all; a caller that sends a header slowly
// gains no more than that.
const lateReads = 16

// New returns a listener whose connections take what came before their deadline.
func New(l net.Listener) net.Listener { return listener{Listener: l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &conn{TCPConn: tcp}, nil
}

// conn is a connection of a caller. It can do all that a TCP connection can:
// net/http half-closes one whose request it has not read to the end, so that the
// answer is not lost with a reset.
type conn struct {
	*net.TCPConn
	late atomic.Int32
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 || len(p) == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.late.Add(1) > lateReads {
		return n, err
	}
	if waiting := c.readWaiting(p); waiting > 0 {
		return waiting, nil
	}
	return n, err
}

// readWaiting reads what has come already, and returns zero when nothing has.
func (c *conn) readWaiting(p []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
		if err != nil {
			n = 0
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.late.Store(0)
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.late.Store(0)
	return c.TCPConn.SetDeadline(t)
}
