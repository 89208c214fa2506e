package wasabiquota_test

import (
	"context"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// memoryTable is a platform table in memory. All reads fail while unavailable is set.
type memoryTable struct {
	mu          sync.Mutex
	rows        map[string]wasabiridge.Row
	unavailable bool
	// failingCommits is the number of commits that still fail.
	failingCommits int
}

func (r *memoryTable) Get(_ context.Context, key string) (wasabiridge.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return wasabiridge.Row{}, wasabiridge.ErrUnavailable.New("test: table is unavailable")
	}
	return r.rows[key], nil
}

func (r *memoryTable) List(context.Context, string, string, int) ([]wasabiridge.Row, error) {
	return nil, nil
}

func (r *memoryTable) Commit(_ context.Context, tx wasabiridge.Transaction) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingCommits > 0 {
		r.failingCommits--
		return wasabiridge.ErrUnavailable.New("test: table is unavailable")
	}
	for _, c := range tx.Changes {
		r.rows[c.Key] = wasabiridge.Row{Key: c.Key, Revision: r.rows[c.Key].Revision + 1, Value: c.Value}
	}
	return nil
}

func (r *memoryTable) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.rows[key].Value)
}

func (r *memoryTable) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.rows)
}

// tableDecider passes the loop's events to a table.
type tableDecider struct{ table *wasabiquota.Table }

func (d tableDecider) Handle(now wasabiridge.Millis, e wasabiridge.Event) []wasabiridge.Effect {
	d.table.Observe(now, e)
	return nil
}

// startController starts the controller of an instance that has one peer, which answers
// if answers is set.
func startController(id wasabiridge.InstanceID, table wasabiridge.Table, answers bool) *wasabiquota.Controller {
	return startControllerInEpoch(id, table, answers, nil)
}

// startControllerInEpoch does the same with a store that has an epoch.
func startControllerInEpoch(id wasabiridge.InstanceID, table wasabiridge.Table, answers bool, epoch func() wasabiridge.StoreEpoch) *wasabiquota.Controller {
	k := wasabiquota.NewController(wasabiquota.ControllerOptions{
		Self: id, Incarnation: 1, Clock: wasabiclock.System(), Rows: table, Epoch: epoch,
		Members: func() []wasabiridge.Member {
			return []wasabiridge.Member{{InstanceEntry: wasabiridge.InstanceEntry{ID: "z", PeerAddress: "127.0.0.1:1"}}}
		},
		Send: func(context.Context, string, wasabiridge.StateUpdate) error {
			if !answers {
				return wasabiridge.ErrUnavailable.New("test: instance does not answer")
			}
			return nil
		},
	})
	loop := wasabiloop.New(wasabiloop.Options{Decider: tableDecider{k.Table()}, Clock: wasabiclock.System()})
	k.SetLoop(loop)
	loop.Post(wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{limitedAccount("a", largeRate)}}})
	ctx, cancel := context.WithCancel(context.Background())
	go k.Run(ctx)
	DeferCleanup(func() {
		cancel()
		loop.Close()
	})
	return k
}

// level returns what is left of the limit of the only account.
func level(k *wasabiquota.Controller) float64 {
	if s := k.Snapshot(); len(s.Entries) == 1 {
		return s.Entries[0].Level
	}
	return 0
}

// Guards against instances that start without knowing how many of them share a limit,
// although the owners were stored.
var _ = Describe("The list of owners of the limits", func() {
	It("is stored, and loaded by an instance that starts", func() {
		table := &memoryTable{rows: map[string]wasabiridge.Row{}}
		startController("a", table, true)
		Eventually(func() string { return table.value(wasabiquota.OwnersKey) }, "10s").Should(Equal(`["a","z"]`))
		again := startController("a", table, false)
		Eventually(func() float64 { return level(again) }, "10s").Should(BeNumerically(">", largeRate/16))
	})

	// Guards against a list that is never stored because its only write fell into an
	// outage of the platform.
	It("is stored when the first write has failed", func() {
		table := &memoryTable{rows: map[string]wasabiridge.Row{}, failingCommits: 1}
		startController("a", table, true)
		Eventually(func() string { return table.value(wasabiquota.OwnersKey) }, "20s").Should(Equal(`["a","z"]`))
	})

	// Guards against a list that is missing for good after a restore of the store has lost
	// it, because the owners have not changed.
	It("is stored again after the store was restored", func() {
		table := &memoryTable{rows: map[string]wasabiridge.Row{}}
		var epoch atomic.Uint64
		startControllerInEpoch("a", table, true, func() wasabiridge.StoreEpoch { return wasabiridge.StoreEpoch(epoch.Load()) })
		Eventually(func() string { return table.value(wasabiquota.OwnersKey) }, "10s").Should(Equal(`["a","z"]`))
		table.clear()
		epoch.Add(1)
		Eventually(func() string { return table.value(wasabiquota.OwnersKey) }, "20s").Should(Equal(`["a","z"]`))
	})

	It("is not waited for when the platform is unavailable, and not taken from an invalid row", func() {
		for _, table := range []*memoryTable{{unavailable: true}, {rows: map[string]wasabiridge.Row{wasabiquota.OwnersKey: {Revision: 1, Value: []byte("{")}}}} {
			k := startController("a", table, false)
			Eventually(func() float64 { return level(k) }, "10s").Should(BeNumerically(">", 0))
		}
	})
})
