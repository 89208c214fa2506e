package wasabirate_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirate"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestRate(t *testing.T) {
	wasabitest.Run(t, "rate")
}

const (
	server = wasabiridge.BackendServerID("s")
	// rate is the limit of the server, in requests per second.
	rate = 6.0
	// span is the period over which requests are counted, and maxRequests the number
	// that may reach the server within it.
	span        = 4 * wasabiridge.Second
	maxRequests = 41
)

// sender is one instance that sends as often as it may.
type sender struct {
	group *wasabirate.Group
	limit wasabirate.Limit
}

func newSenders(now wasabiridge.Millis, n int) []*sender {
	var out []*sender
	for _, id := range names(n) {
		s := &sender{group: wasabirate.NewGroup(id)}
		s.limit.Report(now, now, rate)
		out = append(out, s)
	}
	return out
}

func names(n int) []wasabiridge.InstanceID {
	var out []wasabiridge.InstanceID
	for i := range n {
		out = append(out, wasabiridge.InstanceID(fmt.Sprint("i", i)))
	}
	return out
}

// send runs all senders over a period and returns the number of requests sent. The
// server reports its limit in each answer.
func send(from, until wasabiridge.Millis, senders []*sender) int {
	sent := 0
	for now := from; now < until; now += 20 {
		for _, s := range senders {
			s.group.Expire(now)
			s.limit.Report(now, now, rate)
			if s.limit.Wait(now, server, s.group) == 0 {
				s.limit.RecordSent(now, server, s.group)
				sent++
			}
		}
	}
	return sent
}

var _ = Describe("The rate of a server", func() {
	// Guards against instances that start together and each assume that there is no
	// other one.
	It("is not used in full by each instance that has just started", func() {
		senders := newSenders(1000, 12)
		for i, s := range senders {
			s.group.SetInstances(1000, names(12)[i:i+1])
		}
		Expect(send(1000, 1000+span, senders)).To(BeNumerically("<=", maxRequests))
	})

	// Guards against both sides of a network partition taking the whole rate once they
	// have dropped the instances of the other side.
	It("is kept by both sides of a long network partition together", func() {
		senders := newSenders(1000, 12)
		for _, s := range senders {
			s.group.SetInstances(1000, names(12))
		}
		send(1000, 5000, senders)
		for i, s := range senders {
			s.group.SetInstances(5000, names(12)[i/6*6:i/6*6+6])
		}
		send(5000, 40_000, senders)
		Expect(send(40_000, 40_000+span, senders)).To(BeNumerically("<=", maxRequests))
	})

	It("is used in full by an instance that has been alone for long", func() {
		senders := newSenders(1000, 1)
		senders[0].group.SetInstances(1000, names(1))
		send(1000, 62_000, senders)
		Expect(send(62_000, 62_000+span, senders)).To(BeNumerically("~", rate*4, 2))
	})

	// Guards against shares that add up to more than the rate because an instance that
	// callers are not sent to counts itself, which the others do not.
	It("is not shared by instances that callers are not sent to", func() {
		senders := newSenders(1000, 24)
		for _, s := range senders {
			s.group.SetInstances(1000, names(24)[:6])
		}
		Expect(send(1000, 9000, senders[6:])).To(BeZero())
		Expect(send(9000, 9000+span, senders)).To(BeNumerically("<=", maxRequests))
		Expect(send(14_000, 24_000, senders)).To(BeNumerically(">=", 0.8*rate*10))
	})

	// Guards against instances that each saw only themselves at their start, and count
	// themselves beside the others from then on, to which they were never known.
	It("is not shared by instances that callers were sent to only while they knew nobody", func() {
		senders := newSenders(1000, 24)
		for i, s := range senders {
			s.group.SetInstances(1000, names(24)[i:i+1])
			s.group.SetInstances(2000, names(24)[:6])
		}
		Expect(send(2000, 10_000, senders[6:])).To(BeZero())
	})

	// Guards against an instance that goes on with its share although the others have dropped
	// it from theirs, because it noticed later that callers are not sent to it any more.
	It("is not shared any more by an instance that callers have not been sent to for long", func() {
		senders := newSenders(1000, 6)
		for _, s := range senders {
			s.group.SetInstances(1000, names(6))
		}
		send(1000, 5000, senders)
		for _, s := range senders {
			s.group.SetInstances(5000, names(5))
		}
		Expect(send(6000, 50_000, senders[5:])).To(BeNumerically(">", 0))
		send(50_000, 55_000, senders)
		Expect(send(55_000, 75_000, senders[5:])).To(BeZero())
	})

	// Guards against instances that join and take their shares before the others know them
	// and take less.
	It("is kept while instances join that the others see a second later", func() {
		senders := newSenders(1000, 24)
		for _, s := range senders[:12] {
			s.group.SetInstances(1000, names(12))
		}
		send(1000, 9000, senders[:12])
		for _, s := range senders[12:] {
			s.group.SetInstances(9000, names(24))
		}
		sent := send(9000, 10_000, senders)
		for _, s := range senders[:12] {
			s.group.SetInstances(10_000, names(24))
		}
		Expect(sent + send(10_000, 9000+span, senders)).To(BeNumerically("<=", maxRequests))
	})

	// Guards against a limit that ends at all instances at the same moment because no answer
	// has confirmed it, and against one that no instance ever tests.
	It("is tested by one instance after the other once no answer has confirmed it for long", func() {
		senders := newSenders(1000, 24)
		for _, s := range senders {
			s.group.SetInstances(1000, names(24))
			s.limit.Report(1000, 1000, 0)
		}
		var sent []wasabiridge.Millis
		for now := 1000 + 5*wasabiridge.Second; now < 40*wasabiridge.Second; now += 20 {
			for _, s := range senders {
				s.group.Expire(now)
				if s.limit.Wait(now, server, s.group) == 0 {
					s.limit.RecordSent(now, server, s.group)
					sent = append(sent, now)
				}
			}
		}
		for i := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < sent[i]+span {
					n++
				}
			}
			Expect(n).To(BeNumerically("<=", 5+3), "a server that takes half a request a second")
		}
		Expect(len(sent)).To(BeNumerically(">", 24))
	})
})
