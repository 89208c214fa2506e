package wasabirollout_test

import (
	"fmt"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirollout"
)

// BenchmarkIdle reports the total read rate of the rollout rows by instances
// that drive no rollout.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{9, 37, 370} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				reads := 0
				for i := range n {
					reads += wasabirollout.IdleReads(wasabiridge.InstanceID(fmt.Sprint(i)), wasabiridge.Hour)
				}
				b.ReportMetric(float64(reads)/3600, "reads/s")
			}
		})
	}
}
