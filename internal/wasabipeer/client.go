package wasabipeer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconn"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// maxConns bounds the connections that a client keeps. Beyond it, the least
// recently used connection is closed.
const maxConns = 64

// maxTimeouts is how many consecutive calls may exceed their deadline before
// the connection is closed. During a network partition, TCP retransmits lost
// data at longer and longer intervals, up to minutes, and keeps waiting after
// the path works again. A new connection uses the path at once.
const maxTimeouts = 4

// connectBackoff makes connection attempts to a dead peer rare, but still
// reaches a peer that is back within seconds.
var connectBackoff = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 5 * time.Second},
	MinConnectTimeout: time.Second,
}

type pooledConn struct {
	conn *grpc.ClientConn
	used time.Time
	// calls counts the calls in flight.
	calls int
	// timeouts counts consecutive calls that exceeded their deadline.
	timeouts int
}

// Client calls other instances. It keeps one connection for each address that
// is in use. It is safe for concurrent use; create it with NewClient.
type Client struct {
	options []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*pooledConn
	closed bool
}

var _ wasabiridge.PeerClient = (*Client)(nil)

// NewClient returns a client. It reports wasabiridge.ErrInvalid when the
// options contain neither TLS nor a key, or TLS without a certificate or
// without certificate authorities.
func NewClient(o Options) (*Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		creds = credentials.NewTLS(o.TLS)
	}
	dialer := &net.Dialer{}
	if o.AckTimeout > 0 {
		dialer.Control = wasabiconn.UserTimeout(o.AckTimeout)
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(connectBackoff),
		grpc.WithStatsHandler(sentMarker{}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			var conn net.Conn
			var err error
			if conn, err = dialer.DialContext(ctx, "tcp", address); err != nil {
				return nil, err
			}
			return o.wrap(conn), nil
		}),
		grpc.WithUserAgent("wasabiridge"),
	}, commonDialOptions...)
	if o.StreamWindow > 0 {
		options = append(options, grpc.WithInitialWindowSize(o.StreamWindow))
	}
	if len(o.Key) > 0 {
		options = append(options, grpc.WithPerRPCCredentials(&tokens{key: o.Key, clock: o.clock()}))
	}
	return &Client{options: options, conns: make(map[string]*pooledConn)}, nil
}

// Close ends all connections. Calls after it fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var first error
	for address, p := range c.conns {
		if err := p.conn.Close(); err != nil && first == nil {
			first = wasabiridge.ErrUnavailable.Wrap(err, "peer: close connection to %s", address)
		}
		delete(c.conns, address)
	}
	return first
}

func (c *Client) acquire(address string) (*pooledConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, wasabiridge.ErrUnavailable.New("peer: the client is closed")
	}
	p := c.conns[address]
	if p == nil {
		if err := c.evict(); err != nil {
			return nil, err
		}
		var conn *grpc.ClientConn
		var err error
		if conn, err = grpc.NewClient("passthrough:///"+address, c.options...); err != nil {
			return nil, wasabiridge.ErrInvalid.Wrap(err, "peer: address %q", address)
		}
		p = &pooledConn{conn: conn}
		c.conns[address] = p
	}
	p.used = time.Now()
	p.calls++
	return p, nil
}

// release ends a call. It closes the connection when too many consecutive calls
// exceeded their deadline.
func (c *Client) release(address string, p *pooledConn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.calls--
	if status.Code(err) != codes.DeadlineExceeded {
		p.timeouts = 0
		return
	}
	p.timeouts++
	if p.timeouts < maxTimeouts || c.conns[address] != p {
		return
	}
	delete(c.conns, address)
	// Calls that are still in flight on it fail now instead of at their
	// deadline. An error from Close adds no information.
	_ = p.conn.Close()
}

// evict makes room for one more connection. Connections with calls in flight
// stay, so the bound may be exceeded by their number.
func (c *Client) evict() error {
	if len(c.conns) < maxConns {
		return nil
	}
	var oldest string
	for address, p := range c.conns {
		if p.calls > 0 {
			continue
		}
		if oldest == "" || p.used.Before(c.conns[oldest].used) {
			oldest = address
		}
	}
	if oldest == "" {
		return nil
	}
	conn := c.conns[oldest].conn
	delete(c.conns, oldest)
	if err := conn.Close(); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "peer: close connection to %s", oldest)
	}
	return nil
}

// invocation is one call with its limits.
type invocation struct {
	address string
	timeout time.Duration
	// effect is set when the call may change something at the other instance.
	effect bool
	run    func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error
}

func (c *Client) invoke(ctx context.Context, in invocation) error {
	var p *pooledConn
	var err error
	if p, err = c.acquire(in.address); err != nil {
		return err
	}
	defer func() { c.release(in.address, p, err) }()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, in.timeout)
		defer cancel()
	}
	state := &call{}
	opts := []grpc.CallOption{grpc.Trailer(&state.trailer), grpc.MaxCallRecvMsgSize(MaxResponseBytes)}
	if err = in.run(withCall(ctx, state), pb.NewPeerClient(p.conn), opts...); err != nil {
		return state.fromStatus(err, in.effect)
	}
	return nil
}

// Exchange sends a heartbeat and returns the heartbeat of the other instance.
func (c *Client) Exchange(ctx context.Context, address string, h wasabiridge.Heartbeat) (wasabiridge.Heartbeat, error) {
	var out *pb.Heartbeat
	err := c.invoke(ctx, invocation{address: address, timeout: exchangeTimeout,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			var err error
			out, err = stub.Exchange(ctx, EncodeHeartbeat(h), append(opts, grpc.MaxCallRecvMsgSize(MaxHeartbeatBytes))...)
			return err
		}})
	if err != nil {
		return wasabiridge.Heartbeat{}, err
	}
	return DecodeHeartbeat(out)
}

// FetchConfig returns the configuration in force at the other instance.
func (c *Client) FetchConfig(ctx context.Context, address string) (wasabiridge.ConfigDocument, error) {
	var out *pb.ConfigDocument
	err := c.invoke(ctx, invocation{address: address, timeout: readTimeout,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			var err error
			out, err = stub.FetchConfig(ctx, &pb.FetchConfigRequest{}, opts...)
			return err
		}})
	if err != nil {
		return wasabiridge.ConfigDocument{}, err
	}
	return decodeDocument(out), nil
}

// QueryTimeline reads the timeline of the other instance.
func (c *Client) QueryTimeline(ctx context.Context, address string, q wasabiridge.TimelineQuery) (wasabiridge.TimelinePage, error) {
	var out *pb.TimelinePage
	err := c.invoke(ctx, invocation{address: address, timeout: readTimeout,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			var err error
			out, err = stub.QueryTimeline(ctx, encodeTimelineQuery(q), opts...)
			return err
		}})
	if err != nil {
		return wasabiridge.TimelinePage{}, err
	}
	return decodeTimelinePage(out), nil
}

// Claim requests a claim from the other instance, which issued the ticket.
func (c *Client) Claim(ctx context.Context, address string, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	var out *pb.ClaimOutcome
	err := c.invoke(ctx, invocation{address: address, timeout: claimTimeout, effect: true,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			var err error
			out, err = stub.Claim(ctx, encodeClaimQuery(q), opts...)
			return err
		}})
	if err != nil {
		return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnknown}, err
	}
	var outcome wasabiridge.ClaimOutcome
	if outcome, err = decodeOutcome(out); err != nil {
		return outcome, wasabiridge.ErrOutcomeUnknown.Wrap(err, "peer: the response to a claim could not be decoded")
	}
	return outcome, nil
}

// FinishClaim notifies the other instance how a claimed request ended.
func (c *Client) FinishClaim(ctx context.Context, address string, r wasabiridge.ClaimResult) error {
	return c.invoke(ctx, invocation{address: address, timeout: claimTimeout, effect: true,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			_, err := stub.FinishClaim(ctx, encodeResult(r), opts...)
			return err
		}})
}

func (c *Client) publish(ctx context.Context, address string, r *pb.PublishRequest) error {
	return c.invoke(ctx, invocation{address: address, timeout: claimTimeout, effect: true,
		run: func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error {
			_, err := stub.Publish(ctx, r, opts...)
			return err
		}})
}
