package wasabinode_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/platform/standin"
)

// fatal is the body of a request that ends every engine that runs it.
const fatal = "ends engines"

// crashRig is a platform with engines that some request ends.
type crashRig struct {
	*rig
	engines []*standin.Replica
	sent    int
}

func newCrashRig(engines int) *crashRig {
	g := &crashRig{rig: newRig()}
	for i := range engines {
		g.engines = append(g.engines, g.replica(standin.ReplicaOptions{
			ID: fmt.Sprint("e", i), Service: "lm", Model: "m", Work: 2 * time.Millisecond, CrashOn: fatal, Back: 500 * time.Millisecond,
		}))
	}
	g.store.NameWeights("m", 1)
	g.configure(1, "k")
	return g
}

// begin starts a node and waits until it serves.
func (g *crashRig) begin() *running {
	n := g.start()
	Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK))
	return n
}

// ended counts the engines that ended.
func (g *crashRig) ended() int {
	n := 0
	for _, e := range g.engines {
		n += e.Ends()
	}
	return n
}

// send sends the request that ends engines under a new identifier.
func (g *crashRig) send(n *running) (int, http.Header) {
	g.sent++
	code, header, _, _ := askBody(n.caller, "/chat/x", fmt.Sprint("again", g.sent), "k", "", fatal)
	return code, header
}

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
	const sends = 12

	It("is not sent on from engine to engine, and is said not to have run", func() {
		g := newCrashRig(8)
		nodes := []*running{g.begin(), g.begin(), g.begin()}
		var last int
		var header http.Header
		for i := range sends {
			last, header = g.send(nodes[i%len(nodes)])
			// Instances hear of each other within this time.
			time.Sleep(150 * time.Millisecond)
		}
		Expect(g.ended()).To(BeNumerically("<=", allowed+further))
		Expect(last).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Retry-After")).To(BeEmpty(), "it is not invited back")
		for _, n := range nodes {
			Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK), "other requests")
		}
	})

	// Story: all instances are replaced at once, and the request comes again. It ends
	// three more engines, as if it had never been seen. The cause: what is held against it
	// was known to the instances only, and they keep nothing. Proof: with every instance
	// new, the engines that end are counted anew.
	It("is known to instances that have all started since", func() {
		g := newCrashRig(8)
		first := g.begin()
		Eventually(func() int { code, _ := g.send(first); return code }, "10s", "200ms").Should(Equal(http.StatusServiceUnavailable))
		before := g.ended()
		// The row is written behind the decision.
		time.Sleep(300 * time.Millisecond)
		first.node.Drain()
		Eventually(first.done, "8s").Should(Receive())
		first.done <- nil
		g.nodes = nil
		second := g.begin()
		Eventually(second.log.String, "5s").Should(ContainSubstring("Bars read."))
		for range 3 {
			code, _ := g.send(second)
			Expect(code).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(g.ended()).To(Equal(before))
	})
})
