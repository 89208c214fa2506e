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
	It("deliver all tokens in order and the end marker", func() {
		r := specRig(nil)
		r.runner.set(func(_ context.Context, _ int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			_ = stream(a, sink, 20)
			return end(wasabiridge.AttemptCompleted)
		})
		got := r.do(call{body: chatStream})
		Expect(got.readErr).NotTo(HaveOccurred())
		Expect(events(got.text)).To(Equal(completeStream(20)))
	})

	// The engine closes its connection cleanly before the end marker. If the
	// router passed that on, the caller would take a partial answer for a
	// complete one.
	It("that end before their end marker are visibly truncated", func() {
		for _, result := range []wasabiridge.AttemptResult{wasabiridge.AttemptBroken, wasabiridge.AttemptCancelled} {
			r := specRig(nil)
			opened := make(chan struct{})
			r.runner.set(breakAfterThreeTokens(result, opened))
			got := r.doThen(call{body: chatStream}, func() { close(opened) })
			Expect(got.readErr).To(MatchError(io.ErrUnexpectedEOF))
			Expect(got.text).To(ContainSubstring("event: error"))
			Expect(got.text).To(ContainSubstring(`"disposition":"ran"`))
			Expect(got.text).NotTo(ContainSubstring("[DONE]"))
		}
	})

	It("are not resumed when the rule does not allow it", func() {
		r := specRig(nil)
		opened := make(chan struct{})
		r.runner.set(breakAfterThreeTokens(wasabiridge.AttemptBroken, opened))
		got := r.doThen(call{body: `{"model":"whole","stream":true}`}, func() { close(opened) })
		Expect(got.readErr).To(HaveOccurred())
		Expect(r.runner.seen()).To(HaveLen(1))
	})

	// An engine whose attempt has ended continues to send. Its tokens must not
	// be mixed with those of the engine that resumed the stream.
	It("drop late output of an abandoned attempt", func() {
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
		Expect(events(got.text)).To(Equal(completeStream(9)))
		Expect(late.Load()).To(Equal(int32(2)))
	})

	// Two hedged attempts run for one request. The tokens of the losing attempt
	// must not be mixed with those of the winner, whichever arrives first.
	It("contain the output of one attempt of a hedged pair only", func() {
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
		Expect(events(got.text)).To(Equal(completeStream(5)))
		Expect(r.runner.seen()).To(HaveLen(2))
	})

	// The engine restarts with a lower weights version than the rule requires.
	It("with older weights than the rule allows do not reach the caller", func() {
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

	It("that break before the first token start again from the beginning", func() {
		r := specRig(nil)
		r.runner.set(func(_ context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			if n == 1 {
				_ = stream(a, sink, 0)
				return end(wasabiridge.AttemptBroken)
			}
			_ = stream(a, sink, 5)
			return end(wasabiridge.AttemptCompleted)
		})
		Expect(events(r.do(call{body: chatStream}).text)).To(Equal(completeStream(5)))
	})

	// An engine accepts the request and then sends nothing. The caller must be
	// answered at the deadline of the rule, 50 ms, not when the engine
	// responds.
	It("without a first token are cancelled at the deadline", func() {
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
	// One caller stops reading. The bounded buffer must block its engine, and
	// all other requests must continue.
	It("that read slowly block their own attempt only", func() {
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
			Expect(events(r.do(call{body: chatStream}).text)).To(Equal(completeStream(5)))
		}
		stalled := handedOver.Load()
		// The kernel buffers a few MiB of a loopback connection.
		Expect(stalled).To(BeNumerically("<", chunkBytes*chunks/2))
		text, err := io.ReadAll(slow.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(events(string(text))).To(HaveLen(chunks + 1))
	})

	It("that disconnect cancel the attempts of their request", func() {
		r := specRig(nil)
		started, cancelled := make(chan struct{}), make(chan struct{})
		r.runner.set(func(ctx context.Context, _ int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			_ = stream(a, sink, 2)
			close(started)
			<-ctx.Done()
			close(cancelled)
			return end(wasabiridge.AttemptCancelled)
		})
		ctx, leave := context.WithCancel(context.Background())
		resp, err := r.server.Client().Do(call{body: chatStream}.request(r.server.URL).WithContext(ctx))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Eventually(started).Should(BeClosed())
		leave()
		Eventually(cancelled, "5s").Should(BeClosed())
	})

	It("have no prompt, answer or key in the log", func() {
		r := specRig(nil)
		opened := make(chan struct{})
		r.runner.set(breakAfterThreeTokens(wasabiridge.AttemptBroken, opened))
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
