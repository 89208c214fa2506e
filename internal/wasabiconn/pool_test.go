package wasabiconn_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconn"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestConn(t *testing.T) { wasabitest.Run(t, "conn") }

// server accepts connections and sends them to accepted.
type server struct {
	net.Listener
	accepted chan net.Conn
}

func listen(address string) *server {
	GinkgoHelper()
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	s := &server{Listener: l, accepted: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- c
		}
	}()
	DeferCleanup(func() { _ = s.Close() })
	return s
}

var _ = Describe("Reach", func() {
	// Guards against a new connection for each check. Instances check once a second
	// whether a KV cache store can be reached, and would open more connections for that
	// than for requests.
	It("reuses its connection until the server closes it", func() {
		s := listen("127.0.0.1:0")
		pool := wasabiconn.New(wasabiconn.Options{Clock: wasabiclock.System()})
		DeferCleanup(pool.Close)
		address := s.Addr().String()
		reach := func() bool { return pool.Probe(context.Background(), address) }
		for range 5 {
			Expect(reach()).To(BeTrue())
		}
		Expect(pool.Dials()).To(BeEquivalentTo(1))
		var idle net.Conn
		Eventually(s.accepted).Should(Receive(&idle))
		Expect(idle.Close()).To(Succeed())
		Eventually(func() uint64 { Expect(reach()).To(BeTrue()); return pool.Dials() }).Should(BeEquivalentTo(2))
		Eventually(s.accepted).Should(Receive(&idle))
		Expect(s.Close()).To(Succeed())
		Expect(idle.Close()).To(Succeed())
		Eventually(reach).Should(BeFalse())
	})

	It("leaves a connection that CloseIdle closes", func() {
		s := listen("127.0.0.1:0")
		pool := wasabiconn.New(wasabiconn.Options{Clock: wasabiclock.System(), UserTimeout: wasabiridge.Second})
		DeferCleanup(pool.Close)
		Expect(pool.Probe(context.Background(), s.Addr().String())).To(BeTrue())
		var idle net.Conn
		Eventually(s.accepted).Should(Receive(&idle))
		pool.CloseIdle(s.Addr().String())
		_, err := idle.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})
})
