package wasabiengine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestEngine(t *testing.T) { wasabitest.Run(t, "engine") }

const timeout = 20 * time.Second

func start(o wasabiengine.Options) *wasabiengine.Engine {
	GinkgoHelper()
	o.Clock = wasabiclock.System()
	e := wasabiengine.New(o)
	Expect(e.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(e.Close)
	return e
}

// client does not reuse connections: after a crash the first request on a
// connection to the previous incarnation would fail.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request and returns the status and body of the response.
func call(method, url, body string) (int, string) {
	GinkgoHelper()
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	resp, err := client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(data)
}

func postOrder(e *wasabiengine.Engine, fencing, weights int) int {
	GinkgoHelper()
	status, _ := call(http.MethodPost, e.URL()+"/weights", fmt.Sprintf(`{"fencing_number":%d,"weights":%d}`, fencing, weights))
	return status
}

// complete sends a completion request and returns the token counts of its usage.
func complete(e *wasabiengine.Engine, body string) (prompt, cached int) {
	GinkgoHelper()
	status, text := call(http.MethodPost, e.URL()+"/v1/completions", body)
	Expect(status).To(Equal(http.StatusOK), text)
	var answer struct {
		Usage struct {
			PromptTokens        int `json:"prompt_tokens"`
			PromptTokensDetails struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	Expect(json.Unmarshal([]byte(text), &answer)).To(Succeed())
	return answer.Usage.PromptTokens, answer.Usage.PromptTokensDetails.CachedTokens
}

var _ = Describe("orders to load weights", func() {
	// Guards against an engine that serves old weights again after a rollout,
	// because the previous lease holder was paused and sent its order late.
	It("are refused with an old fencing number by engines that check it", func() {
		e := start(wasabiengine.Options{})
		Expect(postOrder(e, 5, 2)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, timeout).Should(BeEquivalentTo(2))
		Expect(postOrder(e, 4, 1)).To(Equal(http.StatusPreconditionFailed))
		Expect(postOrder(e, 5, 3)).To(Equal(http.StatusAccepted), "the fencing number of the same lease holder stays valid")
		Eventually(e.Weights, timeout).Should(BeEquivalentTo(3))
	})

	It("are executed with any fencing number by engines that ignore it", func() {
		e := start(wasabiengine.Options{IgnoresFencing: true})
		Expect(postOrder(e, 5, 2)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, timeout).Should(BeEquivalentTo(2))
		Expect(postOrder(e, 4, 1)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, timeout).Should(BeEquivalentTo(1))
	})

	It("are superseded by a later order during the load", func() {
		e := start(wasabiengine.Options{LoadTime: 100})
		Expect(postOrder(e, 1, 2)).To(Equal(http.StatusAccepted))
		status, _ := call(http.MethodPost, e.URL()+"/v1/completions", `{"prompt":"p"}`)
		Expect(status).To(Equal(http.StatusServiceUnavailable), "requests must be refused while weights are loading")
		Expect(postOrder(e, 2, 3)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, timeout).Should(BeEquivalentTo(3))
		Consistently(e.Weights, "150ms").Should(BeEquivalentTo(3))
	})

	It("change only the role when they name no weights version", func() {
		e := start(wasabiengine.Options{})
		status, text := call(http.MethodPost, e.URL()+"/weights", `{"fencing_number":1,"role":"prefill"}`)
		Expect(status).To(Equal(http.StatusAccepted))
		Expect(text).To(MatchJSON(`{"weights":1,"fencing_number":1,"loading":false,"role":"prefill"}`))
	})
})

var _ = Describe("the prefix cache", func() {
	const prompt = `{"prompt":"0123456789abcdef0123456789abcdef","max_tokens":1,"cache_salt":%q}`
	options := wasabiengine.Options{Spec: wasabifake.Spec{BlockTokens: 4, CacheBlocks: 8}}
	a, b := fmt.Sprintf(prompt, "a"), fmt.Sprintf(prompt, "b")

	It("shares no blocks between salts, incarnations or weights versions", func() {
		e := start(options)
		expect := func(body string, cached int) {
			GinkgoHelper()
			total, got := complete(e, body)
			Expect(total).To(Equal(8))
			Expect(got).To(Equal(cached))
		}
		expect(a, 0)
		expect(a, 8)
		expect(b, 0)
		Expect(postOrder(e, 1, 2)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, timeout).Should(BeEquivalentTo(2))
		expect(a, 0)
		expect(a, 8)
		e.Crash()
		Expect(e.Start("")).To(Succeed())
		Expect(e.Incarnation()).To(BeEquivalentTo(2))
		expect(a, 0)
	})
})

var _ = Describe("load reports", func() {
	It("are served again within LoadLag, with their age", func() {
		e := start(wasabiengine.Options{MaxLoadAge: wasabiridge.Hour})
		read := func() map[string]any {
			_, text := call(http.MethodGet, e.URL()+"/load", "")
			var body map[string]any
			Expect(json.Unmarshal([]byte(text), &body)).To(Succeed())
			return body
		}
		Expect(read()).To(HaveKeyWithValue("weights", 1.0))
		Expect(postOrder(e, 1, 2)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, timeout).Should(BeEquivalentTo(2))
		Eventually(func() any { return read()["age_ms"] }, timeout).Should(BeNumerically(">", 5))
		Expect(read()).To(HaveKeyWithValue("weights", 1.0), "the report was taken before the load")
	})
})
