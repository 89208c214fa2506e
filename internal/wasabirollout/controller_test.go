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

// enginePool is a pool of engines whose loads take one second each. It
// implements wasabiridge.EngineOperator.
type enginePool struct {
	mu         sync.Mutex
	engines    map[wasabiridge.BackendServerID]wasabiridge.EngineState
	loading    int
	maxLoading int
	orders     int
}

func (g *enginePool) SendOrder(_ context.Context, b wasabiridge.BackendServer, o wasabiridge.EngineOrder) error {
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
		g.maxLoading = max(g.maxLoading, g.loading)
		time.AfterFunc(time.Second, func() { g.loaded(b.ID, o.Weights) })
	}
	g.engines[b.ID] = s
	return nil
}

func (g *enginePool) loaded(id wasabiridge.BackendServerID, v wasabiridge.WeightsVersion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.engines[id]
	s.Loading, s.Weights = false, v
	g.engines[id] = s
	g.loading--
}

func (g *enginePool) ReadState(_ context.Context, b wasabiridge.BackendServer) (wasabiridge.EngineState, error) {
	time.Sleep(5 * time.Millisecond)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engines[b.ID], nil
}

// cluster is a few instances, one pool and the platform, in virtual time.
type cluster struct {
	WithT
	*enginePool
	config      wasabiridge.Config
	clock       wasabiridge.Clock
	table       *wasabitable.Memory
	weights     *wasabiweights.Store
	incarnation wasabiridge.Incarnation
}

func newCluster(t *testing.T, n int) *cluster {
	clock := wasabiclock.System()
	s := &cluster{
		WithT: *NewWithT(t), enginePool: &enginePool{engines: map[wasabiridge.BackendServerID]wasabiridge.EngineState{}},
		clock:   clock,
		table:   wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock}),
		weights: wasabiweights.NewStore(wasabiobject.NewMemory(wasabiobject.MemoryOptions{Clock: clock})),
	}
	s.setPoolSize(n)
	s.publish(2)
	return s
}

// setPoolSize replaces the pool by one of n engines.
func (s *cluster) setPoolSize(n int) {
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

func (s *cluster) publish(v wasabiridge.WeightsVersion) {
	s.Expect(s.weights.Publish(context.Background(), "large", "", v)).To(Succeed())
}

// startInstance starts an instance and returns its Controller and a function that
// stops it.
func (s *cluster) startInstance(id wasabiridge.InstanceID) (*wasabirollout.Controller, func()) {
	s.incarnation++
	k := wasabirollout.New(wasabirollout.Options{
		Self: id, Incarnation: s.incarnation, Table: s.table, Clock: s.clock, Weights: s.weights, Engines: s.enginePool,
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

func (s *cluster) start(k *wasabirollout.Controller) wasabiridge.Rollout {
	r, err := k.Start(context.Background(), wasabiridge.Rollout{Pool: "answers", Model: "large", Weights: 2})
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(r.State).To(Equal("running"))
	return r
}

func (s *cluster) current(k *wasabirollout.Controller) wasabiridge.Rollout {
	list, err := k.List(context.Background())
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(list).NotTo(BeEmpty())
	return list[0]
}

func (s *cluster) expectAll(v wasabiridge.WeightsVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		s.Expect(e.Weights).To(Equal(v))
	}
	s.Expect(s.maxLoading).To(BeNumerically("<=", 2))
}

// ordersReceived returns how many orders the engines received.
func (s *cluster) ordersReceived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

func (s *cluster) expectError(err error, want *errorx.Type) {
	s.Expect(errorx.IsOfType(err, want)).To(BeTrue(), "%v", err)
}

var controllerCases = map[string]func(s *cluster){
	// Guards against a second instance that acquires the lease when the first
	// releases it, while its copy of the row still says that the rollout is
	// running. It once sent orders to all engines again.
	"a rollout completes, and no instance sends orders for it afterwards": func(s *cluster) {
		a, stopA := s.startInstance("a")
		defer stopA()
		_, stopB := s.startInstance("b")
		defer stopB()
		s.start(a)
		time.Sleep(40 * time.Second)
		s.expectAll(2)
		s.Expect(s.current(a)).To(And(HaveField("State", "done"), HaveField("Done", 6)))
		s.Expect(s.ordersReceived()).To(Equal(6))
	},
	// The instance that drives a rollout fails in the middle of it. Another
	// acquires the lease and continues from the state that the engines report.
	"a rollout survives a failure of its driver": func(s *cluster) {
		a, stopA := s.startInstance("a")
		s.start(a)
		time.Sleep(2500 * time.Millisecond)
		stopA()
		b, stopB := s.startInstance("b")
		defer stopB()
		time.Sleep(time.Minute)
		s.expectAll(2)
		s.Expect(s.current(b).State).To(Equal("done"))
	},
	"a rollout can be paused and resumed, and not started twice": func(s *cluster) {
		a, stop := s.startInstance("a")
		defer stop()
		r := s.start(a)
		time.Sleep(2 * time.Second)
		_, err := a.Apply(context.Background(), r.ID, "pause")
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		before := s.ordersReceived()
		time.Sleep(30 * time.Second)
		s.Expect(s.ordersReceived()).To(Equal(before))
		s.Expect(s.current(a)).To(And(HaveField("State", "paused"), HaveField("Blocked", "paused")))
		_, err = a.Start(context.Background(), r)
		s.expectError(err, wasabiridge.ErrConflict)
		_, err = a.Apply(context.Background(), r.ID, "pause")
		s.expectError(err, wasabiridge.ErrConflict)
		_, err = a.Apply(context.Background(), r.ID, "resume")
		s.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
		s.expectAll(2)
	},
	"a rollback requires a newer published version": func(s *cluster) {
		a, stop := s.startInstance("a")
		defer stop()
		r := s.start(a)
		time.Sleep(2 * time.Second)
		_, err := a.Apply(context.Background(), r.ID, "rollback")
		s.expectError(err, wasabiridge.ErrInvalid)
		s.publish(3)
		var back wasabiridge.Rollout
		back, err = a.Apply(context.Background(), r.ID, "rollback")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(back.Weights).To(BeEquivalentTo(3))
		time.Sleep(time.Minute)
		s.expectAll(3)
		list, err := a.List(context.Background())
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(list).To(HaveLen(2))
		s.Expect(list[1].State).To(Equal("rolled_back"))
	},
	// The table is unavailable for 80 seconds during a rollout. The driver's
	// lease expires, and no order is sent until the table is available again.
	"no order is sent while the table is down": func(s *cluster) {
		s.setPoolSize(40)
		a, stop := s.startInstance("a")
		defer stop()
		s.start(a)
		time.Sleep(2 * time.Second)
		s.table.Faults().SetPlan(wasabifault.Plan{Unavailable: 1})
		time.Sleep(20 * time.Second)
		before := s.ordersReceived()
		time.Sleep(time.Minute)
		s.Expect(s.ordersReceived()).To(Equal(before))
		s.Expect(before).To(BeNumerically("<", 30))
		s.table.Faults().SetPlan(wasabifault.Plan{})
		time.Sleep(2 * time.Minute)
		s.expectAll(2)
		s.Expect(s.current(a).State).To(Equal("done"))
	},
	// The driver decides on an order, and the process is paused for longer than
	// the order may take. Its lease may have expired by then.
	"an expired order is not sent": func(s *cluster) {
		a, stop := s.startInstance("a")
		defer stop()
		order := wasabiorder.SendOrder{Server: s.config.Pools[0].Backends[0], Before: s.clock.Now() + wasabiridge.Second}
		time.Sleep(time.Second)
		s.expectError(a.Send(context.Background(), order), wasabiridge.ErrUnavailable)
		s.Expect(s.ordersReceived()).To(BeZero())
	},
	"invalid rollouts and actions are rejected": func(s *cluster) {
		a, stop := s.startInstance("a")
		defer stop()
		for _, r := range []wasabiridge.Rollout{
			{Pool: "nowhere", Model: "large", Weights: 2},
			{Pool: "answers", Model: "large", Weights: 3},
			{Pool: "answers", Model: "large"},
		} {
			_, err := a.Start(context.Background(), r)
			s.expectError(err, wasabiridge.ErrInvalid)
		}
		s.start(a)
		time.Sleep(40 * time.Second)
		_, err := a.Start(context.Background(), wasabiridge.Rollout{Pool: "answers", Model: "large", Weights: 1})
		s.expectError(err, wasabiridge.ErrInvalid)
		_, err = a.Apply(context.Background(), "nothing", "pause")
		s.expectError(err, wasabiridge.ErrNotFound)
		_, err = a.Apply(context.Background(), "answers-2", "explode")
		s.expectError(err, wasabiridge.ErrInvalid)
	},
}

func TestRolloutsOfInstances(t *testing.T) {
	for _, name := range wasabitest.SortedKeys(controllerCases) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { controllerCases[name](newCluster(t, 6)) })
		})
	}
}
