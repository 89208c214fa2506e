package wasabinode_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/platform/standin"
)

var _ = Describe("A rollout of a software version", func() {
	const perSecond = 200

	// requests counts how the requests of callers end, ended by instance. Each instance has one
	// caller, which sends one request after the other.
	type requests struct {
		failed atomic.Int64
		ended  [2]atomic.Int64
	}
	// begin orders a rollout of the plain service to v2 while callers send requests, and
	// returns the servers of both versions and how the requests end.
	begin := func(g *rig, seconds float64) (old, added []*standin.Replica, sent *requests) {
		n := g.start()
		other := g.start()
		for i := range 3 {
			old = append(old, g.replica(standin.ReplicaOptions{ID: fmt.Sprint("old", i), Service: "app", Software: "v1", ProcessingTime: 5 * time.Millisecond}))
		}
		g.configure(1, "k")
		for _, node := range []*running{n, other} {
			Eventually(status(node.caller, "/open/x", ""), "5s").Should(Equal(200))
		}
		sent = &requests{}
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
						sent.failed.Add(1)
					}
					sent.ended[i].Add(1)
				}
			}()
		}
		for i := range 3 {
			added = append(added, g.replica(standin.ReplicaOptions{ID: fmt.Sprint("new", i), Service: "app", Software: "v2", ProcessingTime: 5 * time.Millisecond}))
		}
		g.store.Put("op", "rollout/app", map[string]any{"service": "app", "to": "v2", "durationS": seconds})
		return old, added, sent
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
		old, added, sent := begin(g, 6)
		Eventually(state(g), "3s").Should(Equal("v2 running"))
		Eventually(state(g), "15s").Should(Equal("v2 completed"))
		before := runs(old)
		for _, r := range old {
			r.Close()
		}
		Consistently(func() int { return runs(old) }, "1s").Should(Equal(before))
		Expect(runs(added)).To(BeNumerically(">", 10))
		Expect(sent.failed.Load()).To(BeZero())
	})

	// phase returns the phase of the rollout by which an instance places requests.
	phase := func(n *running) func() wasabiridge.RolloutPhase {
		return func() wasabiridge.RolloutPhase {
			response, err := http.Get("http://" + n.metrics + "/rollouts")
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			var list []struct{ Phase wasabiridge.RolloutPhase }
			if Expect(json.NewDecoder(response.Body).Decode(&list)).To(Succeed()); len(list) != 1 {
				return ""
			}
			return list[0].Phase
		}
	}

	It("to a bad version is rolled back, with few requests at it and none afterwards", func() {
		g := newRig()
		old, added, sent := begin(g, 20)
		for _, r := range added {
			r.FailWith(func(int) standin.Fault { return standin.Error })
		}
		Eventually(state(g), "15s").Should(Equal("v2 rolled_back"))
		Expect(runs(added)).To(BeNumerically("<=", 50))
		Expect(runs(added)).To(BeNumerically("<=", runs(old)/10))
		decided := ""
		for _, n := range g.nodes {
			Eventually(phase(n), "5s").Should(Equal(wasabiridge.RolloutRolledBack))
			decided += n.log.String()
		}
		// A request that was placed before has ended once its caller has sent the next one.
		for i := range sent.ended {
			ended := sent.ended[i].Load()
			Eventually(sent.ended[i].Load, "5s").Should(BeNumerically(">=", ended+2))
		}
		before := runs(added)
		Expect(before).To(BeNumerically("<=", 50))
		Expect(before).To(BeNumerically("<=", runs(old)/10))
		Consistently(func() int { return runs(added) }, "1s").Should(Equal(before))
		Expect(slices.Collect(strings.SplitSeq(decided, "\n"))).To(ContainElement(And(ContainSubstring("Phase of a rollout decided."),
			ContainSubstring(`"phase":"rolled_back"`), ContainSubstring(`"measure":"failures"`))))
	})
})
