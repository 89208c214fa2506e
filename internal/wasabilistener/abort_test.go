package wasabilistener_test

import (
	"bufio"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
)

var _ = Describe("A response that is aborted", func() {
	// Guards against a response that is cut off and reaches its caller as complete.
	cases := map[string]struct {
		request string
		abort   bool
		want    error
	}{
		"is reset with HTTP/1.0":                      {request: "GET / HTTP/1.0\r\n\r\n", abort: true, want: syscall.ECONNRESET},
		"is reset with HTTP/1.0 and Keep-Alive":       {request: "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", abort: true, want: syscall.ECONNRESET},
		"lacks its last chunk with HTTP/1.1":          {request: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", abort: true, want: io.ErrUnexpectedEOF},
		"ends regularly with HTTP/1.0 if not":         {request: "GET / HTTP/1.0\r\n\r\n"},
		"has its last chunk with HTTP/1.1, if not":    {request: "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		"is reset with HTTP/1.0, request with a body": {request: "POST / HTTP/1.0\r\nContent-Length: 2\r\n\r\nab", abort: true, want: syscall.ECONNRESET},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			c := cases[name]
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			read := make(chan struct{})
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "id: 1\n\n")
				_ = http.NewResponseController(w).Flush()
				<-read
				if c.abort {
					wasabilistener.Abort(w, r)
				}
			})}
			DeferCleanup(server.Close)
			go func() { _ = server.Serve(wasabilistener.New(socket)) }()
			client, err := net.Dial("tcp", socket.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(client.Close)
			_, err = io.WriteString(client, c.request)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			Expect(err).NotTo(HaveOccurred())
			first := make([]byte, len("id: 1\n\n"))
			_, err = io.ReadFull(response.Body, first)
			Expect(err).NotTo(HaveOccurred())
			close(read)
			_, err = io.Copy(io.Discard, response.Body)
			if c.want == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
		})
	}
})
