// Package wasabiconn keeps connections to backend servers over which HTTP/1.1
// exchanges run one at a time, and never sends a request twice.
//
// The transport of net/http sends a request again by itself when a kept
// connection turns out to be closed. For a request that runs at most once that
// is a second run. Here every request is written exactly once, to the
// connection that the caller holds, and whatever goes wrong after the first
// byte is reported to the caller.
//
// # Whose answer an answer is
//
// A faulty server may send a second answer, or bytes after a whole one. They
// would stand where the answer to the next request on the connection is due.
// A connection with unread bytes is therefore not used again, and an answer
// that repeats the identifier of another request is passed over.
//
// # Usage
//
//	pool := wasabiconn.New(wasabiconn.Options{})
//	conn, err := pool.Get(ctx, address, wasabiconn.Want{Limit: 38})
//	if err != nil {
//		return err // Nothing was sent.
//	}
//	response, err := conn.RoundTrip(ctx, request, isOwn)
//	...
//	conn.Release(response)
package wasabiconn

import (
	"context"
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
	// a region a round trip takes milliseconds; a lost first packet is sent
	// again only after a second, which is too long to wait for.
	DefaultDialTimeout = 400 * wasabiridge.Millis(1)
	// DefaultIdle is how long an idle connection is kept when its server does
	// not say how long it keeps it.
	DefaultIdle = 3 * wasabiridge.Second
	// idleMargin is how long before its server a kept connection is given up.
	// It covers the way of a request.
	idleMargin = 400 * wasabiridge.Millis(1)
	// DefaultSilence is how long sent bytes, or the system's own probes, may stay
	// unacknowledged before the system breaks the connection. Cut paths show in no
	// other way.
	DefaultSilence = 3 * wasabiridge.Second
	// unusedLife is how long a connection is kept on which nothing was sent. Its
	// server closes it long before.
	unusedLife = wasabiridge.Minute
)

// ErrFull says that as many connections are in use as are allowed.
var ErrFull = wasabiridge.ErrUnavailable.NewSubtype("full")

// Options set up a Pool. The zero value works.
type Options struct {
	Clock       wasabiridge.Clock
	DialTimeout wasabiridge.Millis
	Silence     wasabiridge.Millis
}

// Want says what connection a request needs.
type Want struct {
	// Limit bounds the connections to the address, idle ones included. Zero
	// means no limit.
	Limit int
	// MaxIdle is how long the connection may have been idle. Zero means any
	// time. Requests that run at most once want a short one: a server may have
	// closed an idle connection unseen, and then the request is lost.
	MaxIdle wasabiridge.Millis
	// Fresh wants a connection that was never used, which proves that the
	// server can be reached now.
	Fresh bool
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	hosts  map[string]*host
	closed bool
	opened uint64
}

// host is what is kept for one address. The newest idle connection stands
// last, so that the others time out.
type host struct {
	idle []*Conn
	open int
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Silence == 0 {
		o.Silence = DefaultSilence
	}
	p := &Pool{options: o, hosts: map[string]*host{}}
	p.dialer = net.Dialer{
		Timeout:         o.DialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: max(1, int(o.Silence/wasabiridge.Second))},
		Control:         p.breakWhenSilent,
	}
	return p
}

// breakWhenSilent lets the system break connections whose bytes stay
// unacknowledged. Without it they hang for minutes behind a cut path.
func (p *Pool) breakWhenSilent(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.options.Silence))
	})
	if err != nil {
		return err
	}
	return failed
}

// Get returns a connection to an address, given as IP:port. It reports
// ErrUnavailable when none can be had; nothing was sent then.
func (p *Pool) Get(ctx context.Context, address string, w Want) (*Conn, error) {
	c, err := p.take(address, w)
	if c != nil || err != nil {
		return c, err
	}
	var raw net.Conn
	if raw, err = p.dialer.DialContext(ctx, "tcp", address); err != nil {
		p.forget(address)
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "conn: connect to %s", address)
	}
	return newConn(p, address, raw), nil
}

// Reach reports whether an address can be reached: by the connection that is kept
// for it if that still stands, and by a new one otherwise, which is kept. Nothing
// is sent.
func (p *Pool) Reach(ctx context.Context, address string) bool {
	c, err := p.Get(ctx, address, Want{})
	if err != nil {
		return false
	}
	p.put(c, unusedLife)
	return true
}

// take returns an idle connection, or nil after it has counted a new one.
func (p *Pool) take(address string, w Want) (*Conn, error) {
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
	for !w.Fresh && len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if w.MaxIdle > 0 && now-c.idleSince > w.MaxIdle {
			break
		}
		h.idle = h.idle[:len(h.idle)-1]
		if c.quiet() {
			c.Reused, c.released = true, false
			return c, nil
		}
		h.open--
		c.close()
	}
	if w.Limit > 0 && h.open >= w.Limit {
		if len(h.idle) == 0 {
			return nil, ErrFull.New("conn: all %d connections to %s are in use", w.Limit, address)
		}
		h.open--
		h.idle[0].close()
		h.idle = h.idle[1:]
	}
	h.open++
	p.opened++
	return nil, nil
}

// dropExpired closes idle connections that their server is about to close.
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

// forget uncounts a connection that was not had or is closed.
func (p *Pool) forget(address string) {
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

// put keeps a connection for the next request.
func (p *Pool) put(c *Conn, keep wasabiridge.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	if h == nil || p.closed {
		c.close()
		return
	}
	now := p.options.Clock.Now()
	c.idleSince, c.expires = now, now+keep
	h.idle = append(h.idle, c)
}

// Sweep closes idle connections whose time is over. It is called once in a
// while, so that servers are not left with connections that nobody uses.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	for address, h := range p.hosts {
		h.dropExpired(now)
		if h.open <= 0 && len(h.idle) == 0 {
			delete(p.hosts, address)
		}
	}
}

// Drop closes the idle connections to an address, because its server has left
// or another one has the address now.
func (p *Pool) Drop(address string) {
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

// Opened counts the connections that were opened since the start.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes all idle connections. Those in use are closed when they are
// released.
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
