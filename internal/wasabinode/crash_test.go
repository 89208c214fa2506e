package wasabinode_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/platform/standin"
)

// Story: an engine ends, and its callers' streams are cut; a moment later the next one
// ends, and so on through the whole pool. One request ends every engine that runs it.
// Its caller sends it again, each time under another identifier and at another
// instance. The cause: nothing was remembered of a request beyond its identifier, and
// no instance told the others, so each send was a new request. Proof: logs show the
// same account, rule, size and shared part right before each end, and with one body
// that ends what runs it, twelve sends end an engine each, and more with retries.
var _ = Describe("A request that ends every engine that runs it", func() {
	// allowed is how many engines may end under it, and how often it may be sent on
	// after that.
	const allowed, further = 3, 3
	const sends, fatal = 12, "ends engines"

	It("is not sent on from engine to engine, and is said not to have run", func() {
		g := newRig()
		var nodes []*running
		for range 3 {
			nodes = append(nodes, g.start())
		}
		var engines []*standin.Replica
		for i := range 8 {
			engines = append(engines, g.replica(standin.ReplicaOptions{
				ID: fmt.Sprint("e", i), Service: "lm", Model: "m", Work: 2 * time.Millisecond, CrashOn: fatal, Back: 500 * time.Millisecond,
			}))
		}
		ended := func() int {
			n := 0
			for _, e := range engines {
				n += e.Ends()
			}
			return n
		}
		g.store.NameWeights("m", 1)
		g.configure(1, "k")
		for _, n := range nodes {
			Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK))
		}
		var last int
		var header http.Header
		for i := range sends {
			last, header, _, _ = askBody(nodes[i%len(nodes)].caller, "/chat/x", fmt.Sprint("again", i), "k", "", fatal)
			// Instances hear of each other within this time.
			time.Sleep(150 * time.Millisecond)
		}
		Expect(ended()).To(BeNumerically("<=", allowed+further))
		Expect(last).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Retry-After")).To(BeEmpty(), "it is not invited back")
		for _, n := range nodes {
			Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK), "other requests")
		}
	})
})
