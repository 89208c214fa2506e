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

// mesh joins keepers in one process. It is the peer client and the membership
// of all of them.
type mesh struct {
	wasabiridge.PeerClient
	table *wasabitable.Memory
	// via is what instances that start use as their table.
	via   wasabiridge.Table
	clock wasabiridge.Clock

	mu      sync.Mutex
	keepers map[string]*wasabiconfig.Keeper
	ends    map[string]context.CancelFunc
}

func newMesh() *mesh {
	clock := wasabiclock.System()
	table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock})
	return &mesh{table: table, via: table, clock: clock, keepers: map[string]*wasabiconfig.Keeper{}, ends: map[string]context.CancelFunc{}}
}

// start runs a keeper until the spec ends.
func (m *mesh) start(name string, incarnation wasabiridge.Incarnation) *wasabiconfig.Keeper {
	k := wasabiconfig.NewKeeper(wasabiconfig.Options{
		Self: wasabiridge.InstanceID(name), Incarnation: incarnation, Clock: m.clock,
		Table: m.via, Peers: m, Membership: view{mesh: m, self: name}, Seed: uint64(len(name)) + uint64(incarnation),
		Sleep: func(ctx context.Context, _ wasabiridge.Millis) bool { return ctx.Err() == nil },
	})
	m.mu.Lock()
	m.keepers[name] = k
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	m.ends[name] = cancel
	go k.Run(ctx)
	return k
}

// stop ends a keeper.
func (m *mesh) stop(name string) { m.ends[name]() }

func (m *mesh) FetchConfig(ctx context.Context, address string) (wasabiridge.ConfigDocument, error) {
	m.mu.Lock()
	k := m.keepers[address]
	m.mu.Unlock()
	return k.HandleFetchConfig(ctx)
}

type view struct {
	mesh *mesh
	self string
}

func (v view) Members() []wasabiridge.Member {
	v.mesh.mu.Lock()
	defer v.mesh.mu.Unlock()
	var members []wasabiridge.Member
	for name, k := range v.mesh.keepers {
		if name != v.self {
			entry := wasabiridge.InstanceEntry{ID: wasabiridge.InstanceID(name), PeerAddress: name}
			members = append(members, wasabiridge.Member{InstanceEntry: entry, Config: k.Version()})
		}
	}
	return members
}

// Announce is a heartbeat with everyone, both ways.
func (v view) Announce(int) {
	v.mesh.mu.Lock()
	defer v.mesh.mu.Unlock()
	self := v.mesh.keepers[v.self]
	for name, k := range v.mesh.keepers {
		k.Heard(wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{PeerAddress: v.self}, Config: self.Version()})
		self.Heard(wasabiridge.Member{InstanceEntry: wasabiridge.InstanceEntry{PeerAddress: name}, Config: k.Version()})
	}
}

// vanishing is a table that carries out the first write and is gone from then
// on, before it could answer.
type vanishing struct {
	*wasabitable.Memory
	gone atomic.Bool
}

func (v *vanishing) Get(ctx context.Context, key string) (wasabiridge.Row, error) {
	if v.gone.Load() {
		return wasabiridge.Row{}, wasabiridge.ErrUnavailable.New("gone")
	}
	return v.Memory.Get(ctx, key)
}

func (v *vanishing) Commit(ctx context.Context, tx wasabiridge.Transaction) error {
	if v.gone.Swap(true) {
		return wasabiridge.ErrUnavailable.New("gone")
	}
	if err := v.Memory.Commit(ctx, tx); err != nil {
		return err
	}
	return wasabiridge.ErrOutcomeUnknown.New("answer lost")
}

func down(m *mesh) {
	m.table.Faults().SetPlan(wasabifault.Plan{Unavailable: 1})
}

func errorIs(err error, want *errorx.Type) {
	GinkgoHelper()
	Expect(errorx.IsOfType(err, want)).To(BeTrue(), "%v", err)
}

var _ = Describe("The keeper", func() {
	It("puts a checked version in force at every instance and keeps the history", func(ctx SpecContext) {
		m := newMesh()
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

	It("refuses a configuration that is wrong as a whole and writes nothing", func(ctx SpecContext) {
		m := newMesh()
		a := m.start("a", 1)
		_, err := a.Put(ctx, 0, []byte(`{"rules": [{"id": "r", "then": {"pool": "nowhere"}}]}`), "ana")
		errorIs(err, wasabiridge.ErrInvalid)
		Expect(m.table.Stats().Writes).To(BeZero())
	})

	// Two operators edit from the same version. Both believe their change is
	// in force, and the slower one would wipe out the faster one's without a
	// word. The slower one must hear whose change came first and what it was.
	It("tells an operator who lost a race against what it was lost", func(ctx SpecContext) {
		m := newMesh()
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
		m := newMesh()
		keepers := []*wasabiconfig.Keeper{m.start("a", 1), m.start("b", 1), m.start("c", 1)}
		wins := make(chan wasabiridge.ConfigVersion, 30)
		var operators sync.WaitGroup
		for i := range 30 {
			operators.Go(func() {
				version, err := keepers[i%3].Put(ctx, 0, []byte(text("race")), "ana")
				if err == nil {
					wins <- version
				}
			})
		}
		operators.Wait()
		Expect(wins).To(HaveLen(1))
		Expect(<-wins).To(BeEquivalentTo(1))
	})

	// The table takes the new version, but its answer is lost. The operator
	// would see an error, save again, and be told of a conflict with himself.
	It("recognises its own version when the answer of the table is lost", func(ctx SpecContext) {
		m := newMesh()
		a := m.start("a", 1)
		m.table.Faults().Script(wasabifault.Write, wasabifault.Fate{Kind: wasabifault.LostAnswer})
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		Expect(a.History(ctx, 10)).To(HaveLen(1))
	})

	// The answer is lost and the table stays away, so nobody can tell. The
	// operator is told so. When the table comes back the version is found.
	It("says that the outcome is unknown and finds it later", func(ctx SpecContext) {
		m := newMesh()
		table := &vanishing{Memory: m.table}
		m.via = table
		a := m.start("a", 1)
		_, err := a.Put(ctx, 0, []byte(text("first")), "ana")
		errorIs(err, wasabiridge.ErrOutcomeUnknown)
		Expect(a.Version()).To(BeZero())
		table.gone.Store(false)
		Eventually(a.Version).WithContext(ctx).WithTimeout(wasabiridge.Minute.Duration()).Should(BeEquivalentTo(1))
	})

	It("changes nothing while the store is down and keeps serving", func(ctx SpecContext) {
		m := newMesh()
		a := m.start("a", 1)
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		down(m)
		_, err := a.Put(ctx, 1, []byte(text("second")), "ana")
		errorIs(err, wasabiridge.ErrUnavailable)
		Expect(a.Version()).To(BeEquivalentTo(1))
	})

	// An operator saves at an instance that is just shutting down. The table
	// took the change, but nobody was left to put it in force there, and the
	// operator's call hung.
	It("answers an edit although the instance shuts down", func(ctx SpecContext) {
		m := newMesh()
		a := m.start("a", 1)
		m.stop("a")
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
	})

	It("takes the version from the survivor when the others restart with the store down", func(ctx SpecContext) {
		m := newMesh()
		survivor := m.start("survivor", 1)
		Expect(survivor.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		down(m)
		for _, name := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
			restarted := m.start(name, 2)
			Eventually(restarted.Version).WithContext(ctx).Should(BeEquivalentTo(1))
		}
	})

	// The table was restored from an older copy. A version counted from its
	// head would be below what is in force, and no instance would take it.
	It("goes on above what is in force when the table is behind", func(ctx SpecContext) {
		m := newMesh()
		a := m.start("a", 1)
		Expect(a.Put(ctx, 0, []byte(text("first")), "ana")).To(BeEquivalentTo(1))
		Expect(a.Put(ctx, 1, []byte(text("second")), "ana")).To(BeEquivalentTo(2))
		fresh := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: m.clock})
		m.via = fresh
		b := m.start("b", 1)
		Eventually(b.Version).WithContext(ctx).Should(BeEquivalentTo(2))
		_, err := b.Put(ctx, 0, []byte(text("third")), "ben")
		errorIs(err, wasabiridge.ErrConflict)
		Expect(b.Put(ctx, 2, []byte(text("third")), "ben")).To(BeEquivalentTo(3))
		Eventually(a.Version).WithContext(ctx).Should(BeEquivalentTo(3))
	})
})
