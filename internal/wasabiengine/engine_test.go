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

const patience = 20 * time.Second

func start(o wasabiengine.Options) *wasabiengine.Engine {
	GinkgoHelper()
	o.Clock = wasabiclock.System()
	e := wasabiengine.New(o)
	Expect(e.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(e.Close)
	return e
}

// client keeps no connections: one that outlived a crash would fail the first
// request of the next life.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request and returns status and body.
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

func order(e *wasabiengine.Engine, fencing, weights int) int {
	GinkgoHelper()
	status, _ := call(http.MethodPost, e.URL()+"/weights", fmt.Sprintf(`{"fencing_number":%d,"weights":%d}`, fencing, weights))
	return status
}

// ask returns the usage of an answer.
func ask(e *wasabiengine.Engine, body string) (prompt, cached int) {
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
	// Story: an engine serves old weights again after a rollout. The holder
	// of the lease before was paused and sent its order late.
	It("are refused under an old fencing number by engines that check it", func() {
		e := start(wasabiengine.Options{})
		Expect(order(e, 5, 2)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, patience).Should(BeEquivalentTo(2))
		Expect(order(e, 4, 1)).To(Equal(http.StatusPreconditionFailed))
		Expect(order(e, 5, 3)).To(Equal(http.StatusAccepted), "the same holder may go on")
		Eventually(e.Weights, patience).Should(BeEquivalentTo(3))
	})

	It("are carried out under any number by engines that ignore it", func() {
		e := start(wasabiengine.Options{IgnoresFencing: true})
		Expect(order(e, 5, 2)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, patience).Should(BeEquivalentTo(2))
		Expect(order(e, 4, 1)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, patience).Should(BeEquivalentTo(1))
	})

	It("are overtaken by a later one", func() {
		e := start(wasabiengine.Options{LoadTime: 100})
		Expect(order(e, 1, 2)).To(Equal(http.StatusAccepted))
		status, _ := call(http.MethodPost, e.URL()+"/v1/completions", `{"prompt":"p"}`)
		Expect(status).To(Equal(http.StatusServiceUnavailable), "nothing is served while weights load")
		Expect(order(e, 2, 3)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, patience).Should(BeEquivalentTo(3))
		Consistently(e.Weights, "150ms").Should(BeEquivalentTo(3))
	})

	It("change the role alone when they name no version", func() {
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

	It("serves one salt, one life and one version of the weights", func() {
		e := start(options)
		expect := func(body string, cached int) {
			GinkgoHelper()
			total, got := ask(e, body)
			Expect(total).To(Equal(8))
			Expect(got).To(Equal(cached))
		}
		expect(a, 0)
		expect(a, 8)
		expect(b, 0)
		Expect(order(e, 1, 2)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, patience).Should(BeEquivalentTo(2))
		expect(a, 0)
		expect(a, 8)
		e.Crash()
		Expect(e.Start("")).To(Succeed())
		Expect(e.Incarnation()).To(BeEquivalentTo(2))
		expect(a, 0)
	})
})

var _ = Describe("load reports", func() {
	It("are as old as the lag lets them be, and say so", func() {
		e := start(wasabiengine.Options{LoadLag: wasabiridge.Hour})
		read := func() map[string]any {
			_, text := call(http.MethodGet, e.URL()+"/load", "")
			var body map[string]any
			Expect(json.Unmarshal([]byte(text), &body)).To(Succeed())
			return body
		}
		Expect(read()).To(HaveKeyWithValue("weights", 1.0))
		Expect(order(e, 1, 2)).To(Equal(http.StatusAccepted))
		Eventually(e.Weights, patience).Should(BeEquivalentTo(2))
		Eventually(func() any { return read()["age_ms"] }, patience).Should(BeNumerically(">", 5))
		Expect(read()).To(HaveKeyWithValue("weights", 1.0), "the report is from before")
	})
})
