package wasabidaemon_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

// newRequest builds a request that is authorized with testKey.
func newRequest(method, url, body string) *http.Request {
	GinkgoHelper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+testKey)
	return req
}

// streamComplete requests one stream and reports whether it was received
// completely.
func streamComplete(client *http.Client, url, body string) bool {
	resp, err := client.Do(newRequest(http.MethodPost, url+"/v1/chat/completions", body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.HasSuffix(string(text), "data: [DONE]\n\n")
}

func addresses(url string) wasabiaddress.Response {
	GinkgoHelper()
	resp, err := http.DefaultClient.Do(newRequest(http.MethodGet, url+"/v1/addresses", ""))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var answer wasabiaddress.Response
	Expect(json.NewDecoder(resp.Body).Decode(&answer)).To(Succeed())
	return answer
}

const longStream = `{"model":"m","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Code 17?"}]}`

var _ = Describe("a router that drains", func() {
	// Guards against aborted streams and refused connections when an operator
	// replaces an instance while callers have open streams and still use its
	// address. A second request to drain must not shorten the drain.
	It("aborts no stream and refuses no caller that holds a valid address answer", func() {
		engine := startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1", Slots: 200, Decode: 20}})
		d, ended := runDaemon(wasabidaemon.Options{
			Settings: wasabisettings.Settings{ConfigFile: writeConfig(engine), Drain: wasabisettings.Drain{AnswerLifetime: 2000}},
			Members: func() []wasabiridge.Member {
				return []wasabiridge.Member{{InstanceEntry: wasabiridge.InstanceEntry{ID: "arima-1", Zone: "arima", CallerURL: "http://127.0.0.1:1"}}}
			},
		})
		answer := addresses(d.URL())
		Expect(answer.Addresses).To(HaveLen(2))
		Expect(answer.Addresses[0].URL).To(Equal(d.URL()))

		var callers sync.WaitGroup
		var broken, complete atomic.Int32
		expired := make(chan struct{})
		for range 20 {
			callers.Add(1)
			go func() {
				defer callers.Done()
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for open := true; open; {
					if streamComplete(client, d.URL(), longStream) {
						complete.Add(1)
					} else {
						broken.Add(1)
					}
					select {
					case <-expired:
						open = false
					default:
					}
				}
			}()
		}
		Eventually(engine.StartedAnswers).Should(BeNumerically(">=", 20))
		Expect(d.Drain(context.Background())).To(Succeed())
		Expect(addresses(d.URL()).Addresses).To(HaveExactElements(HaveField("Zone", wasabiridge.AvailabilityZone("arima"))))
		Expect(d.Drain(context.Background())).To(Succeed())
		// Callers stop well before their address answers expire, so that a busy
		// machine does not make them use an expired one.
		beforeDrain := complete.Load()
		Eventually(complete.Load).Should(BeNumerically(">", beforeDrain+20))
		close(expired)
		Eventually(ended, "30s").Should(Receive(BeNil()))
		callers.Wait()
		Expect(broken.Load()).To(BeZero())
	})

	// Guards against a drain that never ends because a stream hangs. The settings
	// limit the drain to the time that the supervisor waits.
	It("ends after the limit in the settings and reports that it aborted requests", func() {
		engine := startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1", Decode: 5 * wasabiridge.Second}})
		d, ended := runDaemon(wasabidaemon.Options{Settings: wasabisettings.Settings{
			ConfigFile: writeConfig(engine),
			Drain:      wasabisettings.Drain{AnswerLifetime: 10, Limit: 300},
		}})
		result := make(chan bool, 1)
		go func() { result <- streamComplete(http.DefaultClient, d.URL(), longStream) }()
		Eventually(engine.StartedAnswers).Should(Equal(1))
		Expect(d.Drain(context.Background())).To(Succeed())
		Eventually(ended, "10s").Should(Receive(MatchError(ContainSubstring("drain limit passed"))))
		Eventually(result).Should(Receive(BeFalse()))
	})
})
