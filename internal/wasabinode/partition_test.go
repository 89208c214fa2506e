package wasabinode_test

import (
	"fmt"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/platform/standin"
)

// listed returns the addresses that the directory of a node gives to callers.
func listed(n *running) string {
	GinkgoHelper()
	response, err := http.Get("http://" + n.directory + "/api/resolve?zone=z")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusOK))
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// partitionRig starts three nodes before seven replicas. The first node has links that can
// be cut.
func partitionRig() (g *rig, cut *running, l *standin.Links, apps []*standin.Replica) {
	g, l = newRig(), &standin.Links{}
	for i := range 4 {
		g.replica(standin.ReplicaOptions{ID: fmt.Sprint("e", i), Service: "lm", Model: "m", ProcessingTime: 5 * time.Millisecond})
	}
	for i := range 3 {
		apps = append(apps, g.replica(standin.ReplicaOptions{ID: fmt.Sprint("s", i), Service: "app", ProcessingTime: 5 * time.Millisecond}))
	}
	g.store.SetTargetWeights("m", 1)
	g.configure(1, "k")
	g.links = l
	cut = g.start()
	g.links = nil
	g.start()
	g.start()
	for _, n := range g.nodes {
		Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK))
		Eventually(status(n.caller, "/book/x", "k"), "5s").Should(Equal(http.StatusOK))
		for _, other := range g.nodes {
			Eventually(func() string { return listed(n) }, "10s").Should(ContainSubstring(other.caller))
		}
	}
	return g, cut, l, apps
}

// statuses sends a number of requests of each kind to a node, all at once, and returns the
// statuses that are not OK.
func statuses(n *running, each int) []int {
	answers := make(chan int, 2*each)
	for range each {
		for _, path := range []string{"/chat/x", "/book/x"} {
			go func() { answers <- status(n.caller, path, "k")() }()
		}
	}
	var failed []int
	for range 2 * each {
		if s := <-answers; s != http.StatusOK {
			failed = append(failed, s)
		}
	}
	return failed
}

var _ = Describe("A node without a path to the replicas", func() {
	// Guards against callers of an instance that is partitioned from all replicas, and not
	// from the other instances, being refused until the partition heals.
	DescribeTable("has other nodes serve its callers, and callers are sent to the others",
		func(state standin.LinkState) {
			g, cut, l, apps := partitionRig()
			l.Set(state)
			Eventually(func() []int { return statuses(cut, 6) }, "10s").Should(BeEmpty())
			Expect(statuses(cut, 6)).To(BeEmpty())
			for _, n := range g.nodes {
				Eventually(func() string { _ = statuses(cut, 6); return listed(n) }, "10s").ShouldNot(ContainSubstring(cut.caller))
			}
			Eventually(func() string { return metricsOf(cut) }, "5s").ShouldNot(MatchRegexp(`path_lost_ms\{[^}]*\} 0\n`))

			l.Set(standin.LinksWork)
			for _, n := range g.nodes {
				Eventually(func() string { return listed(n) }, "10s").Should(ContainSubstring(cut.caller))
			}
			Eventually(func() string { return metricsOf(cut) }, "5s").ShouldNot(MatchRegexp(`path_lost_ms\{[^}]*\} [1-9]`))
			Expect(statuses(cut, 6)).To(BeEmpty(), cut.lastLines("Request refused."))
			runs := map[string]int{}
			for _, r := range apps {
				for _, run := range r.Runs() {
					runs[run.Attempt]++
				}
			}
			for id, count := range runs {
				Expect(count).To(Equal(1), "a booking runs at most once: "+id)
			}
		},
		Entry("whose established connections hang", standin.LinksHang),
		Entry("whose established connections are reset", standin.LinksReset),
		Entry("whose new connections are refused", standin.LinksRefuse),
		Entry("whose connections carry nothing", standin.LinksMute),
		Entry("whose connections are reset when anything is sent", standin.LinksDrop),
	)

	// Guards against callers that wait for their time-outs although no node can serve them.
	DescribeTable("refuses requests at once if no other node has one either",
		func(state standin.LinkState) {
			g, l := newRig(), &standin.Links{}
			for i := range 3 {
				g.replica(standin.ReplicaOptions{ID: fmt.Sprint("s", i), Service: "app", ProcessingTime: 5 * time.Millisecond})
			}
			g.configure(1, "k")
			g.links = l
			for range 2 {
				g.start()
			}
			for _, n := range g.nodes {
				Eventually(status(n.caller, "/book/x", "k"), "5s").Should(Equal(http.StatusOK))
				Eventually(func() string { return listed(n) }, "10s").Should(ContainSubstring(g.nodes[0].caller))
			}
			l.Set(state)
			for _, n := range g.nodes {
				Eventually(func() string {
					for range 4 {
						go status(n.caller, "/book/x", "k")()
					}
					return n.lastLines("no path to the backend servers")
				}, "15s", "200ms").Should(ContainSubstring(`"kind":"not_run"`))
			}
			l.Set(standin.LinksWork)
			for _, n := range g.nodes {
				Eventually(status(n.caller, "/book/x", "k"), "10s").Should(Equal(http.StatusOK))
			}
		},
		Entry("and connections hang", standin.LinksHang),
		Entry("and connections carry nothing", standin.LinksMute),
	)
})
