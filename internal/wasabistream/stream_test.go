package wasabistream_test

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestStream(t *testing.T) { wasabitest.Run(t, "stream") }

var (
	seeds = flag.Uint64("stream.seeds", 60, "number of drawn histories")
	first = flag.Uint64("stream.first", 0, "seed of the first one")
)

// maxSeeds is the number of drawn histories within which each planted bug is found.
const maxSeeds = 300

// Guards against streams of two software versions, and against streams that are refused
// although some instance knows where they began, under kills, freezes, cuts, lost and late
// messages, an unreachable store, and versions that come, go and come back.
var _ = Describe("Resumed streams in drawn histories", func() {
	It("go on where they began, if any instance that answers knows it", func() {
		begun, continued, refused := 0, 0, 0
		for seed := *first; seed < *first+*seeds; seed++ {
			h := playStreams(seed, noPlantedBug)
			Expect(h.violations).To(BeEmpty(), "seed %d", seed)
			begun, continued, refused = begun+h.begun, continued+h.continued, refused+h.refused
		}
		fmt.Fprintf(GinkgoWriter, "%d streams, %d resumptions went on, %d were refused\n", begun, continued, refused)
		Expect(continued).To(BeNumerically(">", 0))
	})

	bugs := map[string]plantedBug{
		"the version of the first attempt counts":             olderCounts,
		"a change of the version need not be acknowledged":    unacknowledged,
		"other instances are notified with the first event":   notifiedWithFirstEvent,
		"the last request of the caller is looked up":         foundByLastAttempt,
		"an unknown stream continues at any version":          unknownContinues,
		"the version is taken from an address":                versionByAddress,
		"an instance that restarted counts as one that knows": restartedKnows,
		"streams begin at a version as soon as it is listed":  unsettledBegins,
		"streams begin at versions that are not registered":   unregisteredBegins,
	}
	for _, name := range wasabitest.SortedKeys(bugs) {
		It("show the planted bug that "+name, func() {
			for seed := range uint64(maxSeeds) {
				if h := playStreams(seed, bugs[name]); len(h.violations) > 0 {
					fmt.Fprintf(GinkgoWriter, "seed %d: %s\n", seed, h.violations[0])
					return
				}
			}
			Fail("not found")
		})
	}
})
