package wasabilistener_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
)

// port is a server whose connections a guard bounds.
type port struct {
	guard   *wasabilistener.Guard
	clock   *wasabiclock.Virtual
	address string
	limits  atomic.Pointer[wasabilistener.Limits]
	// began counts the requests that handlers have received completely, and proceed lets one
	// of them end.
	began   atomic.Int64
	proceed chan struct{}
	log     strings.Builder
}

func newPort(share wasabilistener.Share, l wasabilistener.Limits) *port {
	p := &port{clock: wasabiclock.NewVirtual(1000), proceed: make(chan struct{}, 1000)}
	p.limits.Store(&l)
	p.guard = wasabilistener.NewGuard(wasabilistener.Options{Clock: p.clock, Log: zerolog.New(&p.log)})
	own := p.guard.Port(wasabilistener.PortOptions{Name: "test", Share: share, Limits: func() wasabilistener.Limits { return *p.limits.Load() }})
	socket, err := own.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p.address = socket.Addr().String()
	server := &http.Server{MaxHeaderBytes: 1 << 30, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		p.began.Add(1)
		if r.URL.Path == "/wait" {
			<-p.proceed
		}
	})}
	own.Attach(server)
	go func() { _ = server.Serve(socket) }()
	DeferCleanup(func() {
		close(p.proceed)
		_ = server.Close()
	})
	return p
}

// send sends a text by a new connection.
func (p *port) send(text string) net.Conn {
	GinkgoHelper()
	c, err := net.Dial("tcp", p.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	return c
}

func (p *port) counts() wasabilistener.Counts { return p.guard.Counts()[0] }

// pass lets time pass.
func (p *port) pass(by wasabiridge.Millis) {
	p.clock.Advance(by)
	p.guard.Sweep()
}

// isClosed waits for the end of a connection.
func isClosed(c net.Conn) {
	GinkgoHelper()
	_, err := io.Copy(io.Discard, c)
	Expect(err == nil || errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

var roomy = wasabilistener.Limits{HeaderBytes: 32 << 10, HeaderTimeout: 5000, IdleTimeout: 60000}

var _ = Describe("A port", func() {
	// Guards against a client that is closed although it keeps to the times that the operators
	// have configured, and against one that is kept although it does not.
	It("closes heads and idle connections by the limits in force", func() {
		p := newPort(wasabilistener.Share{}, roomy)
		slow, idle := p.send("GET / HT"), p.send(get)
		_, err := http.ReadResponse(bufio.NewReader(idle), nil)
		Expect(err).NotTo(HaveOccurred())
		Eventually(p.guard.Stages, "10s").Should(Equal(map[string]int{"head": 1, "idle": 1}))
		longer := roomy
		longer.HeaderTimeout, longer.IdleTimeout = 30000, 90000
		p.limits.Store(&longer)
		p.pass(20000)
		Expect(p.counts().Closed).To(BeEmpty())
		shorter := roomy
		shorter.HeaderTimeout = 10000
		p.limits.Store(&shorter)
		p.pass(1)
		isClosed(slow)
		Expect(p.counts().Closed).To(Equal(map[string]uint64{"head not complete in time": 1}))
		p.pass(60000)
		isClosed(idle)
		Expect(p.counts().Closed["idle"]).To(BeEquivalentTo(1))
		Eventually(func() int { return p.counts().Open }, "10s").Should(BeZero())
	})

	It("refuses heads that are far larger than the limit in force, and no smaller ones", func() {
		p := newPort(wasabilistener.Share{}, roomy)
		head := func(size int) string {
			return "GET / HTTP/1.1\r\nHost: h\r\nX-Large: " + strings.Repeat("x", size) + "\r\n\r\n"
		}
		status := func(size int) int {
			response, err := http.ReadResponse(bufio.NewReader(p.send(head(size))), nil)
			Expect(err).NotTo(HaveOccurred())
			return response.StatusCode
		}
		Expect(status(32 << 10)).To(Equal(http.StatusOK))
		Expect(status(100 << 10)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		larger := roomy
		larger.HeaderBytes = 100 << 10
		p.limits.Store(&larger)
		Expect(status(100 << 10)).To(Equal(http.StatusOK))
		Expect(p.counts().Closed).To(Equal(map[string]uint64{"head too large": 1}))
		p.guard.Sweep()
		Expect(p.log.String()).To(And(ContainSubstring(`"reason":"head too large"`), ContainSubstring(`"port":"test"`), ContainSubstring("127.0.0.1:"), ContainSubstring("last_head_bytes")))
		lines := strings.Count(p.log.String(), "\n")
		p.guard.Sweep()
		Expect(strings.Count(p.log.String(), "\n")).To(Equal(lines), "each closing is logged once")
	})

	// Guards against a new caller that finds all places taken by connections without a
	// request, and against a request that is lost for one.
	It("closes connections without a request for new ones, and none whose request runs", func() {
		p := newPort(wasabilistener.Share{Connections: 16}, roomy)
		running := p.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(p.began.Load, "10s").Should(BeEquivalentTo(1))
		for range 40 {
			p.send("")
		}
		response, err := http.ReadResponse(bufio.NewReader(p.send(get)), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(p.counts().Peak).To(BeNumerically("<=", 16))
		p.proceed <- struct{}{}
		response, err = http.ReadResponse(bufio.NewReader(running), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against a request that runs although its caller was told, by the end of its
	// connection, that it was not read.
	It("runs no request of a connection that was closed for others", func() {
		p := newPort(wasabilistener.Share{Connections: 8}, roomy)
		unfinished := p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
		Eventually(p.guard.Stages, "10s").Should(Equal(map[string]int{"body": 1}))
		var all []net.Conn
		for range 20 {
			all = append(all, p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"))
		}
		isClosed(unfinished)
		_, _ = unfinished.Write([]byte("y"))
		for _, c := range all {
			_, _ = c.Write([]byte("y"))
		}
		answered := int64(0)
		for _, c := range all {
			if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && response.StatusCode == http.StatusOK {
				answered++
			}
		}
		Eventually(p.began.Load, "10s").Should(Equal(answered))
	})

	// Guards against a shutdown that waits for a request which never becomes complete.
	It("closes connections without a complete request when it ends, and no others", func() {
		p := newPort(wasabilistener.Share{}, roomy)
		running := p.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(p.began.Load, "10s").Should(BeEquivalentTo(1))
		head, body, silent := p.send("GET / HT"), p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"), p.send("")
		Eventually(p.guard.Stages, "10s").Should(Equal(map[string]int{"running": 1, "head": 1, "body": 1, "silent": 1}))
		p.guard.End(2000)
		p.pass(1999)
		Expect(p.counts().Closed).To(BeEmpty())
		p.pass(1)
		isClosed(head)
		isClosed(body)
		isClosed(silent)
		p.proceed <- struct{}{}
		response, err := http.ReadResponse(bufio.NewReader(running), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})
})
