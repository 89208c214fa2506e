package wasabilistener_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestListener(t *testing.T) { wasabitest.Run(t, "listener") }

var past = time.Unix(1, 0)

// pair returns both ends of a connection; the listener accepted the second.
func pair() (client, server net.Conn) {
	GinkgoHelper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	l := wasabilistener.New(socket)
	DeferCleanup(l.Close)
	client, err = net.Dial("tcp", socket.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = client.Close() })
	server, err = l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = server.Close() })
	return client, server
}

// eventually reads until something comes that was sent before.
func eventually(c net.Conn, p []byte) int {
	GinkgoHelper()
	n := 0
	Eventually(func() error {
		var err error
		n, err = c.Read(p)
		Expect(c.SetReadDeadline(past)).To(Succeed())
		return err
	}).Should(Succeed())
	return n
}

var _ = Describe("A read whose deadline has passed", func() {
	// A router process stands still. A technician's question arrives in the
	// meantime. When the process goes on, the time to read the question's header is
	// over, and without this the question is dropped unread.
	It("takes what has come", func() {
		client, server := pair()
		Expect(server.SetReadDeadline(past)).To(Succeed())
		_, err := client.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		p := make([]byte, 2)
		Expect(string(p[:eventually(server, p)])).To(Equal("ab"))
		Expect(string(p[:eventually(server, p)])).To(Equal("c"))
	})

	It("ends as any other when nothing has come, or the caller has left", func() {
		client, server := pair()
		Expect(server.SetDeadline(past)).To(Succeed())
		_, err := server.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue())
		Expect(client.Close()).To(Succeed())
		Consistently(func() error {
			_, err := server.Read(make([]byte, 1))
			return err
		}, "50ms").Should(MatchError(os.ErrDeadlineExceeded))
	})

	// A caller sends the bytes of its header one at a time, so that it holds a
	// connection for ever.
	It("is granted a bounded number of times for each deadline", func() {
		client, server := pair()
		_, err := client.Write([]byte(strings.Repeat("x", 100)))
		Expect(err).NotTo(HaveOccurred())
		one := make([]byte, 1)
		Expect(io.ReadFull(server, one)).To(Equal(1))
		Expect(server.SetReadDeadline(past)).To(Succeed())
		reads := 0
		for ; reads < 100; reads++ {
			if _, err = server.Read(one); err != nil {
				break
			}
		}
		Expect(reads).To(Equal(16))
	})
})

// Story: a caller sends a body that is too large and is refused at once. The
// connection is closed with unread bytes; without a half-close first, the system
// resets it and the caller never sees why.
var _ = It("a connection can be half-closed, as net/http does before it closes one", func() {
	client, server := pair()
	half, ok := server.(interface{ CloseWrite() error })
	Expect(ok).To(BeTrue())
	_, err := server.Write([]byte("no"))
	Expect(err).NotTo(HaveOccurred())
	Expect(half.CloseWrite()).To(Succeed())
	text, err := io.ReadAll(client)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(text)).To(Equal("no"))
	_, err = client.Write([]byte("x"))
	Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadFull(server, make([]byte, 1))
	Expect(err).NotTo(HaveOccurred())
})

var _ = It("net/http serves over its connections, kept and pipelined ones too", func() {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte(r.URL.Path), body...))
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(wasabilistener.New(socket)) }()
	DeferCleanup(server.Close)
	c, err := net.Dial("tcp", socket.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = c.Write([]byte("GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhiGET /c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
	Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(c)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(text)).To(And(ContainSubstring("\r\n\r\n/a"), ContainSubstring("\r\n\r\n/bhi"), ContainSubstring("\r\n\r\n/c")))
})
