package wasabiorder_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestOrder(t *testing.T) { wasabitest.Run(t, "order") }

const (
	seeds        = 80
	faultPeriod  = 10 * wasabiridge.Minute
	settlePeriod = 3 * wasabiridge.Minute
)

// lockOp is an entry of the history of a lease: an instance began or ceased to consider
// itself the holder.
type lockOp struct {
	begins bool
	holder string
	number wasabiridge.FencingNumber
}

// lockState is the state of the lease in the model.
type lockState struct {
	holder string
	number wasabiridge.FencingNumber
}

// lockModel is a lock with fencing numbers: one holder at a time, and each new holder
// has a higher number.
var lockModel = porcupine.Model{
	Init: func() any { return lockState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, op := state.(lockState), input.(lockOp)
		if op.begins {
			return s.holder == "" && op.number > s.number, lockState{holder: op.holder, number: op.number}
		}
		return s.holder == op.holder && s.number == op.number, lockState{number: s.number}
	},
}

// leaseSimulation is a simulation whose instances compete for a lease with real lease
// machines.
type leaseSimulation struct {
	*simulation
	table    *wasabitable.Memory
	machines map[string]*wasabilease.Machine
	grants   map[string]wasabilease.Grant
	// shortTTL is an instance that assumes a shorter lease than the others do.
	shortTTL    string
	incarnation wasabiridge.Incarnation
	history     []porcupine.Operation
}

func newLeaseSimulation(seed uint64) *leaseSimulation {
	c := &leaseSimulation{
		simulation: newSimulation(seed), machines: map[string]*wasabilease.Machine{}, grants: map[string]wasabilease.Grant{},
	}
	c.table = wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: c.clock, Sleep: noSleep, Plan: wasabifault.Plan{
		Seed: seed, Unavailable: 0.05, LostRequest: 0.05, LostAnswer: 0.1, LateEffect: 0.1, MaxEffectDelay: 20 * wasabiridge.Second,
	}})
	for _, id := range []string{"a", "b", "c"} {
		n := c.addInstance(id, func() wasabilease.Grant { return c.grants[id] })
		c.boot(id)
		c.tick(n)
	}
	return c
}

func (c *leaseSimulation) boot(id string) {
	c.incarnation++
	var timing wasabilease.Timing
	if id == c.shortTTL {
		timing = wasabilease.Timing{TTL: 2 * wasabiridge.Second, Drift: 1, Renew: 500, Poll: 500}
	}
	c.machines[id] = wasabilease.NewMachine("orders", wasabiridge.InstanceID(id), c.incarnation, timing)
}

// tick runs an instance every 200 ms while it is not paused.
func (c *leaseSimulation) tick(n *instance) {
	c.whenRunning(n, func() {
		c.feedLease(n, wasabilease.Contended{Wanted: true})
		c.tickReconcilers(n)
		c.after(200, func() { c.tick(n) })
	})
}

func (c *leaseSimulation) feedLease(n *instance, e wasabilease.Event) {
	for _, effect := range c.machines[n.id].Handle(c.clock.Now(), e) {
		switch e := effect.(type) {
		case wasabilease.ReadRow:
			row, err := c.table.Get(context.Background(), e.Key)
			c.replyLease(n, wasabilease.RowRead{Row: row, Err: err})
		case wasabilease.CommitRow:
			c.after(c.delay(), func() {
				c.replyLease(n, wasabilease.Committed{Err: c.table.Commit(context.Background(), e.Transaction)})
			})
		case wasabilease.Granted:
			c.recordGrant(n.id, e.Grant)
		}
	}
}

func (c *leaseSimulation) replyLease(n *instance, e wasabilease.Event) {
	m := c.machines[n.id]
	c.after(c.delay(), func() {
		c.whenRunning(n, func() {
			if c.machines[n.id] == m {
				c.feedLease(n, e)
			}
		})
	})
}

// recordGrant records that the grant of an instance changed. A grant that was not
// renewed ended at its expiry, whether or not the instance noticed.
func (c *leaseSimulation) recordGrant(id string, g wasabilease.Grant) {
	before := c.grants[id]
	c.grants[id] = g
	if before.Fencing == g.Fencing {
		return
	}
	if before.Fencing != 0 {
		c.add(min(before.Until, c.clock.Now()), lockOp{holder: id, number: before.Fencing})
	}
	if g.Fencing != 0 {
		c.add(c.clock.Now(), lockOp{begins: true, holder: id, number: g.Fencing})
	}
}

func (c *leaseSimulation) add(at wasabiridge.Millis, op lockOp) {
	c.history = append(c.history, porcupine.Operation{ClientId: len(c.history), Input: op, Call: int64(at), Return: int64(at)})
}

// injectFaults pauses and restarts instances and raises the target now and then.
func (c *leaseSimulation) injectFaults() {
	for i, end := 0, c.clock.Now()+faultPeriod; c.clock.Now() < end; i++ {
		n := c.instances[c.rng.IntN(len(c.instances))]
		switch i % 3 {
		case 0:
			n.paused = c.clock.Now() + wasabiridge.Millis(c.rng.IntN(60_000))
		case 1:
			c.recordGrant(n.id, wasabilease.Grant{})
			c.boot(n.id)
		case 2:
			c.target++
		}
		c.run(c.clock.Now() + 1 + wasabiridge.Millis(c.rng.IntN(20_000)))
	}
}

func (c *leaseSimulation) settle() {
	c.faultsOff = true
	c.table.Faults().SetPlan(wasabifault.Plan{})
	c.run(c.clock.Now() + settlePeriod)
	for _, n := range c.instances {
		c.recordGrant(n.id, wasabilease.Grant{})
	}
}

// The failure these tests guard against: instances are paused and restarted while they
// hold the lease for orders. Responses of the table and of engines are lost, and orders
// arrive up to 30 s late. Two instances then both consider themselves the holder.
var _ = Describe("Orders under a lease", func() {
	var refused, regressed, holders int

	for i := range seeds {
		seed := wasabitest.Seed + uint64(i)
		It(fmt.Sprintf("bring all engines to the target, seed %d", seed), func() {
			c := newLeaseSimulation(seed)
			c.lateness = 30 * wasabiridge.Second
			c.injectFaults()
			c.settle()
			Expect(porcupine.CheckOperations(lockModel, c.history)).To(BeTrue(), "two instances held the lease")
			for _, e := range c.engine {
				Expect(e.state.Weights).To(Equal(c.target), c.describe())
				Expect(e.state.Role).To(BeEquivalentTo("decode"))
			}
			refused += c.engine["checks"].refused
			regressed += c.engine["ignores"].regressed
			holders += int(c.engine["checks"].state.Fencing)
		})
	}

	It("included late orders, some refused and some carried out", func() {
		Expect(holders).To(BeNumerically(">", 2*seeds))
		Expect(refused).To(BeNumerically(">", 0))
		Expect(regressed).To(BeNumerically(">", 0))
		AddReportEntry(fmt.Sprintf("%d holders, %d late orders refused, %d carried out by the engine that ignores fencing numbers",
			holders, refused, regressed))
	})

	It("never return an engine to older weights while orders arrive within their time limit", func() {
		for i := range seeds {
			c := newLeaseSimulation(wasabitest.Seed + uint64(i))
			c.injectFaults()
			c.settle()
			Expect(c.engine["ignores"].regressed).To(BeZero(), "seed %d", i)
			Expect(c.engine["checks"].regressed).To(BeZero(), "seed %d", i)
		}
	})

	// Checks that the checker finds a violation: a contender that waits for less time
	// than the lease of the holder lasts acquires it beside the holder.
	It("are found to violate the lease with two holders at once", func() {
		c := newLeaseSimulation(wasabitest.Seed)
		c.shortTTL = "b"
		c.boot("b")
		c.injectFaults()
		c.settle()
		Expect(porcupine.CheckOperations(lockModel, c.history)).To(BeFalse())
	})
})
