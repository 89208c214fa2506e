package wasabigateway_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
)

func booking(key string) call {
	return call{path: "/bookings", body: `{"lift":7}`, header: map[string]string{"Idempotency-Key": key}}
}

var _ = Describe("non-idempotent requests", func() {
	It("replay the recorded answer to a repeat with the same key", func() {
		r := specRig(nil)
		r.runner.set(respondWith(http.StatusCreated, `{"number":1}`))
		Expect(r.do(booking("k")).text).To(Equal(`{"number":1}`))
		Eventually(r.claims.finished).Should(HaveLen(1))
		got := r.do(booking("k"))
		Expect(got.status).To(Equal(http.StatusCreated))
		Expect(got.text).To(Equal(`{"number":1}`))
		Expect(got.header.Get(wasabigateway.ReplayedHeader)).To(Equal("true"))
		Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("ran"))
		Expect(r.runner.seen()).To(HaveLen(1))
	})

	// The service fails after it has read the booking, so it is unknown whether
	// the booking was made. Neither the router nor a repeat may send it again.
	It("are not sent again when they may have run", func() {
		r := specRig(nil)
		r.runner.set(func(_ context.Context, _ int, _ wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			sink.Sent()
			return end(wasabiridge.AttemptBroken)
		})
		got := r.do(booking("k"))
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("maybe_run"))
		Eventually(r.claims.finished).Should(HaveLen(1))
		again := r.do(booking("k"))
		Expect(again.code()).To(Equal("outcome_unknown"))
		Expect(again.header.Get(wasabigateway.DispositionHeader)).To(Equal("maybe_run"))
		Expect(r.runner.seen()).To(HaveLen(1))
	})

	It("go to another server when the first says that it did not run", func() {
		r := specRig(nil)
		r.runner.set(func(ctx context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			if n == 1 {
				sink.Sent()
				return end(wasabiridge.AttemptNotRun)
			}
			return respondWith(http.StatusCreated, "{}")(ctx, n, a, sink)
		})
		Expect(r.do(booking("k")).status).To(Equal(http.StatusCreated))
		seen := r.runner.seen()
		Expect(seen).To(HaveLen(2))
		Expect(seen[0].NonIdempotent).To(BeTrue())
	})

	It("finish their claim as not run when no attempt ran", func() {
		r := specRig(nil)
		r.runner.set(func(context.Context, int, wasabiridge.Attempt, wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			return end(wasabiridge.AttemptNotRun)
		})
		got := r.do(booking("k"))
		Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("not_run"))
		Eventually(r.claims.finished).Should(HaveLen(1))
		Expect(r.claims.finished()[0].Disposition).To(Equal(wasabiridge.NotRun))
	})

	// The caller's connection breaks while the booking runs. Cancelling the
	// attempt would leave a booking that no caller knows about; the repeat must
	// get its number.
	It("continue when their caller disconnects, and record the answer", func() {
		for _, body := range []call{booking("k"), {body: `{"model":"review","stream":true}`, header: map[string]string{"Idempotency-Key": "k"}}} {
			r := specRig(nil)
			started, proceed := make(chan struct{}), make(chan struct{})
			r.runner.set(func(ctx context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
				sink.Sent()
				close(started)
				<-proceed
				if ctx.Err() != nil {
					return end(wasabiridge.AttemptCancelled)
				}
				_ = sink.Head(http.StatusCreated, http.Header{"Content-Type": {"application/json"}})
				_ = sink.Chunk(0, []byte(`{"number":1}`))
				return end(wasabiridge.AttemptCompleted)
			})
			ctx, leave := context.WithCancel(context.Background())
			go func() {
				defer GinkgoRecover()
				<-started
				leave()
			}()
			_, err := r.server.Client().Do(body.request(r.server.URL).WithContext(ctx))
			Expect(err).To(HaveOccurred())
			Expect(r.do(body).code()).To(Equal("still_running"))
			close(proceed)
			Eventually(r.claims.finished).Should(HaveLen(1))
			Expect(r.do(body).text).To(Equal(`{"number":1}`))
			Expect(r.runner.seen()).To(HaveLen(1))
		}
	})

	// The caller's connection breaks just as the booking completes, so the
	// router handles both events at the same time. If it handled the disconnect
	// first and gave up, it would record an empty answer and the repeat would
	// not get the booking number.
	It("record the answer when their caller disconnects as it completes", func() {
		for range 40 {
			r := specRig(nil)
			ctx, leave := context.WithCancel(context.Background())
			r.runner.set(func(c context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
				sink.Sent()
				leave()
				return respondWith(http.StatusCreated, `{"number":1}`)(c, n, a, sink)
			})
			r.server.Config.Handler.ServeHTTP(httptest.NewRecorder(), booking("k").request(r.server.URL).WithContext(ctx))
			Eventually(r.claims.finished).Should(HaveLen(1))
			Expect(r.do(booking("k")).text).To(Equal(`{"number":1}`))
		}
	})

	// The service hangs. At its deadline the caller must receive that the
	// booking may have run, and a repeat must still get the answer once it is
	// available.
	It("answer at the deadline and record an answer that arrives later", func() {
		r := specRig(func(o *wasabigateway.Options) {
			cfg := testConfig()
			cfg.Rules = []wasabiridge.Rule{{ID: "booking", Then: wasabiridge.Action{Pool: "bookings", NonIdempotent: true, Deadline: 50}}}
			o.Config = func() *wasabiridge.Config { return &cfg }
		})
		proceed := make(chan struct{})
		r.runner.set(func(ctx context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			sink.Sent()
			<-proceed
			return respondWith(http.StatusCreated, `{"number":1}`)(ctx, n, a, sink)
		})
		got := r.do(booking("k"))
		Expect(got.code()).To(Equal("deadline"))
		Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal("maybe_run"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		close(proceed)
		Eventually(r.claims.finished).Should(HaveLen(1))
		Expect(r.do(booking("k")).text).To(Equal(`{"number":1}`))
	})

	states := map[string]struct {
		state       wasabiridge.ClaimState
		status      int
		code        string
		disposition string
	}{
		"still running":             {wasabiridge.ClaimRunning, 409, "still_running", "maybe_run"},
		"outcome unknown":           {wasabiridge.ClaimUnknown, 409, "outcome_unknown", "maybe_run"},
		"key of another request":    {wasabiridge.ClaimMismatch, 422, "idempotency_key_reused", "not_run"},
		"no claim could be decided": {wasabiridge.ClaimUnavailable, 503, "claims_unavailable", "not_run"},
	}
	for _, name := range slices.Sorted(maps.Keys(states)) {
		c := states[name]
		It("answer a claim that is not granted: "+name, func() {
			r := specRig(nil)
			r.claims.state["k"] = wasabiridge.ClaimOutcome{State: c.state}
			got := r.do(booking("k"))
			Expect(got.status).To(Equal(c.status))
			Expect(got.code()).To(Equal(c.code))
			Expect(got.header.Get(wasabigateway.DispositionHeader)).To(Equal(c.disposition))
			Expect(r.runner.seen()).To(BeEmpty())
		})
	}
})
