package wasabinode_test

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge/platform/standin"
)

var _ = Describe("A rollout of a software version", func() {
	const perSecond = 200

	// begin orders a rollout of the plain service to v2 while callers send requests, and
	// returns the servers of both versions and how the requests end.
	begin := func(g *rig, seconds float64) (old, added []*standin.Replica, failed *atomic.Int64) {
		n := g.start()
		other := g.start()
		for i := range 3 {
			old = append(old, g.replica(standin.ReplicaOptions{ID: fmt.Sprint("old", i), Service: "app", Software: "v1", ProcessingTime: 5 * time.Millisecond}))
		}
		g.configure(1, "k")
		for _, node := range []*running{n, other} {
			Eventually(status(node.caller, "/open/x", ""), "5s").Should(Equal(200))
		}
		failed = &atomic.Int64{}
		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		for i, node := range []*running{n, other} {
			go func() {
				defer GinkgoRecover()
				for id := 0; ; id++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Second / perSecond):
					}
					if code, _, _ := send(node.caller, "/open/x", fmt.Sprintf("%d-%d", i, id), ""); code != 200 {
						failed.Add(1)
					}
				}
			}()
		}
		for i := range 3 {
			added = append(added, g.replica(standin.ReplicaOptions{ID: fmt.Sprint("new", i), Service: "app", Software: "v2", ProcessingTime: 5 * time.Millisecond}))
		}
		g.store.Put("op", "rollout/app", map[string]any{"service": "app", "to": "v2", "durationS": seconds})
		return old, added, failed
	}
	state := func(g *rig) func() string {
		return func() string {
			var s struct{ State, To string }
			if value := g.store.Value("status", "rollout/app"); json.Unmarshal(value, &s) != nil {
				return ""
			}
			return s.To + " " + s.State
		}
	}
	runs := func(list []*standin.Replica) int {
		count := 0
		for _, r := range list {
			count += len(r.Runs())
		}
		return count
	}

	It("to a good version is completed, without a failed request", func() {
		g := newRig()
		old, added, failed := begin(g, 6)
		Eventually(state(g), "3s").Should(Equal("v2 running"))
		Eventually(state(g), "15s").Should(Equal("v2 completed"))
		before := runs(old)
		for _, r := range old {
			r.Close()
		}
		Consistently(func() int { return runs(old) }, "1s").Should(Equal(before))
		Expect(runs(added)).To(BeNumerically(">", 10))
		Expect(failed.Load()).To(BeZero())
	})

	It("to a bad version is rolled back, with few requests at it and none afterwards", func() {
		g := newRig()
		old, added, _ := begin(g, 20)
		for _, r := range added {
			r.FailWith(func(int) standin.Fault { return standin.Error })
		}
		Eventually(state(g), "15s").Should(Equal("v2 rolled_back"))
		before := runs(added)
		Expect(before).To(BeNumerically("<=", 50))
		Expect(before).To(BeNumerically("<=", runs(old)/10))
		Consistently(func() int { return runs(added) }, "1s").Should(Equal(before))
		Expect(g.nodes[0].lastLines("Phase of a rollout decided.")).To(ContainSubstring(`"measure":"failures"`))
	})
})
