package wasabibackend_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

// serve starts a server for one handler that ends with the spec.
func serve(h http.HandlerFunc) string {
	GinkgoHelper()
	s := wasabiserver.New(h)
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Crash)
	return s.URL()
}

// Story: a technician reads an answer whose last sentences are missing and
// does not know it. The engine died on the way, and what had arrived by then
// was taken for the whole answer.
var _ = Describe("an engine that dies on the way", func() {
	type want struct {
		fault     wasabiserver.Fault
		delivered int
		head      bool
	}
	cases := map[string]want{
		"before headers":             {wasabiserver.Fault{Point: wasabiserver.BeforeHeaders}, 0, false},
		"before headers, as empty":   {wasabiserver.Fault{Point: wasabiserver.BeforeHeaders, Manner: wasabiserver.CleanEnd}, 0, false},
		"after headers":              {wasabiserver.Fault{Point: wasabiserver.AfterHeaders}, 0, true},
		"mid-stream":                 {wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4}, 4, true},
		"before the end marker":      {wasabiserver.Fault{Point: wasabiserver.BeforeEndMarker}, 10, true},
		"cleanly after headers":      {wasabiserver.Fault{Point: wasabiserver.AfterHeaders, Manner: wasabiserver.CleanEnd}, 0, true},
		"cleanly mid-stream":         {wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4, Manner: wasabiserver.CleanEnd}, 4, true},
		"cleanly before the marker":  {wasabiserver.Fault{Point: wasabiserver.BeforeEndMarker, Manner: wasabiserver.CleanEnd}, 10, true},
		"with broken chunking":       {wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4, Manner: wasabiserver.BrokenChunking}, 4, true},
		"with an event without end":  {wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4, Manner: wasabiserver.OversizeLine}, 4, true},
		"with broken chunking later": {wasabiserver.Fault{Point: wasabiserver.BeforeEndMarker, Manner: wasabiserver.BrokenChunking}, 10, true},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		w := cases[name]
		It("leaves a broken attempt: "+name, func() {
			e := newEngine(wasabiengine.Options{})
			e.Inject(w.fault)
			ended, s := run(newRunner(wasabibackend.Options{}), streamOf(e.Backend()))
			Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
			Expect(ended.Delivered).To(Equal(w.delivered))
			Expect(s.ids).To(HaveLen(w.delivered))
			Expect(s.status != 0).To(Equal(w.head))
			Expect(s.sent).To(Equal(1))
		})
	}

	// Story: an answer stops in the middle of a sentence and never ends. The
	// engine hangs with its connection open.
	It("shows as a silence", func() {
		e := newEngine(wasabiengine.Options{})
		e.Inject(wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4, Manner: wasabiserver.Stall})
		ended, _ := run(newRunner(wasabibackend.Options{Silence: wasabiridge.Second}), streamOf(e.Backend()))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken), "not given up by the router's caller")
		Expect(ended.Delivered).To(Equal(4))
	})

	It("leaves nothing at the caller when the answer is not a stream", func() {
		url := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"choices":[{"text":"half`))
		})
		a := streamOf(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url})
		a.Stream = false
		ended, s := run(newRunner(wasabibackend.Options{}), a)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
		Expect(s.status).To(BeZero())
	})

	// Story: a dispatcher's browser shows half a list of bookings as if it
	// were whole. The service spoke HTTP/1.0 and died; without a length the
	// end of the connection looks like the end of the answer.
	It("is noticed at a plain service without a length", func() {
		service := newService()
		service.Inject(wasabiserver.Fault{Point: wasabiserver.AfterHeaders, Manner: wasabiserver.CleanEnd})
		ended, _ := run(newRunner(wasabibackend.Options{}), bookingOf(service.Backend(), "visit"))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
	})

	It("is noticed at a plain service with a length", func() {
		service := newService()
		service.Inject(wasabiserver.Fault{Point: wasabiserver.AfterHeaders})
		ended, _ := run(newRunner(wasabibackend.Options{}), bookingOf(service.Backend(), "visit"))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
	})
})

// Story: a technician's answer repeats its first half after an engine died.
// The second engine did not know how to resume and began from the first
// token; or it had newer weights, and the second half belongs to another
// answer.
var _ = Describe("a resumed stream", func() {
	eventStream := func(header http.Header) string {
		return serve(func(w http.ResponseWriter, _ *http.Request) {
			for name, values := range header {
				w.Header()[name] = values
			}
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, `data: {"choices":[{"token_ids":[1]}]}`+"\n\ndata: [DONE]\n\n")
		})
	}
	DescribeTable("is refused unless engine and weights confirm it", func(header http.Header) {
		a := streamOf(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: eventStream(header)})
		a.ResumeFrom, a.Weights = 4, 7
		ended, s := run(newRunner(wasabibackend.Options{}), a)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
		Expect(ended.Delivered).To(Equal(4))
		Expect(s.status).To(BeZero())
	},
		Entry("neither", http.Header{}),
		Entry("no resume point", http.Header{wasabiridge.HeaderWeights: {"7"}}),
		Entry("another resume point", http.Header{wasabiridge.HeaderWeights: {"7"}, wasabiridge.HeaderResumedFrom: {"3"}}),
		Entry("no weights", http.Header{wasabiridge.HeaderResumedFrom: {"4"}}),
		Entry("other weights", http.Header{wasabiridge.HeaderWeights: {"8"}, wasabiridge.HeaderResumedFrom: {"4"}}),
	)
})

var _ = Describe("a slow reader", func() {
	// Story: one caller on a bad line reads a long answer slowly. The router
	// would buffer the whole answer, or the engine's other answers would wait
	// behind it.
	It("holds up its own engine's answer and nobody else's", func() {
		e := newEngine(wasabiengine.Options{})
		runner := newRunner(wasabibackend.Options{})
		long := streamOf(e.Backend())
		long.Path = "/v1/completions"
		long.Body = []byte(`{"model":"m","stream":true,"max_tokens":100000,"prompt":"p"}`)
		blocked, release := make(chan struct{}), make(chan struct{})
		var taken atomic.Int64
		s := &sink{}
		s.onChunk = func() error {
			taken.Add(1)
			if s.chunks == 1 {
				close(blocked)
				<-release
			}
			return nil
		}
		done := make(chan wasabiridge.AttemptEnded)
		go func() { done <- runner.Run(context.Background(), long, s) }()
		Eventually(blocked, patience).Should(BeClosed())
		Eventually(func() bool { n := e.Written(); time.Sleep(20 * time.Millisecond); return e.Written() == n }, patience).
			Should(BeTrue(), "the engine waits for the reader")
		Expect(e.Written()).To(BeNumerically("<", 90000), "the rest is not in this process")
		for range 5 {
			ended, _ := run(runner, streamOf(e.Backend()))
			Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		}
		close(release)
		// The answer takes some ten seconds of processor time under the race detector, and
		// longer on a busy machine; what must not happen is that it stands still.
		var ended wasabiridge.AttemptEnded
		for before, over := int64(-1), false; !over; {
			select {
			case ended = <-done:
				over = true
			case <-time.After(patience):
				Expect(taken.Load()).To(BeNumerically(">", before), "the answer goes on")
				before = taken.Load()
			}
		}
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		Expect(ended.Delivered).To(Equal(100000))
	})

	// Story: a router runs out of memory with two hundred open answers. Each
	// keeps its whole manual, in several copies, until its last token.
	It("does not keep the prompt of an open stream", func() {
		const streams, promptBytes = 20, 1 << 20
		end := make(chan struct{})
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, tokenEvent)
			_ = http.NewResponseController(w).Flush()
			<-end
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		})
		a := streamOf(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url})
		a.Body = fmt.Appendf(nil, `{"prompt":%q}`, strings.Repeat("x", promptBytes))
		runner := newRunner(wasabibackend.Options{})
		var opened, running sync.WaitGroup
		opened.Add(streams)
		before := memoryInUse()
		for range streams {
			running.Go(func() { runner.Run(context.Background(), a, &openSink{opened: &opened}) })
		}
		opened.Wait()
		held := int64(memoryInUse()) - int64(before)
		close(end)
		running.Wait()
		Expect(held/streams).To(BeNumerically("<", promptBytes/4), "bytes a stream")
	})

	// Story: the same caller loses its answer because the time in which it
	// read was counted as a silence of the engine. The rest had long arrived.
	It("is not taken for an engine that hangs", func() {
		url := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, strings.Repeat(`data: {"choices":[{"token_ids":[1]}]}`+"\n\n", 3)+"data: [DONE]\n\n")
		})
		const silence = wasabiridge.Second
		s := &sink{}
		s.onChunk = func() error {
			if s.chunks == 2 {
				time.Sleep((silence * 3 / 2).Duration())
			}
			return nil
		}
		ended := newRunner(wasabibackend.Options{Silence: silence}).Run(context.Background(), streamOf(
			wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url}), s)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
	})
})

var _ = Describe("an attempt that is given up", func() {
	// Story: a caller hangs up, but the engine goes on computing for nobody
	// while others wait. The cancel did not reach it.
	It("is cancelled at the engine at once", func() {
		e := newEngine(wasabiengine.Options{Spec: wasabifake.Spec{Decode: 20}})
		ctx, cancel := context.WithCancel(context.Background())
		s := &sink{}
		s.onChunk = func() error {
			if len(s.ids) == 3 {
				cancel()
			}
			return nil
		}
		ended := newRunner(wasabibackend.Options{}).Run(ctx, streamOf(e.Backend()), s)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCancelled))
		Expect(ended.Delivered).To(Equal(3))
		Eventually(e.Cancelled, 10*time.Second).Should(Equal(1), "the engine saw the cancel")
	})

	It("ends when its sink reports an error", func() {
		e := newEngine(wasabiengine.Options{})
		s := &sink{onChunk: func() error { return wasabiridge.ErrUnavailable.New("caller gone") }}
		ended := newRunner(wasabibackend.Options{}).Run(context.Background(), streamOf(e.Backend()), s)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCancelled))
		Expect(ended.Delivered).To(BeZero())
		Expect(s.chunks).To(Equal(1))
	})

	// Story: a request is retried at a second engine, and a word of the first
	// engine's late answer turns up in the middle. The first attempt had been
	// given up, but its bytes were already on the way.
	It("hands nothing over that was already on the way", func() {
		url := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, strings.Repeat(`data: {"choices":[{"token_ids":[1]}]}`+"\n\n", 50)+"data: [DONE]\n\n")
		})
		ctx, cancel := context.WithCancel(context.Background())
		s := &sink{onChunk: func() error { cancel(); return nil }}
		ended := newRunner(wasabibackend.Options{}).Run(ctx, streamOf(
			wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url}), s)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCancelled))
		Expect(s.chunks).To(Equal(1))
	})
})
