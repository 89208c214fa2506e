// Package wasabilistener provides a net.Listener for net/http whose connections
// return data that arrived before a read deadline even after the deadline.
//
// # Requests that arrive during a pause of the process
//
// net/http limits the time to read a request header, counted from when the
// connection is accepted or the next request may arrive. The time also runs while
// the process is paused, and data that a caller sends meanwhile waits in the
// kernel's receive buffer. When the process continues, the deadline has expired:
// net/http would close the connection without reading the request, and the caller
// would get no response at all. With this listener, a read whose deadline has
// expired still returns data that is already in the receive buffer.
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

// maxLateReads limits the reads after one deadline has expired. With the buffer size
// of net/http, 16 reads are enough for the longest header that the router accepts. A
// caller that sends its header slowly cannot extend the deadline by more than these
// reads.
const maxLateReads = 16

// New returns a listener whose TCP connections return data from the receive buffer
// after their read deadline. Other connections are returned unchanged.
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

// conn is a connection of a caller. It embeds *net.TCPConn and so keeps all its
// methods: net/http calls CloseWrite on a connection whose request it has not read
// completely, so that a TCP reset does not discard the response.
type conn struct {
	*net.TCPConn
	// lateReads counts the reads since the current deadline expired.
	lateReads atomic.Int32
}

// Read implements net.Conn. After the deadline it returns data that is already in
// the receive buffer, for up to maxLateReads reads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 || len(p) == 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.lateReads.Add(1) > maxLateReads {
		return n, err
	}
	if buffered := c.readBuffered(p); buffered > 0 {
		return buffered, nil
	}
	return n, err
}

// readBuffered reads from the kernel's receive buffer without blocking. It returns
// zero when the buffer is empty, and on any error.
func (c *conn) readBuffered(p []byte) int {
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

// SetReadDeadline implements net.Conn and resets the count of late reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.lateReads.Store(0)
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn and resets the count of late reads.
func (c *conn) SetDeadline(t time.Time) error {
	c.lateReads.Store(0)
	return c.TCPConn.SetDeadline(t)
}
