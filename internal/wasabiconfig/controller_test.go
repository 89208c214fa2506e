package wasabiconfig_test

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconfig"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// cluster connects controllers in one process. It is the PeerClient of all of them.
type cluster struct {
	wasabiridge.PeerClient
	table *wasabitable.Memory
	// startTable is the table that controllers use which are started from now on.
	startTable wasabiridge.Table
	clock      wasabiridge.Clock

	mu          sync.Mutex
	controllers map[string]*wasabiconfig.Controller
	ends        map[string]context.CancelFunc
}

func newCluster() *cluster {
	clock := wasabiclock.System()
	table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock})
	return &cluster{table: table, startTable: table, clock: clock, controllers: map[string]*wasabiconfig.Controller{}, ends: map[string]context.CancelFunc{}}
}

// start runs a controller until the spec ends.
func (m *cluster) start(name string, incarnation wasabiridge.Incarnation) *wasabiconfig.Controller {
	k := wasabiconfig.NewController(wasabiconfig.Options{
		Self: wasabiridge.InstanceID(name), Incarnation: incarnation, Clock: m.clock,
		Table: m.startTable, Peers: m, Membership: membershipView{cluster: m, self: name}, Seed: uint64(len(name)) + uint64(incarnation),
		Sleep: func(ctx context.Context, _ wasabiridge.Millis) bool { return ctx.Err() == nil },
	})
	m.mu.Lock()
	m.controllers[name] = k
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	m.ends[name] = cancel
	go k.Run(ctx)
	return k
}

// stop stops a controller.
func (m *cluster) stop(name string) { m.ends[name]() }

func (m *cluster) FetchConfig(ctx context.Context, address string) (wasabiridge.ConfigDocument, error) {
	m.mu.Lock()
	k := m.controllers[address]
	m.mu.Unlock()
	return k.HandleFetchConfig(ctx)
}

type membershipView struct {
	cluster *cluster
	self    string
}

func (v membershipView) Members() []wasabiridge.Member {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	var members []wasabiridge.Member
	for name, k := range v.cluster.controllers {
		if name != v.self {
			entry := wasabiridge.InstanceEntry{ID: wasabiridge.InstanceID(name), PeerAddress: name}
			members = append(members, wasabiridge.Member{InstanceEntry: entry, Config: k.Version()})
		}
	}
	return members
}

// Announce exchanges heartbeats with all controllers, in both directions.
func (v membershipView) Announce(int) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	self := v.cluster.controllers[v.self]
	for name, k := range v.cluster.controllers {
		k.Receive(wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{PeerAddress: v.self}, Config: self.Version()})
		self.Receive(wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{PeerAddress: name}, Config: k.Version()})
	}
}

// disappearingTable carries out the first write without a response and is unavailable
// from then on.
type disappearingTable struct {
	*wasabitable.Memory
	gone atomic.Bool
}

func (v *disappearingTable) Get(ctx context.Context, key string) (wasabiridge.Row, error) {
	if v.gone.Load() {
		return wasabiridge.Row{}, wasabiridge.ErrUnavailable.New("gone")
	}
	return v.Memory.Get(ctx, key)
}

func (v *disappearingTable) Commit(ctx context.Context, tx wasabiridge.Transaction) error {
	if v.gone.Swap(true) {
		return wasabiridge.ErrUnavailable.New("gone")
	}
	if err := v.Memory.Commit(ctx, tx); err != nil {
		return err
	}
	return wasabiridge.ErrOutcomeUnknown.New("response lost")
}

func failTable(m *cluster) {
	m.table.Faults().SetPlan(wasabifault.Plan{Unavailable: 1})
}

func errorIs(err error, want *errorx.Type) {
	GinkgoHelper()
	Expect(errorx.IsOfType(err, want)).To(BeTrue(), "%v", err)
}

var _ = Describe("The controller", func() {
	It("puts a valid version in force at every instance and stores the history", func(ctx SpecContext) {
		m := newCluster()
		a, b := m.start("a", 1), m.start("b", 1)
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		Expect(a.Version()).To(BeEquivalentTo(1))
		Eventually(b.Version).WithContext(ctx).Should(BeEquivalentTo(1))
		Expect(b.Put(ctx, 1, []byte(text("second")), "ben")).To(BeEquivalentTo(2))
		Eventually(a.Version).WithContext(ctx).Should(BeEquivalentTo(2))
		_, cfg := a.Current()
		Expect(cfg.Rules[0].ID).To(BeEquivalentTo("second"))
		history, err := a.History(ctx, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveExactElements(HaveField("Author", "ben"), HaveField("Author", "ana")))
		status, err := a.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(HaveEach(HaveField("Version", BeEquivalentTo(2))))
	})

	It("refuses an invalid configuration and writes nothing", func(ctx SpecContext) {
		m := newCluster()
		a := m.start("a", 1)
		_, err := a.Put(ctx, 0, []byte(`{"rules": [{"id": "r", "then": {"pool": "nowhere"}}]}`), "ana")
		errorIs(err, wasabiridge.ErrInvalid)
		Expect(m.table.Stats().Writes).To(BeZero())
	})

	// The failure it guards against: two operators edit the same version, and the later
	// change silently overwrites the earlier one. The second operator must be told
	// whose change was accepted first and what it was.
	It("describes the competing change to an operator who lost a race", func(ctx SpecContext) {
		m := newCluster()
		a, b := m.start("a", 1), m.start("b", 1)
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		Expect(b.Put(ctx, 1, []byte(text("from-ben")), "ben")).To(BeEquivalentTo(2))
		_, err := a.Put(ctx, 1, []byte(text("from-ana")), "ana")
		errorIs(err, wasabiridge.ErrConflict)
		conflict, ok := wasabiconfig.ConflictOf(err)
		Expect(ok).To(BeTrue())
		Expect(conflict.Author).To(Equal("ben"))
		Expect(conflict.Version).To(BeEquivalentTo(2))
		Expect(conflict.Changes).To(ConsistOf(`rule "from-ben" added`, `rule "first" removed`))
		Expect(err.Error()).To(ContainSubstring(`version 2 by "ben"`))
	})

	It("lets exactly one of many racing operators win each version", func(ctx SpecContext) {
		m := newCluster()
		controllers := []*wasabiconfig.Controller{m.start("a", 1), m.start("b", 1), m.start("c", 1)}
		wins := make(chan wasabiridge.ConfigVersion, 30)
		var operators sync.WaitGroup
		for i := range 30 {
			operators.Go(func() {
				version, err := controllers[i%3].Put(ctx, 0, []byte(text("race")), "ana")
				if err == nil {
					wins <- version
				}
			})
		}
		operators.Wait()
		Expect(wins).To(HaveLen(1))
		Expect(<-wins).To(BeEquivalentTo(1))
	})

	// The failure it guards against: the table accepts the new version, but its
	// response is lost. The operator would get an error, save again, and get a conflict
	// with their own change.
	It("recognises its own version when the response of the table is lost", func(ctx SpecContext) {
		m := newCluster()
		a := m.start("a", 1)
		m.table.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{Kind: wasabifault.LostAnswer})
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		Expect(a.History(ctx, 10)).To(HaveLen(1))
	})

	// The response is lost and the table stays unavailable, so the outcome is unknown.
	// The operator must be told so, and the version must be found when the table is
	// available again.
	It("reports an unknown outcome and finds the version later", func(ctx SpecContext) {
		m := newCluster()
		table := &disappearingTable{Memory: m.table}
		m.startTable = table
		a := m.start("a", 1)
		_, err := a.Put(ctx, 0, []byte(text("first")), "ana")
		errorIs(err, wasabiridge.ErrOutcomeUnknown)
		Expect(a.Version()).To(BeZero())
		table.gone.Store(false)
		Eventually(a.Version).WithContext(ctx).WithTimeout(wasabiridge.Minute.Duration()).Should(BeEquivalentTo(1))
	})

	It("changes nothing while the store is down and keeps serving", func(ctx SpecContext) {
		m := newCluster()
		a := m.start("a", 1)
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		failTable(m)
		_, err := a.Put(ctx, 1, []byte(text("second")), "ana")
		errorIs(err, wasabiridge.ErrUnavailable)
		Expect(a.Version()).To(BeEquivalentTo(1))
	})

	// The failure it guards against: an operator saves at an instance that is shutting
	// down. The table accepted the change, but no goroutine was left to put it in force
	// at that instance, and the call of the operator never returned.
	It("returns from an edit although the instance shuts down", func(ctx SpecContext) {
		m := newCluster()
		a := m.start("a", 1)
		m.stop("a")
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
	})

	It("gets the version from the only running instance when the others restart with the store down", func(ctx SpecContext) {
		m := newCluster()
		survivor := m.start("survivor", 1)
		Expect(survivor.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		failTable(m)
		for _, name := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
			restarted := m.start(name, 2)
			Eventually(restarted.Version).WithContext(ctx).Should(BeEquivalentTo(1))
		}
	})

	// The failure it guards against: the table was restored from an older backup. A
	// successor of its head would be below the version in force, and no instance would
	// adopt it.
	It("continues from the version in force when the table is behind", func(ctx SpecContext) {
		m := newCluster()
		a := m.start("a", 1)
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		Expect(a.Put(ctx, 1, []byte(text("second")), "ana")).To(BeEquivalentTo(2))
		fresh := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: m.clock})
		m.startTable = fresh
		b := m.start("b", 1)
		Eventually(b.Version).WithContext(ctx).Should(BeEquivalentTo(2))
		_, err := b.Put(ctx, 0, []byte(text("third")), "ben")
		errorIs(err, wasabiridge.ErrConflict)
		Expect(b.Put(ctx, 2, []byte(text("third")), "ben")).To(BeEquivalentTo(3))
		Eventually(a.Version).WithContext(ctx).Should(BeEquivalentTo(3))
	})
})
