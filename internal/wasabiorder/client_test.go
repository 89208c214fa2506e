package wasabiorder_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

var answers = map[string]struct {
	status int
	body   string
	read   *errorx.Type
	order  *errorx.Type
}{
	"complete":        {status: 200, body: `{"weights":3,"fencing_number":2,"loading":true,"role":"decode"}`},
	"no weights":      {status: 200, body: `{}`, read: wasabiridge.ErrInvalid},
	"not JSON":        {status: 200, body: `<html>`, read: wasabiridge.ErrInvalid},
	"fencing too old": {status: 412, body: `{}`, read: wasabiridge.ErrUnavailable, order: wasabiridge.ErrFenced},
	"server error":    {status: 500, body: `{}`, read: wasabiridge.ErrUnavailable, order: wasabiridge.ErrOutcomeUnknown},
	"status accepted": {status: 202, body: `{"weights":3}`, read: wasabiridge.ErrUnavailable},
}

var _ = Describe("The client for engines", func() {
	for _, name := range wasabitest.SortedKeys(answers) {
		It("handles a response: "+name, func(ctx SpecContext) {
			a := answers[name]
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(a.status)
				_, _ = w.Write([]byte(a.body))
			}))
			defer server.Close()
			client, b := wasabiorder.NewClient(nil), wasabiridge.BackendServer{ID: "e", URL: server.URL}
			state, err := client.ReadState(ctx, b)
			expectType(err, a.read)
			if a.read == nil {
				Expect(state).To(Equal(wasabiridge.EngineState{Weights: 3, Loading: true, Role: "decode", Fencing: 2}))
			}
			expectType(client.SendOrder(ctx, b, wasabiridge.EngineOrder{Weights: 3}), a.order)
		})
	}

	// Guards against an order that reaches another engine than the one that it is for, and counts
	// as accepted by that one: a faulty engine answers with a redirection.
	for _, status := range []int{301, 302, 303, 307, 308} {
		It(fmt.Sprintf("follows no redirection: %d", status), func(ctx SpecContext) {
			var reached atomic.Int32
			other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				reached.Add(1)
				_, _ = w.Write([]byte(`{"weights":9}`))
			}))
			defer other.Close()
			server := httptest.NewServer(http.RedirectHandler(other.URL+"/weights", status))
			defer server.Close()
			client, b := wasabiorder.NewClient(nil), wasabiridge.BackendServer{ID: "e", URL: server.URL}
			_, err := client.ReadState(ctx, b)
			expectType(err, wasabiridge.ErrUnavailable)
			expectType(client.SendOrder(ctx, b, wasabiridge.EngineOrder{Weights: 3}), wasabiridge.ErrOutcomeUnknown)
			Expect(reached.Load()).To(BeZero())
		})
	}

	It("works with the stand-in of an engine", func(ctx SpecContext) {
		engine := wasabiengine.New(wasabiengine.Options{Clock: wasabiclock.System(), LoadTime: 1})
		Expect(engine.Start("127.0.0.1:0")).To(Succeed())
		defer engine.Close()
		client, b := wasabiorder.NewClient(nil), wasabiridge.BackendServer{ID: "e", URL: engine.URL()}
		Expect(client.SendOrder(ctx, b, wasabiridge.EngineOrder{Weights: 3, Fencing: 5})).To(Succeed())
		Eventually(func() (wasabiridge.EngineState, error) {
			return client.ReadState(context.Background(), b)
		}).Should(Equal(wasabiridge.EngineState{Weights: 3, Fencing: 5}))
		expectType(client.SendOrder(ctx, b, wasabiridge.EngineOrder{Weights: 2, Fencing: 4}), wasabiridge.ErrFenced)
	})
})

func expectType(err error, want *errorx.Type) {
	GinkgoHelper()
	if want == nil {
		Expect(err).NotTo(HaveOccurred())
		return
	}
	Expect(errorx.IsOfType(err, want)).To(BeTrue(), "%v", err)
}

// FuzzState searches for a response of an engine that makes the decoder panic.
func FuzzState(f *testing.F) {
	f.Add([]byte(`{"weights":3,"fencing_number":2,"loading":true}`))
	f.Add([]byte(`{"weights":-1}`))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = wasabiorder.DecodeState(data) })
}
