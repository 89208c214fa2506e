package wasabilife_test

import (
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilife"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestLife(t *testing.T) { wasabitest.Run(t, "life") }

// report is what a source reports at some time.
type report struct {
	at          wasabiridge.Millis
	incarnation wasabiridge.Incarnation
	want        wasabilife.Verdict
}

// An engine restarts under its name. Its entry in the list, its own responses
// and the updates of other instances arrive in any order, some of them late.
var _ = Describe("The incarnation of a server", func() {
	const s, n, o = wasabilife.Same, wasabilife.Restarted, wasabilife.Ended
	cases := map[string][]report{
		"entry before report":              {{0, 10, s}, {100, 20, n}, {200, 20, s}},
		"report before entry":              {{0, 10, s}, {100, 20, n}, {150, 10, o}, {1200, 20, s}},
		"old entry that arrives late":      {{0, 10, s}, {100, 20, n}, {3000, 10, o}, {3100, 20, s}, {7200, 10, o}},
		"twice within a heartbeat":         {{0, 10, s}, {100, 20, n}, {200, 30, n}, {300, 20, o}, {400, 10, o}, {500, 30, s}},
		"report without an incarnation":    {{0, 0, s}, {100, 10, s}, {200, 0, s}, {300, 20, n}},
		"first report before an old entry": {{0, 20, s}, {100, 10, o}, {300, 20, s}},
		"clock of the replica set back":    {{0, 20, s}, {100, 10, o}, {2000, 10, o}, {4100, 10, n}, {4200, 10, s}, {4300, 20, n}},
		"two old ones in alternation":      {{0, 30, s}, {100, 10, o}, {4000, 20, o}, {4200, 10, o}, {8100, 20, o}},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It(name, func() {
			var l wasabilife.Tracker
			for _, x := range cases[name] {
				Expect(l.Observe(x.at, x.incarnation)).To(Equal(x.want), "at %d: %d", x.at, x.incarnation)
			}
		})
	}
})

// TestNewestLifeWins draws reports about incarnations with increasing start
// times, each up to two seconds late. An incarnation that has ended must never
// be current after a newer one was reported, and the newest must be current in
// the end.
func TestNewestLifeWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l wasabilife.Tracker
		current := wasabiridge.Incarnation(1)
		starts := map[wasabiridge.Incarnation]wasabiridge.Millis{1: 0}
		newest := wasabiridge.Incarnation(0)
		now := wasabiridge.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += wasabiridge.Millis(rapid.IntRange(0, 900).Draw(t, "wait"))
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				current++
				starts[current] = now
			}
			// The report shows the state of up to two seconds ago.
			then := now - wasabiridge.Millis(rapid.IntRange(0, 2000).Draw(t, "late"))
			incarnation := current
			for incarnation > 1 && starts[incarnation] > then {
				incarnation--
			}
			newest = max(newest, incarnation)
			l.Observe(now, incarnation)
			if l.Current() != newest {
				t.Fatalf("at %d incarnation %d is current, but %d was reported", now, l.Current(), newest)
			}
		}
	})
}
