package wasabireplica_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicell"
)

// BenchmarkDecision measures the admission and the placement of a long and a short prompt at
// the size of the largest earlier pool, and at the least and the greatest size of a cell.
func BenchmarkDecision(b *testing.B) {
	prompts := map[string]func() wasabiridge.Request{"long": func() wasabiridge.Request { return long(7) }, "short": short}
	for _, name := range []string{"long", "short"} {
		for _, servers := range []int{66, wasabicell.MinServers, wasabicell.MaxServers} {
			b.Run(fmt.Sprintf("%s/%d", name, servers), func(b *testing.B) {
				RegisterTestingT(b)
				g := newRig(servers)
				_, id := g.place(long(7))
				g.now += 150
				g.answer(id)
				b.ReportAllocs()
				for b.Loop() {
					r := prompts[name]()
					g.limiter.Offer(g.now, r)
					g.placer.Place(g.now, wasabiridge.PlaceQuery{Request: r, Pool: g.pool})
				}
			})
		}
	}
}
