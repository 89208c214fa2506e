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

// callFate is what happens to one call between instances.
type callFate struct {
	delay      time.Duration
	lostCall   bool
	lostAnswer bool
	// lateCopy delivers the call again, after that time.
	lateCopy time.Duration
}

// network joins keepers by plain calls. An instance that crashed takes none.
type network struct {
	wasabiridge.PeerClient
	mu      sync.Mutex
	keepers map[string]*wasabiclaim.Keeper
	// fate decides on each call. It is called with mu held.
	fate func() callFate
}

func (n *network) keeper(address string) *wasabiclaim.Keeper {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.keepers[address]
}

func (n *network) call(address string, deliver func(*wasabiclaim.Keeper) error) error {
	var f callFate
	n.mu.Lock()
	if n.fate != nil {
		f = n.fate()
	}
	n.mu.Unlock()
	time.Sleep(f.delay)
	k := n.keeper(address)
	if k == nil || f.lostCall {
		return wasabiridge.ErrUnavailable.New("cut")
	}
	if f.lateCopy > 0 {
		time.AfterFunc(f.lateCopy, func() {
			if k := n.keeper(address); k != nil {
				_ = deliver(k)
			}
		})
	}
	if err := deliver(k); err != nil {
		return err
	}
	if f.lostAnswer {
		return wasabiridge.ErrOutcomeUnknown.New("answer lost")
	}
	return nil
}

func (n *network) Claim(ctx context.Context, address string, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	var mu sync.Mutex
	var out wasabiridge.ClaimOutcome
	err := n.call(address, func(k *wasabiclaim.Keeper) error {
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
	return n.call(address, func(k *wasabiclaim.Keeper) error { return k.HandleFinishClaim(ctx, r) })
}

// cluster is a few instances before one table.
type cluster struct {
	clock *wasabiclock.Virtual
	table *wasabitable.Memory
	net   *network
	life  wasabiridge.Incarnation
	stop  map[wasabiridge.InstanceID]context.CancelFunc
	// members are the latest lives, under the network's lock.
	members map[wasabiridge.InstanceID]wasabiridge.Member
}

func (c *cluster) heard() (out []wasabiridge.Member) {
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
		net:   &network{keepers: map[string]*wasabiclaim.Keeper{}},
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

// start gives an instance a new life.
func (c *cluster) start(id wasabiridge.InstanceID, limits wasabiclaim.Limits) *wasabiclaim.Keeper {
	return c.startWith(id, limits, c.clock)
}

// startAhead gives an instance a life with a clock that is ahead.
func (c *cluster) startAhead(id wasabiridge.InstanceID, by wasabiridge.Millis) *wasabiclaim.Keeper {
	return c.startWith(id, wasabiclaim.Limits{}, skewed{Clock: c.clock, offset: by})
}

func (c *cluster) startWith(id wasabiridge.InstanceID, limits wasabiclaim.Limits, clock wasabiridge.Clock) *wasabiclaim.Keeper {
	c.life++
	limits.RetryInterval = 1
	limits.FinishDelay = 1
	limits.WritesPerSecond = 1000
	k := wasabiclaim.New(wasabiclaim.Options{
		Self: id, Incarnation: c.life, Secret: []byte("secret"), Table: c.table, Peers: c.net, Clock: clock,
		Members: c.heard, AgreedNow: c.clock.Now, Limits: limits, SweepEvery: -1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	go c.keepTime(ctx)
	c.stop[id] = func() { cancel(); <-done }
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.keepers[string(id)] = k
	entry := wasabiridge.InstanceEntry{ID: id, PeerAddress: string(id)}
	c.members[id] = wasabiridge.Member{InstanceEntry: entry, Incarnation: c.life}
	return k
}

// keepTime lets the virtual clock pass while an instance lives.
func (c *cluster) keepTime(ctx context.Context) {
	for ctx.Err() == nil && wasabifault.Sleep(ctx, 5) {
		c.clock.Advance(10)
	}
}

func (c *cluster) crash(id wasabiridge.InstanceID) {
	c.net.mu.Lock()
	delete(c.net.keepers, string(id))
	c.net.mu.Unlock()
	c.stop[id]()
	delete(c.stop, id)
}
