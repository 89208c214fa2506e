package wasabirelay_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

// setSoftware sets the software versions of the servers, in their order.
func (g *rig) setSoftware(versions ...wasabiridge.SoftwareVersion) {
	cfg := *g.seen().Config
	servers := make([]wasabiridge.BackendServer, len(versions))
	for i, b := range cfg.Pools[0].Backends[:len(versions)] {
		b.Software = versions[i]
		servers[i] = b
	}
	cfg.Pools = []wasabiridge.Pool{{ID: "p", Backends: servers}}
	g.loop.Post(wasabiridge.ConfigAdopted{Config: cfg})
}

// Guards against an answer that is continued by a server with another software version than
// the one that began it.
var _ = Describe("A stream that breaks before servers of two software versions", func() {
	stream := wasabiridge.Action{Resume: true, Retry: true, Stream: true, Attempts: 2}

	It("goes on within the answer at the same version", func() {
		for i := range 12 {
			g := newRig(stream, streams(wasabiridge.AttemptBroken, "1", "2"), streams(wasabiridge.AttemptCompleted, "3"))
			versions := []wasabiridge.SoftwareVersion{"v1.1", "v1.1", "v1.1"}
			versions[i%3] = "v1"
			g.setSoftware(versions...)
			got := g.send("/open/x", "")
			first := g.first().Backend.Software
			if first == "v1" {
				Expect(g.attempts()).To(Equal(1), "no other server has the version")
				Expect(got.err).To(HaveOccurred())
				continue
			}
			Expect(g.attempts()).To(Equal(2))
			Expect(g.runner.attempts[1].Backend.Software).To(Equal(first))
			Expect(got.err).NotTo(HaveOccurred())
		}
	})

	It("may go on at any version if no event of it was sent", func() {
		g := newRig(stream, streams(wasabiridge.AttemptBroken), streams(wasabiridge.AttemptCompleted, "1"))
		g.setSoftware("v1", "v1.1")
		Expect(g.send("/open/x", "").err).NotTo(HaveOccurred())
		Expect(g.attempts()).To(Equal(2))
	})
})
