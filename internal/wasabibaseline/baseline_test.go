package wasabibaseline_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibaseline"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestBaseline(t *testing.T) {
	wasabitest.Run(t, "baseline")
}

// fixedForecasts has one forecast for each server, whatever the prompt.
type fixedForecasts map[wasabiridge.BackendServerID]wasabibaseline.Forecast

func (w fixedForecasts) Forecast(_ wasabiridge.Millis, b wasabiridge.BackendServerID, _ wasabiridge.Chain) wasabibaseline.Forecast {
	return w[b]
}

func query(block wasabiridge.BlockHash, excluded ...wasabiridge.BackendServerID) wasabiridge.PlaceQuery {
	q := wasabiridge.PlaceQuery{Excluded: excluded}
	for i := range 5 {
		q.Pool.Backends = append(q.Pool.Backends, wasabiridge.BackendServer{ID: wasabiridge.BackendServerID(fmt.Sprint("b", i))})
	}
	q.Request.Chain = wasabiridge.Chain{Blocks: []wasabiridge.BlockHash{block, block + 1}, BlockTokens: 2048, Tokens: 5000}
	return q
}

var _ = Describe("Baselines", func() {
	placers := map[string]func() wasabiridge.Placer{
		"round robin":         func() wasabiridge.Placer { return wasabibaseline.NewRoundRobin(1) },
		"least loaded":        func() wasabiridge.Placer { return wasabibaseline.NewLeastLoaded(1) },
		"rendezvous, prompt":  func() wasabiridge.Placer { return wasabibaseline.NewRendezvousPrompt(1) },
		"rendezvous, level 1": func() wasabiridge.Placer { return wasabibaseline.NewRendezvousFirst(1) },
		"oracle":              func() wasabiridge.Placer { return wasabibaseline.NewOracle(1, fixedForecasts{}) },
	}
	for _, name := range slices.Sorted(maps.Keys(placers)) {
		// A load report of a lost incarnation that arrives late must not make the
		// server eligible again. A report of a newer incarnation must.
		It("of "+name+" do not choose servers that are excluded, lost or leaving", func() {
			p := placers[name]()
			p.Observe(0, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{Backend: "b1", Incarnation: 1}})
			p.Observe(0, wasabiridge.BackendLost{Backend: "b1"})
			p.Observe(0, wasabiridge.BackendLeaving{Backend: "b2"})
			// This report was in flight when the server was lost.
			p.Observe(0, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{Backend: "b1", Incarnation: 1}})
			seen := map[wasabiridge.BackendServerID]bool{}
			for i := range 200 {
				placement, ok := p.Place(0, query(wasabiridge.BlockHash(10*i), "b3"))
				Expect(ok).To(BeTrue())
				seen[placement.Backend.ID] = true
			}
			Expect(slices.Sorted(maps.Keys(seen))).To(Equal([]wasabiridge.BackendServerID{"b0", "b4"}))
			p.Observe(0, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{Backend: "b1", Incarnation: 2}})
			for i := range 200 {
				placement, _ := p.Place(0, query(wasabiridge.BlockHash(10*i), "b3"))
				seen[placement.Backend.ID] = true
			}
			Expect(seen).To(HaveKey(wasabiridge.BackendServerID("b1")))
		})
	}

	It("of rendezvous agree between instances, and avoid a server above the load bound", func() {
		a, b := wasabibaseline.NewRendezvousFirst(1), wasabibaseline.NewRendezvousFirst(2)
		first, _ := a.Place(0, query(7))
		other, _ := b.Place(0, query(7))
		Expect(other.Backend).To(Equal(first.Backend))
		a.Observe(0, wasabiridge.LoadReported{Report: wasabiridge.LoadReport{Backend: first.Backend.ID, Running: 10}})
		next, _ := a.Place(0, query(7))
		Expect(next.Backend).NotTo(Equal(first.Backend))
	})

	It("of the oracle weigh the queueing time against cached tokens", func() {
		w := fixedForecasts{}
		for _, s := range query(1).Pool.Backends {
			w[s.ID] = wasabibaseline.Forecast{Compute: 300}
		}
		w["b3"] = wasabibaseline.Forecast{Incarnation: 4, Wait: 100, Cached: 4096, Compute: 20}
		placement, _ := wasabibaseline.NewOracle(1, w).Place(0, query(1))
		Expect(placement.Backend.ID).To(Equal(wasabiridge.BackendServerID("b3")))
		Expect(placement.Incarnation).To(Equal(wasabiridge.Incarnation(4)))
		Expect(placement.ClaimedTokens).To(Equal(4096))
		w["b3"] = wasabibaseline.Forecast{Wait: 900, Cached: 4096, Compute: 20}
		placement, _ = wasabibaseline.NewOracle(1, w).Place(0, query(1))
		Expect(placement.Backend.ID).NotTo(Equal(wasabiridge.BackendServerID("b3")))
	})
})
