package wasabibackend_test

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// serveHead starts a server that answers with a head, fields and a body.
func serveHead(head, fields, body string) string {
	url, stop := wasabitest.ServeHead(head, fields, body)
	DeferCleanup(stop)
	return url
}

var _ = Describe("A response whose head is malformed", func() {
	const events = "Content-Type: text/event-stream\r\n" + wasabiridge.HeaderWeights + ": 7\r\n"
	for _, name := range slices.Sorted(maps.Keys(wasabitest.MalformedHeads)) {
		head := wasabitest.MalformedHeads[name]
		attempts := map[string]func() wasabiridge.Attempt{
			"a booking": func() wasabiridge.Attempt {
				return bookingOf(wasabiridge.BackendServer{ID: "s", URL: serveHead(head, "", "ok")}, "k")
			},
			"a request that may be repeated": func() wasabiridge.Attempt {
				a := bookingOf(wasabiridge.BackendServer{ID: "s", URL: serveHead(head, "", "ok")}, "k")
				a.NonIdempotent = false
				return a
			},
			"a refusal of a booking": func() wasabiridge.Attempt {
				return bookingOf(wasabiridge.BackendServer{ID: "s", URL: serveHead(head, wasabiridge.HeaderDisposition+": not_run\r\n", "")}, "k")
			},
			"a stream": func() wasabiridge.Attempt {
				return streamOf(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: serveHead(head, events, tokenEvents(1, 8)+usageEvent+doneEvent)})
			},
		}
		for _, attempt := range slices.Sorted(maps.Keys(attempts)) {
			// Guards against bytes that are no response and reach the caller as one.
			It("breaks "+attempt+": "+name, func() {
				var reports []wasabiridge.ResponseMalformed
				ended, s := run(newRunner(wasabibackend.Options{Observe: func(e wasabiridge.ResponseMalformed) { reports = append(reports, e) }}), attempts[attempt]())
				Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
				Expect(s.sent).To(Equal(1))
				Expect(s.status).To(BeZero())
				Expect(s.chunks).To(BeZero())
				Expect(reports).To(HaveLen(1))
				Expect(reports[0].Part).To(Equal(wasabiridge.PartHead))
			})
		}

		// Guards against loads and cache events of servers that answer so.
		It("tells no load and no cache event: "+name, func() {
			body := `{"running":1,"waiting":0,"slots":8,"leaving":true}`
			n := watch(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: serveHead(head, "", body)})
			Eventually(func() int { return n.drain().lost }, eventuallyTimeout, 5*time.Millisecond).Should(BeNumerically(">", 0))
			Expect(n.loads).To(BeEmpty())
			Expect(n.leaves).To(BeZero())
		})
	}
})
