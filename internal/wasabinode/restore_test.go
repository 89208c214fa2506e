package wasabinode_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/platform/standin"
)

// lostWrites is the number of writes to the store that a restore loses.
const lostWrites = 5000

// restored starts instances that have read a store of which the last writes are lost then.
// What operators and replicas wrote is written again.
func restored(instances int) *rig {
	g := newRig()
	g.keyLife = 3000
	g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
	g.configure(1, "old", "k")
	g.store.SetTargetWeights("m", 1)
	held := g.store.Copy()
	g.store.Touch(lostWrites)
	g.configure(2, "k")
	for range instances {
		n := g.start()
		Eventually(status(n.caller, "/book/x", "old"), "5s").Should(Equal(http.StatusUnauthorized))
	}
	g.store.Restore(held)
	return g
}

var _ = Describe("An instance whose store was restored from a copy", func() {
	// Guards against configurations that are ignored because the version of the store is
	// lower than before, until the store has passed the old one.
	It("takes configurations that are written afterwards", func() {
		g := restored(2)
		g.store.Rewrite()
		g.configure(3, "new")
		for _, n := range g.nodes {
			Eventually(status(n.caller, "/book/x", "new"), "5s").Should(Equal(http.StatusOK))
			Expect(status(n.caller, "/book/x", "k")()).To(Equal(http.StatusUnauthorized))
		}
	})

	// Guards against refusing requests because no read confirms the configuration.
	It("goes on serving if no configuration is written afterwards", func() {
		g := restored(2)
		g.store.Rewrite()
		for _, n := range g.nodes {
			Consistently(status(n.caller, "/book/x", "k"), "6s", "200ms").Should(Equal(http.StatusOK))
		}
	})

	// Guards against target versions of weights that are ignored for the same reason.
	It("loads weights that are named afterwards", func() {
		g := restored(1)
		g.store.Rewrite()
		engine := g.replica(standin.ReplicaOptions{ID: "e1", Service: "lm", Model: "m"})
		g.store.SetTargetWeights("m", 2)
		Eventually(func() []standin.Order { return engine.Orders() }, "9s").ShouldNot(BeEmpty())
	})

	// Guards against a revoked key that is valid again because the copy still has it, before
	// the operators have written again.
	It("never takes back a configuration that it has taken", func() {
		g := restored(2)
		for _, n := range g.nodes {
			Consistently(status(n.caller, "/book/x", "old"), "2s", "100ms").ShouldNot(Equal(http.StatusOK))
		}
	})

	// Guards against a replica that gets requests again because the copy lists it as ready.
	It("sends nothing to a replica that had announced that it leaves", func() {
		g := newRig()
		g.keyLife = 9000
		leaving := g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		g.configure(1, "k")
		n := g.start()
		Eventually(status(n.caller, "/book/x", "k"), "5s").Should(Equal(http.StatusOK))
		held := g.store.Copy()
		g.store.Touch(lostWrites)
		g.replica(standin.ReplicaOptions{ID: "s2", Service: "app"})
		leaving.Drain()
		served := func() int {
			before := len(leaving.Runs())
			for i := range 10 {
				Expect(status(n.caller, fmt.Sprint("/book/", i), "k")()).To(Equal(http.StatusOK))
			}
			return len(leaving.Runs()) - before
		}
		Eventually(served, "5s").Should(BeZero())
		g.store.Restore(held)
		Consistently(served, "2s", "100ms").Should(BeZero())
	})

	// Guards against rows that were acknowledged, are lost, and are missing after the next
	// restart of all instances.
	It("writes its own rows again", func() {
		g := newRig()
		engine := g.replica(standin.ReplicaOptions{ID: "e1", Service: "lm", Model: "m", Software: "v1"})
		DeferCleanup(engine.Close)
		g.configure(1, "k")
		held := g.store.Copy()
		for range 2 {
			g.start()
		}
		rows := []string{"member/n1", "member/n2", "software"}
		for _, row := range rows {
			Eventually(func() bool { return g.store.Has("router", row) }, "9s").Should(BeTrue(), row)
		}
		g.store.Restore(held)
		g.store.Rewrite()
		for _, row := range rows {
			Expect(g.store.Has("router", row)).To(BeFalse(), row)
		}
		for _, row := range rows {
			Eventually(func() bool { return g.store.Has("router", row) }, "9s").Should(BeTrue(), row)
		}
	})
})

var _ = Describe("The log of an instance that queries caches after its start", func() {
	// Guards against a line that says that a cache was not listed, but neither which nor why.
	It("names the first caches that could not be listed, and why", func() {
		garbage := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("garbage")) }))
		DeferCleanup(garbage.Close)
		full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }))
		DeferCleanup(full.Close)
		reasons := map[string]string{
			"127.0.0.1:1": "no_connection", "127.0.0.1:2": "no_connection",
			strings.TrimPrefix(garbage.URL, "http://"): "no_list", strings.TrimPrefix(full.URL, "http://"): "status",
		}
		config := standin.Config{Version: 1, Tenants: []standin.Tenant{{Name: "t", Keys: []string{"k"}}}}
		for _, address := range slices.Sorted(maps.Keys(reasons)) {
			config.Services = append(config.Services, standin.Service{Name: "kv-" + address, CacheStore: address, Zone: "z"})
		}
		g := newRig()
		g.store.PutConfig(config)
		n := g.start()
		line := func() string {
			i := strings.Index(n.log.String(), `"parts":0,"failed":4`)
			if i < 0 {
				return ""
			}
			found, _, _ := strings.Cut(n.log.String()[i:], "\n")
			return found
		}
		Eventually(line, "5s").ShouldNot(BeEmpty())
		first := slices.Sorted(maps.Keys(reasons))[:3]
		want := make([]string, len(first))
		for i, address := range first {
			want[i] = address + " " + reasons[address]
		}
		named, err := json.Marshal(want)
		Expect(err).NotTo(HaveOccurred())
		text := line()
		Expect(text[:min(200, len(text))]).To(ContainSubstring(`"failed_at":` + string(named)))
	})
})
