package wasabigateway_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

var _ = Describe("streams", func() {
	It("come in order with their end marker", func() {
		r := specRig(nil)
		r.runner.set(func(_ context.Context, _ int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			_ = stream(a, sink, 20)
			return end(wasabiridge.AttemptCompleted)
		})
		got := r.do(call{body: chatStream})
		Expect(got.cut).NotTo(HaveOccurred())
		Expect(events(got.text)).To(Equal(wholeStream(20)))
	})

	// The engine closes its connection cleanly before the end marker. A router
	// that hands that on shows a technician half an answer that looks whole.
	It("that end before their end marker are visibly cut", func() {
		for _, result := range []wasabiridge.AttemptResult{wasabiridge.AttemptBroken, wasabiridge.AttemptCancelled} {
			r := specRig(nil)
			opened := make(chan struct{})
			r.runner.set(breaking(result, opened))
			got := r.doThen(call{body: chatStream}, func() { close(opened) })
			Expect(got.cut).To(MatchError(io.ErrUnexpectedEOF))
			Expect(got.text).To(ContainSubstring("event: error"))
			Expect(got.text).To(ContainSubstring(`"disposition":"ran"`))
			Expect(got.text).NotTo(ContainSubstring("[DONE]"))
		}
	})

	It("cannot be resumed where the rule does not allow it", func() {
		r := specRig(nil)
		opened := make(chan struct{})
		r.runner.set(breaking(wasabiridge.AttemptBroken, opened))
		got := r.doThen(call{body: `{"model":"whole","stream":true}`}, func() { close(opened) })
		Expect(got.cut).To(HaveOccurred())
		Expect(r.runner.seen()).To(HaveLen(1))
	})

	// An engine that was given up wakes and writes on. Its tokens would stand
	// between those of the engine that took over.
	It("never show a late answer of an abandoned attempt", func() {
		r := specRig(nil)
		var late atomic.Int32
		abandoned := make(chan wasabiridge.AttemptSink, 1)
		r.runner.set(func(_ context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			if n == 1 {
				_ = stream(a, sink, 4)
				abandoned <- sink
				return end(wasabiridge.AttemptBroken)
			}
			old := <-abandoned
			if old.Chunk(1, []byte(`{"token":"late"}`)) != nil {
				late.Add(1)
			}
			_ = stream(a, sink, 9)
			if old.Chunk(1, []byte(`{"token":"later"}`)) != nil {
				late.Add(1)
			}
			return end(wasabiridge.AttemptCompleted)
		})
		got := r.do(call{body: chatStream})
		Expect(events(got.text)).To(Equal(wholeStream(9)))
		Expect(late.Load()).To(Equal(int32(2)))
	})

	// Two attempts run for one request. The loser's tokens must not mix with
	// the winner's, whatever comes first.
	It("show one attempt of a hedged pair only", func() {
		r := specRig(nil)
		won := make(chan struct{})
		r.runner.set(func(ctx context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			if n == 1 {
				sink.Sent()
				_ = sink.Head(http.StatusOK, streamHeader.Clone())
				<-won
				Expect(sink.Chunk(1, []byte(`{"token":"loser"}`))).NotTo(Succeed())
				return end(wasabiridge.AttemptCompleted)
			}
			_ = stream(a, sink, 5)
			close(won)
			return end(wasabiridge.AttemptCompleted)
		})
		got := r.do(call{body: `{"model":"hedged","stream":true}`})
		Expect(events(got.text)).To(Equal(wholeStream(5)))
		Expect(r.runner.seen()).To(HaveLen(2))
	})

	// The engine restarts with older weights than the rule asks for.
	It("of older weights than the rule allows reach nobody", func() {
		r := specRig(func(o *wasabigateway.Options) {
			cfg := testConfig()
			cfg.Rules = []wasabiridge.Rule{{ID: "new", Then: wasabiridge.Action{Pool: "answer", Weights: 4}}}
			o.Config = func() *wasabiridge.Config { return &cfg }
		})
		r.runner.set(func(_ context.Context, _ int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			sink.Sent()
			h := streamHeader.Clone()
			h.Set(wasabiridge.HeaderWeights, "3")
			if sink.Head(http.StatusOK, h) != nil {
				return end(wasabiridge.AttemptCancelled)
			}
			_ = sink.Chunk(1, []byte(token(0)))
			return end(wasabiridge.AttemptCompleted)
		})
		Expect(r.do(call{body: chatStream}).code()).To(Equal("backend_broken"))
	})

	It("that break before the first token start afresh", func() {
		r := specRig(nil)
		r.runner.set(func(_ context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			if n == 1 {
				_ = stream(a, sink, 0)
				return end(wasabiridge.AttemptBroken)
			}
			_ = stream(a, sink, 5)
			return end(wasabiridge.AttemptCompleted)
		})
		Expect(events(r.do(call{body: chatStream}).text)).To(Equal(wholeStream(5)))
	})

	// An engine takes the request and then says nothing. The caller's rule
	// allows 50 ms; it must hear then, not when the engine comes round.
	It("without a first token in time are given up at the deadline", func() {
		r := specRig(nil)
		r.runner.set(func(ctx context.Context, _ int, _ wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			sink.Sent()
			<-ctx.Done()
			return end(wasabiridge.AttemptCancelled)
		})
		got := r.do(call{body: `{"model":"brief","stream":true}`})
		Expect(got.status).To(BeNumerically(">=", 500))
		Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("maybe_run"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})
})

var _ = Describe("callers", func() {
	// One caller stops reading. Its engine must be held up by a bounded
	// buffer, and all others must go on.
	It("that read slowly hold up their own attempt only", func() {
		const chunkBytes, chunks, limit = 1 << 10, 1 << 16, 4 << 10
		r := specRig(func(o *wasabigateway.Options) {
			o.Limits = wasabisettings.Limits{StreamBytes: limit}
		})
		var handedOver atomic.Int64
		payload := make([]byte, chunkBytes)
		for i := range payload {
			payload[i] = 'x'
		}
		r.runner.set(func(ctx context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			if n > 1 {
				_ = stream(a, sink, 5)
				return end(wasabiridge.AttemptCompleted)
			}
			sink.Sent()
			_ = sink.Head(http.StatusOK, streamHeader.Clone())
			for range chunks {
				if sink.Chunk(1, payload) != nil {
					return end(wasabiridge.AttemptCancelled)
				}
				handedOver.Add(chunkBytes)
			}
			return end(wasabiridge.AttemptCompleted)
		})
		slow, err := r.server.Client().Do(call{body: chatStream}.request(r.server.URL))
		Expect(err).NotTo(HaveOccurred())
		defer slow.Body.Close()
		Eventually(handedOver.Load).Should(BeNumerically(">", limit))
		for range 20 {
			Expect(events(r.do(call{body: chatStream}).text)).To(Equal(wholeStream(5)))
		}
		stalled := handedOver.Load()
		// What the kernel buffers of a loopback connection is a few MiB.
		Expect(stalled).To(BeNumerically("<", chunkBytes*chunks/2))
		text, err := io.ReadAll(slow.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(events(string(text))).To(HaveLen(chunks + 1))
	})

	It("that leave cancel the work of their request", func() {
		r := specRig(nil)
		begun, cancelled := make(chan struct{}), make(chan struct{})
		r.runner.set(func(ctx context.Context, _ int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			_ = stream(a, sink, 2)
			close(begun)
			<-ctx.Done()
			close(cancelled)
			return end(wasabiridge.AttemptCancelled)
		})
		ctx, leave := context.WithCancel(context.Background())
		resp, err := r.server.Client().Do(call{body: chatStream}.request(r.server.URL).WithContext(ctx))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Eventually(begun).Should(BeClosed())
		leave()
		Eventually(cancelled, "5s").Should(BeClosed())
	})

	It("find no prompt, answer or key of theirs in the log", func() {
		r := specRig(nil)
		opened := make(chan struct{})
		r.runner.set(breaking(wasabiridge.AttemptBroken, opened))
		r.doThen(call{body: chatStream}, func() { close(opened) })
		r.do(call{body: `{"model":"whole","prompt":"Code 17?"}`})
		r.do(call{key: "wrong-secret", body: chatStream})
		r.do(call{path: "/bookings?visitor=Code%2017?", body: "Code 17?", header: map[string]string{"Idempotency-Key": "secret-key"}})
		log := string(r.log.Contents())
		Expect(log).To(ContainSubstring("stream_cut"))
		for _, secret := range []string{"Code", "17", "token\":", callerKey, "wrong-secret", "secret-key"} {
			Expect(log).NotTo(ContainSubstring(secret))
		}
	})
})
