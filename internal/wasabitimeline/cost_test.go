package wasabitimeline_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicore"
	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
	"github.com/wasabiridge/wasabiridge/internal/wasabilimit"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabimetrics"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

// instantRunner completes every attempt immediately with a short stream, so that
// only the work of the router is measured.
type instantRunner struct{}

func (instantRunner) Run(_ context.Context, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
	end := wasabiridge.AttemptEnded{Request: a.Request, Attempt: a.ID, Backend: a.Backend.ID, Result: wasabiridge.AttemptBroken}
	sink.Sent()
	if sink.Head(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}) != nil {
		return end
	}
	for range 8 {
		if sink.Chunk(1, []byte(`{"choices":[{"index":0,"delta":{"content":"word "}}]}`)) != nil {
			return end
		}
	}
	end.Result, end.Delivered = wasabiridge.AttemptCompleted, 8
	end.Usage = wasabiridge.Usage{PromptTokens: 1000, CachedTokens: 900, OutputTokens: 8}
	return end
}

// router is the complete request path of a router, without sockets.
type router struct {
	gateway *wasabigateway.Gateway
	loop    *wasabiloop.Loop
}

func newRouter(recorder wasabiridge.Recorder, runner wasabiridge.AttemptRunner) router {
	cfg := wasabiridge.Config{
		Version:  1,
		Accounts: []wasabiridge.ClientAccount{{ID: "liftwell", KeyHashes: []string{wasabioperator.HashKey("k")}, Pools: []wasabiridge.PoolID{"answer"}}},
		Pools: []wasabiridge.Pool{{ID: "answer", BlockTokens: 256, Backends: []wasabiridge.BackendServer{
			{ID: "e1", Kind: wasabiridge.BackendEngine, URL: "http://127.0.0.1:1"}, {ID: "e2", Kind: wasabiridge.BackendEngine, URL: "http://127.0.0.1:1"},
		}}},
		Rules: []wasabiridge.Rule{{ID: "chat", When: wasabiridge.Condition{Path: "/v1/*"}, Then: wasabiridge.Action{Pool: "answer", Retry: true, Resume: true}}},
	}
	clock := wasabiclock.System()
	core := wasabicore.New(wasabicore.Options{
		Placer: wasabiplace.New(wasabiplace.Options{Seed: 1}), Limiter: wasabilimit.New(wasabilimit.Options{Instances: 1}), Instance: "pos-1",
	})
	loop := wasabiloop.New(wasabiloop.Options{Decider: core, Clock: clock, Recorder: recorder})
	loop.Post(wasabiridge.ConfigAdopted{Config: cfg})
	return router{loop: loop, gateway: wasabigateway.New(wasabigateway.Options{
		Instance: "pos-1", Incarnation: 1, Clock: clock, Loop: loop, Runner: runner,
		Config: func() *wasabiridge.Config { return &cfg },
	})}
}

var body = `{"model":"m","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"` + strings.Repeat("Read the manual of the lift. ", 140) + `"}]}`

// request sends a request and fails the test unless its response is complete.
func (r router) request(t testing.TB) {
	response := httptest.NewRecorder()
	r.requestTo(t, response, response)
}

// requestTo sends a request. Its response is written to w, which must pass it on
// to response.
func (r router) requestTo(t testing.TB, w http.ResponseWriter, response *httptest.ResponseRecorder) {
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer k")
	request.Header.Set("Content-Type", "application/json")
	r.gateway.ServeHTTP(w, request)
	if response.Code != http.StatusOK || !strings.HasSuffix(response.Body.String(), "[DONE]\n\n") {
		t.Fatalf("HTTP %d: %s", response.Code, response.Body)
	}
}

// load sends requests from several concurrent callers and returns the processor
// time that the process used until their events were published as well.
// Processor time limits the throughput, and unlike elapsed time it does not
// depend on other processes of the machine.
func (r router) load(b *testing.B, callers, each int) time.Duration {
	start := processorTime(b)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range each {
				r.request(b)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * wasabitimeline.PublishInterval.Duration())
	return processorTime(b) - start
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest reports the processor time of a request without and with a
// time line whose ring is full and whose events are published to a subscriber.
// Run the cases in separate processes, by -bench Request/without and -bench
// Request/with, so that the garbage collection that the ring causes is counted
// only where the ring exists.
func BenchmarkRequest(b *testing.B) {
	b.Run("without", func(b *testing.B) { measure(b, newRouter(nil, instantRunner{})) })
	for _, capacity := range []int{1 << 12, 1 << 14, 1 << 16} {
		b.Run(fmt.Sprintf("with-%d", capacity), func(b *testing.B) {
			timeline := systemLog(capacity)
			for range capacity {
				timeline.Record(sample)
			}
			stop := follow(b, timeline)
			defer stop()
			measure(b, newRouter(timeline, instantRunner{}))
		})
	}
}

// follow publishes a time line to a subscriber that counts its events. The
// returned function stops both.
func follow(b *testing.B, l *wasabitimeline.Log) context.CancelFunc {
	pubSub := wasabitimeline.NewPubSub()
	messages, err := pubSub.Subscribe(context.Background(), wasabitimeline.EventsTopic)
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go wasabimetrics.New().Watch(ctx, messages)
	go func() { _ = l.Follow(ctx, pubSub) }()
	return stop
}

// measure reports the median, the lower quartile and the minimum over rounds.
// Other load on the machine can only make a round more expensive.
func measure(b *testing.B, r router) {
	const rounds, callers, each = 40, 4, 400
	defer r.loop.Close()
	var costs []float64
	for b.Loop() {
		for range rounds {
			costs = append(costs, float64(r.load(b, callers, each).Nanoseconds())/(1000*callers*each))
		}
	}
	sort.Float64s(costs)
	b.ReportMetric(costs[len(costs)/2], "us-median/request")
	b.ReportMetric(costs[len(costs)/4], "us-quartile/request")
	b.ReportMetric(costs[0], "us-least/request")
}
