package wasabirelay_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
)

// sendTarget sends a request with a target as it is written, and returns the status of the
// answer.
func (g *rig) sendTarget(target, key string) int {
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nId: id-1\r\nKey: %s\r\nConnection: close\r\n\r\n", target, key)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

var _ = Describe("A path", func() {
	// The rule for /desk/ requires a key, the one for /desk/open/ does not, and each has a
	// pool of its own.
	prepare := func(g *rig) {
		g.setView(func(v *wasabirelay.View) {
			cfg := *v.Config
			desk, open := cfg.Rules[1], cfg.Rules[1]
			desk.ID, desk.When.Path = "desk", "/desk/*"
			open.ID, open.When.Path, open.Then.Anonymous = "open", "/desk/open/*", true
			cfg.Rules = []wasabiridge.Rule{open, desk}
			v.Config = &cfg
		})
	}
	forms := map[string]struct {
		target string
		// open says that the path is one of the rule that requires no key. matches is
		// false if no rule matches.
		open, matches bool
		// sent is what the server receives, if it differs from target.
		sent string
	}{
		"of the inner rule":               {target: "/desk/open/x?a=b/c", open: true, matches: true},
		"of the outer rule":               {target: "/desk/x", matches: true},
		"with an escaped slash":           {target: "/desk/open%2Fx", matches: true},
		"with an escaped slash, in front": {target: "/desk%2Fopen/x"},
		"with an escaped letter":          {target: "/desk/%6Fpen/x", open: true, matches: true},
		"with an escaped percent sign":    {target: "/desk/open%252Fx", matches: true},
		"with dot segments":               {target: "/desk/../desk/open/x", matches: true},
		"with escaped dots":               {target: "/desk/%2e%2e/desk/open/x", matches: true},
		"with doubled slashes":            {target: "/desk//open/x", matches: true},
		"that begins with two slashes":    {target: "//desk/open/x"},
		"of an absolute address":          {target: "http://h/desk/open/x", open: true, matches: true, sent: "/desk/open/x"},
		"of another rule in its query":    {target: "/desk/x?/desk/open/", matches: true},
	}
	for _, name := range slices.Sorted(maps.Keys(forms)) {
		c := forms[name]
		if c.sent == "" {
			c.sent = c.target
		}
		want := func(g, at *rig, key string) {
			g.runner.script = []scriptedAttempt{answers(http.StatusOK, "ok")}
			at.runner.script = g.runner.script
			status := g.sendTarget(c.target, key)
			if !c.matches || !c.open && key != "k" {
				Expect(status).To(Equal(http.StatusTeapot), "refused")
				Expect(at.attempts()).To(BeZero())
				return
			}
			Expect(status).To(Equal(http.StatusOK))
			Expect(at.first().Path).To(Equal(c.sent))
			if c.open {
				Expect(at.first().Account).To(BeEmpty())
			} else {
				Expect(at.first().Account).To(BeEquivalentTo("acc"))
			}
		}
		for _, key := range []string{"", "z", "k"} {

			// Guards against a request that is served by the rule of another path, without the
			// key that its own rule requires.
			It("has one rule and is sent as it is: "+name+", key "+key, func() {
				g := newRig(once)
				prepare(g)
				want(g, g, key)
			})

			It("has the same rule at the instance that it is passed on to: "+name+", key "+key, func() {
				g, other := newRig(once), newRig(once)
				prepare(g)
				prepare(other)
				g.detour.lost, g.detour.others = true, []*rig{other}
				want(g, other, key)
			})
		}
	}
})
