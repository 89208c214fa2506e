package wasabimeasure_test

import (
	"bytes"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabimeasure"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

func TestMeasure(t *testing.T) {
	wasabitest.Run(t, "measure")
}

func short(name string) wasabimeasure.Options {
	w, err := wasabimeasure.Load(name)
	Expect(err).NotTo(HaveOccurred())
	w.Duration, w.WarmUp = 20*wasabiridge.Second, 4*wasabiridge.Second
	return wasabimeasure.Options{Workload: w, Policy: "rendezvous_first", Instances: 3, Load: 0.6, Seed: wasabitest.Seed}
}

func run(o wasabimeasure.Options) wasabimeasure.Report {
	r, err := wasabimeasure.Run(o)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func reportJSON(o wasabimeasure.Options) string {
	var b bytes.Buffer
	Expect(wasabimeasure.WriteJSON(&b, []wasabimeasure.Report{run(o)})).To(Succeed())
	return b.String()
}

// effectRewriter is a Decider that rewrites the effects of another one.
type effectRewriter struct {
	wasabiridge.Decider
	rewrite func(now wasabiridge.Millis, effects []wasabiridge.Effect) []wasabiridge.Effect
}

func (m effectRewriter) Handle(now wasabiridge.Millis, e wasabiridge.Event) []wasabiridge.Effect {
	return m.rewrite(now, m.Decider.Handle(now, e))
}

// onDispatch returns a wrapper of Deciders that replaces every Dispatch by the
// effects that change returns.
func onDispatch(change func(now wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect) func(wasabiridge.Decider) wasabiridge.Decider {
	return func(d wasabiridge.Decider) wasabiridge.Decider {
		return effectRewriter{d, func(now wasabiridge.Millis, effects []wasabiridge.Effect) []wasabiridge.Effect {
			var all []wasabiridge.Effect
			for _, e := range effects {
				if dispatch, ok := e.(wasabiridge.Dispatch); ok {
					all = append(all, change(now, dispatch)...)
					continue
				}
				all = append(all, e)
			}
			return all
		}}
	}
}

var _ = Describe("A measured run", func() {
	It("writes identical JSON for the same seed and different JSON for another seed", func() {
		for _, name := range []string{"liftwell", "selam"} {
			o := short(name).WithFaults(wasabimeasure.RoutersRestarted, wasabimeasure.EventsLost, wasabimeasure.EngineCrash)
			Expect(reportJSON(o)).To(Equal(reportJSON(o)))
			Expect(reportJSON(o)).NotTo(Equal(reportJSON(o.WithSeed(1))))
		}
	})

	faults := map[string]wasabimeasure.Fault{}
	for _, f := range wasabimeasure.Faults() {
		faults[string(f)] = f
	}
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		It("violates no invariant under "+name, func() {
			r := run(short("liftwell").WithFaults(faults[name]))
			Expect(r.Violations).To(BeEmpty())
			Expect(r.Answered + r.Refused + r.Interrupted).To(BeNumerically(">=", r.Requests))
		})
	}

	injected := map[string]struct {
		faults    []wasabimeasure.Fault
		inject    func(now wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect
		violation string
	}{
		"an assumed cache hit for blocks that the engine never computed": {
			inject: func(_ wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				d.ClaimedTokens, d.Incarnation = 2048, 7
				return []wasabiridge.Effect{d}
			},
			violation: "never computed",
		},
		"an assumed cache hit on the incarnation before a crash": {
			faults: []wasabimeasure.Fault{wasabimeasure.EngineCrash},
			inject: func(now wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				if now > 16*wasabiridge.Second && d.Backend.ID == "answer-1" {
					d.ClaimedTokens, d.Incarnation = 2048, 1
				}
				return []wasabiridge.Effect{d}
			},
			violation: "but incarnation 2 had been reported",
		},
		"a dispatch to a server that is leaving": {
			faults: []wasabimeasure.Fault{wasabimeasure.BackendLeaving},
			inject: func(now wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				if now > 13*wasabiridge.Second {
					d.Backend.ID = "answer-1"
				}
				return []wasabiridge.Effect{d}
			},
			violation: "began to leave",
		},
		"a refusal as not run of a request that an engine accepted": {
			inject: func(_ wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				return []wasabiridge.Effect{d, wasabiridge.Refuse{Request: d.Request}}
			},
			violation: "but an engine accepted it",
		},
		"a second execution of a non-idempotent request": {
			inject: func(_ wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				again := d
				again.Attempt += 1 << 60
				return []wasabiridge.Effect{d, again}
			},
			violation: "must run at most once",
		},
		"an attempt ID that is used twice": {
			inject: func(_ wasabiridge.Millis, d wasabiridge.Dispatch) []wasabiridge.Effect {
				d.Attempt %= 1 << 32
				return []wasabiridge.Effect{d}
			},
			violation: "used before",
		},
		"a request that is never dispatched": {
			inject:    func(wasabiridge.Millis, wasabiridge.Dispatch) []wasabiridge.Effect { return nil },
			violation: "was neither answered nor refused",
		},
	}
	for _, name := range slices.Sorted(maps.Keys(injected)) {
		It("reports "+name, func() {
			p := injected[name]
			r := run(short("liftwell").WithFaults(p.faults...).WithDecider(onDispatch(p.inject)))
			Expect(r.Breaches).To(BeNumerically(">", 0))
			Expect(r.Violations).To(ContainElement(ContainSubstring(p.violation)))
		})
	}

	It("names the unknown field of a workload and fails on a missing file", func() {
		_, err := wasabimeasure.Parse([]byte(`{"name": "x", "speed": 1}`))
		Expect(err).To(MatchError(ContainSubstring("speed")))
		_, err = wasabimeasure.Load("no-such-file.json")
		Expect(err).To(HaveOccurred())
	})
})
