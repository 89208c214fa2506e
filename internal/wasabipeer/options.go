package wasabipeer

import (
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
)

// Limits of messages and deadlines.
const (
	// MaxHeartbeatBytes bounds an encoded heartbeat.
	MaxHeartbeatBytes = 64 << 10
	// MaxRequestBytes bounds every other request, such as a kept answer.
	MaxRequestBytes = 4 << 20
	// MaxResponseBytes bounds a response, such as a whole configuration.
	MaxResponseBytes = 32 << 20

	exchangeTimeout = time.Second
	claimTimeout    = 5 * time.Second
	readTimeout     = 10 * time.Second
	// serveTimeout bounds the work for a caller that set no deadline.
	serveTimeout = 30 * time.Second
	// idleTimeout closes connections to peers that are not called any more,
	// such as those that were asked for a configuration once.
	idleTimeout = 30 * time.Second
	// maxConcurrentCalls bounds the calls of one peer that run at once.
	maxConcurrentCalls = 256
	// socketBufferBytes keeps the memory of a connection small: heartbeats
	// are a few hundred bytes.
	socketBufferBytes = 4 << 10
	// windowBytes is a fixed flow control window. A fixed window turns off
	// the bandwidth estimator of grpc-go, whose pings would cost more bytes
	// than the heartbeats.
	windowBytes = 1 << 20
)

// Options configures both the client and the server side. Either TLS or Key
// must be set.
type Options struct {
	// TLS holds the certificates of both sides. A server asks every client
	// for a certificate and checks it against ClientCAs.
	TLS *tls.Config
	// Key is the secret that all instances share. With TLS it may be empty.
	Key []byte
	// Clock is the source of time for tokens. Nil means the system's clock.
	Clock wasabiridge.Clock
	// WrapConn sees every connection, for instance to count its bytes. Nil
	// leaves connections as they are.
	WrapConn func(net.Conn) net.Conn
}

func (o Options) check() error {
	if o.TLS == nil && len(o.Key) == 0 {
		return wasabiridge.ErrInvalid.New("peer: neither TLS nor a shared key is set")
	}
	if o.TLS != nil && len(o.TLS.Certificates) == 0 && o.TLS.GetCertificate == nil {
		return wasabiridge.ErrInvalid.New("peer: TLS has no certificate")
	}
	// Without authorities of its own, Go takes those of the system, and any
	// certificate of a public authority would pass for a peer's.
	if o.TLS != nil && o.TLS.RootCAs == nil {
		return wasabiridge.ErrInvalid.New("peer: TLS names no authority")
	}
	return nil
}

func (o Options) clock() wasabiridge.Clock {
	if o.Clock != nil {
		return o.Clock
	}
	return wasabiclock.System()
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
