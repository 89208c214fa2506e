package wasabipeer_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
)

// forwardHandler serves forwarded requests with a function.
type forwardHandler struct {
	handler
	got   wasabiridge.ForwardedRequest
	serve func(ctx context.Context, sink wasabiridge.ForwardSink) wasabiridge.ForwardResult
}

func (h *forwardHandler) HandleForward(ctx context.Context, r wasabiridge.ForwardedRequest, sink wasabiridge.ForwardSink) wasabiridge.ForwardResult {
	h.got = r
	return h.serve(ctx, sink)
}

// recorded is a ForwardSink that records the answer.
type recorded struct {
	status int
	header http.Header
	body   strings.Builder
	chunks chan string
}

func (r *recorded) Head(status int, h http.Header) error {
	r.status, r.header = status, h
	return nil
}

func (r *recorded) Chunk(data []byte) error {
	r.body.Write(data)
	if r.chunks != nil {
		r.chunks <- string(data)
	}
	return nil
}

var forwarded = wasabiridge.ForwardedRequest{
	From: "pos-1", Config: 7, Attempts: 2, Method: http.MethodPost, Host: "h", Target: "/chat/x?y=1",
	Header: http.Header{"Authorization": {"Bearer k"}, "X-Many": {"a", "b"}}, Body: []byte("question"), Timeout: 1500,
}

var _ = Describe("A request that is forwarded", func() {
	o := wasabipeer.Options{Key: key}

	It("carries every field, and the answer unchanged", func() {
		long := strings.Repeat("x", 300<<10)
		h := &forwardHandler{serve: func(_ context.Context, sink wasabiridge.ForwardSink) wasabiridge.ForwardResult {
			Expect(sink.Head(http.StatusCreated, http.Header{"Content-Type": {"text/plain"}})).To(Succeed())
			Expect(sink.Chunk([]byte(long))).To(Succeed())
			return wasabiridge.ForwardResult{Result: wasabiridge.AttemptCompleted}
		}}
		sink := &recorded{}
		result := connect(o).Forward(context.Background(), serve(h, o).Address(), forwarded, sink)
		Expect(result).To(Equal(wasabiridge.ForwardResult{Result: wasabiridge.AttemptCompleted}))
		Expect(h.got).To(Equal(forwarded))
		Expect(sink.status).To(Equal(http.StatusCreated))
		Expect(sink.header).To(Equal(http.Header{"Content-Type": {"text/plain"}}))
		Expect(sink.body.String()).To(Equal(long))
	})

	It("is answered piece by piece, and ends at the other instance when the caller leaves", func() {
		left := make(chan struct{})
		h := &forwardHandler{serve: func(ctx context.Context, sink wasabiridge.ForwardSink) wasabiridge.ForwardResult {
			defer close(left)
			Expect(sink.Head(http.StatusOK, nil)).To(Succeed())
			Expect(sink.Chunk([]byte("first"))).To(Succeed())
			<-ctx.Done()
			return wasabiridge.ForwardResult{Result: wasabiridge.AttemptCancelled}
		}}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sink, ended := &recorded{chunks: make(chan string, 1)}, make(chan wasabiridge.ForwardResult, 1)
		address, client := serve(h, o).Address(), connect(o)
		go func() { ended <- client.Forward(ctx, address, forwarded, sink) }()
		Eventually(sink.chunks).Should(Receive(Equal("first")))
		cancel()
		Eventually(left).Should(BeClosed())
		Eventually(ended).Should(Receive(HaveField("Result", wasabiridge.AttemptBroken)))
	})

	refusal := func(kind wasabiridge.RefusalKind, declined bool) wasabiridge.ForwardResult {
		result := wasabiridge.AttemptNotRun
		if kind == wasabiridge.RefusalBroken {
			result = wasabiridge.AttemptBroken
		}
		return wasabiridge.ForwardResult{Result: result, Declined: declined, Reason: "why", Refusal: wasabiridge.Refusal{Kind: kind, Reason: "why", RetryAfter: 40}}
	}
	DescribeTable("ends with the refusal of the other instance",
		func(result wasabiridge.ForwardResult) {
			h := &forwardHandler{serve: func(context.Context, wasabiridge.ForwardSink) wasabiridge.ForwardResult { return result }}
			Expect(connect(o).Forward(context.Background(), serve(h, o).Address(), forwarded, &recorded{})).To(Equal(result))
		},
		Entry("not run", refusal(wasabiridge.RefusalNotRun, false)),
		Entry("declined", refusal(wasabiridge.RefusalNotRun, true)),
		Entry("over the limit", refusal(wasabiridge.RefusalLimited, false)),
		Entry("may have run", refusal(wasabiridge.RefusalBroken, false)),
	)

	// Guards against a request that counts as not run by a word that this build does not know,
	// or by a refusal behind the beginning of an answer.
	DescribeTable("may have run", func(kind wasabiridge.RefusalKind, begun bool) {
		h := &forwardHandler{serve: func(_ context.Context, sink wasabiridge.ForwardSink) wasabiridge.ForwardResult {
			if begun {
				Expect(sink.Head(http.StatusOK, http.Header{})).To(Succeed())
			}
			return refusal(kind, true)
		}}
		result := connect(o).Forward(context.Background(), serve(h, o).Address(), forwarded, &recorded{})
		Expect(result.Result).To(Equal(wasabiridge.AttemptBroken))
		Expect(result.Declined).To(BeFalse())
		Expect(result.Refusal.Kind).NotTo(Equal(wasabiridge.RefusalNotRun))
	},
		Entry("after a refusal of an unknown kind", wasabiridge.RefusalKind("later"), false),
		Entry("after a refusal that says so", wasabiridge.RefusalTimeout, false),
		Entry("after a refusal behind the beginning of an answer", wasabiridge.RefusalNotRun, true),
	)

	// Guards against a request that is said not to have run, or is sent to a further
	// instance, although the one before may have sent it to a server.
	It("may have run if the answer ends early", func() {
		h := &forwardHandler{serve: func(_ context.Context, sink wasabiridge.ForwardSink) wasabiridge.ForwardResult {
			return wasabiridge.ForwardResult{Result: wasabiridge.AttemptBroken}
		}}
		result := connect(o).Forward(context.Background(), serve(h, o).Address(), forwarded, &recorded{})
		Expect(result.Result).To(Equal(wasabiridge.AttemptBroken))
		Expect(result.Declined).To(BeFalse())
	})

	It("is declined by an instance that serves none, has another key or cannot be reached", func() {
		for name, address := range map[string]string{
			"serves none": serve(&handler{}, o).Address(),
			"other key":   serve(&forwardHandler{}, wasabipeer.Options{Key: []byte("another key of the same length")}).Address(),
			"unreachable": "127.0.0.1:1",
		} {
			result := connect(o).Forward(context.Background(), address, forwarded, &recorded{})
			Expect(result.Result).To(Equal(wasabiridge.AttemptNotRun), name)
			Expect(result.Declined).To(BeTrue(), name)
		}
	})

	It("is not sent if it is too large for one message", func() {
		h := &forwardHandler{}
		large := forwarded
		large.Body = make([]byte, wasabipeer.MaxForwardBytes+1)
		result := connect(o).Forward(context.Background(), serve(h, o).Address(), large, &recorded{})
		Expect(result.Result).To(Equal(wasabiridge.AttemptNotRun))
		Expect(h.got.Method).To(BeEmpty())
	})
})
