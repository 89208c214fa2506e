package wasabinotice_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabinotice"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestNotice(t *testing.T) { wasabitest.Run(t, "notice") }

var _ = Describe("The notice of a server that it is leaving", func() {
	cases := map[string]struct {
		stated, asked wasabiridge.Incarnation
		leaving       bool
	}{
		"holds in the same incarnation":      {10, 10, true},
		"holds where none is known":          {0, 0, true},
		"holds where none is known any more": {10, 0, true},
		"holds in the first that is known":   {0, 10, true},
		"ends with the incarnation":          {10, 20, false},
		"ends when the clock was set back":   {20, 10, false},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		It(name, func() {
			var board wasabinotice.Board
			Expect(board.IsLeaving("s", cases[name].asked)).To(BeFalse())
			Expect(board.Leave(1, "s", cases[name].stated)).To(BeTrue())
			Expect(board.Leave(2, "s", cases[name].stated)).To(BeFalse(), "repeated")
			Expect(board.IsLeaving("s", cases[name].asked)).To(Equal(cases[name].leaving))
			Expect(board.IsLeaving("other", cases[name].asked)).To(BeFalse())
		})
	}

	It("belongs to the first incarnation that is known and ends with it", func() {
		var board wasabinotice.Board
		board.Leave(1, "s", 0)
		Expect(board.IsLeaving("s", 10)).To(BeTrue())
		Expect(board.IsLeaving("s", 20)).To(BeFalse())
		Expect(board.Leave(2, "s", 20)).To(BeTrue(), "the new incarnation is leaving too")
		Expect(board.IsLeaving("s", 20)).To(BeTrue())
	})

	// Guards against an update that arrives late and replaces the statement of the current
	// incarnation.
	It("is not replaced by a late statement of an earlier incarnation", func() {
		var board wasabinotice.Board
		board.Leave(1000, "s", 20)
		Expect(board.Leave(2000, "s", 10)).To(BeFalse())
		Expect(board.Pause(2000, "s", 10, 500)).To(BeFalse())
		Expect(board.IsLeaving("s", 20)).To(BeTrue())
		Expect(board.Leave(6000, "s", 10)).To(BeTrue(), "its clock was set back")
		Expect(board.IsLeaving("s", 10)).To(BeTrue())
	})

	It("stands beside a pause, of which the longest counts, up to a minute", func() {
		var board wasabinotice.Board
		Expect(board.Pause(1000, "s", 10, 3000)).To(BeTrue())
		Expect(board.Pause(1100, "s", 10, 200)).To(BeFalse(), "it is paused already")
		Expect(board.PauseLeft(1100, "s", 10)).To(BeEquivalentTo(2900))
		Expect(board.IsLeaving("s", 10)).To(BeFalse())
		board.Leave(1200, "s", 10)
		Expect(board.PauseLeft(1200, "s", 10)).To(BeEquivalentTo(2800))
		Expect(board.PauseLeft(1200, "s", 20)).To(BeZero(), "another incarnation")
		Expect(board.Pause(4000, "s", 10, 1e12)).To(BeTrue(), "the last one is over")
		Expect(board.PauseLeft(4000, "s", 10)).To(BeEquivalentTo(wasabinotice.MaxPause))
		board.Pause(5000, "other", 0, -1)
		Expect(board.PauseLeft(5000, "other", 0)).To(BeZero())
	})

	// Guards against notices that accumulate without bound.
	It("is dropped for newer ones when there are too many", func() {
		var board wasabinotice.Board
		for i := range wasabiridge.Millis(9000) {
			board.Leave(i, wasabiridge.BackendServerID(fmt.Sprint("s", i)), 0)
		}
		Expect(board.List()).To(HaveLen(8192))
		Expect(board.IsLeaving("s0", 0)).To(BeFalse())
		Expect(board.IsLeaving("s8999", 0)).To(BeTrue())
	})
})
