package wasabiclaim_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclaim"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// callFault is the fault of one call between instances. The zero value is none.
type callFault struct {
	delay      time.Duration
	lostCall   bool
	lostAnswer bool
	// lateCopy, if positive, delivers the call a second time after that time.
	lateCopy time.Duration
}

// network connects controllers by direct calls. Calls to a crashed instance fail.
type network struct {
	wasabiridge.PeerClient
	mu          sync.Mutex
	controllers map[string]*wasabiclaim.Controller
	// nextFault returns the fault of the next call. It is called with mu held.
	nextFault func() callFault
}

func (n *network) controller(address string) *wasabiclaim.Controller {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controllers[address]
}

func (n *network) call(address string, deliver func(*wasabiclaim.Controller) error) error {
	var f callFault
	n.mu.Lock()
	if n.nextFault != nil {
		f = n.nextFault()
	}
	n.mu.Unlock()
	time.Sleep(f.delay)
	k := n.controller(address)
	if k == nil || f.lostCall {
		return wasabiridge.ErrUnavailable.New("cut")
	}
	if f.lateCopy > 0 {
		time.AfterFunc(f.lateCopy, func() {
			if k := n.controller(address); k != nil {
				_ = deliver(k)
			}
		})
	}
	if err := deliver(k); err != nil {
		return err
	}
	if f.lostAnswer {
		return wasabiridge.ErrOutcomeUnknown.New("response lost")
	}
	return nil
}

func (n *network) Claim(ctx context.Context, address string, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	var mu sync.Mutex
	var out wasabiridge.ClaimOutcome
	err := n.call(address, func(k *wasabiclaim.Controller) error {
		answer, err := k.HandleClaim(ctx, q)
		mu.Lock()
		defer mu.Unlock()
		out = answer
		return err
	})
	mu.Lock()
	defer mu.Unlock()
	return out, err
}

func (n *network) FinishClaim(ctx context.Context, address string, r wasabiridge.ClaimResult) error {
	return n.call(address, func(k *wasabiclaim.Controller) error { return k.HandleFinishClaim(ctx, r) })
}

// cluster is a few instances that share one table.
type cluster struct {
	clock *wasabiclock.Virtual
	table *wasabitable.Memory
	net   *network
	// incarnation is that of the instance that was started last.
	incarnation wasabiridge.Incarnation
	stop        map[wasabiridge.InstanceID]context.CancelFunc
	// members holds the latest incarnation of each instance. It is guarded by the
	// network's mutex.
	members map[wasabiridge.InstanceID]wasabiridge.Member
}

func (c *cluster) membership() (out []wasabiridge.Member) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for _, m := range c.members {
		out = append(out, m)
	}
	return out
}

const start = 1000 * wasabiridge.Day

func newCluster() *cluster {
	clock := wasabiclock.NewVirtual(start)
	c := &cluster{
		clock: clock,
		table: wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock}),
		net:   &network{controllers: map[string]*wasabiclaim.Controller{}},
		stop:  map[wasabiridge.InstanceID]context.CancelFunc{},

		members: map[wasabiridge.InstanceID]wasabiridge.Member{},
	}
	DeferCleanup(func() {
		for id := range c.stop {
			c.crash(id)
		}
	})
	return c
}

// start starts an instance in a new incarnation.
func (c *cluster) start(id wasabiridge.InstanceID, limits wasabiclaim.Limits) *wasabiclaim.Controller {
	return c.startWith(id, limits, c.clock)
}

// startAhead starts an instance whose clock is ahead by a time, or behind if it is
// negative.
func (c *cluster) startAhead(id wasabiridge.InstanceID, by wasabiridge.Millis) *wasabiclaim.Controller {
	return c.startWith(id, wasabiclaim.Limits{}, skewed{Clock: c.clock, offset: by})
}

func (c *cluster) startWith(id wasabiridge.InstanceID, limits wasabiclaim.Limits, clock wasabiridge.Clock) *wasabiclaim.Controller {
	c.incarnation++
	limits.RetryInterval = 1
	limits.FinishDelay = 1
	limits.WritesPerSecond = 1000
	k := wasabiclaim.New(wasabiclaim.Options{
		Self: id, Incarnation: c.incarnation, Secret: []byte("secret"), Table: c.table, Peers: c.net, Clock: clock,
		Members: c.membership, LogicalTime: c.clock.Now, Limits: limits, SweepInterval: -1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	go c.advanceClock(ctx)
	c.stop[id] = func() { cancel(); <-done }
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.controllers[string(id)] = k
	entry := wasabiridge.InstanceEntry{ID: id, PeerAddress: string(id)}
	c.members[id] = wasabiridge.Member{InstanceEntry: entry, Incarnation: c.incarnation}
	return k
}

// advanceClock advances the virtual clock while an instance runs.
func (c *cluster) advanceClock(ctx context.Context) {
	for ctx.Err() == nil && wasabifault.Sleep(ctx, 5) {
		c.clock.Advance(10)
	}
}

func (c *cluster) crash(id wasabiridge.InstanceID) {
	c.net.mu.Lock()
	delete(c.net.controllers, string(id))
	c.net.mu.Unlock()
	c.stop[id]()
	delete(c.stop, id)
}
