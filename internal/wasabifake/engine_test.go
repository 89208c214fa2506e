package wasabifake_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestFake(t *testing.T) {
	wasabitest.Run(t, "fake")
}

func job(id wasabiridge.AttemptID, blocks ...wasabiridge.BlockHash) wasabifake.Job {
	return wasabifake.Job{
		Attempt: id, OutputTokens: 10,
		Chain: wasabiridge.Chain{Blocks: blocks, BlockTokens: 2048, Tokens: 2048 * len(blocks)},
	}
}

var _ = Describe("Engine", func() {
	var e *wasabifake.Engine
	BeforeEach(func() {
		e = wasabifake.NewEngine(wasabifake.Spec{ID: "e", CacheBlocks: 3, Slots: 2, QueueLimit: 2, Prefill: 100, Decode: 10})
	})

	It("computes only uncached blocks and decodes concurrently", func() {
		Expect(e.Submit(0, job(1, 10, 11))).To(BeTrue())
		Expect(e.Submit(0, job(2, 10, 12))).To(BeTrue())
		var first []wasabiridge.Millis
		var cached []int
		for _, out := range e.Advance(1000) {
			if out.Kind == wasabifake.FirstToken {
				first = append(first, out.At)
				cached = append(cached, out.Usage.CachedTokens)
			}
		}
		Expect(first).To(Equal([]wasabiridge.Millis{200, 300}))
		Expect(cached).To(Equal([]int{0, 2048}))
		_, busy := e.NextAt()
		Expect(busy).To(BeFalse())
	})

	It("evicts the least recently used block, leaves first, with a cache event", func() {
		e.Submit(0, job(1, 10, 11))
		e.Advance(1000)
		e.Submit(1000, job(2, 20, 21))
		e.Advance(2000)
		Expect(e.CachedTokens(job(0, 10, 11).Chain)).To(Equal(2048))
		Expect(e.CachedTokens(job(0, 20, 21).Chain)).To(Equal(4096))
		events := e.TakeEvents()
		Expect(events).To(HaveLen(5))
		Expect(events[4]).To(Equal(wasabiridge.CacheEvent{
			Backend: "e", Incarnation: 1, Sequence: 5, Kind: wasabiridge.BlockEvicted, Block: 11,
		}))
	})

	It("refuses jobs when its queue is full and serves higher priorities first", func() {
		high := job(4, 40)
		high.Priority = 1
		Expect(e.Submit(0, job(1, 10))).To(BeTrue())
		Expect(e.Submit(0, job(2, 20))).To(BeTrue())
		Expect(e.Submit(0, high)).To(BeTrue())
		Expect(e.Submit(0, job(3, 30))).To(BeFalse())
		var order []wasabiridge.AttemptID
		for _, out := range e.Advance(5000) {
			if out.Kind == wasabifake.Started {
				order = append(order, out.Job.Attempt)
			}
		}
		Expect(order).To(Equal([]wasabiridge.AttemptID{1, 4, 2}))
	})

	It("restarts as a new incarnation with an empty cache after a crash", func() {
		e.Submit(0, job(1, 10))
		e.Submit(0, job(2, 20))
		lost := e.Crash(150)
		Expect(lost).To(HaveLen(2))
		Expect(lost[0].Job.Attempt).To(Equal(wasabiridge.AttemptID(2)))
		Expect(lost[1].Produced).To(Equal(3))
		Expect(e.Submit(160, job(3, 10))).To(BeFalse())
		e.Restart()
		Expect(e.Incarnation()).To(Equal(wasabiridge.Incarnation(2)))
		Expect(e.CachedTokens(job(0, 10).Chain)).To(BeZero())
		Expect(e.TakeEvents()).To(ConsistOf(HaveField("Kind", wasabiridge.CacheCleared)))
	})

	It("stops a cancelled job and starts the next one", func() {
		e.Submit(0, job(1, 10))
		e.Submit(0, job(2, 20))
		Expect(e.Cancel(50, 1)).To(BeTrue())
		Expect(e.Cancel(50, 1)).To(BeFalse())
		report := e.Load(60)
		Expect(report.Running).To(Equal(1))
		Expect(report.Waiting).To(BeZero())
		Expect(e.CachedTokens(job(0, 10).Chain)).To(BeZero())
	})

	It("forecasts the waiting time and cached tokens of a prompt", func() {
		e.Submit(0, job(1, 10, 11))
		wait, cached := e.Forecast(50, job(0, 10, 11, 12).Chain)
		Expect(wait).To(Equal(wasabiridge.Millis(150)))
		Expect(cached).To(Equal(4096))
	})
})
