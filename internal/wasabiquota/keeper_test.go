package wasabiquota_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// rows is a table of the platform in memory.
type rows struct {
	mu   sync.Mutex
	rows map[string]wasabiridge.Row
	down bool
}

func (r *rows) Get(_ context.Context, key string) (wasabiridge.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return wasabiridge.Row{}, wasabiridge.ErrUnavailable.New("test: down")
	}
	return r.rows[key], nil
}

func (r *rows) List(context.Context, string, string, int) ([]wasabiridge.Row, error) { return nil, nil }

func (r *rows) Commit(_ context.Context, tx wasabiridge.Transaction) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range tx.Changes {
		r.rows[c.Key] = wasabiridge.Row{Key: c.Key, Revision: r.rows[c.Key].Revision + 1, Value: c.Value}
	}
	return nil
}

func (r *rows) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.rows[key].Value)
}

// tableOnly lets a table take events as the decisions do.
type tableOnly struct{ table *wasabiquota.Table }

func (d tableOnly) Handle(now wasabiridge.Millis, e wasabiridge.Event) []wasabiridge.Effect {
	d.table.Observe(now, e)
	return nil
}

// keep starts a keeper of an instance beside another one that answers if it should.
func keep(id wasabiridge.InstanceID, table wasabiridge.Table, answers bool) *wasabiquota.Keeper {
	k := wasabiquota.NewKeeper(wasabiquota.KeeperOptions{
		Self: id, Incarnation: 1, Clock: wasabiclock.System(), Rows: table,
		Members: func() []wasabiridge.Member {
			return []wasabiridge.Member{{InstanceEntry: wasabiridge.InstanceEntry{ID: "z", PeerAddress: "127.0.0.1:1"}}}
		},
		Tell: func(context.Context, string, wasabiridge.News) error {
			if !answers {
				return wasabiridge.ErrUnavailable.New("test: silent")
			}
			return nil
		},
	})
	loop := wasabiloop.New(wasabiloop.Options{Decider: tableOnly{k.Table()}, Clock: wasabiclock.System()})
	k.Join(loop)
	loop.Post(wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: []wasabiridge.ClientAccount{limited("a", large)}}})
	ctx, cancel := context.WithCancel(context.Background())
	go k.Run(ctx)
	DeferCleanup(func() {
		cancel()
		loop.Close()
	})
	return k
}

// level is what the only account has left.
func level(k *wasabiquota.Keeper) float64 {
	if s := k.Snapshot(); len(s.Entries) == 1 {
		return s.Entries[0].Level
	}
	return 0
}

// Guards against instances that start without knowing how many share a limit, although
// this was kept.
var _ = Describe("Who owns a part of the limits", func() {
	It("is kept, and known to an instance that starts", func() {
		table := &rows{rows: map[string]wasabiridge.Row{}}
		keep("a", table, true)
		Eventually(func() string { return table.value(wasabiquota.OwnersKey) }, "10s").Should(Equal(`["a","z"]`))
		again := keep("a", table, false)
		Eventually(func() float64 { return level(again) }, "10s").Should(BeNumerically(">", large/16))
	})

	It("is not waited for when the platform is down, nor taken from a row that is none", func() {
		for _, table := range []*rows{{down: true}, {rows: map[string]wasabiridge.Row{wasabiquota.OwnersKey: {Revision: 1, Value: []byte("{")}}}} {
			k := keep("a", table, false)
			Eventually(func() float64 { return level(k) }, "10s").Should(BeNumerically(">", 0))
		}
	})
})
