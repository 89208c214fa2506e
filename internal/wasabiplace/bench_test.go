package wasabiplace_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

const (
	benchLevels    = 100_000
	benchBlocks    = 16
	benchChains    = benchLevels / benchBlocks
	holdersPerDoc  = 3
	benchBlockSize = 2048
)

// benchFixture is a placer that knows benchLevels prefix levels in a pool of
// the given size.
type benchFixture struct {
	placer *wasabiplace.Placer
	pool   wasabiridge.Pool
	chains []wasabiridge.Chain
}

func newBenchFixture(replicas int) *benchFixture {
	random := rand.New(rand.NewPCG(wasabitest.Seed, 1))
	w := &benchFixture{placer: wasabiplace.New(wasabiplace.Options{Seed: 1}), pool: benchPool(replicas)}
	for range benchChains {
		c := wasabiridge.Chain{BlockTokens: benchBlockSize, Tokens: benchBlocks*benchBlockSize + 300}
		for range benchBlocks {
			c.Blocks = append(c.Blocks, wasabiridge.BlockHash(random.Uint64()))
		}
		w.chains = append(w.chains, c)
	}
	sequence := make([]uint64, replicas)
	for _, c := range w.chains {
		for range holdersPerDoc {
			s := random.IntN(replicas)
			var events []wasabiridge.CacheEvent
			for _, b := range c.Blocks {
				sequence[s]++
				events = append(events, wasabiridge.CacheEvent{
					Backend: w.pool.Backends[s].ID, Incarnation: 1, Sequence: sequence[s], Block: b,
				})
			}
			w.placer.Observe(1000, wasabiridge.CacheChanged{Events: events})
		}
	}
	return w
}

func benchPool(replicas int) wasabiridge.Pool {
	pool := wasabiridge.Pool{ID: "answer"}
	for i := range replicas {
		pool.Backends = append(pool.Backends, wasabiridge.BackendServer{
			ID:    wasabiridge.BackendServerID(fmt.Sprintf("answer-%d", i)),
			Kind:  wasabiridge.BackendEngine,
			Slots: 64,
		})
	}
	return pool
}

// step runs one request through its placement, first token and end. It returns
// the time of the placement.
func (w *benchFixture) step(i int, now wasabiridge.Millis) time.Duration {
	r := wasabiridge.Request{Chain: w.chains[i*7919%len(w.chains)], Action: wasabiridge.Action{Pool: w.pool.ID}}
	id := wasabiridge.AttemptID(i + 1)
	start := time.Now()
	p, _ := w.placer.Place(now, wasabiridge.PlaceQuery{Request: r, Pool: w.pool})
	took := time.Since(start)
	w.placer.Sent(now, r, id, p)
	w.placer.Observe(now+20, wasabiridge.AttemptFirstToken{Attempt: id})
	w.placer.Observe(now+40, wasabiridge.AttemptEnded{Attempt: id, Usage: wasabiridge.Usage{
		PromptTokens: r.Chain.Tokens, CachedTokens: p.ClaimedTokens, Incarnation: 1,
	}})
	return took
}

func BenchmarkPlace(b *testing.B) {
	for _, replicas := range []int{16, 160, 1600} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			w := newBenchFixture(replicas)
			for i := range benchChains {
				w.step(i, wasabiridge.Millis(2000))
			}
			took := make([]time.Duration, 0, 1<<20)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				d := w.step(i, wasabiridge.Millis(2000+i/1000))
				if len(took) < cap(took) {
					took = append(took, d)
				}
				i++
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100]), "p99-place-ns")
			b.ReportMetric(float64(took[len(took)/2]), "p50-place-ns")
		})
	}
}

// BenchmarkMemory reports the heap size of a placer after 64 decisions per
// server.
func BenchmarkMemory(b *testing.B) {
	for _, replicas := range []int{16, 160, 1600} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				w := &benchFixture{pool: benchPool(replicas), chains: []wasabiridge.Chain{{BlockTokens: benchBlockSize}}}
				runtime.GC()
				runtime.ReadMemStats(&before)
				w.placer = wasabiplace.New(wasabiplace.Options{Seed: 1})
				for i := range 64 * replicas {
					w.step(i, wasabiridge.Millis(2000+i))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
				runtime.KeepAlive(w)
			}
		})
	}
}
