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
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// maxConns bounds the connections that a client keeps. Beyond it, the one
// that was used longest ago is closed.
const maxConns = 64

// maxSilent is how many calls in a row may run into their deadline before the
// connection is given up. When a path is cut, TCP repeats lost data at longer
// and longer intervals, up to minutes, and goes on waiting after the path is
// back. A new connection finds the path at once.
const maxSilent = 4

// connectBackoff keeps attempts to reach a dead peer rare, and a peer that
// came back is reached within seconds.
var connectBackoff = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 5 * time.Second},
	MinConnectTimeout: time.Second,
}

type pooled struct {
	conn *grpc.ClientConn
	used time.Time
	// calls counts calls that run right now.
	calls int
	// silent counts calls in a row that ran into their deadline.
	silent int
}

// Client calls other instances. It keeps one connection for each address that
// is in use. It is safe for concurrent use; create it with NewClient.
type Client struct {
	options []grpc.DialOption

	mu     sync.Mutex
	conns  map[string]*pooled
	closed bool
}

var _ wasabiridge.PeerClient = (*Client)(nil)

// NewClient returns a client. It reports wasabiridge.ErrInvalid when the
// options name neither TLS nor a key.
func NewClient(o Options) (*Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	creds := insecure.NewCredentials()
	if o.TLS != nil {
		creds = credentials.NewTLS(o.TLS)
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithConnectParams(connectBackoff),
		grpc.WithStatsHandler(sentMarker{}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			var conn net.Conn
			var err error
			if conn, err = (&net.Dialer{}).DialContext(ctx, "tcp", address); err != nil {
				return nil, err
			}
			return o.wrap(conn), nil
		}),
		grpc.WithUserAgent("wasabiridge"),
	}, commonDialOptions...)
	if len(o.Key) > 0 {
		options = append(options, grpc.WithPerRPCCredentials(&tokens{key: o.Key, clock: o.clock()}))
	}
	return &Client{options: options, conns: make(map[string]*pooled)}, nil
}

// Close ends all connections. Calls after it fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	var first error
	for address, p := range c.conns {
		if err := p.conn.Close(); err != nil && first == nil {
			first = wasabiridge.ErrUnavailable.Wrap(err, "peer: close %s", address)
		}
		delete(c.conns, address)
	}
	return first
}

func (c *Client) acquire(address string) (*pooled, error) {
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
		p = &pooled{conn: conn}
		c.conns[address] = p
	}
	p.used = time.Now()
	p.calls++
	return p, nil
}

// release ends a call. It gives the connection up when too many calls in a row
// were not answered.
func (c *Client) release(address string, p *pooled, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.calls--
	if status.Code(err) != codes.DeadlineExceeded {
		p.silent = 0
		return
	}
	p.silent++
	if p.silent < maxSilent || c.conns[address] != p {
		return
	}
	delete(c.conns, address)
	// Calls that still run on it fail now instead of at their deadline. The
	// error of closing says nothing more.
	_ = p.conn.Close()
}

// evict makes room for one more connection. Connections with running calls
// stay, so the bound may be exceeded by the number of running calls.
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
		return wasabiridge.ErrUnavailable.Wrap(err, "peer: close %s", oldest)
	}
	return nil
}

// invocation is one call with its limits.
type invocation struct {
	address string
	timeout time.Duration
	// effect says that the call may change something at the other side.
	effect bool
	run    func(ctx context.Context, stub pb.PeerClient, opts ...grpc.CallOption) error
}

func (c *Client) invoke(ctx context.Context, in invocation) error {
	var p *pooled
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

// Exchange sends a heartbeat and returns the other's.
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

// QueryTimeline reads the other instance's time line.
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

// Claim asks the other instance, which issued the ticket, for a claim.
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
		return outcome, wasabiridge.ErrOutcomeUnknown.Wrap(err, "peer: unreadable answer")
	}
	return outcome, nil
}

// FinishClaim tells the other instance how a claimed request ended.
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
