package wasabicatalog_test

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
)

// BenchmarkList measures, at an instance that receives the list from another one, the memory of
// an entry, the bytes of the complete list, and what a change of one entry takes.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{1000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			RegisterTestingT(b)
			c := newChain(2, lists(n))
			c.read(0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c.query(1, 0)
			complete := c.bytes
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(c)
			i := 0
			for b.Loop() {
				b.StopTimer()
				c.entries[i%n] = listed(i%n, 2+i)
				c.read(0)
				b.StartTimer()
				c.query(1, 0)
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/entry")
			b.ReportMetric(float64(complete), "B/list")
			b.ReportMetric(float64(c.bytes), "B/change")
		})
	}
}
