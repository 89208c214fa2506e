package wasabiupgrade_test

import (
	"context"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
	"github.com/wasabiridge/wasabiridge/internal/wasabiupgrade"
)

// deafEngines take orders and never carry them out, so that work stays.
type deafEngines struct{}

func (deafEngines) SendOrder(context.Context, wasabiridge.BackendServer, wasabiridge.EngineOrder) error {
	return nil
}

func (deafEngines) ReadState(context.Context, wasabiridge.BackendServer) (wasabiridge.EngineState, error) {
	return wasabiridge.EngineState{Weights: 1}, nil
}

var _ = Describe("A keeper", func() {
	// Story: all machines are restarted, one every two seconds, while new weights
	// are named. Each time the holder of the lease leaves, nobody gives orders
	// until its lease has ended three seconds after its last renewal.
	It("gives the lease back when its instance leaves", func(ctx SpecContext) {
		running, cancel := context.WithCancel(ctx)
		defer cancel()
		var leaving atomic.Bool
		clock := wasabiclock.Boot()
		table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock})
		keeper := wasabiupgrade.NewKeeper(wasabiupgrade.Options{
			Self: "i", Incarnation: 1, Clock: clock, Table: table, Engines: deafEngines{},
			Catalog: func() ([]wasabiridge.BackendEntry, map[wasabiridge.ModelID]wasabiridge.WeightsVersion) {
				return []wasabiridge.BackendEntry{{
					Server: wasabiridge.BackendServer{ID: "e"}, Weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: 1},
				}}, map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: 2}
			},
			Rank: func() int { return 0 }, Leaving: leaving.Load, Tell: func([]wasabiridge.RestNews) {},
		})
		go keeper.Run(running)

		// Another instance that wants the lease gets it as soon as it is free.
		other := wasabilease.New(wasabilease.Options{
			Name: "upgrade", Self: "j", Incarnation: 1, Table: table, Clock: clock,
			Timing: wasabilease.Timing{TTL: wasabiridge.Day, Drift: wasabiridge.Hour, Renew: 100, Poll: 50},
		})
		go other.Run(running)
		held := func() wasabiridge.FencingNumber { return other.Grant().Fencing }
		rows := func() int {
			list, err := table.List(ctx, "", "", 10)
			Expect(err).NotTo(HaveOccurred())
			return len(list)
		}
		Eventually(rows, "10s").Should(Equal(1))
		leaving.Store(true)
		other.Contend(true)
		Eventually(held, "10s").ShouldNot(BeZero())
	})
})
