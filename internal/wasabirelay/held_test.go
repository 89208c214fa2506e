package wasabirelay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiheld"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
)

const (
	// heldLimit is the limit of the rig with a keeper.
	heldLimit = 100 * wasabiheld.WindowBytes
	// smallBuffer keeps the kernel from taking all that is sent.
	smallBuffer = 4 << 10
	manyCallers = 500
)

// patient is the protocol of callers that wait for a minute.
type patient struct{ protocol }

func (patient) Read(r *http.Request) (wasabiridge.CallerRequest, error) {
	c, err := protocol{}.Read(r)
	c.Timeout = wasabiridge.Minute
	return c, err
}

// pathRunner answers "/open/plain" at once, "/open/hang" never, and all else with an
// endless stream.
type pathRunner struct{ hanging, streaming atomic.Int64 }

func (r *pathRunner) Run(ctx context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	end := wasabiridge.AttemptEnded{Request: a.Request, Attempt: a.ID, Backend: a.Backend.ID, Result: wasabiridge.AttemptBroken}
	switch a.Path {
	case "/open/plain":
		end.Result = answers(http.StatusOK, "fine")(ctx, a, sink)
		return end
	case "/open/hang":
		sink.Sent()
		r.hanging.Add(1)
		defer r.hanging.Add(-1)
		<-ctx.Done()
		end.Result = wasabiridge.AttemptCancelled
		return end
	}
	r.streaming.Add(1)
	defer r.streaming.Add(-1)
	sink.Sent()
	event := []byte("id:1 " + strings.Repeat("x", 8<<10) + "\n\n")
	err := sink.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	for err == nil && ctx.Err() == nil {
		err = sink.Chunk(1, event)
	}
	end.Result = wasabiridge.AttemptCancelled
	return end
}

// heldRig is a relay whose requests hold a limited number of bytes.
type heldRig struct {
	*rig
	keeper  *wasabiheld.Keeper
	backend *pathRunner
}

func newHeldRig() *heldRig {
	g := &heldRig{rig: newRig(wasabiridge.Action{Attempts: 1}, unsent), backend: &pathRunner{}}
	g.setView(func(v *wasabirelay.View) {
		cfg := *v.Config
		cfg.Pools = []wasabiridge.Pool{{ID: "p", Backends: []wasabiridge.BackendServer{{ID: "s1", URL: "http://a", Slots: 4 * manyCallers}}}}
		v.Config = &cfg
		g.loop.Post(wasabiridge.ConfigAdopted{Config: cfg})
	})
	g.keeper = wasabiheld.New(wasabiheld.Options{Limit: heldLimit, Clock: g.clock})
	relay := wasabirelay.New(wasabirelay.Options{
		Clock: g.clock, Loop: g.loop, Runner: g.backend, Protocol: patient{}, View: g.seen, Held: g.keeper,
		MaxKeyAge: func() wasabiridge.Millis { return wasabiridge.Hour }, MaxDenyAge: func() wasabiridge.Millis { return wasabiridge.Hour },
	})
	g.server = httptest.NewUnstartedServer(relay)
	g.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(smallBuffer)
		return ctx
	}
	g.server.Start()
	DeferCleanup(g.server.Close)
	return g
}

// dial opens a connection that takes next to nothing until it is read.
func (g *heldRig) dial() net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
	}}
	c, err := dialer.Dial("tcp", g.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

// ask sends a request by a connection, without its body.
func (g *heldRig) ask(path string, length int, id string) net.Conn {
	c := g.dial()
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n\r\n", path, id, length)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// review lets time pass and reviews what is held.
func (g *heldRig) review() wasabiheld.Counts {
	g.clock.Advance(250)
	g.keeper.Review()
	return g.keeper.Counts()
}

var _ = Describe("Callers that do not read", func() {
	// Guards against an instance that is killed for its memory, and takes all others along.
	It("are cut off beyond the limit, and others are served", func() {
		g := newHeldRig()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var callers []net.Conn
		for i := range manyCallers {
			callers = append(callers, g.ask("/open/stream", 0, fmt.Sprint("r", i)))
		}
		Eventually(g.backend.streaming.Load, "20s").Should(BeEquivalentTo(manyCallers))
		Eventually(func() uint64 {
			Expect(g.send("/open/plain", "").body).To(Equal("fine"))
			return g.review().Cuts
		}, "20s").Should(BeNumerically(">=", manyCallers-100))
		Eventually(g.backend.streaming.Load, "20s").Should(BeNumerically("<=", 100))
		Expect(g.review().Held).To(BeNumerically("<=", heldLimit))
		Expect(g.keeper.Counts().Cuts).To(BeNumerically("<=", manyCallers-75), "no more than are needed")
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapInuse) - int64(before.HeapInuse)).To(BeNumerically("<", 5*heldLimit))

		cut := 0
		var readers sync.WaitGroup
		var mu sync.Mutex
		for _, c := range callers {
			readers.Add(1)
			go func() {
				defer readers.Done()
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil {
					_, err = io.CopyN(io.Discard, response.Body, 1<<20)
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil && err != io.EOF {
					cut++
				}
			}()
		}
		readers.Wait()
		Expect(cut).To(BeEquivalentTo(g.keeper.Counts().Cuts), "none of them looks complete, and all others go on")
	})

	// Guards against large bodies that together take more memory than there is.
	It("or send more than there is room for are refused at once, before they have run", func() {
		g := newHeldRig()
		const size = heldLimit / 8
		for i := range 8 {
			c := g.ask("/open/hang", size, fmt.Sprint("r", i))
			_, err := io.Copy(c, io.LimitReader(zeros{}, size))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(g.backend.hanging.Load, "20s").Should(BeEquivalentTo(8))
		response, err := http.ReadResponse(bufio.NewReader(g.ask("/open/hang", size, "r9")), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Header.Get("Kind")).To(BeEquivalentTo(wasabiridge.RefusalNotRun))
		Expect(response.Header.Get("Back")).NotTo(BeEmpty())
		Expect(response.Close).To(BeTrue())
		Expect(g.review()).To(Equal(wasabiheld.Counts{Limit: heldLimit, Held: heldLimit, Refused: 1}), "nothing that servers run is cut off")
		Expect(g.backend.hanging.Load()).To(BeEquivalentTo(8))
	})

	// Guards against a few callers that take all room by the lengths of bodies which they
	// never send, so that all others are refused.
	It("or only declare the lengths of large bodies leave the room to others", func() {
		g := newHeldRig()
		for i := range 8 {
			g.ask("/open/plain", heldLimit-1, fmt.Sprint("r", i))
		}
		Eventually(func() int64 { return g.keeper.Counts().Held }, "20s").Should(BeNumerically(">", 0))
		Consistently(func() int64 { return g.keeper.Counts().Held }).Should(BeNumerically("<", heldLimit/8))
		Expect(g.send("/open/plain", "").body).To(Equal("fine"))
	})

	// Guards against callers that hold memory for bodies which they never complete.
	It("or stop in the middle of their bodies are cut off, and the room is free again", func() {
		g := newHeldRig()
		slow := g.ask("/open/plain", heldLimit-1, "slow")
		_, sent := io.Copy(slow, io.LimitReader(zeros{}, heldLimit-2))
		Expect(sent).NotTo(HaveOccurred())
		Eventually(func() int64 { return g.keeper.Counts().Held }, "20s").Should(BeNumerically(">=", heldLimit-1))
		Eventually(func() uint64 { return g.review().Cuts }, "20s").Should(BeEquivalentTo(1))
		_, err := io.ReadAll(slow)
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Eventually(func() int64 { return g.review().Held }, "20s").Should(BeZero())
		Expect(g.send("/open/plain", "").body).To(Equal("fine"))
	})
})

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
