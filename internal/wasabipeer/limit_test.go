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

// Guards against limits of servers that arrive as others than were told, and against
// rates that are none.
var _ = Describe("News of the limit of a server", func() {
	cases := map[string]struct{ told, want wasabiridge.LimitNews }{
		"goes over whole":       {wasabiridge.LimitNews{Known: true, Limited: true, Rate: 5.9, Age: 40}, wasabiridge.LimitNews{Known: true, Limited: true, Rate: 5.9, Age: 40}},
		"tells of an end":       {wasabiridge.LimitNews{Known: true, Age: 3}, wasabiridge.LimitNews{Known: true, Age: 3}},
		"may be left out":       {},
		"is none without rate":  {told: wasabiridge.LimitNews{Known: true, Limited: true, Rate: math.NaN()}},
		"is none below nothing": {told: wasabiridge.LimitNews{Known: true, Limited: true, Rate: -1}},
		"is none without end":   {told: wasabiridge.LimitNews{Known: true, Limited: true, Rate: math.Inf(1)}},
	}
	for _, name := range wasabitest.Names(cases) {
		It(name, func() {
			h := &newsHandler{}
			o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
			server := serve(h, o)
			news := wasabiridge.News{From: "i", Loads: []wasabiridge.LoadNews{{Backend: "e1", Inside: 2, Tokens: 9, Limit: cases[name].told}}}
			Expect(connect(o).TellNews(context.Background(), server.Address(), news)).To(Succeed())
			Expect(h.got.Loads).To(Equal([]wasabiridge.LoadNews{{Backend: "e1", Inside: 2, Tokens: 9, Limit: cases[name].want}}))
		})
	}
})
