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
	got     wasabiridge.StateUpdate
	catalog wasabiridge.CatalogResponse
}

func (h *updateHandler) HandleQueryCatalog(context.Context, wasabiridge.CatalogQuery) (wasabiridge.CatalogResponse, error) {
	return h.catalog, h.err
}

func (h *updateHandler) HandleSendUpdate(_ context.Context, n wasabiridge.StateUpdate) error {
	h.got = n
	return h.err
}

// Guards against fields of a usage update that change or get lost on the wire.
var _ = Describe("Usage updates of client accounts", func() {
	It("arrive complete", func() {
		h := &updateHandler{}
		o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
		server := serve(h, o)
		want := wasabiridge.StateUpdate{
			From: "i", Incarnation: 7, Sequence: 3, Share: 0.875, Complete: true, OwnersEpoch: 300, OwnersDigest: 1 << 63,
			Usage: []wasabiridge.UsageUpdate{{Account: "a", Spent: 1 << 40, Level: -5, LevelKnown: true}, {Account: "b", Spent: 2}},
		}
		Expect(connect(o).SendUpdate(context.Background(), server.Address(), want)).To(Succeed())
		Expect(h.got).To(Equal(want))
	})
})

// Guards against revisions that lose the epoch of the store on the wire, so that what was
// read after a restore seems older.
var _ = Describe("Parts of the catalog", func() {
	It("arrive complete, with the epoch of their revision", func() {
		revision, err := wasabiridge.NewRevision(3, 1<<40)
		Expect(err).NotTo(HaveOccurred())
		h := &updateHandler{catalog: wasabiridge.CatalogResponse{
			Config:   wasabiridge.CatalogPart{Revision: revision, Digest: 7, Age: 5, Content: []byte("c")},
			Backends: wasabiridge.CatalogPart{Revision: 9, Digest: 8, Age: -1},
		}}
		o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
		server := serve(h, o)
		got, err := connect(o).QueryCatalog(context.Background(), server.Address(), wasabiridge.CatalogQuery{})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(h.catalog))
	})
})

// A faulty instance sends implausible crash records. Accepted, they would
// supersede the records of all other instances for ever, or fill their memory.
var _ = Describe("Crash records of requests", func() {
	end := wasabiridge.ServerCrash{Backend: "e1", Incarnation: 7, RunTime: 120, Weights: 3, Age: 40}
	many := make([]wasabiridge.ServerCrash, 65)
	for i := range many {
		many[i] = wasabiridge.ServerCrash{Backend: wasabiridge.BackendServerID(fmt.Sprint("e", i))}
	}
	cases := map[string]struct {
		crash    wasabiridge.CrashUpdate
		accepted bool
	}{
		"arrive complete":       {wasabiridge.CrashUpdate{Fingerprint: 9, Account: "a", Model: "m", Epoch: 2, Crashes: []wasabiridge.ServerCrash{end}}, true},
		"on a part of prompts":  {wasabiridge.CrashUpdate{Fingerprint: 9, Part: true, Model: "m", Epoch: 2, Crashes: []wasabiridge.ServerCrash{end}}, true},
		"without crashes clear": {wasabiridge.CrashUpdate{Fingerprint: 9, Account: "a", Epoch: 3}, true},
		"must name a request":   {wasabiridge.CrashUpdate{Account: "a", Crashes: []wasabiridge.ServerCrash{end}}, false},
		"must name a server":    {wasabiridge.CrashUpdate{Fingerprint: 9, Crashes: []wasabiridge.ServerCrash{{RunTime: 1}}}, false},
		"have a bounded epoch":  {wasabiridge.CrashUpdate{Fingerprint: 9, Epoch: 1 << 30}, false},
		"have few crashes":      {wasabiridge.CrashUpdate{Fingerprint: 9, Crashes: many}, false},
		"have a bounded age":    {wasabiridge.CrashUpdate{Fingerprint: 9, Crashes: []wasabiridge.ServerCrash{{Backend: "e1", Age: 1 << 40}}}, true},
	}
	for _, name := range wasabitest.SortedKeys(cases) {
		It(name, func() {
			h := &updateHandler{}
			o := wasabipeer.Options{Clock: wasabiclock.System(), Key: key}
			server := serve(h, o)
			err := connect(o).SendUpdate(context.Background(), server.Address(), wasabiridge.StateUpdate{From: "i", Crashes: []wasabiridge.CrashUpdate{cases[name].crash}})
			if !cases[name].accepted {
				Expect(errorx.IsOfType(err, wasabiridge.ErrInvalid)).To(BeTrue(), "%v", err)
				Expect(h.got.Crashes).To(BeEmpty())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			want := cases[name].crash
			for i := range want.Crashes {
				want.Crashes[i].Age = min(want.Crashes[i].Age, wasabiridge.Day)
			}
			Expect(h.got.Crashes).To(Equal([]wasabiridge.CrashUpdate{want}))
		})
	}
})
