package wasabicache_test

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestCache(t *testing.T) {
	wasabitest.Run(t, "cache")
}

const (
	start  wasabiridge.Millis = 1_000_000
	second                    = wasabiridge.Second
)

func chain(blocks ...wasabiridge.BlockHash) wasabiridge.Chain {
	return wasabiridge.Chain{Blocks: blocks, BlockTokens: 100, Tokens: 100 * len(blocks)}
}

func event(sequence uint64, kind wasabiridge.CacheEventKind, b wasabiridge.BlockHash) wasabiridge.CacheEvent {
	return wasabiridge.CacheEvent{Backend: "e", Incarnation: 1, Sequence: sequence, Kind: kind, Block: b}
}

var _ = Describe("The estimate of a cache", func() {
	var (
		p *wasabicache.Index
		e wasabicache.ServerIndex
	)
	document := chain(11, 12, 13, 14)
	tokens := func(now wasabiridge.Millis, c wasabiridge.Chain) float64 {
		for _, hit := range p.Hits(now, c) {
			if hit.Server == e {
				return hit.Tokens
			}
		}
		return 0
	}
	stored := func(now wasabiridge.Millis, from, to uint64) {
		for s := from; s <= to; s++ {
			p.ApplyEvent(now, event(s, wasabiridge.BlockStored, wasabiridge.BlockHash(10+s)))
		}
	}
	BeforeEach(func() {
		p = wasabicache.New(wasabicache.Options{})
		e = p.Server("e")
		p.UpdateIncarnation(e, 1, 1)
	})

	DescribeTable("drops blocks that the engine may no longer hold:", func(change func(), want float64) {
		p.MarkHeld(start, e, document, 4)
		change()
		Expect(tokens(start, document)).To(BeNumerically("~", want, 1))
	},
		Entry("no change", func() {}, 400.0),
		Entry("new incarnation", func() { p.UpdateIncarnation(e, 2, 1) }, 0.0),
		Entry("new weights", func() { p.UpdateIncarnation(e, 1, 2) }, 0.0),
		Entry("report from an earlier incarnation", func() { Expect(p.UpdateIncarnation(e, 0, 1)).To(BeTrue()) }, 400.0),
		Entry("cleared cache", func() { p.ApplyEvent(start, event(1, wasabiridge.CacheCleared, 0)) }, 0.0),
		Entry("evicted leaf", func() { p.ApplyEvent(start, event(1, wasabiridge.BlockEvicted, 14)) }, 300.0),
		Entry("evicted root", func() { p.ApplyEvent(start, event(1, wasabiridge.BlockEvicted, 11)) }, 0.0),
		Entry("failed attempt", func() { p.MarkMissing(e, document, 1) }, 100.0),
		Entry("pause longer than the range of ticks", func() {
			p.Tick(start)
			p.Tick(start + 2*wasabiridge.Hour)
		}, 0.0),
	)

	DescribeTable("estimates the probability of blocks that were stored 40 s ago:", func(change func(), low, high float64) {
		stored(start, 1, 4)
		change()
		Expect(tokens(start+40*second, document)).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
	},
		Entry("low after a few events without gaps", func() { stored(start+39*second, 5, 8) }, 20.0, 60.0),
		Entry("high after many events without gaps", func() {
			for s := uint64(5); s < 400; s++ {
				p.ApplyEvent(start+39*second, event(s, wasabiridge.BlockStored, wasabiridge.BlockHash(10+s)))
			}
		}, 200.0, 400.0),
		Entry("very low after a long gap", func() { stored(start+39*second, 100, 104) }, 0.0, 10.0),
		Entry("very low while an event is overdue", func() { p.ExpectEvent(start+second, e) }, 0.0, 10.0),
	)

	// An engine with a small cache evicts blocks within two seconds. With a fixed
	// lifetime, requests would still be sent there for a prefix that it computed ten
	// seconds ago, and callers would wait until it is computed again.
	It("learns the block lifetime from answers", func() {
		for i := range 60 {
			at := start + wasabiridge.Millis(i)*4*second
			p.MarkHeld(at, e, document, 4)
			p.RecordAnswer(at+4*second, e, p.Estimate(at+4*second, e, document), 0)
		}
		Expect(p.Lifetime(e)).To(BeNumerically("<", 5*second))
		before := p.Lifetime(e)
		for i := range 200 {
			at := start + wasabiridge.Millis(1000+i)*4*second
			p.MarkHeld(at, e, document, 4)
			p.RecordAnswer(at+2*second, e, p.Estimate(at+2*second, e, document), 4)
		}
		Expect(p.Lifetime(e)).To(BeNumerically(">", before))
	})

	It("keeps to the maximum number of blocks and evicts old ones first", func() {
		p = wasabicache.New(wasabicache.Options{MaxBlocks: 100})
		e = p.Server("e")
		for i := range 1000 {
			p.MarkHeld(start+wasabiridge.Millis(i)*100, e, chain(wasabiridge.BlockHash(i+1)), 1)
		}
		Expect(p.Len()).To(Equal(100))
		Expect(tokens(start+100*second, chain(1000))).To(BeNumerically(">", 50))
	})

	// More engines hold a popular prefix than its entries can list. A request that
	// extends the prefix must be sent to an engine that holds the extension too, although
	// the entries of the prefix do not list that engine.
	It("takes a holder of a later block as a holder of earlier blocks whose entries are full", func() {
		p.MarkHeld(start, e, document, 4)
		for _, id := range []wasabiridge.BackendServerID{"a", "b", "c", "d", "f", "g", "h"} {
			p.MarkHeld(start+second, p.Server(id), document, 2)
		}
		Expect(tokens(start+second, document)).To(BeNumerically("~", 400, 1))
	})

	It("removes blocks without holders and requests", func() {
		p.MarkHeld(start, e, document, 4)
		p.UpdateIncarnation(e, 2, 1)
		for at := start; at < start+10*wasabiridge.Minute; at += 50 {
			p.Tick(at)
		}
		Expect(p.Len()).To(BeZero())
	})

	It("does not attribute old entries to a reused generation number", func() {
		p.MarkHeld(start, e, document, 4)
		for i := range wasabiridge.Incarnation(70_000) {
			p.UpdateIncarnation(e, i+2, 1)
			if i%1000 == 0 {
				p.MarkHeld(start, e, chain(wasabiridge.BlockHash(i+100)), 1)
			}
			Expect(p.Hits(start, document)).To(BeEmpty())
		}
	})
})

func filled(levels int) *wasabicache.Index {
	p := wasabicache.New(wasabicache.Options{})
	s := p.Server("e")
	for i := range levels {
		p.MarkHeld(start, s, chain(wasabiridge.BlockHash((i+1)*0x1234567)), 1)
	}
	return p
}

// BenchmarkMemory reports the heap memory per block.
func BenchmarkMemory(b *testing.B) {
	for _, levels := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("levels=%d", levels), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := filled(levels)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(levels), "B/level")
				runtime.KeepAlive(p)
			}
		})
	}
}

// BenchmarkTick reports the time of one Tick, which runs every 50 ms.
func BenchmarkTick(b *testing.B) {
	for _, levels := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("levels=%d", levels), func(b *testing.B) {
			p := filled(levels)
			for b.Loop() {
				p.Tick(start)
			}
		})
	}
}

// BenchmarkAudit reports the time to process one cache event.
func BenchmarkAudit(b *testing.B) {
	for _, levels := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("levels=%d", levels), func(b *testing.B) {
			p := wasabicache.New(wasabicache.Options{})
			e := event(1, wasabiridge.BlockStored, 0)
			b.ReportAllocs()
			for b.Loop() {
				e.Block = wasabiridge.BlockHash((e.Sequence%uint64(levels) + 1) * 0x9e3779b97f4a7c15)
				e.Kind = wasabiridge.CacheEventKind(e.Sequence / uint64(levels) % 2)
				p.ApplyEvent(start, e)
				e.Sequence++
			}
		})
	}
}
