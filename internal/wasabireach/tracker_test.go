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
	// mute makes servers accept connections and give no answer.
	mute bool
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
			if n.down[s.ID] || n.mute && n.tracker.Mute() {
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
			n.tracker.Sent(n.now, id, "s0")
			n.run(200)
			n.tracker.Received(n.now, id)
		}
		Expect(n.dials).To(BeZero())
	})

	It("detects within a second and a half that established connections hang", func() {
		n := newNetwork(9)
		n.setDown(9)
		n.tracker.Sent(n.now, 1, "s0")
		n.run(1500)
		Expect(n.detached()).To(BeTrue())
	})

	It("detects that new connections are refused while established ones work", func() {
		n := newNetwork(9)
		n.setDown(9)
		for i := range 10 {
			n.tracker.Sent(n.now, wasabiridge.AttemptID(i+1), "s0")
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
		n.tracker.Sent(n.now, 1, "s0")
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
			n.tracker.Sent(n.now, 1, "s0")
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

	// Guards against an instance that takes connections which a device on the path accepts
	// for a path, while they hang or are reset.
	DescribeTable("detects that connections carry nothing, if another instance is answered",
		func(bring func(n *network, a wasabiridge.AttemptID, server wasabiridge.BackendServerID)) {
			n := newNetwork(9)
			for i := range 12 {
				bring(n, wasabiridge.AttemptID(i+1), n.servers[i%3].ID)
				n.run(100)
			}
			Expect(n.detached()).To(BeFalse(), "nothing is known of the servers")
			Expect(n.tracker.InDoubt(n.now)).To(BeTrue())
			Expect(n.tracker.InDoubt(n.now)).To(BeFalse(), "one request at a time")
			n.tracker.NotServedElsewhere()
			Expect(n.tracker.InDoubt(n.now)).To(BeTrue(), "the other one refused the request")
			Expect(n.tracker.ServedElsewhere(n.now)).To(BeTrue())
			Expect(n.tracker.Mute()).To(BeTrue())
			n.setDown(9) // No server answers.
			n.run(3 * wasabiridge.Second)
			Expect(n.detached()).To(BeTrue())
			n.setDown(0)
			n.run(700)
			Expect(n.detached()).To(BeFalse())
			Expect(n.tracker.Mute()).To(BeFalse())
			n.run(5 * wasabiridge.Second)
			Expect(n.tracker.InDoubt(n.now)).To(BeFalse(), "nothing was sent since")
		},
		Entry("hang", func(n *network, a wasabiridge.AttemptID, server wasabiridge.BackendServerID) {
			n.tracker.Sent(n.now, a, server)
		}),
		Entry("are reset", func(n *network, a wasabiridge.AttemptID, server wasabiridge.BackendServerID) {
			n.tracker.Sent(n.now, a, server)
			n.tracker.Ended(n.now, wasabiridge.AttemptEnded{Attempt: a, Backend: server, Result: wasabiridge.AttemptBroken})
		}),
	)

	// Guards against callers that wait for answers which no instance can get.
	It("detects that connections carry nothing if no server answers a status check either", func() {
		n := newNetwork(10)
		n.mute = true
		n.tracker.Sent(n.now, 1, "s0")
		n.tracker.Sent(n.now, 2, "s1")
		n.run(1500)
		Expect(n.detached()).To(BeFalse(), "servers may be silent for a moment")
		n.run(900)
		Expect(n.detached()).To(BeTrue())
		n.mute = false
		n.run(1200)
		Expect(n.detached()).To(BeFalse())
	})

	// Guards against refusing all requests while a connection that was open before would
	// still serve them.
	It("is silent when nothing arrives, but for one request a second", func() {
		n := newNetwork(3)
		n.tracker.Sent(n.now, 1, "s0")
		n.tracker.Received(n.now, 1)
		Expect(n.tracker.Silent(n.now)).To(BeFalse())
		n.now += 1000
		Expect(n.tracker.Silent(n.now)).To(BeFalse(), "the first one is tried")
		Expect(n.tracker.Silent(n.now)).To(BeTrue())
		n.now += 1000
		Expect(n.tracker.Silent(n.now)).To(BeFalse())
	})

	It("does not count as detached if a server answers a status check", func() {
		n := newNetwork(10)
		n.tracker.Sent(n.now, 1, "s0")
		n.tracker.Sent(n.now, 2, "s1")
		n.run(4000)
		Expect(n.detached()).To(BeFalse())
		Expect(n.dials).To(BeNumerically("<=", 10))
	})

	It("is in no doubt while one of the servers answers, or only one is silent", func() {
		n := newNetwork(9)
		for i := range 20 {
			n.tracker.Sent(n.now, wasabiridge.AttemptID(2*i+1), n.servers[i%3].ID)
			n.tracker.Sent(n.now, wasabiridge.AttemptID(2*i+2), n.servers[5].ID)
			n.run(200)
			n.tracker.Received(n.now, wasabiridge.AttemptID(2*i+2))
			Expect(n.tracker.InDoubt(n.now)).To(BeFalse())
		}
		n = newNetwork(9)
		for i := range 20 {
			n.tracker.Sent(n.now, wasabiridge.AttemptID(i+1), n.servers[3].ID)
			n.run(100)
			Expect(n.tracker.InDoubt(n.now)).To(BeFalse())
			Expect(n.tracker.ServedElsewhere(n.now)).To(BeFalse())
		}
	})

	It("is in doubt where connections to other servers carry nothing, until one is answered", func() {
		n := newNetwork(2)
		n.tracker.Sent(n.now, 1, n.servers[0].ID)
		n.tracker.Received(n.now, 1)
		n.run(100)
		n.tracker.Doubt(n.now)
		Expect(n.tracker.InDoubt(n.now)).To(BeFalse())
		n.run(300)
		Expect(n.tracker.InDoubt(n.now)).To(BeTrue())
		n.tracker.Received(n.now, 1)
		n.tracker.Sent(n.now, 2, n.servers[0].ID)
		n.run(500)
		Expect(n.tracker.InDoubt(n.now)).To(BeFalse())
	})

	// Guards against an answer that was on the way when the path was lost, and is taken for
	// the end of that.
	It("stays detached when an earlier attempt is answered", func() {
		n := newNetwork(9)
		for i := range 10 {
			n.tracker.Sent(n.now, wasabiridge.AttemptID(i+1), n.servers[i%3].ID)
			n.run(100)
		}
		Expect(n.tracker.ServedElsewhere(n.now)).To(BeTrue())
		n.tracker.Received(n.now, 1)
		Expect(n.detached()).To(BeTrue())
	})

	It("needs a single sample where there are few servers", func() {
		n := newNetwork(2)
		n.setDown(2)
		n.tracker.Sent(n.now, 1, "s0")
		n.run(700)
		Expect(n.detached()).To(BeTrue())
		n.servers = nil
		n.run(wasabiridge.Second)
		Expect(n.detached()).To(BeTrue())
	})
})
