package wasabibackend_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/tidwall/gjson"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabiservice"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestBackend(t *testing.T) {
	wasabitest.Run(t, "backend")
}

// sink records the calls of a Runner. It is safe for concurrent use.
type sink struct {
	mu     sync.Mutex
	sent   int
	status int
	header http.Header
	ids    []int64
	data   strings.Builder
	text   strings.Builder
	chunks int
	// onChunk is called for each chunk, without the lock held. Its error is
	// returned to the runner.
	onChunk func() error
	// check is called with each payload.
	check func(data []byte)
}

func (s *sink) Sent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
}

func (s *sink) Head(status int, h http.Header) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.header = status, h
	return nil
}

func (s *sink) Chunk(_ int, data []byte) error {
	s.mu.Lock()
	s.chunks++
	for _, id := range gjson.GetBytes(data, "choices.0.token_ids").Array() {
		s.ids = append(s.ids, id.Int())
	}
	s.data.Write(data)
	s.text.WriteString(gjson.GetBytes(data, "choices.0.text").Str)
	s.mu.Unlock()
	if s.check != nil {
		s.check(data)
	}
	if s.onChunk != nil {
		return s.onChunk()
	}
	return nil
}

// newEngine starts an engine that is closed when the spec ends.
func newEngine(o wasabiengine.Options) *wasabiengine.Engine {
	GinkgoHelper()
	if o.Clock == nil {
		o.Clock = wasabiclock.System()
	}
	if o.Spec.ID == "" {
		o.Spec.ID = "answer-1"
	}
	e := wasabiengine.New(o)
	Expect(e.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(e.Close)
	return e
}

func newService() *wasabiservice.Service {
	GinkgoHelper()
	s := wasabiservice.New("bookings")
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Close)
	return s
}

func newRunner(o wasabibackend.Options) *wasabibackend.Runner {
	r := wasabibackend.New(o)
	DeferCleanup(r.Close)
	return r
}

// streamOf returns an attempt at a streamed chat completion of ten tokens.
func streamOf(b wasabiridge.BackendServer) wasabiridge.Attempt {
	return wasabiridge.Attempt{
		ID: 1, Request: "r1", Backend: b, Method: http.MethodPost, Path: "/v1/chat/completions",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   []byte(`{"model":"m","stream":true,"max_tokens":10,"messages":[{"role":"user","content":"code E4?"}]}`),
		Stream: true, CacheSalt: "salt",
	}
}

// bookingOf returns a non-idempotent attempt at a booking with an idempotency
// key.
func bookingOf(b wasabiridge.BackendServer, key string) wasabiridge.Attempt {
	return wasabiridge.Attempt{
		ID: 2, Request: "r2", Backend: b, Method: http.MethodPost, Path: "/bookings",
		Header:        http.Header{"Idempotency-Key": {key}},
		Body:          []byte(`{"house":"12 Frederick St"}`),
		NonIdempotent: true,
	}
}

func run(r *wasabibackend.Runner, a wasabiridge.Attempt) (wasabiridge.AttemptEnded, *sink) {
	s := &sink{}
	return r.Run(context.Background(), a, s), s
}
