package wasabinode_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/platform/standin"
)

// fatal is the body of a request that crashes every engine that runs it.
const fatal = "ends engines"

// crashRig is a platform with engines that crash on the body fatal.
type crashRig struct {
	*rig
	engines []*standin.Replica
	sent    int
}

func newCrashRig(engines int) *crashRig {
	g := &crashRig{rig: newRig()}
	for i := range engines {
		g.engines = append(g.engines, g.replica(standin.ReplicaOptions{
			ID: fmt.Sprint("e", i), Service: "lm", Model: "m", ProcessingTime: 2 * time.Millisecond, CrashOn: fatal, RestartDelay: 500 * time.Millisecond,
		}))
	}
	g.store.SetTargetWeights("m", 1)
	g.configure(1, "k")
	return g
}

// startServing starts a node and waits until it serves.
func (g *crashRig) startServing() *running {
	n := g.start()
	Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK))
	return n
}

// crashes returns how often engines crashed.
func (g *crashRig) crashes() int {
	n := 0
	for _, e := range g.engines {
		n += e.Crashes()
	}
	return n
}

// send sends the request that crashes engines, under a new identifier.
func (g *crashRig) send(n *running) (int, http.Header) {
	g.sent++
	code, header, _, _ := sendBody(n.caller, "/chat/x", fmt.Sprint("again", g.sent), "k", "", fatal)
	return code, header
}

// Guards against a request that crashes the engines of a whole pool one after the other,
// and with each of them aborts the streams of other callers. Its caller sends it again,
// each time under another identifier and to another instance. If instances recognise a
// request by its identifier only and send each other no updates on crashes, each send
// counts as a new request: twelve sends crash an engine each, and more with retries. In
// the logs the same account, rule, size and shared prefix segment precede each crash.
var _ = Describe("A request that crashes every engine that runs it", func() {
	// allowed is how many engines it may crash, and further how often it may be sent to an
	// engine after that.
	const allowed, further = 3, 3
	const sends = 12

	It("is not sent from engine to engine, and is refused as not run", func() {
		g := newCrashRig(8)
		nodes := []*running{g.startServing(), g.startServing(), g.startServing()}
		var last int
		var header http.Header
		for i := range sends {
			last, header = g.send(nodes[i%len(nodes)])
			// Updates on crashes reach the other instances within this time.
			time.Sleep(150 * time.Millisecond)
		}
		Expect(g.crashes()).To(BeNumerically("<=", allowed+further))
		Expect(last).To(Equal(http.StatusServiceUnavailable))
		Expect(header.Get("Retry-After")).To(BeEmpty(), "the caller must not be asked to retry")
		for _, n := range nodes {
			Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK), "other requests")
		}
	})

	// Guards against a block that does not survive the replacement of all instances at
	// once. If only the instances' memory holds the evidence, new instances count the
	// crashes of the request from zero, and it crashes three more engines.
	It("stays blocked after all instances were replaced", func() {
		g := newCrashRig(8)
		first := g.startServing()
		Eventually(func() int { code, _ := g.send(first); return code }, "10s", "200ms").Should(Equal(http.StatusServiceUnavailable))
		before := g.crashes()
		// The row is written asynchronously, after the request was refused.
		time.Sleep(300 * time.Millisecond)
		first.node.Drain()
		Eventually(first.done, "8s").Should(Receive())
		first.done <- nil
		g.nodes = nil
		second := g.startServing()
		Eventually(second.log.String, "5s").Should(ContainSubstring("Bars read."))
		for range 3 {
			code, _ := g.send(second)
			Expect(code).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(g.crashes()).To(Equal(before))
	})
})
