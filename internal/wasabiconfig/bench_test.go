package wasabiconfig_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconfig"
)

func percentile(sorted []wasabiridge.Millis, p float64) float64 {
	return float64(sorted[min(len(sorted)-1, int(p*float64(len(sorted))))])
}

// BenchmarkSpread measures the time until a version is in force at all instances, in
// virtual milliseconds, and the traffic in addition to the regular heartbeats. One
// iteration is one change under its own seed.
func BenchmarkSpread(b *testing.B) {
	for _, instances := range []int{9, 40, 120, 370} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			var spans []wasabiridge.Millis
			var idle, change cost
			for seed := range uint64(b.N) {
				s := newSimulation(seed, instances, loss)
				s.put(text("first"), 0, true)
				s.runUntil(wasabiridge.Minute, s.converged)
				s.runUntil(s.now+10*wasabiridge.Second+s.upTo(3000), never)
				s.measure = true
				idle.add(s, func() { s.runUntil(s.now+costSpan, never) })
				change.add(s, func() {
					start := s.now
					s.put(text("second"), 0, true)
					s.runUntil(start+wasabiridge.Minute, s.converged)
					spans = append(spans, s.now-start)
					s.runUntil(start+costSpan, never)
				})
			}
			sort.Slice(spans, func(i, j int) bool { return spans[i] < spans[j] })
			instanceRuns := float64(b.N) * float64(instances)
			b.ReportMetric(percentile(spans, 0.5), "p50_ms")
			b.ReportMetric(percentile(spans, 0.99), "p99_ms")
			b.ReportMetric(percentile(spans, 1), "max_ms")
			b.ReportMetric(float64(idle.heartbeats)/instanceRuns/costSpan.Duration().Seconds(), "quiet_messages/s")
			b.ReportMetric(float64(idle.bytes)/instanceRuns/costSpan.Duration().Seconds(), "quiet_B/s")
			b.ReportMetric(float64(change.heartbeats-idle.heartbeats)/instanceRuns, "messages/change")
			b.ReportMetric(float64(change.bytes-idle.bytes)/instanceRuns, "heartbeat_B/change")
			b.ReportMetric(float64(change.documents-idle.documents)/instanceRuns, "documents/change")
		})
	}
}

// costSpan is how long messages are counted after a change, and without one.
const costSpan = 10 * wasabiridge.Second

type cost struct{ heartbeats, bytes, documents int }

func (c *cost) add(s *simulation, run func()) {
	before := cost{s.heartbeats, s.bytes, s.documents}
	run()
	c.heartbeats += s.heartbeats - before.heartbeats
	c.bytes += s.bytes - before.bytes
	c.documents += s.documents - before.documents
}

// BenchmarkAdopt measures the cost of one change at an instance by the number of client
// accounts: parsing and checking the complete text, and its length.
func BenchmarkAdopt(b *testing.B) {
	for _, accounts := range []int{8, 100, 400, 1200} {
		var list strings.Builder
		for i := range accounts {
			fmt.Fprintf(&list, `{"id": "account-%d", "key_hashes": ["%064x"], "pools": ["answers"]},`, i, i)
		}
		body := strings.Replace(text("a"), `"accounts": [`, `"accounts": [`+list.String(), 1)
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m := wasabiconfig.NewMachine(1)
				m.Handle(0, wasabiconfig.Accepted{Document: wasabiridge.ConfigDocument{Version: 1, Text: []byte(body)}})
				if m.Version() != 1 {
					b.Fatal("refused")
				}
			}
			b.ReportMetric(float64(len(body)), "text_bytes")
		})
	}
}
