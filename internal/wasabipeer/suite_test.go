package wasabipeer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestPeer(t *testing.T) {
	wasabitest.Run(t, "peer")
}

// handler is a PeerHandler that records its inputs and returns preset
// responses.
type handler struct {
	heartbeat wasabiridge.Heartbeat
	document  wasabiridge.ConfigDocument
	page      wasabiridge.TimelinePage
	outcome   wasabiridge.ClaimOutcome
	err       error
	block     chan struct{}

	gotHeartbeat wasabiridge.Heartbeat
	gotTimeline  wasabiridge.TimelineQuery
	gotClaim     wasabiridge.ClaimQuery
	gotResult    wasabiridge.ClaimResult
}

func (h *handler) HandleExchange(_ context.Context, in wasabiridge.Heartbeat) (wasabiridge.Heartbeat, error) {
	h.gotHeartbeat = in
	return h.heartbeat, h.err
}

func (h *handler) HandleFetchConfig(context.Context) (wasabiridge.ConfigDocument, error) {
	return h.document, h.err
}

func (h *handler) HandleQueryTimeline(_ context.Context, q wasabiridge.TimelineQuery) (wasabiridge.TimelinePage, error) {
	h.gotTimeline = q
	return h.page, h.err
}

func (h *handler) HandleClaim(_ context.Context, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	h.gotClaim = q
	if h.block != nil {
		// The handler blocks until the test ends. The caller's deadline reaches
		// the server too, and a response at that moment could arrive just
		// before the caller times out.
		<-h.block
	}
	return h.outcome, h.err
}

func (h *handler) HandleFinishClaim(_ context.Context, r wasabiridge.ClaimResult) error {
	h.gotResult = r
	return h.err
}

var key = []byte("a key that the instances share")

func serve(h wasabiridge.PeerHandler, o wasabipeer.Options) *wasabipeer.Server {
	GinkgoHelper()
	server, err := wasabipeer.Listen("127.0.0.1:0", h, o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		Expect(server.Close(ctx)).To(Succeed())
	})
	return server
}

func connect(o wasabipeer.Options) *wasabipeer.Client {
	GinkgoHelper()
	client, err := wasabipeer.NewClient(o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

// certificate returns TLS settings with a self-signed certificate that is its
// own authority.
func certificate() *tls.Config {
	GinkgoHelper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	Expect(err).NotTo(HaveOccurred())
	parsed, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}},
		RootCAs:      pool,
		ClientCAs:    pool,
	}
}
