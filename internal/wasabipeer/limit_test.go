package wasabipeer_test

import (
	"context"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// Guards against server limits that change on the wire, and against rates that
// are no valid number.
var _ = Describe("The limit of a backend server in an update", func() {
	cases := map[string]struct{ sent, want wasabiridge.LimitUpdate }{
		"arrives complete":       {wasabiridge.LimitUpdate{Known: true, Limited: true, Rate: 5.9, Age: 40}, wasabiridge.LimitUpdate{Known: true, Limited: true, Rate: 5.9, Age: 40}},
		"may have ended":         {wasabiridge.LimitUpdate{Known: true, Age: 3}, wasabiridge.LimitUpdate{Known: true, Age: 3}},
		"may be left out":        {},
		"is unknown if NaN":      {sent: wasabiridge.LimitUpdate{Known: true, Limited: true, Rate: math.NaN()}},
		"is unknown if negative": {sent: wasabiridge.LimitUpdate{Known: true, Limited: true, Rate: -1}},
		"is unknown if infinite": {sent: wasabiridge.LimitUpdate{Known: true, Limited: true, Rate: math.Inf(1)}},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		It(name, func() {
			h := &updateHandler{}
			o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
			server := serve(h, o)
			update := wasabiridge.StateUpdate{From: "i", Loads: []wasabiridge.LoadUpdate{{Backend: "e1", InFlight: 2, Tokens: 9, Limit: cases[name].sent}}}
			Expect(connect(o).SendUpdate(context.Background(), server.Address(), update)).To(Succeed())
			Expect(h.got.Loads).To(Equal([]wasabiridge.LoadUpdate{{Backend: "e1", InFlight: 2, Tokens: 9, Limit: cases[name].want}}))
		})
	}
})

// Guards against instances that do not know that servers are brittle, or know it with another
// number, because the announcement changed on the wire.
var _ = Describe("The announcement of a backend server that it is brittle in an update", func() {
	cases := map[string]struct{ sent, want wasabiridge.BrittleUpdate }{
		"arrives complete":       {wasabiridge.BrittleUpdate{Known: true, Brittle: true, Refusals: 6, Age: 40}, wasabiridge.BrittleUpdate{Known: true, Brittle: true, Refusals: 6, Age: 40}},
		"may have ended":         {wasabiridge.BrittleUpdate{Known: true, Age: 3}, wasabiridge.BrittleUpdate{Known: true, Age: 3}},
		"may be left out":        {},
		"is unknown if NaN":      {sent: wasabiridge.BrittleUpdate{Known: true, Brittle: true, Refusals: math.NaN()}},
		"is unknown if negative": {sent: wasabiridge.BrittleUpdate{Known: true, Brittle: true, Refusals: -1}},
		"is unknown if infinite": {sent: wasabiridge.BrittleUpdate{Known: true, Brittle: true, Refusals: math.Inf(1)}},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		It(name, func() {
			h := &updateHandler{}
			o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
			server := serve(h, o)
			update := wasabiridge.StateUpdate{From: "i", Loads: []wasabiridge.LoadUpdate{{Backend: "e1", InFlight: 2, Brittle: cases[name].sent}}}
			Expect(connect(o).SendUpdate(context.Background(), server.Address(), update)).To(Succeed())
			Expect(h.got.Loads).To(Equal([]wasabiridge.LoadUpdate{{Backend: "e1", InFlight: 2, Brittle: cases[name].want}}))
		})
	}
})

// Guards against announcements that do not survive the wire, and against updates with
// endless lists.
var _ = Describe("The servers that are leaving in an update", func() {
	It("arrive complete, up to a number", func() {
		h := &updateHandler{}
		o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
		server := serve(h, o)
		update := wasabiridge.StateUpdate{From: "i", Leaving: []wasabiridge.LeavingUpdate{{Backend: "e1", Incarnation: 7}, {Backend: "e2"}}}
		Expect(connect(o).SendUpdate(context.Background(), server.Address(), update)).To(Succeed())
		Expect(h.got.Leaving).To(Equal(update.Leaving))
		update.Leaving = make([]wasabiridge.LeavingUpdate, 1<<20)
		Expect(connect(o).SendUpdate(context.Background(), server.Address(), update)).NotTo(Succeed())
	})
})
