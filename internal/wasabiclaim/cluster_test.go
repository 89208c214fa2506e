package wasabiclaim_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclaim"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// network joins keepers by plain calls. A cut instance takes no calls, and a
// lost answer is one whose call took effect.
type network struct {
	wasabiridge.PeerClient
	mu          sync.Mutex
	keepers     map[string]*wasabiclaim.Keeper
	loseAnswers int
	loseCalls   int
}

func (n *network) reach(address string) (keeper *wasabiclaim.Keeper, lost bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.keepers[address]
	if k == nil || n.loseCalls > 0 {
		n.loseCalls = max(0, n.loseCalls-1)
		return nil, false, wasabiridge.ErrUnavailable.New("cut")
	}
	lost = n.loseAnswers > 0
	n.loseAnswers = max(0, n.loseAnswers-1)
	return k, lost, nil
}

func (n *network) Claim(ctx context.Context, address string, q wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	k, lost, err := n.reach(address)
	if err != nil {
		return wasabiridge.ClaimOutcome{}, err
	}
	out, err := k.HandleClaim(ctx, q)
	if lost {
		return wasabiridge.ClaimOutcome{}, wasabiridge.ErrOutcomeUnknown.New("answer lost")
	}
	return out, err
}

func (n *network) FinishClaim(ctx context.Context, address string, r wasabiridge.ClaimResult) error {
	k, lost, err := n.reach(address)
	if err != nil {
		return err
	}
	if err = k.HandleFinishClaim(ctx, r); lost {
		return wasabiridge.ErrOutcomeUnknown.New("answer lost")
	}
	return err
}

// cluster is a few instances before one table.
type cluster struct {
	clock *wasabiclock.Virtual
	table *wasabitable.Memory
	net   *network
	life  wasabiridge.Incarnation
	stop  map[wasabiridge.InstanceID]context.CancelFunc
}

const start = 1000 * wasabiridge.Day

func newCluster() *cluster {
	clock := wasabiclock.NewVirtual(start)
	c := &cluster{
		clock: clock,
		table: wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock}),
		net:   &network{keepers: map[string]*wasabiclaim.Keeper{}},
		stop:  map[wasabiridge.InstanceID]context.CancelFunc{},
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
	c.life++
	limits.RetryInterval = 1
	limits.FinishDelay = 1
	limits.WritesPerSecond = 1000
	k := wasabiclaim.New(wasabiclaim.Options{
		Self: id, Incarnation: c.life, Secret: []byte("secret"), Table: c.table, Peers: c.net, Clock: c.clock,
		Locate: func(i wasabiridge.InstanceID) (string, bool) { return string(i), true }, Limits: limits,
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
