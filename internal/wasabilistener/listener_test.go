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

// pair returns both ends of a connection. The server end was accepted by the
// listener under test.
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

// readEventually repeats a read, whose deadline it sets in the past each time, until
// it returns data that was sent before.
func readEventually(c net.Conn, p []byte) int {
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

var _ = Describe("A read whose deadline has expired", func() {
	// Guards against requests that are lost when the router process is paused: a
	// request arrives during the pause, and when the process continues, the deadline
	// for reading its header has expired, so that it would be discarded unread.
	It("returns data that has already arrived", func() {
		client, server := pair()
		Expect(server.SetReadDeadline(past)).To(Succeed())
		_, err := client.Write([]byte("abc"))
		Expect(err).NotTo(HaveOccurred())
		p := make([]byte, 2)
		Expect(string(p[:readEventually(server, p)])).To(Equal("ab"))
		Expect(string(p[:readEventually(server, p)])).To(Equal("c"))
	})

	It("fails with the deadline error when no data has arrived or the caller has closed the connection", func() {
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

	// Guards against a caller that holds a connection for ever by sending its header
	// one byte at a time.
	It("returns data a limited number of times for each deadline", func() {
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

// Guards against a lost error response: a caller sends a body that is too large and
// is refused before the body was read. If the connection is closed with unread bytes
// and without a half-close first, the kernel resets it, and the caller does not
// receive the response.
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

var _ = It("net/http serves kept-alive and pipelined requests over its connections", func() {
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
