package wasabicell_test

import (
	"fmt"
	"testing"

	"github.com/wasabiridge/wasabiridge/internal/wasabicell"
)

// BenchmarkSelect measures the choice of a cell, which follows a change of the list.
func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{1000, 9530, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := servers(n, 6)
			b.ReportAllocs()
			for b.Loop() {
				wasabicell.Select("z1", wasabicell.MinServers, all)
			}
		})
	}
}
