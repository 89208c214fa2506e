package wasabipeer_test

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabipeer"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// updateHandler records the last state update that it received.
type updateHandler struct {
	handler
	got wasabiridge.News
}

func (h *updateHandler) HandleAskCatalog(context.Context, wasabiridge.CatalogQuery) (wasabiridge.CatalogAnswer, error) {
	return wasabiridge.CatalogAnswer{}, h.err
}

func (h *updateHandler) HandleTellNews(_ context.Context, n wasabiridge.News) error {
	h.got = n
	return h.err
}

// Guards against fields of a usage update that change or get lost on the wire.
var _ = Describe("Usage updates of client accounts", func() {
	It("arrive complete", func() {
		h := &updateHandler{}
		o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
		server := serve(h, o)
		want := wasabiridge.News{
			From: "i", Life: 7, Sequence: 3, Part: 0.875, Whole: true, Change: 300, View: 1 << 63,
			Uses: []wasabiridge.UseNews{{Account: "a", Spent: 1 << 40, Level: -5, LevelKnown: true}, {Account: "b", Spent: 2}},
		}
		Expect(connect(o).TellNews(context.Background(), server.Address(), want)).To(Succeed())
		Expect(h.got).To(Equal(want))
	})
})

// A faulty instance sends implausible crash records. Accepted, they would
// supersede the records of all other instances for ever, or fill their memory.
var _ = Describe("Crash records of requests", func() {
	end := wasabiridge.ServerEnd{Backend: "e1", Incarnation: 7, Ran: 120, Weights: 3, Age: 40}
	many := make([]wasabiridge.ServerEnd, 65)
	for i := range many {
		many[i] = wasabiridge.ServerEnd{Backend: wasabiridge.BackendServerID(fmt.Sprint("e", i))}
	}
	cases := map[string]struct {
		crash    wasabiridge.CrashNews
		accepted bool
	}{
		"arrive complete":       {wasabiridge.CrashNews{Fingerprint: 9, Account: "a", Model: "m", Epoch: 2, Ends: []wasabiridge.ServerEnd{end}}, true},
		"without crashes clear": {wasabiridge.CrashNews{Fingerprint: 9, Account: "a", Epoch: 3}, true},
		"must name a request":   {wasabiridge.CrashNews{Account: "a", Ends: []wasabiridge.ServerEnd{end}}, false},
		"must name a server":    {wasabiridge.CrashNews{Fingerprint: 9, Ends: []wasabiridge.ServerEnd{{Ran: 1}}}, false},
		"have a bounded epoch":  {wasabiridge.CrashNews{Fingerprint: 9, Epoch: 1 << 30}, false},
		"have few crashes":      {wasabiridge.CrashNews{Fingerprint: 9, Ends: many}, false},
		"have a bounded age":    {wasabiridge.CrashNews{Fingerprint: 9, Ends: []wasabiridge.ServerEnd{{Backend: "e1", Age: 1 << 40}}}, true},
	}
	for _, name := range wasabitest.Names(cases) {
		It(name, func() {
			h := &updateHandler{}
			o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
			server := serve(h, o)
			err := connect(o).TellNews(context.Background(), server.Address(), wasabiridge.News{From: "i", Crashes: []wasabiridge.CrashNews{cases[name].crash}})
			if !cases[name].accepted {
				Expect(errorx.IsOfType(err, wasabiridge.ErrInvalid)).To(BeTrue(), "%v", err)
				Expect(h.got.Crashes).To(BeEmpty())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			want := cases[name].crash
			for i := range want.Ends {
				want.Ends[i].Age = min(want.Ends[i].Age, wasabiridge.Day)
			}
			Expect(h.got.Crashes).To(Equal([]wasabiridge.CrashNews{want}))
		})
	}
})
