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

var _ = Describe("picture", func() {
	var (
		p *wasabicache.Picture
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
			p.Audit(now, event(s, wasabiridge.BlockStored, wasabiridge.BlockHash(10+s)))
		}
	}
	BeforeEach(func() {
		p = wasabicache.New(wasabicache.Options{})
		e = p.Server("e")
		p.Reborn(e, 1, 1)
	})

	DescribeTable("drops what cannot be relied on", func(news func(), want float64) {
		p.Touch(start, e, document, 4)
		news()
		Expect(tokens(start, document)).To(BeNumerically("~", want, 1))
	},
		Entry("nothing happened", func() {}, 400.0),
		Entry("new incarnation", func() { p.Reborn(e, 2, 1) }, 0.0),
		Entry("new weights", func() { p.Reborn(e, 1, 2) }, 0.0),
		Entry("news of an earlier incarnation", func() { Expect(p.Reborn(e, 0, 1)).To(BeTrue()) }, 400.0),
		Entry("cleared cache", func() { p.Audit(start, event(1, wasabiridge.CacheCleared, 0)) }, 0.0),
		Entry("evicted leaf", func() { p.Audit(start, event(1, wasabiridge.BlockEvicted, 14)) }, 300.0),
		Entry("evicted root", func() { p.Audit(start, event(1, wasabiridge.BlockEvicted, 11)) }, 0.0),
		Entry("failed attempt", func() { p.Forget(e, document, 1) }, 100.0),
		Entry("pause longer than ticks last", func() {
			p.Tick(start)
			p.Tick(start + 2*wasabiridge.Hour)
		}, 0.0),
	)

	DescribeTable("believes an entry that was stored 40 s ago", func(news func(), low, high float64) {
		stored(start, 1, 4)
		news()
		Expect(tokens(start+40*second, document)).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
	},
		Entry("while the stream is whole", func() { stored(start+39*second, 5, 8) }, 20.0, 60.0),
		Entry("while a whole stream has lasted", func() {
			for s := uint64(5); s < 400; s++ {
				p.Audit(start+39*second, event(s, wasabiridge.BlockStored, wasabiridge.BlockHash(10+s)))
			}
		}, 200.0, 400.0),
		Entry("little after a long gap", func() { stored(start+39*second, 100, 104) }, 0.0, 10.0),
		Entry("little when an event is overdue", func() { p.Expect(start+second, e) }, 0.0, 10.0),
	)

	// Story: an engine with a small cache evicts within two seconds, but a
	// request is sent there for a manual that it read ten seconds ago, and the
	// technician waits for the whole manual to be read again. The cause is a
	// lifetime that is assumed and never learned.
	It("learns the block lifetime from answers", func() {
		for i := range 60 {
			at := start + wasabiridge.Millis(i)*4*second
			p.Touch(at, e, document, 4)
			p.Answered(at+4*second, e, p.Believe(at+4*second, e, document), 0)
		}
		Expect(p.Lifetime(e)).To(BeNumerically("<", 5*second))
		before := p.Lifetime(e)
		for i := range 200 {
			at := start + wasabiridge.Millis(1000+i)*4*second
			p.Touch(at, e, document, 4)
			p.Answered(at+2*second, e, p.Believe(at+2*second, e, document), 4)
		}
		Expect(p.Lifetime(e)).To(BeNumerically(">", before))
	})

	It("keeps within its bound and gives up old levels first", func() {
		p = wasabicache.New(wasabicache.Options{MaxLevels: 100})
		e = p.Server("e")
		for i := range 1000 {
			p.Touch(start+wasabiridge.Millis(i)*100, e, chain(wasabiridge.BlockHash(i+1)), 1)
		}
		Expect(p.Levels()).To(Equal(100))
		Expect(tokens(start+100*second, chain(1000))).To(BeNumerically(">", 50))
	})

	// Story: a manual is so hot that more engines hold it than an entry can
	// name. A request for one lift's history goes to an engine that holds
	// manual and history, although the manual's entry does not name it.
	It("trusts a deep level when the levels above name too few holders", func() {
		p.Touch(start, e, document, 4)
		for _, id := range []wasabiridge.BackendServerID{"a", "b", "c", "d", "f", "g", "h"} {
			p.Touch(start+second, p.Server(id), document, 2)
		}
		Expect(tokens(start+second, document)).To(BeNumerically("~", 400, 1))
	})

	It("removes what nobody holds or asks for", func() {
		p.Touch(start, e, document, 4)
		p.Reborn(e, 2, 1)
		for at := start; at < start+10*wasabiridge.Minute; at += 50 {
			p.Tick(at)
		}
		Expect(p.Levels()).To(BeZero())
	})

	It("never lets a used number of a life claim old entries", func() {
		p.Touch(start, e, document, 4)
		for i := range wasabiridge.Incarnation(70_000) {
			p.Reborn(e, i+2, 1)
			if i%1000 == 0 {
				p.Touch(start, e, chain(wasabiridge.BlockHash(i+100)), 1)
			}
			Expect(p.Hits(start, document)).To(BeEmpty())
		}
	})
})

func filled(levels int) *wasabicache.Picture {
	p := wasabicache.New(wasabicache.Options{})
	s := p.Server("e")
	for i := range levels {
		p.Touch(start, s, chain(wasabiridge.BlockHash((i+1)*0x1234567)), 1)
	}
	return p
}

// BenchmarkMemory reports the heap that known levels take.
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

// BenchmarkTick reports the time of the cleaning that is due each 50 ms.
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

// BenchmarkAudit reports the time to take one cache event.
func BenchmarkAudit(b *testing.B) {
	for _, levels := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("levels=%d", levels), func(b *testing.B) {
			p := wasabicache.New(wasabicache.Options{})
			e := event(1, wasabiridge.BlockStored, 0)
			b.ReportAllocs()
			for b.Loop() {
				e.Block = wasabiridge.BlockHash((e.Sequence%uint64(levels) + 1) * 0x9e3779b97f4a7c15)
				e.Kind = wasabiridge.CacheEventKind(e.Sequence / uint64(levels) % 2)
				p.Audit(start, e)
				e.Sequence++
			}
		})
	}
}
