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

// patience bounds how long a spec waits for what must come.
const patience = 20 * time.Second

// news collects what an intake tells.
type news struct {
	ring   *wasabibackend.Ring
	loads  []wasabiridge.LoadReport
	cache  []wasabiridge.CacheEvent
	lost   int
	leaves int
}

// take reads all news that wait in the ring.
func (n *news) take() *news {
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

func (n *news) sequences() []uint64 {
	var out []uint64
	for _, e := range n.take().cache {
		out = append(out, e.Sequence)
	}
	return out
}

// watch starts an intake that hardly waits, so that specs are quick.
func watch(backends ...wasabiridge.BackendServer) *news {
	n := &news{ring: wasabibackend.NewRing(1024)}
	intake := wasabibackend.NewIntake(wasabibackend.IntakeOptions{
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

// blocksOf is a request whose prompt fills the named blocks of four tokens.
func blocksOf(b wasabiridge.BackendServer, names ...wasabiridge.BlockHash) wasabiridge.Attempt {
	a := streamOf(b)
	a.Path = "/v1/completions"
	prompt := ""
	for _, name := range names {
		prompt += fmt.Sprintf("%016x", uint64(name))
	}
	a.Body = fmt.Appendf(nil, `{"model":"m","stream":true,"max_tokens":2,"prompt":%q}`, prompt)
	a.Blocks = names
	return a
}

var _ = Describe("the intake", func() {
	small := wasabiengine.Options{Spec: wasabifake.Spec{BlockTokens: 4, CacheBlocks: 8}}

	// Story: a technician waits because requests go to an engine that died
	// minutes ago, or keep away from one that is long back. Both must show,
	// and the returned engine must show as a new one with a cold cache.
	It("tells when an engine is lost and when it is back as another", func() {
		e := newEngine(small)
		n := watch(e.Backend())
		Eventually(func() int { return len(n.take().loads) }, patience).Should(BeNumerically(">", 0))
		Expect(n.loads[0].Incarnation).To(BeEquivalentTo(1))
		e.Crash()
		Eventually(func() int { return n.take().lost }, patience).Should(Equal(1))
		Consistently(func() int { return n.take().lost }, "50ms").Should(Equal(1), "said once")
		Expect(e.Start("")).To(Succeed())
		Eventually(func() wasabiridge.Incarnation {
			return n.take().loads[len(n.loads)-1].Incarnation
		}, patience).Should(BeEquivalentTo(2))
		Eventually(func() []wasabiridge.CacheEvent { return n.take().cache }, patience).Should(ContainElement(
			HaveField("Kind", wasabiridge.CacheCleared)))
	})

	// Story: an engine that serves well gets no request. It publishes no load,
	// and its 404 was taken for a sign that it is lost.
	It("does not take an engine without load reports for lost", func() {
		asked := make(chan string, 1024)
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			asked <- r.URL.Path
			w.WriteHeader(http.StatusNotFound)
		})
		n := watch(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url})
		for range 20 {
			Eventually(asked, patience).Should(Receive())
		}
		Expect(n.take().lost).To(BeZero())
		Expect(n.loads).To(BeEmpty())
	})

	It("speaks of blocks by the names that the router gave them", func() {
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
		Expect(ended.Usage.CachedTokens).To(BeZero(), "another salt shares nothing, whatever it names")
		Eventually(n.sequences, patience).Should(Equal([]uint64{1, 2, 3, 4}))
		Expect([]wasabiridge.BlockHash{n.cache[0].Block, n.cache[1].Block}).To(ConsistOf(
			wasabiridge.BlockHash(0xa), wasabiridge.BlockHash(0xb)))
	})

	// Story: the picture of a cache holds blocks that the engine evicted long
	// ago. Events were lost on the way; the gap in their numbers must show.
	It("shows lost events as a gap", func() {
		e := newEngine(small)
		n := watch(e.Backend())
		runner := newRunner(wasabibackend.Options{})
		run(runner, blocksOf(e.Backend(), 0xa))
		Eventually(n.sequences, patience).Should(HaveLen(1))
		e.LoseEvents(1)
		run(runner, blocksOf(e.Backend(), 0xb))
		run(runner, blocksOf(e.Backend(), 0xc))
		Eventually(n.sequences, patience).Should(Equal([]uint64{1, 3}))
	})

	// Story: after each short break of the network a router forgets which
	// cache entries it had seen and counts them again, or misses those of the
	// break.
	It("goes on behind the last event after a break", func() {
		const batch = "id: 1-%d\ndata: {\"incarnation\":1,\"sequence\":%d,\"events\":[{\"kind\":\"stored\",\"block\":\"a\"}]}\n\n"
		asked := make(chan string, 16)
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/cache/events" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			last := r.Header.Get("Last-Event-ID")
			select {
			case asked <- last:
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
		Eventually(n.sequences, patience).Should(Equal([]uint64{5, 6}))
		for _, want := range []string{"", "1-5", "1-6"} {
			Eventually(asked, patience).Should(Receive(Equal(want)))
		}
	})

	// Story: engines publish a hundred times the events that a router can
	// afford. Reading all of them takes its network; reading a part in order
	// gives it ever older news.
	It("keeps to its budget and skips to the newest events", func() {
		asked := make(chan string, 64)
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/cache/events" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			asked <- r.URL.RawQuery
			w.Header().Set("Content-Type", "text/event-stream")
			for sequence := 1; r.Context().Err() == nil; sequence++ {
				fmt.Fprintf(w, "id: 1-%d\ndata: {\"incarnation\":1,\"sequence\":%d,\"events\":[{\"kind\":\"cleared\"}]}\n\n", sequence, sequence)
			}
		})
		ring := wasabibackend.NewRing(1024)
		rests := make(chan wasabiridge.Millis, 64)
		intake := wasabibackend.NewIntake(wasabibackend.IntakeOptions{
			Clock: wasabiclock.System(), Ring: ring, EventBudget: 1000, LoadEvery: wasabiridge.Hour,
			Sleep: func(ctx context.Context, d wasabiridge.Millis) {
				if d < wasabiridge.Second {
					<-ctx.Done()
					return
				}
				rests <- d
			},
		})
		DeferCleanup(intake.Close)
		intake.Watch([]wasabiridge.BackendServer{{ID: "e", Kind: wasabiridge.BackendEngine, URL: url}})
		Eventually(asked, patience).Should(Receive(BeEmpty()))
		Eventually(asked, patience).Should(Receive(Equal("from=newest")))
		Eventually(rests, patience).Should(Receive(BeNumerically("~", 1050, 50)), "for a second's worth")
	})

	It("tells once that a server asks for no new work", func() {
		url := serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"incarnation":1,"age_ms":1000,"leaving":true}`))
		})
		n := watch(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url},
			wasabiridge.BackendServer{ID: "plain", Kind: wasabiridge.BackendService, URL: url})
		Eventually(func() int { return len(n.take().loads) }, patience).Should(BeNumerically(">", 3))
		Expect(n.leaves).To(Equal(1))
		Expect(n.loads).To(HaveEach(HaveField("Backend", wasabiridge.BackendServerID("e"))))
	})
})

// Story: a pool grows, and every router asks every engine twice a second until
// control takes more than the work.
var _ = Describe("questions for load", func() {
	It("are spread out when many servers are watched", func() {
		const servers = 50
		first, later := make(chan wasabiridge.Millis, servers), make(chan wasabiridge.Millis, servers)
		var slept sync.Map
		intake := wasabibackend.NewIntake(wasabibackend.IntakeOptions{
			Clock: wasabiclock.System(), Ring: wasabibackend.NewRing(servers), Questions: 10,
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
				Eventually(waits, patience).Should(Receive(&d))
				sum += d
			}
			return sum / servers
		}
		Expect(mean(first)).To(BeNumerically("~", 2250, 500), "drawn from 4.5 s")
		Expect(mean(later)).To(BeNumerically("~", 5000, 500), "50 servers at 10 a second")
	})
})

var _ = Describe("waits between attempts to reach a server", func() {
	It("double up to a bound, are drawn, and repeat with the seed", func() {
		waits := wasabibackend.Waits(1, "e", 12)
		Expect(wasabibackend.Waits(1, "e", 12)).To(Equal(waits))
		Expect(wasabibackend.Waits(2, "e", 12)).NotTo(Equal(waits), "instances do not come back together")
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
