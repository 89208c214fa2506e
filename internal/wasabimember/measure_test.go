package wasabimember_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabimember"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// Bytes on the wire per exchange besides its two heartbeats, from
// BenchmarkExchange of package wasabipeer: 377 bytes with a shared key and 420
// with TLS, less two heartbeats of 49 bytes.
const (
	overheadKey = 377 - 2*49
	overheadTLS = 420 - 2*49
)

const (
	measuredSeeds  = 5
	measuredDeaths = 8
	measuredSpan   = 30 * wasabiridge.Second
)

var measuredSizes = []int{9, 90, 370}

// BenchmarkMembers measures, in virtual time with a tenth of the messages lost,
// how long it takes until all instances have detected a death, and what an
// instance sends and receives while nothing changes.
func BenchmarkMembers(b *testing.B) {
	for _, size := range measuredSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measure(b, size)
			}
		})
	}
}

func measure(b *testing.B, size int) {
	var took []wasabiridge.Millis
	messages, bytes, most := 0, 0, 0
	for seed := range uint64(measuredSeeds) {
		d := newDriver(size, wasabitest.Seed+seed, tenPercent)
		d.settle(NewWithT(b))
		d.measure = true
		for _, n := range d.instances {
			n.messages, n.bytes = 0, 0
		}
		d.run(measuredSpan)
		for _, n := range d.instances {
			messages += n.messages
			bytes += n.bytes
			most = max(most, n.messages*overheadKey/2+n.bytes)
		}
		d.measure = false
		for i := range min(measuredDeaths, size/2) {
			d.run(wasabiridge.Millis(d.random.Int64N(int64(wasabiridge.Second))))
			d.instances[i].down = true
			took = append(took, d.runUntil(d.now+wasabiridge.Minute, func() bool { return d.sees(size - i - 1) }))
			d.run(10 * wasabiridge.Second)
		}
	}
	slices.Sort(took)
	seconds := float64(measuredSeeds * size * int(measuredSpan/wasabiridge.Second))
	b.ReportMetric(float64(took[len(took)/2]), "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100]), "p99-ms")
	b.ReportMetric(float64(took[len(took)-1]), "max-ms")
	b.ReportMetric(float64(messages)/seconds, "messages/s")
	b.ReportMetric(float64(bytes)/seconds, "payload-B/s")
	b.ReportMetric((float64(bytes)+float64(messages)*overheadKey/2)/seconds, "wire-key-B/s")
	b.ReportMetric((float64(bytes)+float64(messages)*overheadTLS/2)/seconds, "wire-tls-B/s")
	b.ReportMetric(float64(most)/(float64(measuredSpan)/float64(wasabiridge.Second)), "wire-key-most-B/s")
}

// BenchmarkConfigNews measures how long a new version of the configuration
// takes to be announced to all instances and fetched by them. A fetch takes 10
// ms; either none or one in five takes a second longer.
func BenchmarkConfigNews(b *testing.B) {
	const changes = 100
	for _, size := range measuredSizes {
		for _, late := range []float64{0, 0.2} {
			b.Run(fmt.Sprintf("%d/late=%.1f", size, late), func(b *testing.B) {
				for b.Loop() {
					d := newDriver(size, wasabitest.Seed, tenPercent)
					d.settle(NewWithT(b))
					d.lateFetches = late
					var took []wasabiridge.Millis
					for i := range changes {
						took = append(took, d.changeConfig(i%size, wasabiridge.ConfigVersion(i+1)))
					}
					slices.Sort(took)
					b.ReportMetric(float64(took[len(took)/2]), "p50-ms")
					b.ReportMetric(float64(took[len(took)*99/100-1]), "p99-ms")
					b.ReportMetric(float64(took[len(took)-1]), "max-ms")
				}
			})
		}
	}
}

// changeConfig waits for half a minute, brings a version into force at one
// instance, and returns how long it takes until all instances have it.
func (d *driver) changeConfig(i int, v wasabiridge.ConfigVersion) wasabiridge.Millis {
	d.run(30*wasabiridge.Second + wasabiridge.Millis(d.random.Int64N(int64(wasabiridge.Second))))
	d.instances[i].config = v
	d.post(i, wasabimember.ConfigChanged{Version: v}, 0)
	return d.runUntil(d.now+wasabiridge.Minute, func() bool {
		return len(d.others(func(n *simInstance) bool { return n.machine.Config() == v })) == 0
	})
}

// BenchmarkMachine measures the processing time of the machine for one second
// of operation: its ticks and the heartbeats that it receives and answers.
func BenchmarkMachine(b *testing.B) {
	for _, size := range measuredSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			RegisterTestingT(b)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := newDriver(size, wasabitest.Seed, 0)
			d.settle(NewWithT(b))
			runtime.GC()
			runtime.ReadMemStats(&after)
			m, now := d.instances[0].machine, d.now
			h := wasabiridge.Heartbeat{From: m.Members()[0], Digest: 1}
			for _, e := range m.Handle(now, wasabimember.HeartbeatReceived{Heartbeat: h}) {
				if r, ok := e.(wasabimember.Reply); ok {
					h.Digest = r.Heartbeat.Digest
				}
			}
			b.ResetTimer()
			for range b.N {
				for range 20 {
					now += 50
					m.Handle(now, wasabimember.Ticked{})
				}
				for range 3 {
					m.Handle(now, wasabimember.HeartbeatReceived{Heartbeat: h})
					m.Handle(now, wasabimember.ResponseReceived{Heartbeat: h})
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/instance")
		})
	}
}
