package wasabinode_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/platform/standin"
)

// slowUpload sends the head of a request and all of its body but a byte, and the rest after a time.
// It returns the status of the response, or zero if the connection ended without one.
func slowUpload(caller, path, id string, rest time.Duration) int {
	conn, err := net.Dial("tcp", caller)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nWasabiridge-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\nq", path, id)
	if err != nil {
		return 0
	}
	time.Sleep(rest)
	if _, err = fmt.Fprint(conn, "q"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against requests that are passed on late in a shutdown and cut off at its end, without
// an answer. The grace period of these nodes is 3 s, and they end 2.6 s after Drain.
var _ = Describe("A shutdown while callers upload slowly", func() {
	const work, upload = 950 * time.Millisecond, 900 * time.Millisecond
	rules := map[string]bool{"a rule whose requests it has served": true, "a rule that it has not served": false}
	for _, name := range wasabitest.SortedKeys(rules) {
		learned := rules[name]
		It("cuts off no request that was passed on, of "+name, func() {
			g := newRig()
			n := g.start()
			replica := g.replica(standin.ReplicaOptions{ID: "s1", Service: "app", ProcessingTime: work, Slots: 64})
			g.configure(1, "k")
			if learned {
				Eventually(status(n.caller, "/open/x", "k"), "6s").Should(Equal(http.StatusOK))
			} else {
				Eventually(status(n.caller, "/book/x", "k"), "6s").Should(Equal(http.StatusOK))
			}
			n.node.Drain()
			statuses := map[string]int{}
			var mu sync.Mutex
			var wg sync.WaitGroup
			for i := range 12 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					// Uploads end between 1.2 s and 1.8 s after Drain.
					time.Sleep(time.Duration(300+55*i) * time.Millisecond)
					id := fmt.Sprint("u", i)
					got := slowUpload(n.caller, "/open/x", id, upload)
					mu.Lock()
					defer mu.Unlock()
					statuses[id] = got
				}()
			}
			wg.Wait()
			refused := 0
			ran := map[string]bool{}
			for _, run := range replica.Runs() {
				ran[run.Attempt] = true
			}
			for id, got := range statuses {
				switch {
				case ran[id]:
					Expect(got).To(Equal(http.StatusOK), "%s was passed on; all: %v", id, statuses)
				case got == http.StatusServiceUnavailable:
					refused++
				default:
					Expect(got).To(BeZero(), "%s", id)
				}
			}
			fmt.Fprintf(GinkgoWriter, "refused %d, ran %d of %d\n", refused, len(ran)-1, len(statuses))
		})
	}
})
