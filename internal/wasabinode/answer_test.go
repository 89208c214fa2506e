package wasabinode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/platform/standin"
)

// brokenReplica runs each request that has an identifier and answers it with bytes that are no
// response, or with a part of one.
type brokenReplica struct {
	answer string
	// early makes it answer before it has read the body, and reset the connection.
	early bool
	mu    sync.Mutex
	ran   map[string]int
}

func (r *brokenReplica) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := q.Header.Get("Wasabiridge-Attempt-Id")
		if id == "" {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nWasabiridge-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		r.mu.Lock()
		r.ran[id]++
		r.mu.Unlock()
		if !r.early {
			_, _ = io.Copy(io.Discard, q.Body)
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(r.answer, "ID", id))
		if r.early {
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
			return
		}
	}
}

// broken starts a broken replica and registers it.
func (g *rig) broken(id string, r *brokenReplica) *brokenReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	r.ran = map[string]int{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn.(*net.TCPConn))
		}
	}()
	g.store.Put("servers", id, map[string]any{"service": "app", "address": listener.Addr().String(), "zone": "z", "slots": 16, "state": "ready", "sequence": 1})
	return r
}

// Guards against bytes that are no response, or a part of one, which a caller gets as an answer, and
// against callers that get no answer at all because of them.
var _ = Describe("Callers of a node, one of whose servers is broken,", func() {
	const fields = "Wasabiridge-Attempt-Id: ID\r\nWasabiridge-Server-Seal: s\r\nWasabiridge-Replica-Load: 0,0,16\r\n"
	forms := map[string]*brokenReplica{
		"and answers with status 000":               {answer: "HTTP/1.1 000 OK\r\n" + fields + "Content-Length: 3\r\n\r\nbad"},
		"and answers with a blank in a name":        {answer: "HTTP/1.1 200 OK\r\nX Y: 1\r\n" + fields + "Content-Length: 3\r\n\r\nbad"},
		"and answers with a length behind a blank":  {answer: "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n" + fields + "\r\nbad"},
		"and answers with a control byte in a name": {answer: "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n" + fields + "Content-Length: 3\r\n\r\nbad"},
		"and resets early responses":                {answer: "HTTP/1.1 200 OK\r\n" + fields + "\r\nbad", early: true},
	}
	for _, name := range wasabitest.SortedKeys(forms) {
		form := forms[name]
		It("get the whole answer of a sound one, or hear that the request may have run: "+name, func() {
			g := newRig()
			n := g.start()
			g.store.PutConfig(standin.Config{
				Version: 1,
				Routes: []standin.Route{
					{Name: "look", Host: "h", Prefix: "/look/", Kind: "safe", Service: "app", Timeout: 3000, Attempts: 2},
					{Name: "book", Host: "h", Prefix: "/book/", Kind: "unsafe", Service: "app", Timeout: 3000, Attempts: 2},
				},
				Services: []standin.Service{{Name: "app", Connections: 50}},
				Tenants:  []standin.Tenant{{Name: "t", Keys: []string{"k"}}},
			})
			g.replica(standin.ReplicaOptions{ID: "sound", Service: "app"})
			Eventually(status(n.caller, "/look/x", "k"), "6s").Should(Equal(http.StatusOK))
			broken := g.broken("broken", &brokenReplica{answer: form.answer, early: form.early})
			text := strings.Repeat("q", 512<<10)
			if form.early {
				// Otherwise the buffers of the system hold most uploads.
				text = strings.Repeat(text, 12)
			}
			answered := map[string]int{}
			for i := 0; i < 200 && (i < 40 || broken.runs() < 6); i++ {
				path := [...]string{"/look/x", "/book/x"}[i%2]
				id := fmt.Sprint("c", i)
				code, h, body, err := sendBody(n.caller, path, id, "k", "", text)
				Expect(err).NotTo(HaveOccurred(), "%s at %s has no answer", id, path)
				answered[fmt.Sprint(path, code)]++
				switch code {
				case http.StatusOK:
					Expect(body).To(Equal("answer to "+id), "%v", h)
				case http.StatusBadGateway:
					Expect(broken.runsOf(id)).To(Equal(1))
				default:
					Expect(code).To(Equal(http.StatusServiceUnavailable))
					Expect(broken.runsOf(id)).To(BeZero())
				}
				Expect(broken.runsOf(id)).To(BeNumerically("<=", 1))
				time.Sleep(20 * time.Millisecond)
			}
			fmt.Fprintln(GinkgoWriter, name, answered, broken.runs())
			Expect(broken.runs()).To(BeNumerically(">=", 3))
			Expect(answered["/look/x200"]).To(BeNumerically(">", 0))
			// A request that may be repeated fails only if the retry budget is used up.
			Eventually(func() int { return strings.Count(n.log.String(), `"cause":"retry_budget"`) }).Should(Equal(answered["/look/x502"]))
		})
	}
})

// runs returns how many requests the replica ran, and runsOf how often it ran one.
func (r *brokenReplica) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ran)
}

func (r *brokenReplica) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}
