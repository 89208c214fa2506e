package wasabitimeline_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabimetrics"
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

// BenchmarkPublishEach measures publishing every event in a message of its own,
// as it would be if requests published their events themselves.
func BenchmarkPublishEach(b *testing.B) {
	pubSub := wasabitimeline.NewPubSub()
	defer pubSub.Close()
	b.ReportAllocs()
	for b.Loop() {
		m := wasabitimeline.NewMessage(wasabitimeline.Batch{Events: []wasabiridge.TimelineEvent{sample}})
		if err := pubSub.Publish(wasabitimeline.EventsTopic, m); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPublishBatch measures publishing in batches, as Log.Follow does.
func BenchmarkPublishBatch(b *testing.B) {
	pubSub := wasabitimeline.NewPubSub()
	defer pubSub.Close()
	events := slices.Repeat([]wasabiridge.TimelineEvent{sample}, 512)
	b.ReportAllocs()
	for b.Loop() {
		m := wasabitimeline.NewMessage(wasabitimeline.Batch{Events: slices.Clone(events)})
		if err := pubSub.Publish(wasabitimeline.EventsTopic, m); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(events)), "ns/event")
}

// BenchmarkEncodeBatch measures the JSON encoding that Log.Follow would need if
// messages carried encoded events.
func BenchmarkEncodeBatch(b *testing.B) {
	events := slices.Repeat([]wasabiridge.TimelineEvent{sample}, 512)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := json.Marshal(events); err != nil {
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

// BenchmarkSecond measures the events of one second of requests, six per
// request: recording, publishing and counting them in the metrics. It also
// reports the heap that the time line holds.
func BenchmarkSecond(b *testing.B) {
	for _, requests := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(requests), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := systemLog(0)
			pubSub := wasabitimeline.NewPubSub()
			defer pubSub.Close()
			set := wasabimetrics.New()
			messages, err := pubSub.Subscribe(context.Background(), wasabitimeline.EventsTopic)
			if err != nil {
				b.Fatal(err)
			}
			go set.Watch(context.Background(), messages)
			e := sample
			for b.Loop() {
				batch := wasabitimeline.Batch{}
				for i := range requests {
					e.Request = wasabiridge.RequestID("pos-1-mx6fs4mq-" + strconv.Itoa(i))
					for range 6 {
						l.Record(e)
						batch.Events = append(batch.Events, e)
					}
				}
				if err := pubSub.Publish(wasabitimeline.EventsTopic, wasabitimeline.NewMessage(batch)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N), "core-share")
			for i := range wasabitimeline.DefaultCapacity {
				e.Request = wasabiridge.RequestID("pos-1-mx6fs4mq-" + strconv.Itoa(i/6))
				l.Record(e)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B-held")
			runtime.KeepAlive(l)
		})
	}
}
