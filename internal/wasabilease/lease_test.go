package wasabilease_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestLease(t *testing.T) { wasabitest.Run(t, "lease") }

const (
	ttl   = 15 * wasabiridge.Second
	drift = wasabiridge.Second
)

// contender is one instance that contends for a lease, driven step by step.
type contender struct {
	machine *wasabilease.Machine
	table   *wasabitable.Memory
	clock   wasabiridge.Clock
	grant   wasabilease.Grant
	reads   int
	// alter changes the rows that are read. Nil means that none is changed.
	alter func(wasabiridge.Row) wasabiridge.Row
}

func (c *contender) feed(e wasabilease.Event) {
	queue := []wasabilease.Event{e}
	for len(queue) > 0 {
		effects := c.machine.Handle(c.clock.Now(), queue[0])
		queue = queue[1:]
		for _, effect := range effects {
			switch e := effect.(type) {
			case wasabilease.ReadRow:
				c.reads++
				row, err := c.table.Get(context.Background(), e.Key)
				if c.alter != nil {
					row = c.alter(row)
				}
				queue = append(queue, wasabilease.RowRead{Row: row, Err: err})
			case wasabilease.CommitRow:
				err := c.table.Commit(context.Background(), e.Transaction)
				queue = append(queue, wasabilease.Committed{Err: err})
			case wasabilease.Granted:
				c.grant = e.Grant
			}
		}
	}
}

// holds reports whether the instance's grant lasts by its own clock, without a
// new read of the row.
func (c *contender) holds() bool { return c.grant.Covers(c.clock.Now(), 0) }

// leaseTest is two contenders with one table.
type leaseTest struct {
	clock *wasabiclock.Virtual
	table *wasabitable.Memory
	a, b  *contender
}

func newLeaseTest() *leaseTest {
	t := &leaseTest{clock: wasabiclock.NewVirtual(wasabiridge.Day)}
	noWait := func(context.Context, wasabiridge.Millis) bool { return true }
	t.table = wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: t.clock, Sleep: noWait})
	t.a, t.b = t.contender("a", 1, t.clock), t.contender("b", 1, t.clock)
	t.a.feed(wasabilease.Contended{Wanted: true})
	t.b.feed(wasabilease.Contended{Wanted: true})
	return t
}

func (t *leaseTest) contender(id wasabiridge.InstanceID, incarnation wasabiridge.Incarnation, clock wasabiridge.Clock) *contender {
	machine := wasabilease.NewMachine("orders", id, incarnation, wasabilease.Timing{})
	return &contender{machine: machine, table: t.table, clock: clock}
}

// run advances the time while the given contenders run. Two must never hold the
// lease at once.
func (t *leaseTest) run(span wasabiridge.Millis, running ...*contender) {
	GinkgoHelper()
	for end := t.clock.Now() + span; t.clock.Now() < end; t.clock.Advance(100) {
		for _, c := range running {
			c.feed(wasabilease.Ticked{})
		}
		Expect(t.a.holds() && t.b.holds()).To(BeFalse(), "two hold the lease")
	}
}

var cases = map[string]func(t *leaseTest){
	"one holds and renews, the other waits": func(t *leaseTest) {
		t.run(wasabiridge.Minute, t.a, t.b)
		Expect(t.a.grant.Fencing).To(BeEquivalentTo(1))
		Expect(t.b.grant.Fencing).To(BeZero())
	},
	// The holder is paused for a minute. The other instance takes over with a
	// higher number once the lease has ended, and the first detects when it
	// resumes that its lease has ended, before it reads the table.
	"a holder that is paused past its lease": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a, t.b)
		t.run(wasabiridge.Minute, t.b)
		Expect(t.a.holds()).To(BeFalse())
		Expect(t.b.holds()).To(BeTrue())
		Expect(t.b.grant.Fencing).To(BeEquivalentTo(2))
		t.run(wasabiridge.Minute, t.a, t.b)
		Expect(t.b.holds()).To(BeTrue())
	},
	// The holder's process is killed and restarted on the same machine. The row
	// names it, and no other process can have that name: it takes over at once,
	// under a new number. Otherwise no instance could send commands until the
	// lease has ended.
	"a holder that is restarted and may reclaim": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a, t.b)
		again := t.contender("a", 2, t.clock)
		again.machine = wasabilease.NewMachine("orders", "a", 2, wasabilease.Timing{Reclaim: true})
		again.feed(wasabilease.Contended{Wanted: true})
		Expect(again.holds()).To(BeTrue())
		Expect(again.grant.Fencing).To(BeEquivalentTo(2))
		t.a = again
		t.run(wasabiridge.Minute, t.a, t.b)
		Expect(t.b.grant.Fencing).To(BeZero())
	},
	"a holder that is restarted and may not reclaim": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a, t.b)
		again := t.contender("a", 2, t.clock)
		again.feed(wasabilease.Contended{Wanted: true})
		Expect(again.holds()).To(BeFalse())
	},
	// A replacement machine has the name of the old one but another address.
	"an instance that may reclaim and finds another holder": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a, t.b)
		other := t.contender("c", 1, t.clock)
		other.machine = wasabilease.NewMachine("orders", "a@elsewhere", 2, wasabilease.Timing{Reclaim: true})
		other.feed(wasabilease.Contended{Wanted: true})
		Expect(other.holds()).To(BeFalse())
		t.run(wasabiridge.Second, t.a, t.b)
	},
	"a holder that releases the lease": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a, t.b)
		t.a.feed(wasabilease.Contended{Wanted: false})
		t.run(6*wasabiridge.Second, t.a, t.b)
		Expect(t.b.grant.Fencing).To(BeEquivalentTo(2))
	},
	// The response to the first write is lost. The row names the instance, so
	// it holds the lease, but its term counts from before it sent that write.
	"a grant whose response was lost": func(t *leaseTest) {
		t.table = wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: t.clock})
		t.table.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostAnswer})
		c := t.contender("c", 1, t.clock)
		sent := t.clock.Now()
		c.feed(wasabilease.Contended{Wanted: true})
		Expect(c.holds()).To(BeFalse())
		t.run(wasabiridge.Second, c)
		Expect(c.grant).To(Equal(wasabilease.Grant{Lease: "orders", Fencing: 1, Until: sent + ttl}))
	},
	// The next holder must learn what the one before has done last.
	"a release with a handover": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a)
		t.a.feed(wasabilease.Contended{Handover: "done"})
		t.run(ttl/2, t.b)
		Expect(t.b.holds()).To(BeTrue())
		Expect(t.b.grant.Previous).To(Equal(wasabilease.Previous{Fencing: 1, Holder: "a", Handover: "done"}))
		t.run(ttl, t.b)
		Expect(t.b.grant.Previous.Holder).To(BeEquivalentTo("a"), "a renewal keeps it")
	},
	"a holder that ends without a release": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a)
		t.run(3*ttl, t.b)
		Expect(t.b.grant.Previous).To(Equal(wasabilease.Previous{Fencing: 1, Holder: "a"}))
	},
	// The holder's renewal takes effect long after it was sent. The grant must
	// not be extended from that point, because contenders do not count from it.
	"a renewal that takes effect late": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a)
		until := t.a.grant.Until
		late := wasabifault.Outcome{Kind: wasabifault.LateEffect, EffectDelay: 12 * wasabiridge.Second}
		t.table.Faults().SetNextOutcomes(wasabifault.Write, late, late, late, late, late, late, late, late)
		t.run(5*wasabiridge.Second, t.a)
		Expect(t.a.grant.Until).To(Equal(until))
	},
	"the table is down for longer than the lease": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a, t.b)
		t.table.Faults().SetPlan(wasabifault.Plan{Unavailable: 1})
		t.run(ttl, t.a, t.b)
		Expect(t.a.holds() || t.b.holds()).To(BeFalse())
		t.table.Faults().SetPlan(wasabifault.Plan{})
		t.run(ttl+drift+5*wasabiridge.Second, t.a, t.b)
		Expect(t.a.holds() || t.b.holds()).To(BeTrue())
	},
	// An instance restarts under its own name. Commands of its former
	// incarnation may be in flight, so it takes a higher number.
	"an instance that restarts under its name": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a)
		again := t.contender("a", 2, t.clock)
		again.feed(wasabilease.Contended{Wanted: true})
		Expect(again.grant.Fencing).To(BeZero())
		t.run(ttl+drift+5*wasabiridge.Second, again)
		Expect(again.grant.Fencing).To(BeEquivalentTo(2))
	},
	// The clock of a contender jumps an hour ahead. If one read could count for
	// the whole jump, the contender would take over at once while the holder is
	// alive.
	"a contender whose clock jumps ahead": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a, t.b)
		ahead := wasabiclock.NewVirtual(t.clock.Now() + wasabiridge.Hour)
		t.b.clock = ahead
		t.b.feed(wasabilease.Ticked{})
		Expect(t.b.grant.Fencing).To(BeZero())
	},
	"a row that cannot be decoded is not changed": func(t *leaseTest) {
		t.run(wasabiridge.Second, t.a)
		row, err := t.table.Get(context.Background(), "lease/orders")
		Expect(err).NotTo(HaveOccurred())
		change := wasabiridge.RowChange{Key: row.Key, IfRevision: row.Revision, Value: []byte("{}")}
		tx := wasabiridge.Transaction{ID: "test", Changes: []wasabiridge.RowChange{change}}
		Expect(t.table.Commit(context.Background(), tx)).To(Succeed())
		t.run(wasabiridge.Minute, t.a, t.b)
		Expect(t.a.holds() || t.b.holds()).To(BeFalse())
	},
}

var _ = Describe("A lease", func() {
	for _, name := range wasabitest.SortedKeys(cases) {
		It(name, func() { cases[name](newLeaseTest()) })
	}
})
