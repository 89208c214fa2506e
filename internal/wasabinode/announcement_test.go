package wasabinode_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/platform/standin"
)

// announcingEngines starts a node before two engines that both receive requests, and
// returns them with a function that sends requests, which must be served.
func announcingEngines(g *rig) (n *running, first, second *standin.Replica, sendMany func(count int)) {
	first = g.replica(standin.ReplicaOptions{ID: "e1", Service: "lm", Model: "m", ProcessingTime: time.Millisecond})
	second = g.replica(standin.ReplicaOptions{ID: "e2", Service: "lm", Model: "m", ProcessingTime: time.Millisecond})
	g.store.SetTargetWeights("m", 1)
	g.configure(1, "k")
	// Keys must not end the requests that are sent while the store is down, however long
	// these take.
	g.keyLife = wasabiridge.Minute
	n = g.start()
	sent := 0
	sendMany = func(count int) {
		for range count {
			sent++
			status, _, err := send(n.caller, "/chat/x", fmt.Sprint("a", sent), "k")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK), n.lastLines("Request refused.", "Path to the backend servers changed."))
		}
	}
	Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK))
	Eventually(func() int {
		sendMany(5)
		return min(len(first.Runs()), len(second.Runs()))
	}, "5s").Should(BeNumerically(">", 0), "both engines receive requests")
	return n, first, second, sendMany
}

// sendUntilLogged sends requests until the node has logged a message.
func (n *running) sendUntilLogged(sendMany func(count int), message string) {
	Eventually(func() string {
		sendMany(1)
		return n.log.String()
	}, "5s", "1ms").Should(ContainSubstring(message))
}

var _ = Describe("A backend server that announces that it is leaving", func() {
	// Guards against requests to a leaving server that the platform's list still names as
	// ready, during an outage of the platform and after it.
	It("gets no further requests, whatever the platform's list says", func() {
		g := newRig()
		n, first, _, sendMany := announcingEngines(g)
		g.store.Fail(standin.Unavailable)
		first.AnnounceLeaving("1")
		n.sendUntilLogged(sendMany, "Backend server announced that it is leaving.")
		before := len(first.Runs())
		sendMany(50)
		Expect(first.Runs()).To(HaveLen(before))

		g.store.Fail(standin.Healthy)
		g.configure(2, "k")
		Eventually(func() string {
			sendMany(1)
			return metricsOf(n)
		}, "5s").Should(ContainSubstring("config_version 2"))
		sendMany(50)
		Expect(first.Runs()).To(HaveLen(before))
	})

	// Guards against requests from each instance that has not had an answer of the server
	// since, which at many instances is nearly all that the server gets.
	It("gets no further requests from instances that another one has notified", func() {
		g := newRig()
		n, first, second, sendMany := announcingEngines(g)
		other := g.start()
		Eventually(func() string {
			Expect(status(other.caller, "/chat/x", "k")()).NotTo(BeZero())
			return metricsOf(other)
		}, "5s").Should(ContainSubstring("wasabiridge_members 1"))
		g.store.Fail(standin.Unavailable)
		first.AnnounceLeaving("1")
		n.sendUntilLogged(sendMany, "Backend server announced that it is leaving.")
		Eventually(other.log.String, "3s").Should(ContainSubstring(`"from":"n1"`))
		before, served := len(first.Runs()), len(second.Runs())
		for i := range 20 {
			code, _, err := send(other.caller, "/chat/x", fmt.Sprint("o", i), "k")
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(Equal(http.StatusOK))
		}
		Expect(first.Runs()).To(HaveLen(before))
		Expect(len(second.Runs()) - served).To(Equal(20))
	})

	// Guards against loads of weights by a server that ends soon.
	It("is not ordered to load new weights", func() {
		g := newRig()
		n, first, second, sendMany := announcingEngines(g)
		first.AnnounceLeaving("1")
		n.sendUntilLogged(sendMany, "Backend server announced that it is leaving.")
		g.store.SetTargetWeights("m", 2)
		Eventually(second.Orders, "12s").ShouldNot(BeEmpty())
		Consistently(first.Orders, "1s").Should(BeEmpty())
	})
})

var _ = Describe("A backend server that requests a pause", func() {
	// Guards against requests to a server that has refused one and asked for a pause.
	It("gets no further requests during the pause", func() {
		g := newRig()
		n, first, _, sendMany := announcingEngines(g)
		first.RequestPause("60")
		n.sendUntilLogged(sendMany, "Backend server requested a pause.")
		before, notServed := len(first.Arrivals()), 0
		for i, began := 0, time.Now(); time.Since(began) < 500*time.Millisecond; i++ {
			if status, _, err := send(n.caller, "/chat/x", fmt.Sprint("p", i), "k"); err != nil || status != http.StatusOK {
				notServed++
			}
		}
		Expect(first.Arrivals()).To(HaveLen(before))
		Expect(notServed).To(BeZero(), "the other engine serves all of them")
	})
})
