package wasabipeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// Server serves the calls of other instances. Create it with Listen.
type Server struct {
	grpc     *grpc.Server
	listener net.Listener
	bus      *Subscriber
	// done is closed when serving has ended; err is set before that.
	done chan struct{}
	err  error
}

type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept waits for the next connection and wraps it.
func (l wrappingListener) Accept() (net.Conn, error) {
	var conn net.Conn
	var err error
	if conn, err = l.Listener.Accept(); err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// Listen serves the handler on an address in the form IP:port. Port 0 selects a
// free port.
func Listen(address string, h wasabiridge.PeerHandler, o Options) (*Server, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	var listener net.Listener
	var err error
	if listener, err = o.listen(address); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "peer: listen on %s", address)
	}
	bus := newSubscriber()
	interceptor := &callInterceptor{}
	if len(o.Key) > 0 {
		interceptor.tokens = &tokens{key: o.Key, clock: o.clock()}
	}
	options := []grpc.ServerOption{
		grpc.UnaryInterceptor(interceptor.intercept),
		grpc.StreamInterceptor(interceptor.interceptStream),
		grpc.MaxRecvMsgSize(MaxRequestBytes),
		grpc.MaxSendMsgSize(MaxResponseBytes),
		grpc.MaxConcurrentStreams(maxConcurrentCalls),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ReadBufferSize(socketBufferBytes),
		grpc.WriteBufferSize(socketBufferBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * idleTimeout, Time: time.Minute, Timeout: 10 * time.Second}),
	}
	if o.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(requireClientCert(o.TLS))))
	}
	s := &Server{
		grpc:     grpc.NewServer(options...),
		listener: wrappingListener{Listener: listener, wrap: o.wrap},
		bus:      bus,
		done:     make(chan struct{}),
	}
	pb.RegisterPeerServer(s.grpc, &service{handler: h, bus: bus})
	go s.serve()
	return s, nil
}

// requireClientCert returns a copy of the TLS settings that rejects clients
// without a valid certificate, whatever ClientAuth was.
func requireClientCert(c *tls.Config) *tls.Config {
	out := c.Clone()
	out.ClientAuth = tls.RequireAndVerifyClientCert
	if out.ClientCAs == nil {
		out.ClientCAs = out.RootCAs
	}
	return out
}

// Address returns the address that the server listens on, in the form IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Bus returns the subscriber that receives what other instances publish.
func (s *Server) Bus() *Subscriber { return s.bus }

// Close waits for calls in flight until the context ends, then aborts them. It
// may be called more than once.
func (s *Server) Close(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.grpc.Stop)
	defer stop()
	if err := s.bus.Close(); err != nil {
		return err
	}
	s.grpc.GracefulStop()
	<-s.done
	return s.err
}

func (s *Server) serve() {
	defer close(s.done)
	// A server that is closed before it starts to serve returns
	// ErrServerStopped, which is no failure.
	if err := s.grpc.Serve(s.listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		s.err = wasabiridge.ErrUnavailable.Wrap(err, "peer: serve")
	}
}

// callInterceptor authenticates calls, bounds the size of heartbeats and bounds
// the time of each call.
type callInterceptor struct {
	// tokens is nil when TLS alone authenticates peers.
	tokens *tokens
}

func (g *callInterceptor) intercept(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if g.tokens != nil {
		if err := g.tokens.check(ctx); err != nil {
			return nil, err
		}
	}
	if h, ok := req.(*pb.Heartbeat); ok && proto.Size(h) > MaxHeartbeatBytes {
		return nil, status.Error(codes.ResourceExhausted, "peer: heartbeat too large")
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	return next(ctx, req)
}

// interceptStream authenticates a streaming call. The call bounds its time itself.
func (g *callInterceptor) interceptStream(service any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if g.tokens != nil {
		if err := g.tokens.check(stream.Context()); err != nil {
			return err
		}
	}
	return next(service, stream)
}

type service struct {
	pb.UnimplementedPeerServer
	handler wasabiridge.PeerHandler
	bus     *Subscriber
}

// Exchange responds to a heartbeat.
func (s *service) Exchange(ctx context.Context, in *pb.Heartbeat) (*pb.Heartbeat, error) {
	var h wasabiridge.Heartbeat
	var err error
	if h, err = DecodeHeartbeat(in); err != nil {
		return nil, toStatus(ctx, err)
	}
	if h, err = s.handler.HandleExchange(ctx, h); err != nil {
		return nil, toStatus(ctx, err)
	}
	return EncodeHeartbeat(h), nil
}

// FetchConfig returns the configuration in force at this instance.
func (s *service) FetchConfig(ctx context.Context, _ *pb.FetchConfigRequest) (*pb.ConfigDocument, error) {
	var d wasabiridge.ConfigDocument
	var err error
	if d, err = s.handler.HandleFetchConfig(ctx); err != nil {
		return nil, toStatus(ctx, err)
	}
	return encodeDocument(d), nil
}

// QueryTimeline reads the timeline of this instance.
func (s *service) QueryTimeline(ctx context.Context, in *pb.TimelineQuery) (*pb.TimelinePage, error) {
	var p wasabiridge.TimelinePage
	var err error
	if p, err = s.handler.HandleQueryTimeline(ctx, decodeTimelineQuery(in)); err != nil {
		return nil, toStatus(ctx, err)
	}
	return encodeTimelinePage(p), nil
}

// Claim decides on a claim for a ticket that this instance issued.
func (s *service) Claim(ctx context.Context, in *pb.ClaimQuery) (*pb.ClaimOutcome, error) {
	var q wasabiridge.ClaimQuery
	var o wasabiridge.ClaimOutcome
	var err error
	if q, err = decodeClaimQuery(in); err != nil {
		return nil, toStatus(ctx, err)
	}
	if o, err = s.handler.HandleClaim(ctx, q); err != nil {
		return nil, toStatus(ctx, err)
	}
	var out *pb.ClaimOutcome
	if out, err = encodeOutcome(o); err != nil {
		return nil, toStatus(ctx, err)
	}
	return out, nil
}

// FinishClaim records the end of a claimed request.
func (s *service) FinishClaim(ctx context.Context, in *pb.ClaimResult) (*pb.FinishClaimResponse, error) {
	var r wasabiridge.ClaimResult
	var err error
	if r, err = decodeResult(in); err != nil {
		return nil, toStatus(ctx, err)
	}
	if err = s.handler.HandleFinishClaim(ctx, r); err != nil {
		return nil, toStatus(ctx, err)
	}
	return &pb.FinishClaimResponse{}, nil
}

// Publish delivers messages of the event bus to the subscribers of this
// instance.
func (s *service) Publish(ctx context.Context, in *pb.PublishRequest) (*pb.PublishResponse, error) {
	if err := s.bus.deliver(ctx, in); err != nil {
		return nil, toStatus(ctx, err)
	}
	return &pb.PublishResponse{}, nil
}
