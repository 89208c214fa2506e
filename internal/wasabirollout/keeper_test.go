package wasabirollout_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabiobject"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
	"github.com/wasabiridge/wasabiridge/internal/wasabirollout"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/internal/wasabiweights"
)

// garage is a pool of engines that load for a second each. It implements
// wasabiridge.EngineOperator.
type garage struct {
	mu      sync.Mutex
	engines map[wasabiridge.BackendServerID]wasabiridge.EngineState
	loading int
	most    int
	orders  int
}

func (g *garage) SendOrder(_ context.Context, b wasabiridge.BackendServer, o wasabiridge.EngineOrder) error {
	time.Sleep(5 * time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders++
	s := g.engines[b.ID]
	if o.Fencing < s.Fencing {
		return wasabiridge.ErrFenced.New("old")
	}
	s.Fencing = o.Fencing
	if o.Weights != s.Weights && !s.Loading {
		s.Loading = true
		g.loading++
		g.most = max(g.most, g.loading)
		time.AfterFunc(time.Second, func() { g.loaded(b.ID, o.Weights) })
	}
	g.engines[b.ID] = s
	return nil
}

func (g *garage) loaded(id wasabiridge.BackendServerID, v wasabiridge.WeightsVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.engines[id]
	s.Loading, s.Weights = false, v
	g.engines[id] = s
	g.loading--
}

func (g *garage) ReadState(_ context.Context, b wasabiridge.BackendServer) (wasabiridge.EngineState, error) {
	time.Sleep(5 * time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engines[b.ID], nil
}

// site is a few instances, one pool and the platform, in virtual time.
type site struct {
	WithT
	*garage
	config  wasabiridge.Config
	clock   wasabiridge.Clock
	table   *wasabitable.Memory
	weights *wasabiweights.Store
	life    wasabiridge.Incarnation
}

func newSite(t *testing.T, n int) *site {
	clock := wasabiclock.System()
	s := &site{
		WithT: *NewWithT(t), garage: &garage{engines: map[wasabiridge.BackendServerID]wasabiridge.EngineState{}},
		clock:   clock,
		table:   wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock}),
		weights: wasabiweights.NewStore(wasabiobject.NewMemory(wasabiobject.MemoryOptions{Clock: clock})),
	}
	s.grow(n)
	s.publish(2)
	return s
}

// grow makes the pool one of n engines.
func (s *site) grow(n int) {
	pool := wasabiridge.Pool{ID: "answers"}
	for i := range n {
		server := wasabiridge.BackendServer{
			ID: wasabiridge.BackendServerID(fmt.Sprintf("e%d", i)), Kind: wasabiridge.BackendEngine, ChecksFencing: true,
		}
		pool.Backends = append(pool.Backends, server)
		s.engines[server.ID] = wasabiridge.EngineState{Weights: 1}
	}
	s.config.Pools = []wasabiridge.Pool{pool}
}

func (s *site) publish(v wasabiridge.WeightsVersion) {
	s.Expect(s.weights.Publish(context.Background(), "large", "", v)).To(Succeed())
}

// boot starts an instance and returns it with its end.
func (s *site) boot(id wasabiridge.InstanceID) (*wasabirollout.Keeper, func()) {
	s.life++
	k := wasabirollout.New(wasabirollout.Options{
		Self: id, Incarnation: s.life, Table: s.table, Clock: s.clock, Weights: s.weights, Engines: s.garage,
		Config: func() wasabiridge.Config { return s.config },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.Run(ctx)
	}()
	return k, func() { cancel(); <-done }
}

func (s *site) start(k *wasabirollout.Keeper) wasabiridge.Rollout {
	r, err := k.Start(context.Background(), wasabiridge.Rollout{Pool: "answers", Model: "large", Weights: 2})
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(r.State).To(Equal("running"))
	return r
}

func (s *site) current(k *wasabirollout.Keeper) wasabiridge.Rollout {
	list, err := k.List(context.Background())
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(list).NotTo(BeEmpty())
	return list[0]
}

func (s *site) expectAll(v wasabiridge.WeightsVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		s.Expect(e.Weights).To(Equal(v))
	}
	s.Expect(s.most).To(BeNumerically("<=", 2))
}

// given returns how many orders reached the engines.
func (s *site) given() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

func (s *site) fails(err error, want *errorx.Type) {
	s.Expect(errorx.IsOfType(err, want)).To(BeTrue(), "%v", err)
}

var sites = map[string]func(s *site){
	// The second instance takes the lease when the first gives it back. It
	// still remembers the rollout as running, and ordered all engines again.
	"a rollout runs to its end, and nobody drives it after that": func(s *site) {
		a, stopA := s.boot("a")
		defer stopA()
		_, stopB := s.boot("b")
		defer stopB()
		s.start(a)
		time.Sleep(40 * time.Second)
		s.expectAll(2)
		s.Expect(s.current(a)).To(And(HaveField("State", "done"), HaveField("Done", 6)))
		s.Expect(s.given()).To(Equal(6))
	},
	// The instance that drives a rollout dies in the middle of it. The other
	// takes the lease over and goes on from what the engines say.
	"a rollout survives its driver": func(s *site) {
		a, stopA := s.boot("a")
		s.start(a)
		time.Sleep(2500 * time.Millisecond)
		stopA()
		b, stopB := s.boot("b")
		defer stopB()
		time.Sleep(time.Minute)
		s.expectAll(2)
		s.Expect(s.current(b).State).To(Equal("done"))
	},
	"a pause, a resume and a second start": func(s *site) {
		a, stop := s.boot("a")
		defer stop()
		r := s.start(a)
		time.Sleep(2 * time.Second)
		_, err := a.Steer(context.Background(), r.ID, "pause")
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		before := s.given()
		time.Sleep(30 * time.Second)
		s.Expect(s.given()).To(Equal(before))
		s.Expect(s.current(a)).To(And(HaveField("State", "paused"), HaveField("Blocked", "paused")))
		_, err = a.Start(context.Background(), r)
		s.fails(err, wasabiridge.ErrConflict)
		_, err = a.Steer(context.Background(), r.ID, "pause")
		s.fails(err, wasabiridge.ErrConflict)
		_, err = a.Steer(context.Background(), r.ID, "resume")
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
		s.expectAll(2)
	},
	"a rollback is a new version, published first": func(s *site) {
		a, stop := s.boot("a")
		defer stop()
		r := s.start(a)
		time.Sleep(2 * time.Second)
		_, err := a.Steer(context.Background(), r.ID, "rollback")
		s.fails(err, wasabiridge.ErrInvalid)
		s.publish(3)
		var back wasabiridge.Rollout
		back, err = a.Steer(context.Background(), r.ID, "rollback")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(back.Weights).To(BeEquivalentTo(3))
		time.Sleep(time.Minute)
		s.expectAll(3)
		list, err := a.List(context.Background())
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(list).To(HaveLen(2))
		s.Expect(list[1].State).To(Equal("rolled_back"))
	},
	// The table is down for a minute in the middle. The driver's lease ends
	// and it gives no order, until the table is back.
	"the table is down in the middle": func(s *site) {
		s.grow(40)
		a, stop := s.boot("a")
		defer stop()
		s.start(a)
		time.Sleep(2 * time.Second)
		s.table.Faults().SetPlan(wasabifault.Plan{Unavailable: 1})
		time.Sleep(20 * time.Second)
		before := s.given()
		time.Sleep(time.Minute)
		s.Expect(s.given()).To(Equal(before))
		s.Expect(before).To(BeNumerically("<", 30))
		s.table.Faults().SetPlan(wasabifault.Plan{})
		time.Sleep(2 * time.Minute)
		s.expectAll(2)
		s.Expect(s.current(a).State).To(Equal("done"))
	},
	// The driver decides on an order, and the process stands still for longer
	// than the order may take. Its lease may be over by then.
	"an order that waited too long is not sent": func(s *site) {
		a, stop := s.boot("a")
		defer stop()
		order := wasabiorder.SendOrder{Server: s.config.Pools[0].Backends[0], Before: s.clock.Now() + wasabiridge.Second}
		time.Sleep(time.Second)
		s.fails(a.Send(context.Background(), order), wasabiridge.ErrUnavailable)
		s.Expect(s.given()).To(BeZero())
	},
	"what cannot be started": func(s *site) {
		a, stop := s.boot("a")
		defer stop()
		for _, r := range []wasabiridge.Rollout{
			{Pool: "nowhere", Model: "large", Weights: 2},
			{Pool: "answers", Model: "large", Weights: 3},
			{Pool: "answers", Model: "large"},
		} {
			_, err := a.Start(context.Background(), r)
			s.fails(err, wasabiridge.ErrInvalid)
		}
		s.start(a)
		time.Sleep(40 * time.Second)
		_, err := a.Start(context.Background(), wasabiridge.Rollout{Pool: "answers", Model: "large", Weights: 1})
		s.fails(err, wasabiridge.ErrInvalid)
		_, err = a.Steer(context.Background(), "nothing", "pause")
		s.fails(err, wasabiridge.ErrNotFound)
		_, err = a.Steer(context.Background(), "answers-2", "explode")
		s.fails(err, wasabiridge.ErrInvalid)
	},
}

func TestRolloutsOfInstances(t *testing.T) {
	for _, name := range wasabitest.Names(sites) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { sites[name](newSite(t, 6)) })
		})
	}
}
