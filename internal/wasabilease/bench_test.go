package wasabilease_test

import (
	"fmt"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// BenchmarkLease reports the reads and writes of the table that one lease
// causes in total, over an hour of virtual time. Either three candidates
// contend or all instances do.
func BenchmarkLease(b *testing.B) {
	timings := map[string]struct {
		timing     wasabilease.Timing
		candidates int
	}{
		"rollout": {candidates: 3},
		"sweep":   {timing: wasabilease.Timing{TTL: 10 * wasabiridge.Minute}, candidates: 370},
	}
	for _, name := range wasabitest.SortedKeys(timings) {
		for _, n := range []int{9, 37, 370} {
			b.Run(fmt.Sprintf("%s/instances=%d", name, n), func(b *testing.B) {
				for range b.N {
					t := timings[name]
					reads, writes := leaseCost(n, t.candidates, t.timing)
					b.ReportMetric(writes, "writes/s")
					b.ReportMetric(reads, "reads/s")
				}
			})
		}
	}
}

func leaseCost(n, candidates int, timing wasabilease.Timing) (reads, writes float64) {
	clock := wasabiclock.NewVirtual(wasabiridge.Day)
	table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock})
	var members []wasabiridge.InstanceID
	for i := range n {
		members = append(members, wasabiridge.InstanceID(fmt.Sprint(i)))
	}
	var all []*contender
	for _, id := range members {
		if wasabilease.IsCandidate("orders", id, members, candidates) {
			c := &contender{machine: wasabilease.NewMachine("orders", id, 1, timing), table: table, clock: clock}
			c.feed(wasabilease.Contended{Wanted: true})
			all = append(all, c)
		}
	}
	for end := clock.Now() + wasabiridge.Hour; clock.Now() < end; clock.Advance(wasabiridge.Second) {
		for _, c := range all {
			c.feed(wasabilease.Ticked{})
		}
	}
	const seconds = 3600
	return float64(table.Stats().Reads) / seconds, float64(table.Stats().Writes) / seconds
}
