package wasabibackend_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// eventuallyTimeout is how long a spec waits for an expected event.
const eventuallyTimeout = 20 * time.Second

// collector collects the events that a Monitor puts into its ring.
type collector struct {
	ring   *wasabibackend.Ring
	loads  []wasabiridge.LoadReport
	cache  []wasabiridge.CacheEvent
	lost   int
	leaves int
}

// drain reads all events from the ring and returns the collector.
func (n *collector) drain() *collector {
	for {
		select {
		case event := <-n.ring.Events():
			switch e := event.(type) {
			case wasabiridge.LoadReported:
				n.loads = append(n.loads, e.Report)
			case wasabiridge.CacheChanged:
				n.cache = append(n.cache, e.Events...)
			case wasabiridge.BackendLost:
				n.lost++
			case wasabiridge.BackendLeaving:
				n.leaves++
			}
		default:
			return n
		}
	}
}

func (n *collector) sequences() []uint64 {
	var out []uint64
	for _, e := range n.drain().cache {
		out = append(out, e.Sequence)
	}
	return out
}

// watch starts a Monitor that sleeps 2 ms in place of every delay, so that the
// specs are fast.
func watch(backends ...wasabiridge.BackendServer) *collector {
	n := &collector{ring: wasabibackend.NewRing(1024)}
	intake := wasabibackend.NewMonitor(wasabibackend.MonitorOptions{
		Clock: wasabiclock.System(), Ring: n.ring, Seed: wasabitest.Seed,
		Sleep: func(ctx context.Context, _ wasabiridge.Millis) {
			select {
			case <-ctx.Done():
			case <-time.After(2 * time.Millisecond):
			}
		},
	})
	DeferCleanup(intake.Close)
	intake.Watch(backends)
	return n
}

// blocksOf returns an attempt whose prompt fills cache blocks of four tokens with
// the given hashes.
func blocksOf(b wasabiridge.BackendServer, hashes ...wasabiridge.BlockHash) wasabiridge.Attempt {
	a := streamOf(b)
	a.Path = "/v1/completions"
	prompt := ""
	for _, hash := range hashes {
		prompt += fmt.Sprintf("%016x", uint64(hash))
	}
	a.Body = fmt.Appendf(nil, `{"model":"m","stream":true,"max_tokens":2,"prompt":%q}`, prompt)
	a.Blocks = hashes
	return a
}

var _ = Describe("the intake", func() {
	small := wasabiengine.Options{Spec: wasabifake.Spec{BlockTokens: 4, CacheBlocks: 8}}

	// Guards against requests that are routed to an engine that crashed, or away
	// from one that has restarted. Both must be reported, the restarted engine
	// with a new incarnation and an empty cache.
	It("reports that an engine is lost and that it restarted", func() {
		e := newEngine(small)
		n := watch(e.Backend())
		Eventually(func() int { return len(n.drain().loads) }, eventuallyTimeout).Should(BeNumerically(">", 0))
		Expect(n.loads[0].Incarnation).To(BeEquivalentTo(1))
		e.Crash()
		Eventually(func() int { return n.drain().lost }, eventuallyTimeout).Should(Equal(1))
		Consistently(func() int { return n.drain().lost }, "50ms").Should(Equal(1), "reported once")
		Expect(e.Start("")).To(Succeed())
		Eventually(func() wasabiridge.Incarnation {
			return n.drain().loads[len(n.loads)-1].Incarnation
		}, eventuallyTimeout).Should(BeEquivalentTo(2))
		Eventually(func() []wasabiridge.CacheEvent { return n.drain().cache }, eventuallyTimeout).Should(ContainElement(
			HaveField("Kind", wasabiridge.CacheCleared)))
	})

	// Guards against an engine that receives no requests because it publishes no
	// load: a 404 response must not count as a failure.
	It("does not report an engine without load reports as lost", func() {
		paths := make(chan string, 1024)
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			paths <- r.URL.Path
			w.WriteHeader(http.StatusNotFound)
		})
		n := watch(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url})
		for range 20 {
			Eventually(paths, eventuallyTimeout).Should(Receive())
		}
		Expect(n.drain().lost).To(BeZero())
		Expect(n.loads).To(BeEmpty())
	})

	It("reports cache blocks under the hashes that the router sent", func() {
		e := newEngine(small)
		n := watch(e.Backend())
		runner := newRunner(wasabibackend.Options{})
		ended, _ := run(runner, blocksOf(e.Backend(), 0xa, 0xb))
		Expect(ended.Usage.CachedTokens).To(BeZero())
		ended, _ = run(runner, blocksOf(e.Backend(), 0xa, 0xb))
		Expect(ended.Usage.CachedTokens).To(Equal(8))
		other := blocksOf(e.Backend(), 0xa, 0xb)
		other.CacheSalt = "another account"
		ended, _ = run(runner, other)
		Expect(ended.Usage.CachedTokens).To(BeZero(), "a different salt shares no blocks, even with equal hashes")
		Eventually(n.sequences, eventuallyTimeout).Should(Equal([]uint64{1, 2, 3, 4}))
		Expect([]wasabiridge.BlockHash{n.cache[0].Block, n.cache[1].Block}).To(ConsistOf(
			wasabiridge.BlockHash(0xa), wasabiridge.BlockHash(0xb)))
	})

	// Guards against a view of an engine's cache that keeps blocks the engine has
	// evicted because events were lost: the sequence numbers must show the gap.
	It("shows lost events as a gap in the sequence numbers", func() {
		e := newEngine(small)
		n := watch(e.Backend())
		runner := newRunner(wasabibackend.Options{})
		run(runner, blocksOf(e.Backend(), 0xa))
		Eventually(n.sequences, eventuallyTimeout).Should(HaveLen(1))
		e.DropEvents(1)
		run(runner, blocksOf(e.Backend(), 0xb))
		run(runner, blocksOf(e.Backend(), 0xc))
		Eventually(n.sequences, eventuallyTimeout).Should(Equal([]uint64{1, 3}))
	})

	// Guards against cache events that are received twice, or missed, after a
	// short network interruption.
	It("resumes after the last event when it reconnects", func() {
		const batch = "id: 1-%d\ndata: {\"incarnation\":1,\"sequence\":%d,\"events\":[{\"kind\":\"stored\",\"block\":\"a\"}]}\n\n"
		lastIDs := make(chan string, 16)
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/cache/events" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			last := r.Header.Get("Last-Event-ID")
			select {
			case lastIDs <- last:
			default:
			}
			w.Header().Set("Content-Type", "text/event-stream")
			switch last {
			case "":
				fmt.Fprintf(w, batch, 5, 5)
			case "1-5":
				fmt.Fprintf(w, batch+"data: broken\n\n", 6, 6)
			default:
				<-r.Context().Done()
			}
		})
		n := watch(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url})
		Eventually(n.sequences, eventuallyTimeout).Should(Equal([]uint64{5, 6}))
		for _, want := range []string{"", "1-5", "1-6"} {
			Eventually(lastIDs, eventuallyTimeout).Should(Receive(Equal(want)))
		}
	})

	// Engines may publish a hundred times as many events as a router can process.
	// Reading all of them would use up its network bandwidth; reading a share of
	// them in order would make it fall further and further behind.
	It("keeps to its byte budget and skips to the newest events", func() {
		queries := make(chan string, 64)
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/cache/events" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			queries <- r.URL.RawQuery
			w.Header().Set("Content-Type", "text/event-stream")
			for sequence := 1; r.Context().Err() == nil; sequence++ {
				fmt.Fprintf(w, "id: 1-%d\ndata: {\"incarnation\":1,\"sequence\":%d,\"events\":[{\"kind\":\"cleared\"}]}\n\n", sequence, sequence)
			}
		})
		ring := wasabibackend.NewRing(1024)
		delays := make(chan wasabiridge.Millis, 64)
		intake := wasabibackend.NewMonitor(wasabibackend.MonitorOptions{
			Clock: wasabiclock.System(), Ring: ring, EventBytesPerSecond: 1000, LoadInterval: wasabiridge.Hour,
			Sleep: func(ctx context.Context, d wasabiridge.Millis) {
				if d < wasabiridge.Second {
					<-ctx.Done()
					return
				}
				delays <- d
			},
		})
		DeferCleanup(intake.Close)
		intake.Watch([]wasabiridge.BackendServer{{ID: "e", Kind: wasabiridge.BackendEngine, URL: url}})
		Eventually(queries, eventuallyTimeout).Should(Receive(BeEmpty()))
		Eventually(queries, eventuallyTimeout).Should(Receive(Equal("from=newest")))
		Eventually(delays, eventuallyTimeout).Should(Receive(BeNumerically("~", 1050, 50)), "after one second's budget")
	})

	It("reports once that a server is leaving, and watches engines only", func() {
		url := serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"incarnation":1,"age_ms":1000,"leaving":true}`))
		})
		n := watch(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url},
			wasabiridge.BackendServer{ID: "plain", Kind: wasabiridge.BackendService, URL: url})
		Eventually(func() int { return len(n.drain().loads) }, eventuallyTimeout).Should(BeNumerically(">", 3))
		Expect(n.leaves).To(Equal(1))
		Expect(n.loads).To(HaveEach(HaveField("Backend", wasabiridge.BackendServerID("e"))))
	})
})

// Guards against load polling that takes more resources than the requests
// themselves: without a limit, every router polls every engine twice a second,
// however large the pools are.
var _ = Describe("load requests", func() {
	It("are less frequent and spread out when many servers are watched", func() {
		const servers = 50
		first, later := make(chan wasabiridge.Millis, servers), make(chan wasabiridge.Millis, servers)
		var slept sync.Map
		intake := wasabibackend.NewMonitor(wasabibackend.MonitorOptions{
			Clock: wasabiclock.System(), Ring: wasabibackend.NewRing(servers), LoadRequestsPerSecond: 10,
			Sleep: func(ctx context.Context, d wasabiridge.Millis) {
				if _, before := slept.LoadOrStore(ctx, true); !before {
					first <- d
					return
				}
				later <- d
				<-ctx.Done()
			},
		})
		DeferCleanup(intake.Close)
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/load" {
				<-r.Context().Done()
				return
			}
			_, _ = w.Write([]byte(`{}`))
		})
		var backends []wasabiridge.BackendServer
		for i := range servers {
			backends = append(backends, wasabiridge.BackendServer{
				ID: wasabiridge.BackendServerID(fmt.Sprint(i)), Kind: wasabiridge.BackendEngine, URL: url,
			})
		}
		intake.Watch(backends)
		mean := func(waits chan wasabiridge.Millis) wasabiridge.Millis {
			var sum wasabiridge.Millis
			for range servers {
				var d wasabiridge.Millis
				Eventually(waits, eventuallyTimeout).Should(Receive(&d))
				sum += d
			}
			return sum / servers
		}
		Expect(mean(first)).To(BeNumerically("~", 2250, 500), "mean of a random delay of up to 4.5 s")
		Expect(mean(later)).To(BeNumerically("~", 5000, 500), "50 servers at 10 requests per second")
	})
})

var _ = Describe("backoff delays", func() {
	It("double up to a limit, are random, and are reproducible with the seed", func() {
		waits := wasabibackend.BackoffDelays(1, "e", 12)
		Expect(wasabibackend.BackoffDelays(1, "e", 12)).To(Equal(waits))
		Expect(wasabibackend.BackoffDelays(2, "e", 12)).NotTo(Equal(waits), "instances do not reconnect at the same moment")
		span := wasabiridge.Millis(200)
		for _, wait := range waits {
			Expect(wait).To(And(BeNumerically(">=", span/2), BeNumerically("<=", span)))
			span = min(2*span, 10*wasabiridge.Second)
		}
	})
})

var _ = Describe("the ring", func() {
	It("drops the oldest event and counts it", func() {
		ring := wasabibackend.NewRing(2)
		for _, id := range []wasabiridge.BackendServerID{"a", "b", "c"} {
			ring.Put(wasabiridge.BackendLost{Backend: id})
		}
		Expect(ring.Dropped()).To(BeEquivalentTo(1))
		Expect(<-ring.Events()).To(Equal(wasabiridge.BackendLost{Backend: "b"}))
		Expect(<-ring.Events()).To(Equal(wasabiridge.BackendLost{Backend: "c"}))
	})
})
