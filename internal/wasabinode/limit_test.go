package wasabinode_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/platform/standin"
)

func metricsOf(n *running) string {
	response, err := http.Get("http://" + n.metrics + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// Guards against an overloaded backend server that reports a limit and is still sent as
// many requests as before.
var _ = Describe("A backend server that reports a limit", func() {
	It("is sent no more than the limit until it reports none", func() {
		g := newRig()
		engines := map[string]*standin.Replica{}
		for _, id := range []string{"e1", "e2"} {
			engines[id] = g.replica(standin.ReplicaOptions{ID: id, Service: "lm", Model: "m", ProcessingTime: time.Millisecond})
		}
		g.store.SetTargetWeights("m", 1)
		g.configure(1, "k")
		n := g.start()
		sent := 0
		sendMany := func(count int) {
			for range count {
				sent++
				status, _, err := send(n.caller, "/chat/x", fmt.Sprint("a", sent), "k")
				Expect(err).NotTo(HaveOccurred())
				Expect(status).To(Equal(http.StatusOK))
			}
		}
		Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK))
		sendMany(20)
		Expect(engines["e1"].Runs()).NotTo(BeEmpty(), "both engines receive requests")
		engines["e1"].SetLimits("2")
		Eventually(func() string {
			sendMany(1)
			return n.log.String()
		}, "5s").Should(ContainSubstring(`"rate":2`))
		Eventually(func() string { return metricsOf(n) }).Should(ContainSubstring(`server_limit_milli{backend="e1"} 2000`))
		began, before := time.Now(), len(engines["e1"].Runs())
		sendMany(100)
		took := time.Since(began).Seconds()
		Expect(float64(len(engines["e1"].Runs())-before)).To(BeNumerically("<=", 1+2*took), "100 requests in %.2f s", took)

		engines["e1"].SetLimits()
		Eventually(func() string {
			sendMany(5)
			return metricsOf(n)
		}, "10s").ShouldNot(ContainSubstring("server_limit_milli"))
		Expect(strings.Count(n.log.String(), "Backend server reported its limit.")).To(Equal(2))
	})
})
