package wasabinode_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/platform/standin"
)

var _ = Describe("How engines number events", func() {
	const path = "/note/x"

	// Guards against instances that have to see streams cut although another one knows that they are complete.
	It("is known to all instances once the streams of one have shown it", func() {
		g := newRig()
		g.store.PutConfig(standin.Config{
			Version: 1,
			Routes:  []standin.Route{{Name: "note", Host: "h", Prefix: "/note/", Kind: "streaming", Service: "lm", Timeout: 3000, Target: 300, Attempts: 1, Anonymous: true}},
			Services: []standin.Service{
				{Name: "lm", Connections: 50, Engine: &standin.Engine{Slots: 8, CacheTokens: 1e5, TokenBytes: 10, Link: 1e5, Models: []standin.Model{{Name: "m"}}}},
			},
		})
		var loaded atomic.Bool
		for i := range 3 {
			engine := g.replica(standin.ReplicaOptions{ID: fmt.Sprint("e", i), Service: "lm", Model: "m", Events: 6, ProcessingTime: 2 * time.Millisecond})
			engine.NumberEvents(func() []int {
				if loaded.Load() {
					return []int{1, 2, 3, 4, 6}
				}
				return []int{1, 2, 3, 4, 5, 6}
			})
		}
		sent := 0
		isWhole := func(n *running) bool {
			sent++
			code, body, err := send(n.caller, path, fmt.Sprintf("s%d", sent), "")
			return code == http.StatusOK && err == nil && strings.Contains(body, "id: 6\n")
		}
		first, second := g.start(), g.start()
		for _, n := range []*running{first, second} {
			Eventually(func() bool { return isWhole(n) }, "5s").Should(BeTrue())
			for range 12 {
				Expect(isWhole(n)).To(BeTrue())
			}
		}
		loaded.Store(true)
		Eventually(func() bool {
			var wg sync.WaitGroup
			for i := range 12 {
				wg.Add(1)
				go func() {
					defer GinkgoRecover()
					defer wg.Done()
					_, _, _ = send(first.caller, path, fmt.Sprintf("p%d-%d", sent, i), "")
				}()
			}
			wg.Wait()
			return isWhole(first)
		}, "20s").Should(BeTrue())
		Eventually(second.log.String, "5s").Should(MatchRegexp(`"skipping":3.*Numbering of events received`))
		for range 6 {
			Expect(isWhole(second)).To(BeTrue())
		}
		third := g.start()
		Eventually(third.log.String, "10s").Should(MatchRegexp(`"skipping":3.*Numbering of events received`))
		Eventually(status(third.caller, path, ""), "5s").Should(Equal(http.StatusOK))
		for range 6 {
			Expect(isWhole(third)).To(BeTrue())
		}
	})
})
