package wasabibackend_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

// abortAfterRun makes the service run a booking and then close the connection
// without sending any part of the answer, as a server that crashes at that
// moment does.
var abortAfterRun = wasabiserver.Fault{Point: wasabiserver.BeforeHeaders, Kind: wasabiserver.Abort}

var _ = Describe("non-idempotent attempts", func() {
	// Demonstrates the fault that the runner must avoid. The transport holds an
	// idle connection to the booking service; the service runs the booking and
	// crashes before it answers. net/http assumes that the connection was stale
	// and, because the request has an Idempotency-Key header, sends the booking
	// again on a new connection.
	It("are run twice by net/http when the service crashes before it answers", func() {
		service := newService()
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		send := func(key string) error {
			req, err := http.NewRequest(http.MethodPost, service.URL()+"/bookings", bytes.NewReader([]byte("{}")))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Idempotency-Key", key)
			resp, err := transport.RoundTrip(req)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			return err
		}
		Expect(send("warm-up")).To(Succeed())
		service.Inject(abortAfterRun)
		Expect(send("visit")).To(Succeed())
		Expect(service.Executions("visit")).To(Equal(2), "net/http resends the request")
	})

	DescribeTable("run once when the service crashes after running them", func(change func(*wasabiridge.Attempt)) {
		service := newService()
		runner := newRunner(wasabibackend.Options{})
		warmUp := bookingOf(service.Backend(), "warm-up")
		warmUp.NonIdempotent = false
		first, _ := run(runner, warmUp)
		Expect(first.Result).To(Equal(wasabiridge.AttemptCompleted))

		service.Inject(abortAfterRun)
		visit := bookingOf(service.Backend(), "visit")
		change(&visit)
		ended, s := run(runner, visit)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken), "it may have run")
		Expect(s.sent).To(Equal(1))
		Expect(service.Total()).To(Equal(2), "warm-up and visit")
	},
		Entry("with a body", func(*wasabiridge.Attempt) {}),
		Entry("without a body", func(a *wasabiridge.Attempt) { a.Body = nil }),
		Entry("with the other key header", func(a *wasabiridge.Attempt) {
			a.Header = http.Header{"X-Idempotency-Key": {"visit"}}
		}),
	)

	It("did not run when the service refuses them with the not_run disposition", func() {
		service := newService()
		service.RefuseNext(1)
		ended, s := run(newRunner(wasabibackend.Options{}), bookingOf(service.Backend(), "visit"))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptNotRun))
		Expect(ended.Overloaded).To(BeTrue())
		Expect(ended.RetryAfter).To(Equal(2 * wasabiridge.Second))
		Expect(s.status).To(BeZero(), "the caller receives no part of a refusal")
		Expect(service.Total()).To(BeZero())
	})

	// Guards against a forged refusal: a caller sets the disposition header in its
	// own request, and a service that echoes request headers returns it after
	// running the booking. The header must not be forwarded to the service.
	It("cannot be marked as not run by a header of the caller", func() {
		var got http.Header
		url := serve(func(w http.ResponseWriter, r *http.Request) { got = r.Header.Clone() })
		b := wasabiridge.BackendServer{ID: "echo", Kind: wasabiridge.BackendService, URL: url}
		a := bookingOf(b, "visit")
		a.Header.Set(wasabiridge.HeaderDisposition, "not_run")
		a.Header.Set("Authorization", "Bearer caller-key")
		ended, _ := run(newRunner(wasabibackend.Options{}), a)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		Expect(got.Get(wasabiridge.HeaderDisposition)).To(BeEmpty())
		Expect(got.Get("Authorization")).To(BeEmpty(), "the caller's key is not forwarded")
		Expect(got.Get("Idempotency-Key")).To(Equal("visit"))
	})
})

var _ = Describe("attempts that did not run", func() {
	It("are those without a connection", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		url := "http://" + listener.Addr().String()
		listener.Close()
		ended, s := run(newRunner(wasabibackend.Options{}), streamOf(
			wasabiridge.BackendServer{ID: "gone", Kind: wasabiridge.BackendEngine, URL: url}))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptNotRun))
		Expect(s.sent).To(BeZero())
	})

	// Guards against a claim that is never released: the caller disconnects while
	// the router is still dialing the booking service, so nothing ran.
	It("are those cancelled before a connection was obtained", func() {
		service := newService()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s := &sink{}
		ended := newRunner(wasabibackend.Options{}).Run(ctx, bookingOf(service.Backend(), "visit"), s)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptNotRun))
		Expect(s.sent).To(BeZero())
	})

	DescribeTable("are those that cannot be sent", func(change func(*wasabiridge.Attempt)) {
		e := newEngine(wasabiengine.Options{})
		a := streamOf(e.Backend())
		change(&a)
		ended, s := run(newRunner(wasabibackend.Options{}), a)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptNotRun))
		Expect(s.sent).To(BeZero())
		Expect(e.StartedAnswers()).To(BeZero())
	},
		Entry("body is not JSON", func(a *wasabiridge.Attempt) { a.Body = []byte(`{"cache_salt":"x",}`) }),
		Entry("body is not an object", func(a *wasabiridge.Attempt) { a.Body = []byte(`[]`) }),
		Entry("resume under unknown weights", func(a *wasabiridge.Attempt) { a.ResumeFrom = 3 }),
		Entry("invalid address", func(a *wasabiridge.Attempt) { a.Backend.URL = "::" }),
	)

	DescribeTable("are those refused by an engine with other weights or another incarnation", func(change func(*wasabiridge.Attempt)) {
		e := newEngine(wasabiengine.Options{})
		a := streamOf(e.Backend())
		change(&a)
		ended, s := run(newRunner(wasabibackend.Options{}), a)
		Expect(ended.Result).To(Equal(wasabiridge.AttemptNotRun))
		Expect(ended.Usage.Weights).To(BeEquivalentTo(1))
		Expect(s.status).To(BeZero())
		Expect(e.StartedAnswers()).To(BeZero())
	},
		Entry("other weights", func(a *wasabiridge.Attempt) { a.Weights = 2 }),
		Entry("another incarnation", func(a *wasabiridge.Attempt) { a.Incarnation = 9 }),
	)

	// Guards against treating every 503 or 429 as not run: a reverse proxy in
	// front of an engine may answer so after the engine has started. Without the
	// not_run disposition the request may have run.
	DescribeTable("are not those refused without the not_run disposition", func(status int) {
		url := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(status)
		})
		ended, s := run(newRunner(wasabibackend.Options{}), streamOf(
			wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url}))
		Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
		Expect(ended.Overloaded).To(BeTrue())
		Expect(ended.RetryAfter).To(Equal(3 * wasabiridge.Second))
		Expect(s.status).To(BeZero())
	},
		Entry("503", http.StatusServiceUnavailable),
		Entry("429", http.StatusTooManyRequests),
	)

	// Guards against a server that is sent requests at once because its Retry-After time
	// is a date or has fractions.
	DescribeTable("name a time in each form that HTTP allows", func(value string, want wasabiridge.Millis) {
		url := serve(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Date", "Thu, 03 Dec 2026 17:00:00 GMT")
			w.Header().Set("Retry-After", value)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		ended, _ := run(newRunner(wasabibackend.Options{}), streamOf(
			wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url}))
		Expect(ended.Overloaded).To(BeTrue())
		Expect(ended.RetryAfter).To(Equal(want))
	},
		Entry("seconds", "2", 2*wasabiridge.Second),
		Entry("fractions of seconds", "0.25", 250*wasabiridge.Millis(1)),
		Entry("a date", "Thu, 03 Dec 2026 17:00:03 GMT", 3*wasabiridge.Second),
		Entry("none of them", "soon", wasabiridge.Millis(0)),
	)
})
