package wasabicost_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestCost(t *testing.T) { wasabitest.Run(t, "cost") }

// engine simulates an engine with known factors.
type engine struct{ fixed, perToken, perPair float64 }

func (e engine) takes(w wasabicost.Work) float64 {
	n := float64(w.Tokens)
	return e.fixed + e.perToken*n + e.perPair*n*(float64(w.Preceding)+n/2)
}

// drawWork draws short prompts and some long ones, most of whose tokens are held
// already.
func drawWork(r *rand.Rand) wasabicost.Work {
	if r.IntN(4) == 0 {
		return wasabicost.Work{Tokens: 1000 + r.IntN(12000), Preceding: r.IntN(16000)}
	}
	return wasabicost.Work{Tokens: 100 + r.IntN(2500), Preceding: r.IntN(600)}
}

// engines covers the range of 20 to 400 tokens per millisecond.
var engines = map[string]engine{
	"slow":   {fixed: 40, perToken: 1.0 / 20, perPair: 1e-6},
	"middle": {fixed: 15, perToken: 1.0 / 66, perPair: 0.28e-6},
	"fast":   {fixed: 8, perToken: 1.0 / 400, perPair: 0.05e-6},
}

var _ = Describe("An estimate", func() {
	// The speed of a deployment's engines is not configured anywhere. Two seconds after
	// the start, with about thirty answers, placements have to compare queues by what
	// these engines take.
	for _, name := range slices.Sorted(maps.Keys(engines)) {
		It("comes close to a "+name+" engine within thirty answers, a third of which are delayed", func() {
			e, r := engines[name], rand.New(rand.NewPCG(1, 2))
			costs := wasabicost.New()
			for range 30 {
				w := drawWork(r)
				took := e.takes(w) * (0.95 + 0.1*r.Float64())
				if r.IntN(3) == 0 {
					took += 100 * r.Float64()
				}
				costs.Observe(w, took)
			}
			for _, w := range []wasabicost.Work{{Tokens: 1800}, {Tokens: 6000, Preceding: 5000}, {Tokens: 16000}} {
				Expect(costs.FirstToken(w)).To(BeNumerically("~", e.takes(w), 0.3*e.takes(w)+15), "%+v", w)
			}
		})
	}

	// The engines are replaced by ones that take twenty times as long for a token.
	It("follows an engine that changes within a hundred answers", func() {
		r, costs := rand.New(rand.NewPCG(3, 4)), wasabicost.New()
		for _, e := range []engine{engines["fast"], engines["slow"]} {
			for range 100 {
				w := drawWork(r)
				costs.Observe(w, e.takes(w))
			}
			w := wasabicost.Work{Tokens: 5000}
			Expect(costs.FirstToken(w)).To(BeNumerically("~", e.takes(w), 0.2*e.takes(w)))
		}
	})

	It("starts from a positive prior", func() {
		costs := wasabicost.New()
		Expect(costs.Answers()).To(BeZero())
		Expect(costs.Fixed()).To(BeNumerically(">", 0))
		Expect(costs.Compute(wasabicost.Work{Tokens: 1000})).To(BeNumerically(">", 0))
		Expect(costs.Compute(wasabicost.Work{})).To(BeZero())
	})
})

// TestNeverNegative feeds arbitrary answers. The expected time must never be negative,
// and never shorter for a longer prompt.
func TestNeverNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := wasabicost.New()
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			costs.Observe(
				wasabicost.Work{Tokens: rapid.IntRange(-5, 200000).Draw(t, "tokens"), Preceding: rapid.IntRange(-5, 200000).Draw(t, "behind")},
				rapid.Float64Range(-1, 1e6).Draw(t, "took"))
		}
		last := 0.0
		for tokens := 0; tokens < 50000; tokens += 5000 {
			expected := costs.FirstToken(wasabicost.Work{Tokens: tokens, Preceding: 100})
			if expected < last {
				t.Fatalf("%d tokens: expected %f ms, but %f ms for fewer tokens", tokens, expected, last)
			}
			last = expected
		}
	})
}
