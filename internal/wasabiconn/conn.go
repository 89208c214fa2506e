package wasabiconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	bufferBytes = 4 << 10
	// maxForeign is how many answers to other requests are passed over before
	// the connection is given up.
	maxForeign = 3
	// foreignBytes bounds what is read of an answer that is passed over.
	foreignBytes = 64 << 10
	// inlineBody is the size up to which a body is written before the answer
	// is read. The system's buffers take that much in any case; a larger one is
	// written beside the reading, because a server may answer before it has
	// read it.
	inlineBody = 2 << 10
)

var (
	errForeign = wasabiridge.Errors.NewType("foreign_answer").New("conn: only answers to other requests came")
	longAgo    = time.Unix(1, 0)
)

// Conn is one connection in the hands of one request.
type Conn struct {
	// Reused says that another request was sent on the connection before.
	Reused bool

	pool    *Pool
	address string
	raw     net.Conn
	reader  *bufio.Reader
	// written is closed when the request is written as a whole; failed is set
	// before.
	written   chan struct{}
	failed    error
	idleSince wasabiridge.Millis
	expires   wasabiridge.Millis
	released  bool
	// tainted says that the context ended during the exchange, which may leave
	// a deadline on the connection.
	tainted bool
}

func newConn(p *Pool, address string, raw net.Conn) *Conn {
	return &Conn{pool: p, address: address, raw: raw, reader: bufio.NewReaderSize(raw, bufferBytes)}
}

// quiet reports whether nothing came since the last answer: neither bytes,
// which would belong to no request, nor the end of the connection.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN || failed == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// RoundTrip writes a request once and reads the head of its answer. isOwn
// tells from a header whether the answer belongs to the request; answers that
// do not are passed over. After an error the request may have run. The answer's
// body must be read under the same context.
func (c *Conn) RoundTrip(ctx context.Context, r *http.Request, isOwn func(http.Header) bool) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(longAgo) })
	c.written = make(chan struct{})
	write := func() {
		defer close(c.written)
		w := bufio.NewWriterSize(c.raw, bufferBytes)
		if c.failed = r.Write(w); c.failed == nil {
			c.failed = w.Flush()
		}
	}
	if r.ContentLength <= inlineBody {
		write()
	} else {
		go write()
	}
	response, err := c.readOwn(r, isOwn)
	if err != nil {
		stop()
		return nil, wasabiridge.ErrOutcomeUnknown.Wrap(err, "conn: no answer of %s", c.address)
	}
	response.Body = &body{ReadCloser: response.Body, conn: c, stop: stop}
	return response, nil
}

func (c *Conn) readOwn(r *http.Request, isOwn func(http.Header) bool) (*http.Response, error) {
	for range maxForeign {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if isOwn(response.Header) {
			return response, nil
		}
		if n, err := io.CopyN(io.Discard, response.Body, foreignBytes); err != io.EOF || n == foreignBytes {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

// body ends the watch of the context when it is closed.
type body struct {
	io.ReadCloser
	conn *Conn
	stop func() bool
}

// Close ends the reading. What is left of the body is not read.
func (b *body) Close() error {
	if !b.stop() {
		b.conn.tainted = true
	}
	return nil
}

// Release keeps the connection for the next request when its last answer was
// whole and nothing is left on it, and closes it otherwise.
func (c *Conn) Release(response *http.Response, whole bool) {
	if c.released {
		return
	}
	c.released = true
	keep, ok := c.keepFor(response)
	if !whole || !ok || c.tainted || !c.isWritten() || c.reader.Buffered() > 0 || c.raw.SetDeadline(time.Time{}) != nil {
		c.close()
		c.pool.forget(c.address)
		return
	}
	c.pool.put(c, keep)
}

// Discard closes the connection.
func (c *Conn) Discard() { c.Release(nil, false) }

func (c *Conn) close() { _ = c.raw.Close() }

func (c *Conn) isWritten() bool {
	select {
	case <-c.written:
		return c.failed == nil
	default:
		return false
	}
}

// keepFor returns how long the connection may be kept idle.
func (c *Conn) keepFor(response *http.Response) (wasabiridge.Millis, bool) {
	if response == nil || response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return 0, false
	}
	keep := DefaultIdle
	for _, field := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			keep = wasabiridge.Millis(seconds) * wasabiridge.Second
		}
	}
	keep -= idleMargin
	return keep, keep > 0
}
