package wasabilease_test

import (
	"fmt"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// BenchmarkLease reports what one lease costs the table in all, by the number
// of contenders, over ten minutes of virtual time.
func BenchmarkLease(b *testing.B) {
	const span = 10 * wasabiridge.Minute
	for _, n := range []int{1, 3, 9, 370} {
		b.Run(fmt.Sprintf("contenders=%d", n), func(b *testing.B) {
			for range b.N {
				clock := wasabiclock.NewVirtual(wasabiridge.Day)
				t := &leaseTest{clock: clock, table: wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock})}
				var all []*contender
				for i := range n {
					c := t.contender(wasabiridge.InstanceID(fmt.Sprint(i)), 1, clock)
					c.feed(wasabilease.Contended{Wanted: true})
					all = append(all, c)
				}
				for end := clock.Now() + span; clock.Now() < end; clock.Advance(500) {
					for _, c := range all {
						c.feed(wasabilease.Ticked{})
					}
				}
				seconds := float64(span) / 1000
				b.ReportMetric(float64(t.table.Stats().Writes)/seconds, "writes/s")
				b.ReportMetric(float64(t.table.Stats().Reads)/seconds, "reads/s")
			}
		})
	}
}
