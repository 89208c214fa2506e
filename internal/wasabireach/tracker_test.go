package wasabireach_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabireach"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestReach(t *testing.T) { wasabitest.Run(t, "reach") }

// network drives a Tracker in virtual time. Connections to the servers in down fail.
type network struct {
	now     wasabiridge.Millis
	tracker *wasabireach.Tracker
	servers []wasabiridge.BackendServer
	down    map[wasabiridge.BackendServerID]bool
	dials   int
}

func newNetwork(servers int) *network {
	n := &network{now: wasabiridge.Second, tracker: wasabireach.New(1), down: map[wasabiridge.BackendServerID]bool{}}
	for i := range servers {
		n.servers = append(n.servers, wasabiridge.BackendServer{ID: wasabiridge.BackendServerID(fmt.Sprint("s", i))})
	}
	return n
}

// setDown makes connections to the first servers fail, and those to the others succeed.
func (n *network) setDown(count int) {
	for i, s := range n.servers {
		n.down[s.ID] = i < count
	}
}

// run lets time pass in steps of 100 ms. A connection takes a step.
func (n *network) run(duration wasabiridge.Millis) {
	for end := n.now + duration; n.now < end; {
		var sample []wasabiridge.BackendServer
		if n.tracker.Due(n.now) {
			sample = n.tracker.Check(n.servers)
		}
		n.now += 100
		if len(sample) == 0 {
			continue
		}
		var r wasabireach.Result
		for _, s := range sample {
			n.dials++
			if n.down[s.ID] {
				r.Failed++
			} else {
				r.Connected++
			}
		}
		n.tracker.Checked(n.now, r)
	}
}

func (n *network) detached() bool {
	_, detached := n.tracker.Detached()
	return detached
}

func (n *network) failConnection(server int) {
	n.tracker.Ended(n.now, wasabiridge.AttemptEnded{Attempt: 99, Backend: n.servers[server].ID, Result: wasabiridge.AttemptNotRun, Unreachable: true})
}

var _ = Describe("A tracker", func() {
	It("opens no connections while requests are answered, and none while there are none", func() {
		n := newNetwork(9)
		n.run(5 * wasabiridge.Second)
		for i := range 20 {
			id := wasabiridge.AttemptID(i + 1)
			n.tracker.Sent(n.now, id)
			n.run(200)
			n.tracker.Received(n.now, id)
		}
		Expect(n.dials).To(BeZero())
	})

	It("detects within a second and a half that established connections hang", func() {
		n := newNetwork(9)
		n.setDown(9)
		n.tracker.Sent(n.now, 1)
		n.run(1500)
		Expect(n.detached()).To(BeTrue())
	})

	It("detects that new connections are refused while established ones work", func() {
		n := newNetwork(9)
		n.setDown(9)
		for i := range 10 {
			n.tracker.Sent(n.now, wasabiridge.AttemptID(i+1))
			n.failConnection(i % 3)
			n.run(100)
			n.tracker.Received(n.now, wasabiridge.AttemptID(i+1))
		}
		Expect(n.detached()).To(BeTrue())
	})

	// Guards against an instance that stays detached after the partition has healed.
	It("detects that the path is back", func() {
		n := newNetwork(9)
		n.setDown(9)
		n.tracker.Sent(n.now, 1)
		n.run(3 * wasabiridge.Second)
		n.setDown(0)
		n.run(700)
		Expect(n.detached()).To(BeFalse())
		before := n.dials
		n.tracker.Received(n.now, 1)
		n.run(5 * wasabiridge.Second)
		Expect(n.dials).To(Equal(before))
	})

	// Guards against an instance that withdraws because some servers have crashed or one
	// is silent.
	DescribeTable("does not count as detached while most servers can be reached",
		func(down int) {
			n := newNetwork(12)
			n.setDown(down)
			n.tracker.Sent(n.now, 1)
			for range 40 {
				for i := range down {
					n.failConnection(i)
				}
				n.run(500)
				Expect(n.detached()).To(BeFalse())
			}
			Expect(n.dials).To(BeNumerically("<=", 20*7), "checks in 20 s")
		},
		Entry("one silent server", 0), Entry("two crashed servers", 2), Entry("a third of the servers crashed", 4),
	)

	It("needs a single sample where there are few servers", func() {
		n := newNetwork(2)
		n.setDown(2)
		n.tracker.Sent(n.now, 1)
		n.run(700)
		Expect(n.detached()).To(BeTrue())
		n.servers = nil
		n.run(wasabiridge.Second)
		Expect(n.detached()).To(BeTrue())
	})
})
