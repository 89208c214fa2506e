package wasabidaemon_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestDaemon(t *testing.T) { wasabitest.Run(t, "daemon") }

const testKey = "technician-key"

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// startEngine starts a stand-in for a model engine on a free port. It is closed
// when the spec ends.
func startEngine(o wasabiengine.Options) *wasabiengine.Engine {
	GinkgoHelper()
	o.Clock = wasabiclock.System()
	e := wasabiengine.New(o)
	Expect(e.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(e.Close)
	return e
}

// writeConfig writes a configuration with one pool of engines to a temporary file
// and returns its name.
func writeConfig(engines ...*wasabiengine.Engine) string {
	GinkgoHelper()
	pool := wasabiridge.Pool{ID: "answer"}
	for _, e := range engines {
		pool.Backends = append(pool.Backends, e.Backend())
	}
	text, err := json.Marshal(wasabiridge.Config{
		Accounts: []wasabiridge.ClientAccount{{ID: "liftwell", KeyHashes: []string{keyHash(testKey)}, Pools: []wasabiridge.PoolID{"answer"}}},
		Pools:    []wasabiridge.Pool{pool},
		Rules:    []wasabiridge.Rule{{ID: "chat", When: wasabiridge.Condition{Path: "/v1/*"}, Then: wasabiridge.Action{Pool: "answer"}}},
	})
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "config.jsonc")
	Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
	return file
}

// startDaemon starts a daemon that is drained when the spec ends.
func startDaemon(o wasabidaemon.Options) *wasabidaemon.Daemon {
	GinkgoHelper()
	d, ended := runDaemon(o)
	DeferCleanup(func() {
		Expect(d.Drain(context.Background())).To(Succeed())
		Eventually(ended, "20s").Should(Or(Receive(BeNil()), BeClosed()))
	})
	return d
}

// shortDrain makes a drain end almost immediately.
var shortDrain = wasabisettings.Drain{AnswerLifetime: 1}

// runDaemon starts a daemon without draining it at the end of the spec. The
// channel receives the result of Run.
func runDaemon(o wasabidaemon.Options) (*wasabidaemon.Daemon, <-chan error) {
	GinkgoHelper()
	if o.Settings.Instance == "" {
		o.Settings.Instance = "pos-1"
	}
	o.Settings.Zone = "port-of-spain"
	o.Settings.Caller.Listen = "127.0.0.1:0"
	d, err := wasabidaemon.New(o)
	Expect(err).NotTo(HaveOccurred())
	ended := make(chan error, 1)
	go func() {
		ended <- d.Run()
		close(ended)
	}()
	return d, ended
}

func post(url, body string) *http.Response {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	return resp
}

var _ = Describe("a router", func() {
	It("streams an answer of an engine and records the request in the time line", func() {
		engine := startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1"}})
		d := startDaemon(wasabidaemon.Options{Settings: wasabisettings.Settings{
			ConfigFile: writeConfig(engine),
			Drain:      shortDrain,
		}})
		resp := post(d.URL(), `{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Code 17?"}]}`)
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Header.Get("Wasabi-Disposition")).To(Equal("ran"))
		Expect(strings.Count(string(text), "data: {")).To(Equal(4))
		Expect(string(text)).To(HaveSuffix("data: [DONE]\n\n"))

		id := wasabiridge.RequestID(resp.Header.Get("X-Request-Id"))
		kinds := func() []wasabiridge.TimelineKind {
			var all []wasabiridge.TimelineKind
			for _, e := range d.Timeline().Page(wasabiridge.TimelineQuery{Request: id}).Events {
				all = append(all, e.Kind)
			}
			return all
		}
		Eventually(kinds).Should(Equal([]wasabiridge.TimelineKind{
			wasabiridge.EventArrived, wasabiridge.EventMatched, wasabiridge.EventPlaced,
			wasabiridge.EventSent, wasabiridge.EventFirstToken, wasabiridge.EventEnded,
		}))
	})
})
