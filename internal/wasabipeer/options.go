package wasabipeer

import (
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
)

// Message sizes and time-outs.
const (
	// MaxHeartbeatBytes bounds an encoded heartbeat.
	MaxHeartbeatBytes = 64 << 10
	// MaxRequestBytes bounds every other request, such as one with the stored
	// answer of a claim.
	MaxRequestBytes = 4 << 20
	// MaxResponseBytes bounds a response, such as one with a complete
	// configuration.
	MaxResponseBytes = 32 << 20

	exchangeTimeout = time.Second
	claimTimeout    = 5 * time.Second
	readTimeout     = 10 * time.Second
	// serveTimeout bounds the handling of a call, also when the caller set no
	// deadline.
	serveTimeout = 30 * time.Second
	// idleTimeout closes connections to peers that are no longer called, such
	// as those that were queried for a configuration once.
	idleTimeout = 30 * time.Second
	// maxConcurrentCalls bounds the concurrent calls on one connection.
	maxConcurrentCalls = 256
	// socketBufferBytes keeps the memory of a connection small. Heartbeats have
	// a few hundred bytes.
	socketBufferBytes = 4 << 10
	// windowBytes is the fixed flow control window. A fixed window turns off
	// the bandwidth estimator of grpc-go, whose pings would cost more bytes
	// than the heartbeats.
	windowBytes = 1 << 20
	// maxHeaderBytes bounds the header of a call, whose fields are few and short.
	maxHeaderBytes = 16 << 10
	// handshakeTimeout bounds the handshakes of a new connection.
	handshakeTimeout = 5 * time.Second
	// ConnectionBytes is what an idle connection takes beside its socket: two goroutines,
	// the buffers of HTTP/2, and its tables of header fields.
	ConnectionBytes = 16 << 10
	// ForwardWindow is the StreamWindow for forwarded requests, many of which may have
	// callers that read slowly.
	ForwardWindow = 128 << 10
	// ForwardAckTimeout is the AckTimeout for forwarded requests. A connection may go
	// silent while that of the heartbeats works.
	ForwardAckTimeout = 1500 * wasabiridge.Millis(1)
)

// Options configures both clients and servers. Either TLS or Key must be set.
type Options struct {
	// TLS holds the certificates of both sides. It needs a certificate and
	// RootCAs. A server requires a certificate from every client and verifies
	// it against ClientCAs, or RootCAs when ClientCAs is nil.
	TLS *tls.Config
	// Key is the secret that all instances share. With TLS it may be empty.
	Key []byte
	// Clock is the time source for tokens. Nil means the system clock.
	Clock wasabiridge.Clock
	// WrapConn wraps every connection, for instance to count its bytes. Nil
	// leaves connections unchanged.
	WrapConn func(net.Conn) net.Conn
	// StreamWindow bounds the bytes of one answer that a client has received and not yet
	// read. Zero means windowBytes.
	StreamWindow int32
	// Listen opens the listener of a server. Nil means that of the system, without bounds.
	Listen func(address string) (net.Listener, error)
	// AckTimeout is how long bytes that a client sent may stay unacknowledged before the
	// connection is closed. Zero leaves that to the system, which waits for minutes.
	AckTimeout wasabiridge.Millis
}

func (o Options) check() error {
	if o.TLS == nil && len(o.Key) == 0 {
		return wasabiridge.ErrInvalid.New("peer: neither TLS nor a shared key is set")
	}
	if o.TLS != nil && len(o.TLS.Certificates) == 0 && o.TLS.GetCertificate == nil {
		return wasabiridge.ErrInvalid.New("peer: TLS settings contain no certificate")
	}
	// When RootCAs is nil, Go uses the system's certificate authorities, and
	// any certificate from a public authority would be accepted as a peer's.
	if o.TLS != nil && o.TLS.RootCAs == nil {
		return wasabiridge.ErrInvalid.New("peer: TLS settings contain no certificate authorities (RootCAs)")
	}
	return nil
}

func (o Options) clock() wasabiridge.Clock {
	if o.Clock != nil {
		return o.Clock
	}
	return wasabiclock.System()
}

func (o Options) listen(address string) (net.Listener, error) {
	if o.Listen == nil {
		return net.Listen("tcp", address)
	}
	return o.Listen(address)
}

func (o Options) wrap(c net.Conn) net.Conn {
	if o.WrapConn == nil {
		return c
	}
	return o.WrapConn(c)
}

var commonDialOptions = []grpc.DialOption{
	grpc.WithIdleTimeout(idleTimeout),
	grpc.WithReadBufferSize(socketBufferBytes),
	grpc.WithWriteBufferSize(socketBufferBytes),
	grpc.WithInitialWindowSize(windowBytes),
	grpc.WithInitialConnWindowSize(windowBytes),
	grpc.WithDisableServiceConfig(),
}
