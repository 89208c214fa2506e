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

// BenchmarkSpread measures the time until a version is in force everywhere,
// in virtual milliseconds, and the messages that it costs. One iteration is
// one change under its own seed.
func BenchmarkSpread(b *testing.B) {
	for _, instances := range []int{9, 40, 120, 370} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			var spans []wasabiridge.Millis
			messages := 0
			for seed := range uint64(b.N) {
				s := newSpread(seed, instances, loss)
				s.put(text("first"), 0, true)
				s.runUntil(wasabiridge.Minute, s.everywhere)
				s.runUntil(s.now+5*wasabiridge.Second+s.upTo(3000), never)
				start, before := s.now, s.beats+s.fetches+s.documents
				s.put(text("second"), 0, true)
				s.runUntil(start+wasabiridge.Minute, s.everywhere)
				spans = append(spans, s.now-start)
				s.runUntil(start+5*wasabiridge.Second, never)
				messages += s.beats + s.fetches + s.documents - before - 10*instances
			}
			sort.Slice(spans, func(i, j int) bool { return spans[i] < spans[j] })
			b.ReportMetric(percentile(spans, 0.5), "p50_ms")
			b.ReportMetric(percentile(spans, 0.99), "p99_ms")
			b.ReportMetric(percentile(spans, 1), "max_ms")
			b.ReportMetric(float64(messages)/float64(b.N)/float64(instances), "messages/instance/change")
		})
	}
}

// BenchmarkAdopt measures what one change costs an instance by the number of
// client accounts: reading and checking the whole text, and its length.
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
