// Package wasabiconn pools HTTP/1.1 connections to backend servers and never sends
// a request twice. Each connection carries one exchange at a time.
//
// The transport of net/http retries a request by itself when an idle connection
// turns out to be closed. A request that must run at most once could then run a
// second time. This package writes every request exactly once, to the connection
// that the caller holds, and returns every failure after the first byte to the
// caller.
//
// # Responses to other requests
//
// A faulty server may send a second response, or bytes after a complete one. The
// next request on the connection would receive them as its response. A connection
// with unread bytes is therefore not reused, and a response with the identifier of
// another request is skipped. Conn.Usage has the number of responses before one, for those
// without an identifier. A server responds in order, so what belongs to a request has arrived
// once it has responded to a later one: Conn.Next returns what lies between.
//
// # Bytes without end
//
// A faulty server may send bytes that are no response, without end. The head of a response,
// the number of responses before the own one, and what is read of a response that is not
// needed are bounded, the last also in time. A connection that exceeds a bound is closed.
//
// # Usage
//
//	pool := wasabiconn.New(wasabiconn.Options{Clock: clock})
//	conn, err := pool.Get(ctx, address, wasabiconn.Requirements{MaxConnections: 38})
//	if err != nil {
//		return err // Nothing was sent.
//	}
//	response, err := conn.RoundTrip(ctx, request, isOwn)
//	...
//	conn.Release(response, complete)
package wasabiconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wasabiridge/wasabiridge"
)

// Defaults of Options.
const (
	// DefaultDialTimeout bounds how long a connection may take to open. Within
	// a region a round trip takes milliseconds; a lost first packet is
	// retransmitted only after a second, which is too long to wait for.
	DefaultDialTimeout = 400 * wasabiridge.Millis(1)
	// DefaultIdle is how long an idle connection is kept when the server sends no
	// Keep-Alive time-out.
	DefaultIdle = 3 * wasabiridge.Second
	// idleMargin is how long before the server's time-out an idle connection is
	// closed. It covers the transit of a request.
	idleMargin = 400 * wasabiridge.Millis(1)
	// DefaultUserTimeout is how long sent bytes or keep-alive probes may stay
	// unacknowledged before the system closes the connection. A network partition
	// cannot be detected in any other way.
	DefaultUserTimeout = 3 * wasabiridge.Second
	// extraBytesTime is how long after a response bytes may follow that belong to none.
	extraBytesTime = 200 * wasabiridge.Millis(1)
	// unusedIdle is how long a connection is kept on which nothing was ever sent.
	// The server closes it long before.
	unusedIdle = wasabiridge.Minute
)

// ErrLimitReached is the type of the error that Get returns when
// Requirements.MaxConnections connections are in use.
var ErrLimitReached = wasabiridge.ErrUnavailable.NewSubtype("full")

// Options configure a Pool. Clock is required.
type Options struct {
	Clock wasabiridge.Clock
	// DialTimeout bounds opening a connection. Zero means DefaultDialTimeout.
	DialTimeout wasabiridge.Millis
	// UserTimeout is how long sent bytes or keep-alive probes may stay unacknowledged.
	// Zero means DefaultUserTimeout.
	UserTimeout wasabiridge.Millis
	// Dial opens a connection. Its context ends after DialTimeout. Nil means a TCP
	// connection of the system.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Extra is called when an idle connection is closed because bytes were received behind
	// its last response. It must not block. Nil discards it.
	Extra func(e Extra)
}

// Extra describes the bytes that were received behind the last response of a connection.
type Extra struct {
	Address string
	// Request and Backend are those for which the connection was used last.
	Request wasabiridge.RequestID
	Backend wasabiridge.BackendServerID
	// Text holds the first maxExtraBytes of them.
	Text []byte
}

// Requirements describes the connection that a request needs. With the zero value any
// connection will do.
type Requirements struct {
	// Request and Backend are what the connection is used for. They are named in reports of
	// bytes behind the response.
	Request wasabiridge.RequestID
	Backend wasabiridge.BackendServerID
	// MaxConnections bounds the connections to the address, idle ones included. Zero
	// means no limit.
	MaxConnections int
	// MaxIdle is how long the connection may have been idle. Zero means any
	// time. Requests that must run at most once need a short one: the server may
	// have closed an idle connection without the pool having noticed, and then the
	// request is lost.
	MaxIdle wasabiridge.Millis
	// NewConnection requires a new connection, which shows that the server can be reached
	// now.
	NewConnection bool
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	hosts  map[string]*host
	closed bool
	opened uint64
}

// host holds the connections to one address.
type host struct {
	// idle holds the idle connections in the order of their release. The newest is
	// reused first, so that the others expire.
	idle []*Conn
	// open counts all open connections, idle or not.
	open int
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.UserTimeout == 0 {
		o.UserTimeout = DefaultUserTimeout
	}
	p := &Pool{options: o, hosts: map[string]*host{}}
	p.dialer = net.Dialer{
		Timeout:         o.DialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: max(1, int(o.UserTimeout/wasabiridge.Second))},
		Control:         UserTimeout(o.UserTimeout),
	}
	if o.Dial == nil {
		p.options.Dial = p.dialer.DialContext
	}
	return p
}

// UserTimeout returns a control function of a net.Dialer that makes the system close
// connections whose sent bytes or keep-alive probes stay unacknowledged for the given
// time. Without it they hang for minutes in a network partition.
func UserTimeout(timeout wasabiridge.Millis) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// Get returns an idle or a new connection to an address, given as IP:port. It
// returns ErrUnavailable when none can be opened, and its subtype ErrLimitReached when
// the limit is reached; nothing was sent then. The caller must release the connection.
func (p *Pool) Get(ctx context.Context, address string, w Requirements) (*Conn, error) {
	c, err := p.take(address, w)
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = p.dial(ctx, address); err != nil {
			return nil, wasabiridge.ErrUnavailable.Wrap(err, "conn: connect to %s", address)
		}
	}
	c.request, c.backend = w.Request, w.Backend
	return c, nil
}

// dial opens a connection that take has counted.
func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout.Duration())
	defer cancel()
	raw, err := p.options.Dial(ctx, "tcp", address)
	if err != nil {
		p.uncount(address)
		return nil, err
	}
	return newConn(p, address, raw), nil
}

// Refuses reports whether an address refuses connections, because nothing listens there.
// A connection that it opens is kept for the next request. It sends nothing. It returns
// ErrUnavailable when no connection may be opened to find out.
func (p *Pool) Refuses(ctx context.Context, address string, w Requirements) (bool, error) {
	w.NewConnection = true
	if _, err := p.take(address, w); err != nil {
		return false, err
	}
	c, err := p.dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), nil
	}
	p.put(c, unusedIdle)
	return false, nil
}

// Probe reports whether an address can be reached. It checks an idle connection if
// the pool has an open one, and otherwise opens a connection and keeps it. It sends
// nothing.
func (p *Pool) Probe(ctx context.Context, address string) bool {
	c, err := p.Get(ctx, address, Requirements{})
	if err != nil {
		return false
	}
	p.put(c, unusedIdle)
	return true
}

// Connect opens a connection to an address, whether the pool has an idle one or not, and
// keeps it for the next request. It sends nothing. Its errors are those of Get.
func (p *Pool) Connect(ctx context.Context, address string, w Requirements) error {
	w.NewConnection = true
	c, err := p.Get(ctx, address, w)
	if err != nil {
		return err
	}
	p.put(c, unusedIdle)
	return nil
}

// take returns an idle connection. It returns nil when the caller must open a new
// one, which is counted already.
func (p *Pool) take(address string, w Requirements) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, wasabiridge.ErrUnavailable.New("conn: the pool is closed")
	}
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	now := p.options.Clock.Now()
	h.dropExpired(now)
	for !w.NewConnection && len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if w.MaxIdle > 0 && now-c.idleSince > w.MaxIdle {
			break
		}
		h.idle = h.idle[:len(h.idle)-1]
		if c.isClean() {
			c.released = false
			return c, nil
		}
		h.open--
		c.close()
	}
	if w.MaxConnections > 0 && h.open >= w.MaxConnections {
		if len(h.idle) == 0 {
			return nil, ErrLimitReached.New("conn: all %d connections to %s are in use", w.MaxConnections, address)
		}
		h.open--
		h.idle[0].close()
		h.idle = h.idle[1:]
	}
	h.open++
	p.opened++
	return nil, nil
}

// dropExpired closes idle connections that the server is about to close.
func (h *host) dropExpired(now wasabiridge.Millis) {
	kept := h.idle[:0]
	for _, c := range h.idle {
		if now < c.expires {
			kept = append(kept, c)
			continue
		}
		h.open--
		c.close()
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

// dropUnclean closes idle connections on which something was received since their last
// response. Each is checked until extraBytesTime after its release.
func (h *host) dropUnclean(now wasabiridge.Millis) {
	kept := h.idle[:0]
	for _, c := range h.idle {
		if c.checked || c.isClean() {
			c.checked = c.checked || now-c.idleSince >= extraBytesTime
			kept = append(kept, c)
			continue
		}
		h.open--
		c.close()
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

// uncount reduces the count of open connections by one that could not be opened or
// was closed.
func (p *Pool) uncount(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		return
	}
	if h.open--; h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// put makes a connection idle for the next request, for at most the given time.
func (p *Pool) put(c *Conn, keep wasabiridge.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	if h == nil || p.closed {
		c.close()
		return
	}
	now := p.options.Clock.Now()
	c.idleSince, c.expires, c.checked = now, now+keep, false
	h.idle = append(h.idle, c)
}

// Sweep closes expired idle connections, and those on which bytes arrived behind the last
// response. It should be called periodically, so that servers do not hold connections that are
// no longer used, and what they send without being asked does not fill the system's buffers.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	for address, h := range p.hosts {
		h.dropExpired(now)
		h.dropUnclean(now)
		if h.open <= 0 && len(h.idle) == 0 {
			delete(p.hosts, address)
		}
	}
}

// CloseIdle closes the idle connections to an address. It is for a server that has left,
// or an address that another server has now.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		return
	}
	for _, c := range h.idle {
		h.open--
		c.close()
	}
	h.idle = nil
}

func (p *Pool) observeExtra(c *Conn, text []byte) {
	if p.options.Extra != nil {
		p.options.Extra(Extra{Address: c.address, Request: c.request, Backend: c.backend, Text: text})
	}
}

// Dials returns the number of new connections, including failed attempts, since
// the pool was created.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes all idle connections. Connections in use are closed when they are
// released. Get returns ErrUnavailable afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, h := range p.hosts {
		for _, c := range h.idle {
			c.close()
		}
		h.idle = nil
	}
}
