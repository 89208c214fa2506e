// Package wasabilistener provides the listeners of a router process. They bound what the
// connections of clients take, and return data that arrived before a read deadline even
// after the deadline.
//
// # Connections that take too much
//
// Each listener is a Port of the process's Guard, with a Share of its connections and of
// its memory, so that clients of one port can neither exhaust the descriptors or the memory
// of the process nor close another port. A connection counts with its buffers, with what the
// kernel may keep for it unread, whose size is fixed, and with the head of the request that
// it is sending, also while that request runs.
//
// Beyond the share, connections are closed to make room. First those whose head was
// refused, then those that have sent nothing, those in the middle of a head, those in the
// middle of a body, idle ones, and those that do not read the end of a response. Within each
// kind the first is that which is in this state for the longest time. While few are
// receiving a request, idle ones go first, so that a new caller has the time to send its
// request. A connection with a complete request is never closed. If no connection can be
// closed, a new one is.
//
// # Time limits and sizes
//
// A Port also closes connections whose head or idle time exceeds the limits in force, and
// refuses heads that are far larger than allowed. The limits may change at any time.
//
// # Requests that arrive during a pause of the process
//
// Time also passes while the process is paused, and data that a caller sends meanwhile
// waits in the kernel's receive buffer. When the process continues, a deadline may have
// expired: net/http would close the connection without reading the request, and the caller
// would get no response at all. A read whose deadline has expired therefore still returns
// data that is already in the receive buffer, and the time limits of a Port are extended
// once for a connection with such data.
//
// # Usage
//
//	guard := wasabilistener.NewGuard(wasabilistener.Options{Clock: clock, Log: log})
//	port := guard.Port(wasabilistener.PortOptions{Name: "caller", Share: share, Limits: limits})
//	socket, err := port.Listen(address)
//	if err != nil {
//		return err
//	}
//	server := &http.Server{Handler: handler}
//	port.Attach(server)
//	go guard.Run(ctx)
//	err = server.Serve(socket)
package wasabilistener

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// maxLateReads limits the reads after one deadline has expired. With the buffer size
// of net/http, 16 reads are enough for the longest header that the router accepts. A
// caller that sends its header slowly cannot extend the deadline by more than these
// reads.
const maxLateReads = 16

// responseTooLarge answers a head that exceeds the limit by far.
const responseTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// patientReads is the number of reads of a request before it yields.
const patientReads = 4

const (
	// discardBytes and discardTime bound what is read behind a refused head, and for how long:
	// a connection that is closed with unread bytes is reset, and the caller would not see
	// the refusal.
	discardBytes = 64 << 10
	discardTime  = 250 * time.Millisecond
)

// New returns a listener whose TCP connections return data from the receive buffer
// after their read deadline. Other connections are returned unchanged. It bounds nothing.
func New(l net.Listener) net.Listener { return listener{Listener: l} }

type listener struct {
	net.Listener
	// port is nil for a listener without bounds.
	port *Port
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		c := &conn{TCPConn: tcp, port: l.port}
		if l.port == nil {
			return c, nil
		}
		c.entry.conn = c
		c.stage.Store(int32(stageSilent))
		if l.port.admit(c) {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// conn is a connection of a caller. It embeds *net.TCPConn and so keeps all its
// methods: net/http calls CloseWrite on a connection whose request it has not read
// completely, so that a TCP reset does not discard the response.
type conn struct {
	*net.TCPConn
	// port is nil if nothing bounds the connection.
	port *Port
	// entry is protected by the lock of the port. stage is a copy of its stage.
	entry entry
	stage atomic.Int32
	// multiplexed is set if requests share the connection.
	multiplexed atomic.Bool
	// lastRead is the time of the last read, for ports that are opaque.
	lastRead atomic.Int64
	// reads counts the reads of the current request, up to patientReads.
	reads  atomic.Int32
	closed atomic.Bool
	// lateReads counts the reads since the current deadline expired.
	lateReads atomic.Int32
}

// Read implements net.Conn. After the deadline it returns data that is already in
// the receive buffer, for up to maxLateReads reads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 && len(p) > 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.lateReads.Add(1) <= maxLateReads {
		if buffered := c.readBuffered(p, 0); buffered > 0 {
			n, err = buffered, nil
		}
	}
	if n == 0 || c.port == nil {
		return n, err
	}
	if !c.port.received(c, p[:n]) {
		return 0, io.EOF
	}
	c.yield()
	return n, err
}

// yield lets others run after each part of a long request. A caller that always has sent more
// would otherwise use its whole time slice, and with many of them a new caller waits for
// seconds.
func (c *conn) yield() {
	if c.reads.Load() < patientReads {
		c.reads.Add(1)
		return
	}
	runtime.Gosched()
}

// received counts what was read. It reports false if the connection is to be closed.
func (p *Port) received(c *conn, data []byte) bool {
	if p.options.Opaque {
		c.lastRead.Store(int64(p.guard.options.Clock.Now()))
	}
	switch stage(c.stage.Load()) {
	case stageSilent, stageHead, stageIdle:
	default:
		return true
	}
	if p.options.Opaque && stage(c.stage.Load()) != stageSilent || c.multiplexed.Load() {
		return true
	}
	if p.receive(c, len(data), bytes.Count(data, []byte{'\n'})) {
		return true
	}
	c.refuseHead()
	return false
}

// refuseHead answers a head that exceeds the limit.
func (c *conn) refuseHead() {
	if c.port.options.Secure {
		return
	}
	_ = c.SetDeadline(time.Now().Add(discardTime))
	if _, err := c.TCPConn.Write([]byte(responseTooLarge)); err != nil {
		return
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.TCPConn, discardBytes)
}

// Write implements net.Conn. What net/http writes before a handler runs is the refusal of
// a head.
func (c *conn) Write(p []byte) (int, error) {
	if c.port != nil && !c.port.options.Opaque && !c.port.options.Secure {
		switch stage(c.stage.Load()) {
		case stageSilent, stageHead, stageIdle:
			c.port.move(c, stageRefused)
		}
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	if c.port != nil && c.closed.CompareAndSwap(false, true) {
		c.port.release(c)
	}
	return err
}

// abort closes the connection for another one. What was not read or sent is discarded,
// unless the connection is idle. The owner of the connection notices it and calls Close.
func (c *conn) abort() {
	if s := stage(c.stage.Load()); s != stageIdle && s != stageSilent {
		_ = c.SetLinger(0)
	}
	_ = c.TCPConn.Close()
}

// hasUnread reports whether the receive buffer has data.
func (c *conn) hasUnread() bool { return c.readBuffered(make([]byte, 1), syscall.MSG_PEEK) > 0 }

// readBuffered reads from the kernel's receive buffer without blocking. It returns
// zero when the buffer is empty, and on any error. The flags are those of recvfrom.
func (c *conn) readBuffered(p []byte, flags int) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT|flags)
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
