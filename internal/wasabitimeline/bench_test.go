package wasabitimeline_test

import (
	"fmt"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

var sample = wasabiridge.TimelineEvent{
	Kind: wasabiridge.EventPlaced, Request: "01JDXK4T7Q2M", Attempt: 17, Account: "liftwell",
	Rule: "manuals", Backend: "answer-3", Cause: "holder", Value: 28_672,
}

func systemLog(capacity int) *wasabitimeline.Log {
	return wasabitimeline.New(wasabitimeline.Options{Instance: "pos-1", Clock: wasabiclock.System(), Capacity: capacity})
}

func BenchmarkRecord(b *testing.B) {
	l := systemLog(0)
	b.ReportAllocs()
	for b.Loop() {
		l.Record(sample)
	}
}

func BenchmarkRecordParallel(b *testing.B) {
	l := systemLog(0)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Record(sample)
		}
	})
}

// BenchmarkPublishEach is what publishing on the path of a request would cost
// for each event.
func BenchmarkPublishEach(b *testing.B) {
	pubSub := wasabitimeline.NewPubSub()
	defer pubSub.Close()
	b.ReportAllocs()
	for b.Loop() {
		m, err := wasabitimeline.Encode([]wasabiridge.TimelineEvent{sample}, 0)
		if err != nil {
			b.Fatal(err)
		}
		if err := pubSub.Publish(wasabitimeline.Topic, m); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEncodeBatch is what the following goroutine spends on an event.
func BenchmarkEncodeBatch(b *testing.B) {
	events := make([]wasabiridge.TimelineEvent, 512)
	for i := range events {
		events[i] = sample
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := wasabitimeline.Encode(events, 0); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(events)), "ns/event")
}

func BenchmarkPage(b *testing.B) {
	for _, capacity := range []int{1 << 12, 1 << 14, 1 << 16} {
		b.Run(fmt.Sprint(capacity), func(b *testing.B) {
			l := systemLog(capacity)
			for range capacity {
				l.Record(sample)
			}
			for b.Loop() {
				l.Page(wasabiridge.TimelineQuery{Request: "other"})
			}
		})
	}
}
