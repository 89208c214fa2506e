package wasabidaemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplatform"
	"github.com/wasabiridge/wasabiridge/internal/wasabiservice"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

const operatorKey = "operator-key"

// startPlatform starts a stand-in for the platform's services.
func startPlatform() (wasabiplatform.Settings, *wasabiplatform.StandIn, *httptest.Server) {
	GinkgoHelper()
	standIn := wasabiplatform.NewStandIn(wasabiplatform.StandInOptions{Clock: wasabiclock.System()})
	server := httptest.NewServer(standIn.Handler())
	DeferCleanup(server.Close)
	return standIn.Settings(server.URL), standIn, server
}

// operators are the settings of an operators' listener that accepts operatorKey.
var operators = wasabisettings.OperatorListener{
	Listener:  wasabisettings.Listener{Listen: "127.0.0.1:0"},
	KeyHashes: []string{keyHash(operatorKey)},
}

// asOperator sends a request with operatorKey to the operators' listener and
// returns the status and the body of the response.
func asOperator(method, url, body string, header map[string]string) (int, string) {
	GinkgoHelper()
	req := newRequest(method, url, body)
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(text)
}

var _ = Describe("a router with the platform", func() {
	It("adopts the configuration that an operator puts, and runs a repeated booking once", func() {
		engine := startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1"}})
		service := wasabiservice.New("bookings")
		Expect(service.Start("127.0.0.1:0")).To(Succeed())
		DeferCleanup(service.Close)
		platform, _, _ := startPlatform()
		log := gbytes.NewBuffer()
		d := startDaemon(wasabidaemon.Options{Log: log, Settings: wasabisettings.Settings{
			Platform: &platform, Drain: shortDrain,
			Operator: operators,
		}})
		Expect(post(d.URL(), longStream).StatusCode).To(Equal(http.StatusServiceUnavailable), "no configuration yet")

		text, err := json.Marshal(wasabiridge.Config{
			Accounts: []wasabiridge.ClientAccount{{ID: "liftwell", KeyHashes: []string{keyHash(testKey)}, Pools: []wasabiridge.PoolID{"answer", "bookings"}}},
			Pools: []wasabiridge.Pool{
				{ID: "answer", Backends: []wasabiridge.BackendServer{engine.Backend()}},
				{ID: "bookings", Backends: []wasabiridge.BackendServer{service.Backend()}},
			},
			Rules: []wasabiridge.Rule{
				{ID: "booking", When: wasabiridge.Condition{Path: "/bookings"}, Then: wasabiridge.Action{Pool: "bookings", NonIdempotent: true}},
				{ID: "chat", Then: wasabiridge.Action{Pool: "answer"}},
			},
		})
		Expect(err).NotTo(HaveOccurred())
		status, answer := asOperator(http.MethodPut, d.OperatorURL()+"/v1/config", string(text), map[string]string{"If-Match": `"0"`})
		Expect(status).To(BeNumerically("<", 300), answer)
		Eventually(func() bool { return streamComplete(http.DefaultClient, d.URL(), longStream) }, "10s").Should(BeTrue())

		book := func(key string) (int, string, string) {
			req := newRequest(http.MethodPost, d.URL()+"/bookings", `{"lift":7}`)
			req.Header.Set("Idempotency-Key", key)
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, string(text), resp.Header.Get("Wasabi-Disposition")
		}
		for _, key := range []string{"of-the-caller", addresses(d.URL()).Ticket} {
			status, first, _ := book(key)
			Expect(status).To(Equal(http.StatusCreated), first)
			Eventually(func() string {
				_, again, _ := book(key)
				return again
			}, "10s").Should(Equal(first))
			Expect(service.Executions(key)).To(Equal(1))
		}

		status, answer = asOperator(http.MethodGet, d.OperatorURL()+"/v1/backends", "", nil)
		Expect(status).To(Equal(http.StatusOK))
		Expect(answer).To(ContainSubstring(`"e1"`))
		Expect(answer).To(ContainSubstring(`"bookings"`))
		status, answer = asOperator(http.MethodGet, d.OperatorURL()+"/v1/timeline", "", nil)
		Expect(status).To(Equal(http.StatusOK))
		Expect(answer).To(ContainSubstring(`"claimed"`))
		for _, secret := range []string{testKey, operatorKey, "Code 17", "of-the-caller"} {
			Expect(answer).NotTo(ContainSubstring(secret))
			Expect(strings.Contains(string(log.Contents()), secret)).To(BeFalse())
		}
	})
})
