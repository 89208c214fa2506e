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

// serve starts a server for a handler, which is closed when the spec ends, and
// returns its URL.
func serve(h http.HandlerFunc) string {
	GinkgoHelper()
	s := wasabiserver.New(h)
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Crash)
	return s.URL()
}

// Guards against a truncated answer that is reported as complete: the engine
// dies while it answers, and the data received until then looks like the
// complete answer.
var _ = Describe("an engine that dies while it answers", func() {
	type want struct {
		fault     wasabiserver.Fault
		delivered int
		head      bool
	}
	cases := map[string]want{
		"before headers":             {wasabiserver.Fault{Point: wasabiserver.BeforeHeaders}, 0, false},
		"before headers, as empty":   {wasabiserver.Fault{Point: wasabiserver.BeforeHeaders, Kind: wasabiserver.TruncatedEnd}, 0, false},
		"after headers":              {wasabiserver.Fault{Point: wasabiserver.AfterHeaders}, 0, true},
		"mid-stream":                 {wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4}, 4, true},
		"before the end marker":      {wasabiserver.Fault{Point: wasabiserver.BeforeEndMarker}, 10, true},
		"cleanly after headers":      {wasabiserver.Fault{Point: wasabiserver.AfterHeaders, Kind: wasabiserver.TruncatedEnd}, 0, true},
		"cleanly mid-stream":         {wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4, Kind: wasabiserver.TruncatedEnd}, 4, true},
		"cleanly before the marker":  {wasabiserver.Fault{Point: wasabiserver.BeforeEndMarker, Kind: wasabiserver.TruncatedEnd}, 10, true},
		"with broken chunking":       {wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4, Kind: wasabiserver.BrokenChunking}, 4, true},
		"with an event without end":  {wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4, Kind: wasabiserver.OversizeLine}, 4, true},
		"with broken chunking later": {wasabiserver.Fault{Point: wasabiserver.BeforeEndMarker, Kind: wasabiserver.BrokenChunking}, 10, true},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		w := cases[name]
		It("makes the attempt broken: "+name, func() {
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

	// Guards against an answer that never ends because the engine hangs with its
	// connection open.
	It("is detected by the time-out between events when its connection stays open", func() {
		e := newEngine(wasabiengine.Options{})
		e.Inject(wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 4, Kind: wasabiserver.Stall})
		ended, _ := run(newRunner(wasabibackend.Options{StreamIdleTimeout: wasabiridge.Second}), streamOf(e.Backend()))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken), "ended by the time-out, not cancelled by the caller")
		Expect(ended.Delivered).To(Equal(4))
	})

	It("leaves the caller without any data when the answer is not a stream", func() {
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

	// A service that answers in HTTP/1.0 form, without a length, dies half way
	// through. The end of the connection looks like the end of the answer, and the
	// caller would take the truncated answer for a complete one.
	It("is detected for a plain service that sends no content length", func() {
		service := newService()
		service.Inject(wasabiserver.Fault{Point: wasabiserver.AfterHeaders, Kind: wasabiserver.TruncatedEnd})
		ended, _ := run(newRunner(wasabibackend.Options{}), bookingOf(service.Backend(), "visit"))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
	})

	It("is detected for a plain service whose answer is delimited", func() {
		service := newService()
		service.Inject(wasabiserver.Fault{Point: wasabiserver.AfterHeaders})
		ended, _ := run(newRunner(wasabibackend.Options{}), bookingOf(service.Backend(), "visit"))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
	})
})

// Guards against a request that counts as not run by a refusal that belongs to none: a faulty
// server sends it behind a complete answer, on a connection that is used again.
var _ = Describe("a refusal that states that nothing ran", func() {
	cases := map[string]struct {
		used, once bool
		id         string
		want       wasabiridge.AttemptResult
	}{
		"is believed on a new connection":                               {want: wasabiridge.AttemptNotRun},
		"proves nothing on a used connection":                           {used: true, want: wasabiridge.AttemptBroken},
		"proves nothing with another identifier on a used connection":   {used: true, id: "another", want: wasabiridge.AttemptBroken},
		"is believed with the identifier on a used connection":          {used: true, id: "r1", want: wasabiridge.AttemptNotRun},
		"is believed for a non-idempotent request, which is sent alone": {used: true, once: true, want: wasabiridge.AttemptNotRun},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		It(name, func() {
			answered := 0
			url := serve(func(w http.ResponseWriter, _ *http.Request) {
				if answered++; c.used && answered == 1 {
					_, _ = io.WriteString(w, "ok")
					return
				}
				w.Header().Set(wasabiridge.HeaderDisposition, wasabiridge.NotRun.String())
				if c.id != "" {
					w.Header().Set(wasabiridge.HeaderRequest, c.id)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			a := wasabiridge.Attempt{ID: 1, Request: "r1", Backend: wasabiridge.BackendServer{ID: "s", URL: url}, Method: http.MethodGet, Path: "/", Header: http.Header{wasabiridge.HeaderRequest: {"r1"}}, NonIdempotent: c.once}
			runner := newRunner(wasabibackend.Options{})
			if c.used {
				ended, _ := run(runner, a)
				Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
			}
			ended, s := run(runner, a)
			Expect(ended.Result).To(Equal(c.want))
			Expect(s.status).To(BeZero())
		})
	}
})

// Guards against a part of an answer that is passed on as a complete one, because its server
// ended within the head.
var _ = It("an answer that ends within its head is broken at each byte", func() {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"
	for n := range len(head) {
		url := serve(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, head[:n])
			_ = conn.Close()
		})
		ended, s := run(newRunner(wasabibackend.Options{}), bookingOf(wasabiridge.BackendServer{ID: "s", URL: url}, "visit"))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken), "%q", head[:n])
		Expect(s.status).To(BeZero(), "%q", head[:n])
	}
})

// Guards against a resumed answer that does not continue the first part: the
// second engine does not implement resuming and starts at the first token, or it
// has other weights, so that its tokens belong to a different answer.
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
	DescribeTable("is rejected unless the engine confirms the resume point and the weights", func(header http.Header) {
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
	// Guards against a caller on a slow line that makes the router buffer its
	// complete answer, or that delays other answers of the same engine.
	It("delays its own answer only", func() {
		e := newEngine(wasabiengine.Options{})
		runner := newRunner(wasabibackend.Options{})
		long := streamOf(e.Backend())
		long.Path = "/v1/completions"
		long.Body = []byte(`{"model":"m","stream":true,"max_tokens":100000,"prompt":"p"}`)
		blocked, release := make(chan struct{}), make(chan struct{})
		var received atomic.Int64
		s := &sink{}
		s.onChunk = func() error {
			received.Add(1)
			if s.chunks == 1 {
				close(blocked)
				<-release
			}
			return nil
		}
		done := make(chan wasabiridge.AttemptEnded)
		go func() { done <- runner.Run(context.Background(), long, s) }()
		Eventually(blocked, eventuallyTimeout).Should(BeClosed())
		Eventually(func() bool { n := e.WrittenTokens(); time.Sleep(20 * time.Millisecond); return e.WrittenTokens() == n }, eventuallyTimeout).
			Should(BeTrue(), "the engine waits for the reader")
		Expect(e.WrittenTokens()).To(BeNumerically("<", 90000), "the remaining tokens are not buffered in this process")
		for range 5 {
			ended, _ := run(runner, streamOf(e.Backend()))
			Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		}
		close(release)
		// The answer takes about 10 s of CPU time under the race detector, and longer
		// on a busy machine, so the spec only requires that it makes progress.
		var ended wasabiridge.AttemptEnded
		for before, finished := int64(-1), false; !finished; {
			select {
			case ended = <-done:
				finished = true
			case <-time.After(eventuallyTimeout):
				Expect(received.Load()).To(BeNumerically(">", before), "the answer makes progress")
				before = received.Load()
			}
		}
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		Expect(ended.Delivered).To(Equal(100000))
	})

	// Guards against a router that runs out of memory with 200 open streams,
	// because each keeps its long prompt, in several copies, until its last token.
	It("does not keep the prompt of an open stream in memory", func() {
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
		Expect(held/streams).To(BeNumerically("<", promptBytes/4), "bytes per stream")
	})

	// Guards against a slow caller whose answer is broken off because the time in
	// which it read was counted towards the engine's time-out between events,
	// although all events had arrived.
	It("does not trigger the time-out between events", func() {
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
		ended := newRunner(wasabibackend.Options{StreamIdleTimeout: silence}).Run(context.Background(), streamOf(
			wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url}), s)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
	})
})

var _ = Describe("a cancelled attempt", func() {
	// Guards against an engine that goes on computing for a caller that has
	// disconnected, while other requests wait.
	It("is cancelled at the engine immediately", func() {
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
		Eventually(e.CancelledAnswers, 10*time.Second).Should(Equal(1), "the engine detected the cancellation")
	})

	It("is the result when the sink returns an error", func() {
		e := newEngine(wasabiengine.Options{})
		s := &sink{onChunk: func() error { return wasabiridge.ErrUnavailable.New("caller gone") }}
		ended := newRunner(wasabibackend.Options{}).Run(context.Background(), streamOf(e.Backend()), s)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCancelled))
		Expect(ended.Delivered).To(BeZero())
		Expect(s.chunks).To(Equal(1))
	})

	// Guards against data of a cancelled attempt that mixes with the answer of the
	// retry at a second engine: its bytes were already in flight.
	It("does not pass on data that was already in flight", func() {
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
