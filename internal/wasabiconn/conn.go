package wasabiconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
)

const (
	bufferBytes = 4 << 10
	// maxForeign bounds the responses to other requests that are skipped before
	// the connection is discarded.
	maxForeign = 3
	// foreignBytes bounds the bytes that are read of a skipped response's body.
	foreignBytes = 64 << 10
	// drainTimeout bounds the time for which the rest of a response is read that is not
	// needed.
	drainTimeout = 100 * time.Millisecond
	// maxExtraBytes is the most that is examined of the bytes behind a response.
	maxExtraBytes = 1 << 10
	// inlineBody is the size up to which a body is written before the response is
	// read. The system's buffers take that much in any case. A larger body is
	// written concurrently, because a server may respond before it has read all
	// of it.
	inlineBody = 2 << 10
)

var (
	errForeign = wasabiridge.Errors.NewType("foreign_answer").New("conn: received only responses to other requests")
	longAgo    = time.Unix(1, 0)
)

// Conn is a connection that is used by one request at a time.
type Conn struct {
	pool    *Pool
	address string
	// request and backend are those for which the connection is used, or was used last.
	request wasabiridge.RequestID
	backend wasabiridge.BackendServerID
	raw     net.Conn
	head    *headReader
	reader  *bufio.Reader
	// written is closed after the write of the request ended. Before that,
	// writeErr is set if the write failed.
	written   chan struct{}
	writeErr  error
	idleSince wasabiridge.Millis
	expires   wasabiridge.Millis
	released  bool
	// checked is set when the connection was checked for unread bytes while it was idle.
	checked bool
	// tainted is true when the context ended during the exchange, which may leave
	// a deadline on the connection.
	tainted bool
	// requests and responses count what the connection carried, and usage is what it had
	// carried when the response to the last request began.
	requests, responses int
	usage               Usage
}

// Usage is what a connection has carried before a response.
type Usage struct {
	// Requests is the number of requests sent before that of the response.
	Requests int
	// Responses is the number of responses received before, and Skipped that of those among
	// them that arrived since the request was sent and belong to other requests.
	Responses, Skipped int
}

// Usage returns what the connection had carried before the response that RoundTrip returned.
func (c *Conn) Usage() Usage { return c.usage }

// Unread returns the number of bytes that were received and belong to no response so far.
func (c *Conn) Unread() int { return c.reader.Buffered() }

func newConn(p *Pool, address string, raw net.Conn) *Conn {
	head := &headReader{Conn: raw}
	return &Conn{pool: p, address: address, raw: raw, head: head, reader: bufio.NewReaderSize(head, bufferBytes)}
}

// isClean reports whether nothing was received since the last response: neither
// bytes, which would belong to no request, nor the close of the connection.
func (c *Conn) isClean() bool {
	if n := c.reader.Buffered(); n > 0 {
		text, _ := c.reader.Peek(min(n, maxExtraBytes))
		c.pool.observeExtra(c, text)
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = failed == syscall.EAGAIN || failed == syscall.EWOULDBLOCK
		if failed == nil && n > 0 {
			text := make([]byte, maxExtraBytes)
			n, _, _ = syscall.Recvfrom(int(fd), text, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			c.pool.observeExtra(c, text[:max(0, n)])
		}
		return true
	})
	return err == nil && empty
}

// RoundTrip writes a request exactly once and reads the header of its response.
// isOwn reports by a header whether a response belongs to the request; responses
// to other requests are skipped. An error is of type ErrOutcomeUnknown: the request
// may have run. It is of its subtype ErrMalformed if the server sent something else than a
// response. The context must not end before the response's body is read.
func (c *Conn) RoundTrip(ctx context.Context, r *http.Request, isOwn func(http.Header) bool) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(longAgo) })
	c.written = make(chan struct{})
	c.usage = Usage{Requests: c.requests, Responses: c.responses}
	c.requests++
	write := func() {
		defer close(c.written)
		w := bufio.NewWriterSize(c.raw, bufferBytes)
		if c.writeErr = r.Write(w); c.writeErr == nil {
			c.writeErr = w.Flush()
		}
	}
	if r.ContentLength <= inlineBody {
		write()
	} else {
		go write()
	}
	return c.next(ctx, r, isOwn, stop)
}

// Next reads another response behind that of RoundTrip, whose body must have been read and
// closed. Its arguments and errors are those of RoundTrip.
func (c *Conn) Next(ctx context.Context, r *http.Request, isOwn func(http.Header) bool) (*http.Response, error) {
	return c.next(ctx, r, isOwn, context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(longAgo) }))
}

// next reads a response. Stop ends the monitoring of the context.
func (c *Conn) next(ctx context.Context, r *http.Request, isOwn func(http.Header) bool, stop func() bool) (*http.Response, error) {
	response, err := c.readOwn(ctx, r, isOwn)
	if err != nil {
		stop()
		return nil, wrapReadError(err, c.address)
	}
	response.Body = &body{ReadCloser: response.Body, conn: c, response: response, stop: stop}
	return response, nil
}

// WaitWritten waits until the last request is written, and reports whether it was written
// completely.
func (c *Conn) WaitWritten(ctx context.Context) bool {
	select {
	case <-c.written:
		return c.writeErr == nil
	case <-ctx.Done():
		return false
	}
}

// WaitEnd waits until the server closes or resets the connection, and reports whether it did
// so without sending anything before.
func (c *Conn) WaitEnd(ctx context.Context) bool {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(longAgo) })
	defer stop()
	_, err := c.reader.Peek(1)
	return err != nil && ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// wrapReadError returns the error of a read that got no response.
func wrapReadError(err error, address string) error {
	var failed net.Error
	if errors.Is(err, errHeadTooLarge) || !errors.Is(err, errForeign) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &failed) {
		return ErrMalformed.Wrap(err, "conn: no response from %s", address)
	}
	return wasabiridge.ErrOutcomeUnknown.Wrap(err, "conn: no response from %s", address)
}

func (c *Conn) readOwn(ctx context.Context, r *http.Request, isOwn func(http.Header) bool) (*http.Response, error) {
	for range maxForeign {
		response, err := c.readResponse(r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		c.responses++
		if isOwn(response.Header) {
			return response, nil
		}
		c.usage.Responses++
		c.usage.Skipped++
		if !c.Drain(ctx, response.Body, foreignBytes) {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

// readResponse reads the head of a response, which may be an interim one.
func (c *Conn) readResponse(r *http.Request) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err = c.head.begin(buffered); err != nil {
		return nil, err
	}
	defer c.head.end()
	return http.ReadResponse(c.reader, r)
}

// Drain reads the rest of a response that is not needed, so that the connection can be used
// again. It reports whether the response ended before it had the given size, and soon. The
// context is that of the request.
func (c *Conn) Drain(ctx context.Context, rest io.Reader, size int64) bool {
	if c.raw.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, rest, size)
	if c.raw.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	if ctx.Err() != nil {
		// The end of the context set the deadline that was just removed.
		_ = c.raw.SetDeadline(longAgo)
	}
	return err == io.EOF
}

// body is a response body that checks its trailer, and whose Close ends the monitoring of the
// context.
type body struct {
	io.ReadCloser
	conn     *Conn
	response *http.Response
	stop     func() bool
}

// Read implements io.Reader. It returns ErrMalformed for a trailer with malformed fields.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failed := wasabihead.CheckFields(b.response.Trailer); failed != nil {
		return n, ErrMalformed.Wrap(failed, "conn: trailer of a response from %s", b.conn.address)
	}
	return n, err
}

// Close ends the use of the body. It does not read the remaining bytes.
func (b *body) Close() error {
	if !b.stop() {
		b.conn.tainted = true
	}
	return nil
}

// Release returns the connection to the pool for the next request if the last
// response was complete, the server allows it and no unread bytes are left.
// Otherwise it closes the connection. Further calls have no effect.
func (c *Conn) Release(response *http.Response, complete bool) {
	if c.released {
		return
	}
	c.released = true
	keep, ok := c.keepFor(response)
	if !complete || !ok || c.tainted || !c.isWritten() || c.reader.Buffered() > 0 || c.raw.SetDeadline(time.Time{}) != nil {
		c.close()
		c.pool.uncount(c.address)
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
		return c.writeErr == nil
	default:
		return false
	}
}

// keepFor returns how long the connection may be kept idle after a response. The
// result is false when it cannot be reused.
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
