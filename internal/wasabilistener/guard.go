package wasabilistener

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

const (
	// receiveBuffer is the receive buffer of a connection until a large body is read, and
	// bodyReceiveBuffer from then on. opaqueReceiveBuffer is that of ports that are opaque. A
	// fixed size keeps the kernel from enlarging the buffer of a connection whose process is
	// slow to read. The kernel takes twice the size.
	receiveBuffer       = 8 << 10
	bodyReceiveBuffer   = 64 << 10
	opaqueReceiveBuffer = 16 << 10
	// minBacklog is the least number of connections that may wait to be accepted.
	minBacklog = 256
	// sweepInterval is how often a Guard looks for connections whose time is over and writes
	// its log lines.
	sweepInterval = 500 * time.Millisecond
	// refusedTime is how long a connection whose head was refused is kept.
	refusedTime = wasabiridge.Second
	// endingTime is how long a response may take to be written after its handler returned.
	endingTime = 30 * wasabiridge.Second
)

// Reasons for which a Port closes connections, besides the stages of those that are closed
// for others.
const (
	reasonHeadSize = "head too large"
	reasonHeadTime = "head not complete in time"
	reasonIdle     = "idle"
	reasonUnread   = "response not read"
	reasonFull     = "no place"
	reasonShutdown = "shutdown"
	reasonShed     = "for others: "
)

// Limits are limits on the callers of a port.
type Limits struct {
	// HeaderBytes limits the head of a request. Zero leaves that to the server.
	HeaderBytes int
	// HeaderTimeout limits the time from the first byte of a head to its end, and
	// IdleTimeout the time without a request.
	HeaderTimeout, IdleTimeout wasabiridge.Millis
}

// Options configure a Guard. Clock is required.
type Options struct {
	Clock wasabiridge.Clock
	Log   zerolog.Logger
}

// PortOptions configure a Port. Name and Limits are required.
type PortOptions struct {
	Name  string
	Share Share
	// Limits returns the limits in force. It must be safe for concurrent use and not block.
	Limits func() Limits
	// Overhead are bytes that each connection takes beside those of a server without TLS.
	Overhead int64
	// Disposable states that requests which run may be closed to make room, since nothing
	// else depends on them.
	Disposable bool
	// Opaque states that the protocol is none of net/http. Its connections are closed to
	// make room if nothing was received on them for the longest time.
	Opaque bool
	// Secure states that the connections carry TLS.
	Secure bool
}

// Guard bounds what the connections of all listeners of a process take. Create it with
// NewGuard. It is safe for concurrent use.
type Guard struct {
	options Options
	mu      sync.Mutex
	ports   []*Port
}

// NewGuard returns a Guard.
func NewGuard(o Options) *Guard { return &Guard{options: o} }

// Port bounds the connections of one listener. It is safe for concurrent use.
type Port struct {
	guard   *Guard
	options PortOptions

	mu     sync.Mutex
	ledger *ledger
	// released wakes those that wait until connections were closed.
	released *sync.Cond
	// endAt is when connections without a complete request are closed. Zero means never.
	endAt   wasabiridge.Millis
	reasons map[string]*closings
	peak    int
}

// closings counts the connections that were closed for a reason.
type closings struct {
	total, logged uint64
	// address and bytes are those of the last one.
	address string
	bytes   int64
}

// Port adds a port.
func (g *Guard) Port(o PortOptions) *Port {
	p := &Port{guard: g, options: o, ledger: newLedger(o.Share, o.Disposable), reasons: map[string]*closings{}}
	p.released = sync.NewCond(&p.mu)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ports = append(g.ports, p)
	return p
}

// Listen opens a TCP listener whose connections the port bounds. It returns the error of
// the system.
func (p *Port) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Accepted connections inherit the size. Without it they work all the same.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, p.receiveBuffer())
		})
	}}
	socket, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	p.limitBacklog(socket)
	return listener{Listener: socket, port: p}, nil
}

func (p *Port) receiveBuffer() int {
	if p.options.Opaque {
		return opaqueReceiveBuffer
	}
	return receiveBuffer
}

// limitBacklog lets no more connections wait to be accepted than may be open: the kernel keeps
// what their callers send.
func (p *Port) limitBacklog(socket net.Listener) {
	most := p.options.Share.most()
	tcp, ok := socket.(*net.TCPListener)
	if most == 0 || !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Without it the kernel's own limit remains.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), max(minBacklog, most)) })
}

// Run closes connections whose time is over, until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := wasabipulse.New(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			ticker.Next(sweepInterval)
		case <-ctx.Done():
			return
		}
		g.Sweep()
	}
}

// Sweep closes the connections whose time is over now, and logs what was closed since the
// last call.
func (g *Guard) Sweep() {
	now := g.options.Clock.Now()
	for _, p := range g.all() {
		p.sweep(now)
		p.report()
	}
}

// End closes the connections that have no complete request after a time. It lets a server
// shut down whose callers never complete their requests.
func (g *Guard) End(after wasabiridge.Millis) {
	for _, p := range g.all() {
		p.mu.Lock()
		p.endAt = g.options.Clock.Now() + after
		p.mu.Unlock()
	}
}

func (g *Guard) all() []*Port {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Port(nil), g.ports...)
}

// Counts are what a port has counted. Closed counts connections by reason since the start.
type Counts struct {
	Port       string
	Open, Peak int
	Bytes      int64
	MaxOpen    int
	MaxBytes   int64
	Closed     map[string]uint64
}

// Counts returns the counts of all ports.
func (g *Guard) Counts() []Counts {
	var out []Counts
	for _, p := range g.all() {
		p.mu.Lock()
		c := Counts{
			Port: p.options.Name, Open: p.ledger.open, Peak: p.peak, Bytes: p.ledger.bytes,
			MaxOpen: p.options.Share.Connections, MaxBytes: p.options.Share.Bytes, Closed: map[string]uint64{},
		}
		for reason, n := range p.reasons {
			c.Closed[reason] = n.total
		}
		p.mu.Unlock()
		out = append(out, c)
	}
	return out
}

// Totals returns how many connections of all ports are open, the bytes that they are assumed
// to take, and how many were closed since the start, but for idle ones.
func (g *Guard) Totals() (open int, bytes int64, closed uint64) {
	for _, c := range g.Counts() {
		open += c.Open
		bytes += c.Bytes
		for reason, n := range c.Closed {
			if reason != reasonIdle {
				closed += n
			}
		}
	}
	return open, bytes, closed
}

// admit counts a new connection. It waits while too many that have to go are still being
// closed, and reports false if there is no place for the connection.
func (p *Port) admit(c *conn) bool {
	p.mu.Lock()
	for p.ledger.isFull() && p.ledger.closing > 0 || p.ledger.isClosingMuch() {
		p.released.Wait()
	}
	if p.ledger.isFull() {
		p.count(reasonFull, &c.entry)
		p.mu.Unlock()
		return false
	}
	c.entry.overhead = p.options.Overhead + int64(2*(p.receiveBuffer()-receiveBuffer))
	p.ledger.add(&c.entry, p.guard.options.Clock.Now())
	p.peak = max(p.peak, p.ledger.open)
	p.closeAndUnlock(p.shed())
	return true
}

// shed returns the connections that have to be closed to make room, and counts them.
func (p *Port) shed() []*entry {
	if p.options.Opaque {
		p.sortByReads()
	}
	now := p.guard.options.Clock.Now()
	var all []*entry
	for p.ledger.exceeds() {
		e := p.ledger.victim(now)
		if e == nil {
			break
		}
		if e.stage == stageSilent && e.conn.hasUnread() {
			// Its request has arrived, and the process has had no time to read it.
			p.ledger.move(e, stageHead, now)
			e.conn.stage.Store(int32(stageHead))
			continue
		}
		p.count(reasonShed+e.stage.String(), e)
		p.ledger.close(e)
		all = append(all, e)
	}
	return all
}

// sortByReads puts that idle connection first on which nothing was received for the longest
// time.
func (p *Port) sortByReads() {
	if !p.ledger.exceeds() {
		return
	}
	queue := &p.ledger.queues[stageIdle]
	oldest := queue.Front()
	for node := oldest; node != nil; node = node.Next() {
		if node.Value.(*entry).conn.lastRead.Load() < oldest.Value.(*entry).conn.lastRead.Load() {
			oldest = node
		}
	}
	if oldest != nil {
		queue.MoveToFront(oldest)
	}
}

// count counts a connection that is closed.
func (p *Port) count(reason string, e *entry) {
	n := p.reasons[reason]
	if n == nil {
		n = &closings{}
		p.reasons[reason] = n
	}
	n.total++
	n.address, n.bytes = e.conn.RemoteAddr().String(), e.headBytes
}

// closeAndUnlock unlocks the port and closes connections, whose owners notice it and remove
// them.
func (p *Port) closeAndUnlock(all []*entry) {
	p.mu.Unlock()
	for _, e := range all {
		e.conn.abort()
	}
}

// release ends the counting of a connection.
func (p *Port) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.remove(&c.entry)
	p.released.Broadcast()
}

// move puts a connection into a stage.
func (p *Port) move(c *conn, s stage) {
	p.mu.Lock()
	p.ledger.move(&c.entry, s, p.guard.options.Clock.Now())
	c.stage.Store(int32(s))
	if s == stageIdle {
		c.reads.Store(0)
	}
	p.closeAndUnlock(p.shed())
}

// begin puts a connection into a stage in which a handler has a request. It reports false
// if the connection is being closed: then the request must not run.
func (p *Port) begin(c *conn, s stage) bool {
	p.move(c, s)
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.entry.node != nil
}

// enlarge enlarges the receive buffer of a connection for a body.
func (p *Port) enlarge(c *conn) {
	_ = c.SetReadBuffer(bodyReceiveBuffer)
	p.mu.Lock()
	c.entry.largeBody = true
	if c.entry.node != nil {
		p.ledger.recount(&c.entry)
	}
	p.closeAndUnlock(p.shed())
}

// receive counts a part of a head. It reports false if the connection is to be closed.
func (p *Port) receive(c *conn, bytes, lines int) bool {
	p.mu.Lock()
	now := p.guard.options.Clock.Now()
	if s := c.entry.stage; s == stageSilent || s == stageIdle {
		next := stageHead
		if p.options.Opaque {
			next = stageIdle
		}
		p.ledger.move(&c.entry, next, now)
		c.stage.Store(int32(next))
	}
	p.ledger.receive(&c.entry, bytes, lines)
	limit := p.options.Limits().HeaderBytes
	if limit > 0 && c.entry.headBytes > maxHeadBytes(limit) {
		p.count(reasonHeadSize, &c.entry)
		p.ledger.move(&c.entry, stageRefused, now)
		c.stage.Store(int32(stageRefused))
		p.mu.Unlock()
		return false
	}
	p.closeAndUnlock(p.shed())
	return p.awaitClosed(c)
}

// awaitClosed waits while connections that are being closed take much: their memory is free
// when their goroutines have run. It reports false if the connection itself is being closed.
func (p *Port) awaitClosed(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.ledger.isClosingMuch() && c.entry.node != nil {
		p.released.Wait()
	}
	return c.entry.node != nil
}

// maxHeadBytes returns how many bytes of a head are read if its names and values may have so
// many. What separates them does not count there, and a read may contain a part of the body.
func maxHeadBytes(limit int) int64 { return 2*int64(limit) + readBytes }

// readBytes is the size of the buffer that net/http reads into.
const readBytes = 4 << 10

// sweep closes connections whose time is over.
func (p *Port) sweep(now wasabiridge.Millis) {
	p.mu.Lock()
	limits := p.options.Limits()
	var all []*entry
	end := func(s stage, after wasabiridge.Millis, reason string) {
		for _, e := range p.ledger.expired(s, now-after) {
			if reason != reasonShutdown && e.conn.hasUnread() && p.ledger.extend(e, now) {
				continue
			}
			p.count(reason, e)
			p.ledger.close(e)
			all = append(all, e)
		}
	}
	if !p.options.Opaque {
		end(stageHead, limits.HeaderTimeout, reasonHeadTime)
		end(stageIdle, limits.IdleTimeout, reasonIdle)
		end(stageEnding, endingTime, reasonUnread)
	}
	end(stageSilent, limits.IdleTimeout, reasonIdle)
	for _, e := range p.ledger.expired(stageRefused, now-refusedTime) {
		p.ledger.close(e)
		all = append(all, e)
	}
	if p.endAt > 0 && now >= p.endAt && !p.options.Opaque {
		for _, s := range []stage{stageRefused, stageSilent, stageHead, stageBody, stageEnding} {
			end(s, 0, reasonShutdown)
		}
	}
	p.closeAndUnlock(all)
}

// report logs the reasons for which connections were closed since the last call, but for
// those that were idle. It holds no lock while it logs.
func (p *Port) report() {
	for _, line := range p.unreported() {
		line()
	}
}

// unreported returns functions that each write a log line, and counts what they log as
// logged.
func (p *Port) unreported() []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lines []func()
	for reason, n := range p.reasons {
		if n.total == n.logged || reason == reasonIdle {
			continue
		}
		event := p.guard.options.Log.Warn().Str("port", p.options.Name).Str("reason", reason).Uint64("closed", n.total-n.logged).
			Str("last_address", n.address).Int64("last_head_bytes", n.bytes).Int("open", p.ledger.open).Int("max_open", p.options.Share.Connections).
			Int64("bytes", p.ledger.bytes).Int64("max_bytes", p.options.Share.Bytes)
		lines = append(lines, func() { event.Msg("Connections closed.") })
		n.logged = n.total
	}
	return lines
}
