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
	seeds   = 80
	stormy  = 10 * wasabiridge.Minute
	calming = 3 * wasabiridge.Minute
)

// lockOp is an entry of a lease's history: a holder began or ended to believe.
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

// lockModel is a lock with fencing numbers: one holder at a time, and every
// new one has a higher number.
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

// campaign is a world whose nodes contend for a lease by real machines.
type campaign struct {
	*world
	table    *wasabitable.Memory
	machines map[string]*wasabilease.Machine
	grants   map[string]wasabilease.Grant
	// hasty is a node that counts less time than the others.
	hasty   string
	life    wasabiridge.Incarnation
	history []porcupine.Operation
}

func newCampaign(seed uint64) *campaign {
	c := &campaign{
		world: newWorld(seed), machines: map[string]*wasabilease.Machine{}, grants: map[string]wasabilease.Grant{},
	}
	c.table = wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: c.clock, Sleep: noWait, Plan: wasabifault.Plan{
		Seed: seed, Unavailable: 0.05, LostRequest: 0.05, LostAnswer: 0.1, LateEffect: 0.1, Lateness: 20 * wasabiridge.Second,
	}})
	for _, id := range []string{"a", "b", "c"} {
		n := c.addNode(id, func() wasabilease.Grant { return c.grants[id] })
		c.boot(id)
		c.tick(n)
	}
	return c
}

func (c *campaign) boot(id string) {
	c.life++
	var timing wasabilease.Timing
	if id == c.hasty {
		timing = wasabilease.Timing{TTL: 2 * wasabiridge.Second, Drift: 1, Renew: 500, Poll: 500}
	}
	c.machines[id] = wasabilease.NewMachine("orders", wasabiridge.InstanceID(id), c.life, timing)
}

// tick runs a node every 200 ms while it is not paused.
func (c *campaign) tick(n *node) {
	c.whenAwake(n, func() {
		c.feedLease(n, wasabilease.Contended{Wanted: true})
		c.steer(n)
		c.after(200, func() { c.tick(n) })
	})
}

func (c *campaign) feedLease(n *node, e wasabilease.Event) {
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
			c.note(n.id, e.Grant)
		}
	}
}

func (c *campaign) replyLease(n *node, e wasabilease.Event) {
	m := c.machines[n.id]
	c.after(c.delay(), func() {
		c.whenAwake(n, func() {
			if c.machines[n.id] == m {
				c.feedLease(n, e)
			}
		})
	})
}

// note records that a node's belief changed. A belief that was not renewed
// ended when its time was over, whether or not the node noticed.
func (c *campaign) note(id string, g wasabilease.Grant) {
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

func (c *campaign) add(at wasabiridge.Millis, op lockOp) {
	c.history = append(c.history, porcupine.Operation{ClientId: len(c.history), Input: op, Call: int64(at), Return: int64(at)})
}

// storm pauses and crashes nodes and raises the target now and then.
func (c *campaign) storm() {
	for i, end := 0, c.clock.Now()+stormy; c.clock.Now() < end; i++ {
		n := c.nodes[c.rng.IntN(len(c.nodes))]
		switch i % 3 {
		case 0:
			n.paused = c.clock.Now() + wasabiridge.Millis(c.rng.IntN(60_000))
		case 1:
			c.note(n.id, wasabilease.Grant{})
			c.boot(n.id)
		case 2:
			c.target++
		}
		c.run(c.clock.Now() + 1 + wasabiridge.Millis(c.rng.IntN(20_000)))
	}
}

func (c *campaign) settle() {
	c.calm = true
	c.table.Faults().SetPlan(wasabifault.Plan{})
	c.run(c.clock.Now() + calming)
	for _, n := range c.nodes {
		c.note(n.id, wasabilease.Grant{})
	}
}

// Instances are paused and restarted while they hold the lease for orders.
// Answers of the table and of engines are lost, and orders come up to 30 s
// late. An operator sees two instances that both think they are in charge.
var _ = Describe("Orders under a lease", func() {
	var refused, regressed, numbers int

	for i := range seeds {
		seed := wasabitest.Seed + uint64(i)
		It(fmt.Sprintf("end in the target, seed %d", seed), func() {
			c := newCampaign(seed)
			c.lateness = 30 * wasabiridge.Second
			c.storm()
			c.settle()
			Expect(porcupine.CheckOperations(lockModel, c.history)).To(BeTrue(), "two held the lease")
			for _, e := range c.engine {
				Expect(e.state.Weights).To(Equal(c.target), c.describe())
				Expect(e.state.Role).To(BeEquivalentTo("decode"))
			}
			refused += c.engine["checks"].refused
			regressed += c.engine["ignores"].regressed
			numbers += int(c.engine["checks"].state.Fencing)
		})
	}

	It("had late orders to refuse, and an engine that took them", func() {
		Expect(numbers).To(BeNumerically(">", 2*seeds))
		Expect(refused).To(BeNumerically(">", 0))
		Expect(regressed).To(BeNumerically(">", 0))
		AddReportEntry(fmt.Sprintf("%d holders, %d late orders refused, %d carried out by the engine that ignores numbers",
			numbers, refused, regressed))
	})

	It("never takes an engine back while orders keep their time limit", func() {
		for i := range seeds {
			c := newCampaign(wasabitest.Seed + uint64(i))
			c.storm()
			c.settle()
			Expect(c.engine["ignores"].regressed).To(BeZero(), "seed %d", i)
			Expect(c.engine["checks"].regressed).To(BeZero(), "seed %d", i)
		}
	})

	// A contender that counts less time than the holder believes begins
	// beside it. The checker has to see that.
	It("would be caught with two holders at once", func() {
		c := newCampaign(wasabitest.Seed)
		c.hasty = "b"
		c.boot("b")
		c.storm()
		c.settle()
		Expect(porcupine.CheckOperations(lockModel, c.history)).To(BeFalse())
	})
})
