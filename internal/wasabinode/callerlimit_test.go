package wasabinode_test

import (
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/platform/standin"
)

var _ = Describe("The limits on callers in the configuration", func() {
	// Guards against a caller that is refused inside the limits that the operators have
	// configured, and against a connection that is kept beyond them.
	It("hold at the listener", func() {
		g := newRig()
		g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		n := g.start()
		g.store.PutConfig(standin.Config{
			Version:  1,
			Routes:   []standin.Route{{Name: "open", Host: "h", Prefix: "/open/", Kind: "unsafe", Service: "app", Timeout: 2000, Attempts: 1, Anonymous: true}},
			Services: []standin.Service{{Name: "app", Connections: 50}},
			Limits:   map[string]int{"maxHeaderBytes": 200 << 10, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 60000, "idleTimeoutMs": 500},
		})
		Eventually(status(n.caller, "/open/x", ""), "5s").Should(Equal(http.StatusOK))

		r, err := http.NewRequest(http.MethodPost, "http://"+n.caller+"/open/x", strings.NewReader("q"))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set("Wasabiridge-Attempt-Id", "large")
		r.Header.Set("X-Large", strings.Repeat("x", 150<<10))
		response, err := http.DefaultClient.Do(r)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		Expect(response.StatusCode).To(Equal(http.StatusOK))

		silent, err := net.Dial("tcp", n.caller)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = silent.Close() }()
		_, err = io.Copy(io.Discard, silent)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return metricsOf(n) }).Should(ContainSubstring(`wasabiridge_connections_closed_total{port="caller",reason="idle"} `))
	})
})
