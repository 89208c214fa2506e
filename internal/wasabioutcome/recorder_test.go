package wasabioutcome_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabioutcome"
)

var _ = Describe("Recorder", func() {
	// An instance shuts down in the middle of a write interval. The outcomes
	// since its last write must be in the store when Run returns.
	It("writes unwritten outcomes on graceful shutdown", func() {
		w := newEnvironment(wasabifault.Plan{})
		r := wasabioutcome.New(wasabioutcome.Options{Instance: "a", Incarnation: 1, Clock: w.clock, Store: w.store})
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx) }()
		for range 1000 {
			r.RecordOutcome(wasabiridge.Outcome{Account: "liftwell", At: noon, Disposition: wasabiridge.Ran})
		}
		stop()
		Eventually(done, "20s").Should(Receive(BeNil()))
		Expect(w.report().Total.Completed).To(Equal(uint64(1000)))
	})

	// Outcomes arrive faster than they are counted. The request path must not
	// block, so outcomes beyond the queue are dropped, and the coverage of the
	// report must show them as lost.
	It("counts outcomes that are dropped because the queue is full", func() {
		w := newEnvironment(wasabifault.Plan{})
		r := wasabioutcome.New(wasabioutcome.Options{Instance: "a", Incarnation: 1, Clock: w.clock, Store: w.store})
		for range 5000 {
			r.RecordOutcome(wasabiridge.Outcome{Account: "liftwell", At: noon})
		}
		ctx, stop := context.WithCancel(context.Background())
		stop()
		Expect(r.Run(ctx)).To(Succeed())
		report := w.report()
		Expect(report.Coverage.LostOutcomes).To(Equal(uint64(5000) - report.Total.Requests))
		Expect(report.Coverage.LostOutcomes).To(BeNumerically(">", 0))
	})
})

func FuzzDecodeWindow(f *testing.F) {
	good, err := wasabioutcome.EncodeWindow(wasabioutcome.Window{
		Format: 1, Instance: "a", Day: "2026-12-02", From: noon, To: noon + 1,
		Series: []wasabioutcome.SeriesData{{FirstToken: []wasabioutcome.Bucket{{200, 3}}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte("broken"))
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := wasabioutcome.DecodeWindow(data)
		if err != nil {
			return
		}
		if w.From > w.To || w.Day == "" {
			t.Fatalf("accepted an invalid window: %+v", w)
		}
		if err := wasabioutcome.ValidateWindow(w); err != nil {
			return
		}
		if _, err := wasabioutcome.EncodeWindow(w); err != nil {
			t.Fatalf("cannot encode a decoded window: %v", err)
		}
	})
}

// filledLedger returns a ledger with random outcomes of the given number of
// accounts.
func filledLedger(accounts int, requests int) *wasabioutcome.Ledger {
	random := rand.New(rand.NewPCG(1, 2))
	l := wasabioutcome.NewLedger(wasabioutcome.Options{Instance: "a", Incarnation: 1, MaxSeries: accounts}, noon, random)
	for i := range requests {
		l.Add(wasabiridge.Outcome{
			Account: wasabiridge.ClientAccountID(fmt.Sprintf("account-%05d", i%accounts)), Rule: "manuals", Model: "m", At: noon,
			FirstToken: wasabiridge.Millis(50 + random.ExpFloat64()*100), BetweenMicros: int64(20_000 + random.ExpFloat64()*5000),
			PromptTokens: 30_000, CachedTokens: 28_000, OutputTokens: 236, Disposition: wasabiridge.Ran,
		})
	}
	return l
}

// BenchmarkWindowMemory reports the heap that a window holds, by the number of
// accounts in it.
func BenchmarkWindowMemory(b *testing.B) {
	for _, accounts := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := filledLedger(accounts, accounts*200)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(l)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B-held")
		})
	}
}

func BenchmarkAdd(b *testing.B) {
	l := filledLedger(100, 10_000)
	o := wasabiridge.Outcome{Account: "account-00001", Rule: "manuals", Model: "m", At: noon, FirstToken: 120, BetweenMicros: 21_000}
	b.ReportAllocs()
	for b.Loop() {
		l.Add(o)
	}
}

// BenchmarkWrite measures one write of a window, by the number of accounts that
// the instance has served since midnight. 200 requests per account are the load
// of half a day at the targeted rate.
func BenchmarkWrite(b *testing.B) {
	for _, accounts := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			l := filledLedger(accounts, accounts*200)
			size := 0
			for b.Loop() {
				l.Seal(noon + wasabiridge.Hour)
				job, ready := l.Next(noon + wasabiridge.Hour)
				if !ready {
					b.Fatal("no job is due")
				}
				size = len(job.Data)
				l.Done(noon+wasabiridge.Hour, wasabioutcome.Result{Job: job, Err: context.Canceled})
			}
			interval := wasabioutcome.DefaultInterval.Duration().Seconds()
			b.ReportMetric(float64(size), "B/object")
			b.ReportMetric(float64(size)/interval, "B/s")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/interval, "core-share")
		})
	}
}
