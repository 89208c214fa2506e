package wasabistream_test

import (
	"fmt"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabistream"
)

// instances returns the entries of a number of instances.
func instances(count int) []wasabiridge.InstanceEntry {
	out := make([]wasabiridge.InstanceEntry, count)
	for i := range out {
		out[i] = wasabiridge.InstanceEntry{ID: wasabiridge.InstanceID(fmt.Sprint("instance-", i)), PeerAddress: fmt.Sprint("10.0.0.1:", i)}
	}
	return out
}

// BenchmarkBegin measures what the begin of a stream costs, with the streams of the last
// seconds in the table, by the number of instances that callers are sent to.
func BenchmarkBegin(b *testing.B) {
	for _, count := range []int{6, 60, 370} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			clock, peers, table := wasabiclock.NewVirtual(1e6), instances(count), wasabistream.NewTable()
			for i := 0; b.Loop(); i++ {
				if i%100 == 0 {
					clock.Advance(1000)
				}
				key := wasabistream.Key("account", wasabiridge.RequestID(fmt.Sprint("request-", i)))
				_, idle := table.Begin(clock.Now(), wasabiridge.StreamUpdate{Key: key, Origin: wasabiridge.StreamOrigin{Pool: pool, Software: "v1"}, Sequence: 1, Life: 8000}, peers)
				for _, address := range idle {
					table.Take(address)
				}
			}
		})
	}
}
