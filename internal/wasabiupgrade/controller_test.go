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

// stuckEngines accept orders and never carry them out, so that the upgrade stays
// outstanding.
type stuckEngines struct{ orders *atomic.Int64 }

func (e stuckEngines) SendOrder(context.Context, wasabiridge.BackendServer, wasabiridge.EngineOrder) error {
	e.orders.Add(1)
	return nil
}

func (stuckEngines) ReadState(context.Context, wasabiridge.BackendServer) (wasabiridge.EngineState, error) {
	return wasabiridge.EngineState{Weights: 1}, nil
}

// fencedOnce rejects the first order as one of an outdated lease, and accepts all others.
type fencedOnce struct {
	stuckEngines
	// accepted is the fencing number of the last order that was accepted.
	accepted *atomic.Uint64
}

func (e fencedOnce) SendOrder(_ context.Context, _ wasabiridge.BackendServer, o wasabiridge.EngineOrder) error {
	if e.orders.Add(1) == 1 {
		return wasabiridge.ErrFenced.New("a higher fencing number was seen")
	}
	e.accepted.Store(uint64(o.Fencing))
	return nil
}

var _ = Describe("A controller", func() {
	// Guards against an upgrade that stands still for as long as the holder of the lease lives,
	// because one response, which may be malformed, stated that there is a newer holder.
	It("sends orders under a new fencing number after one was rejected", func(ctx SpecContext) {
		running, cancel := context.WithCancel(ctx)
		defer cancel()
		var orders atomic.Int64
		var accepted atomic.Uint64
		clock := wasabiclock.Boot()
		controller := wasabiupgrade.NewController(wasabiupgrade.Options{
			Self: "i", Incarnation: 1, Clock: clock, Table: wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock}),
			Engines: fencedOnce{stuckEngines{&orders}, &accepted},
			Catalog: func() ([]wasabiridge.BackendEntry, map[wasabiridge.ModelID]wasabiridge.WeightsVersion) {
				return []wasabiridge.BackendEntry{{
					Server: wasabiridge.BackendServer{ID: "e"}, Weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: 1},
				}}, map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: 2}
			},
			Rank: func() int { return 0 }, Send: func([]wasabiridge.BackoffUpdate) {},
		})
		go controller.Run(running)
		Eventually(accepted.Load, "15s").Should(BeEquivalentTo(2))
	})

	// All machines are restarted, one every two seconds, during an upgrade. If a holder
	// keeps its lease when it shuts down, no instance sends orders until the lease expires,
	// three seconds after the last renewal.
	It("releases the lease when its instance shuts down", func(ctx SpecContext) {
		running, cancel := context.WithCancel(ctx)
		defer cancel()
		var leaving atomic.Bool
		var orders atomic.Int64
		clock := wasabiclock.Boot()
		table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock})
		controller := wasabiupgrade.NewController(wasabiupgrade.Options{
			Self: "i", Incarnation: 1, Clock: clock, Table: table, Engines: stuckEngines{&orders},
			Catalog: func() ([]wasabiridge.BackendEntry, map[wasabiridge.ModelID]wasabiridge.WeightsVersion) {
				return []wasabiridge.BackendEntry{{
					Server: wasabiridge.BackendServer{ID: "e"}, Weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: 1},
				}}, map[wasabiridge.ModelID]wasabiridge.WeightsVersion{model: 2}
			},
			Rank: func() int { return 0 }, Unfit: leaving.Load, Send: func([]wasabiridge.BackoffUpdate) {},
		})
		go controller.Run(running)

		// Another instance that contends for the lease must get it once it is released.
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
		Eventually(orders.Load, "10s").Should(BeNumerically(">", 0))
		leaving.Store(true)
		other.Contend(true)
		Eventually(held, "10s").ShouldNot(BeZero())
		Expect(other.Grant().Previous.Handover).To(And(ContainSubstring(`"backend":"e"`), ContainSubstring(`"holder":"i"`)), "the next holder learns of the order")
	})
})
